"""Has requests take turns where a server leaves questions unanswered.

All their questions would lie unread there, and be answered when nobody needs them. A
server that answers is asked for each request at once.
"""

import asyncio
import contextlib
import dataclasses
import datetime
from collections import abc

from pimentolatch import clock
from pimentolatch.routes import servers

__all__ = ["QuestionTurns"]


@dataclasses.dataclass(slots=True)
class _Unanswered:
    """Questions that a server has not answered.

    Attributes:
        since: When the first one was asked.
        asking: Requests that ask now.
        changed: Set when one of these ends.
    """

    since: datetime.timedelta
    asking: int = 0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class QuestionTurns:
    """Requests that ask servers whether they read.

    Args:
        overdue_after: How long a server may leave a question unanswered before the
            requests that come take turns.
        time: Clock of this instance.
    """

    def __init__(self, overdue_after: datetime.timedelta, time: clock.Clock) -> None:
        self._overdue_after = overdue_after
        self._clock = time
        self._unanswered: dict[servers.Incarnation, _Unanswered] = {}

    def retain(self, listed: abc.Container[servers.Incarnation]) -> None:
        """Forget the servers that are no longer listed and that nobody asks."""
        for name, unanswered in list(self._unanswered.items()):
            if name not in listed and not unanswered.asking:
                del self._unanswered[name]

    def ended(self, server: servers.Incarnation) -> None:
        """Record that a server has answered, or that it can't be asked."""
        self._unanswered.pop(server, None)

    @contextlib.asynccontextmanager
    async def turn(self, server: servers.Incarnation) -> abc.AsyncIterator[None]:
        """Wait until a server may be asked, and let the next one ask on exit."""
        unanswered = await self._wait(server)
        unanswered.asking += 1
        try:
            yield
        finally:
            unanswered.asking -= 1
            unanswered.changed.set()
            unanswered.changed = asyncio.Event()

    async def _wait(self, server: servers.Incarnation) -> _Unanswered:
        while True:
            now = self._clock.monotonic()
            unanswered = self._unanswered.setdefault(server, _Unanswered(now))
            overdue = now - unanswered.since > self._overdue_after
            if not unanswered.asking or not overdue:
                return unanswered
            await unanswered.changed.wait()
