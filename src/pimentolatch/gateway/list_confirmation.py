"""Has the store confirm the list of servers at a moment that a decision needs.

The list is confirmed about once a second, by an answer that may have been on its way
for a while, or by a peer that has one. That says nothing about what has happened since.
A decision that must not miss what other instances know already asks here: the store is
read by a call that begins afterwards.
"""

import asyncio
import datetime
from collections import abc

import logbook

from pimentolatch import clock, store
from pimentolatch.gateway import store_watch

__all__ = ["ListConfirmation"]

_log = logbook.Logger("watch")
# A caller waits this long at most: longer than a read of a store in another region
# takes, and short against the pause after which a client would come back.
_TIME_LIMIT = datetime.timedelta(milliseconds=800)
_READ_LIMIT = datetime.timedelta(milliseconds=600)
# After a read that failed, callers are told at once for this long.
_FAILURE_PAUSE = datetime.timedelta(milliseconds=500)
# Reads a second of all instances together, a part of what the store allows.
_FLEET_READS_PER_S = 1000
_SECOND = datetime.timedelta(seconds=1)


class ListConfirmation:
    """Reads the changes of the servers on demand, once for all who wait.

    Args:
        watch: Returns what reads the servers from the store.
        instances: Returns the number of instances in the fleet.
        time: Clock of this instance.
    """

    def __init__(
        self,
        watch: abc.Callable[[], store_watch.ServerWatch],
        instances: abc.Callable[[], int],
        time: clock.Clock,
    ) -> None:
        self._watch = watch
        self._instances = instances
        self._clock = time
        self._one_at_a_time = asyncio.Lock()
        self._next: asyncio.Task[bool] | None = None
        self._tasks: set[asyncio.Task[bool]] = set()
        self._next_at = datetime.timedelta()
        self._failing_until = datetime.timedelta()

    async def confirm(self) -> bool:
        """Have the list confirmed as of a time after this call.

        Returns:
            Whether the store has answered in time. The list holds its answer then.
        """
        is_failing = self._clock.monotonic() < self._failing_until
        if is_failing or self._watch().unreachable:
            return False
        if self._next is None:
            self._next = asyncio.create_task(self._read_next())
            self._tasks.add(self._next)
            self._next.add_done_callback(self._tasks.discard)
        try:
            async with asyncio.timeout(_TIME_LIMIT.total_seconds()):
                # A request that is cancelled must not cancel what others wait for.
                return await asyncio.shield(self._next)
        except TimeoutError:
            return False

    def close(self) -> None:
        """Cancel the reads in progress."""
        for task in self._tasks:
            task.cancel()

    async def _read_next(self) -> bool:
        async with self._one_at_a_time:
            pause = self._next_at - self._clock.monotonic()
            if pause > datetime.timedelta():
                await self._clock.sleep(pause)
            # Whoever asks from here on needs a read that begins later.
            self._next = None
            now = self._clock.monotonic()
            if now < self._failing_until:
                return False
            self._next_at = now + self._instances() * _SECOND / _FLEET_READS_PER_S
            failure = await self._read()
            if failure is None:
                return True
            self._fail(failure)
            return False

    def _fail(self, failure: store.Unavailable) -> None:
        pause = max(_FAILURE_PAUSE, failure.retry_after or _FAILURE_PAUSE)
        self._failing_until = self._clock.monotonic() + pause
        _log.warn("servers not confirmed by the store", reason=failure.reason)

    async def _read(self) -> store.Unavailable | None:
        outcome = await self._watch().read_changes(_READ_LIMIT)
        return outcome if isinstance(outcome, store.Unavailable) else None
