"""Clocks, passed in so that every decision can be tested without waiting.

`Clock.monotonic` goes on while a process is stopped or its machine suspended, so a
process that wakes after a freeze sees at once how long it was away. Wall time is only
for records that people read and for deadlines that cross a process border.
"""

import asyncio
import datetime
import heapq
import itertools
import time
import typing

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(typing.Protocol):
    """Source of time for everything that waits, expires or is recorded."""

    def now(self) -> datetime.datetime:
        """Return the wall time, in UTC."""

    def monotonic(self) -> datetime.timedelta:
        """Return the time since an arbitrary start; it never goes back."""

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Wait until `monotonic` has advanced by `duration`."""


class SystemClock:
    """The clock of the machine."""

    def now(self) -> datetime.datetime:
        """See `Clock.now`."""
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> datetime.timedelta:
        """See `Clock.monotonic`."""
        return datetime.timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    async def sleep(self, duration: datetime.timedelta) -> None:
        """See `Clock.sleep`."""
        await asyncio.sleep(max(0.0, duration.total_seconds()))


class ManualClock:
    """A clock that moves only when `advance` is called."""

    def __init__(
        self,
        start: datetime.datetime = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC),
    ) -> None:
        self._start = start
        self._elapsed = datetime.timedelta()
        self._order = itertools.count()
        self._sleepers: list[tuple[datetime.timedelta, int, asyncio.Future[None]]] = []

    def now(self) -> datetime.datetime:
        """See `Clock.now`."""
        return self._start + self._elapsed

    def monotonic(self) -> datetime.timedelta:
        """See `Clock.monotonic`."""
        return self._elapsed

    async def sleep(self, duration: datetime.timedelta) -> None:
        """See `Clock.sleep`."""
        if duration <= datetime.timedelta():
            await asyncio.sleep(0)
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        wake = self._elapsed + duration
        heapq.heappush(self._sleepers, (wake, next(self._order), future))
        await future

    def advance(self, duration: datetime.timedelta) -> None:
        """Move time on and wake the sleepers that are due, earliest first."""
        self._elapsed += duration
        while self._sleepers and self._sleepers[0][0] <= self._elapsed:
            _, _, future = heapq.heappop(self._sleepers)
            if not future.done():
                future.set_result(None)
