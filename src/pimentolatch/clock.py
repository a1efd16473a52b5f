"""Clocks, injected so that time-dependent code can be tested without waiting.

`Clock.monotonic` advances while the process is stopped or the machine suspended, so a
process that resumes sees at once how long it was frozen. Wall time is only for records
that people read and for deadlines passed between processes.
"""

import asyncio
import datetime
import heapq
import itertools
import time
import typing

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(typing.Protocol):
    """Source of time."""

    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC."""

    def monotonic(self) -> datetime.timedelta:
        """Return the time since an arbitrary origin; it never decreases."""

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Wait until `monotonic` has advanced by `duration`."""


class SystemClock:
    """Clock of the operating system."""

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
    """Clock for tests that advances only when `advance` is called."""

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
        """Advance the time and wake the sleepers that are due, earliest first."""
        self._elapsed += duration
        while self._sleepers and self._sleepers[0][0] <= self._elapsed:
            _, _, future = heapq.heappop(self._sleepers)
            if not future.done():
                future.set_result(None)
