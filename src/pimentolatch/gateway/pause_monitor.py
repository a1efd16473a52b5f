"""Notices that this process stood still: stopped, suspended with its host, or starved.

Sockets go on receiving meanwhile. When the process goes on, it finds the requests of
the whole pause, and would answer them at once by what it knew before: servers that have
left would get requests, and routes that are gone would be served.
"""

import asyncio
import collections
import dataclasses
import datetime
from collections import abc

import logbook

from pimentolatch import clock

__all__ = ["PauseMonitor"]

_log = logbook.Logger("gateway")
_INTERVAL = datetime.timedelta(milliseconds=50)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_NO_TIME = datetime.timedelta()
# What is asked for lies some seconds back; pauses are rarer than that.
_MAX_KEPT = 32


@dataclasses.dataclass(frozen=True, slots=True)
class _Pause:
    """An interval in which this process did not run, by its monotonic clock."""

    began_at: datetime.timedelta
    ended_at: datetime.timedelta

    def duration_since(self, moment: datetime.timedelta) -> datetime.timedelta:
        """Return how much of it lies after a moment."""
        return max(_NO_TIME, self.ended_at - max(self.began_at, moment))


class PauseMonitor:
    """Has this instance learn what it missed before it serves on after a pause.

    Args:
        limit: Shortest pause that counts.
        catch_up: Learns what was missed, within a bounded time.
        time: Clock of this instance, which advances during a pause.

    Attributes:
        limit: Shortest pause that counts.
    """

    def __init__(
        self,
        limit: datetime.timedelta,
        catch_up: abc.Callable[[], abc.Coroutine[None, None, None]],
        time: clock.Clock,
    ) -> None:
        self.limit = limit
        self._catch_up = catch_up
        self._clock = time
        self._seen_at = time.monotonic()
        self._pauses: collections.deque[_Pause] = collections.deque(maxlen=_MAX_KEPT)
        self._catching_up: asyncio.Task[None] | None = None

    def stood_still_since(self, moment: datetime.timedelta) -> datetime.timedelta:
        """Return for how long this instance stood still since a moment."""
        self._look()
        return sum((pause.duration_since(moment) for pause in self._pauses), _NO_TIME)

    async def run(self) -> None:
        """Look at the clock; runs until cancelled."""
        self._seen_at = self._clock.monotonic()
        while True:
            await self._clock.sleep(_INTERVAL)
            self._look()

    async def wait_until_current(self) -> None:
        """Return at once, or after a pause once what was missed is known.

        Requests are often the first that is handled after a pause, before `run`.
        """
        self._look()
        # Another pause replaces the task. Awaited itself, the replaced one would end
        # each waiting request with its cancellation.
        while self._catching_up is not None:
            await asyncio.wait({self._catching_up})

    def _look(self) -> None:
        now = self._clock.monotonic()
        pause = now - self._seen_at - _INTERVAL
        self._seen_at = now
        if pause <= self.limit:
            return
        self._pauses.append(_Pause(now - pause, now))
        _log.warn("process stood still", ms=round(pause / _MILLISECOND))
        if self._catching_up is not None:
            # What it has asked may have been answered before this pause.
            self._catching_up.cancel()
        self._catching_up = asyncio.create_task(self._learn(now))

    async def _learn(self, since: datetime.timedelta) -> None:
        try:
            await self._catch_up()
        except Exception as error:
            _log.error("what was missed is not known", reason=repr(error))
        else:
            took = self._clock.monotonic() - since
            _log.info("caught up after a pause", ms=round(took / _MILLISECOND))
        finally:
            if self._catching_up is asyncio.current_task():
                self._catching_up = None
