"""Notices that this process stood still: stopped, suspended with its host, or starved.

Sockets go on receiving meanwhile. When the process goes on, it finds the requests of
the whole pause and answers them at once, by what it knew before.
"""

import datetime

import logbook

from pimentolatch import clock

__all__ = ["PauseMonitor"]

_log = logbook.Logger("gateway")
_INTERVAL = datetime.timedelta(milliseconds=50)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class PauseMonitor:
    """Compares the time between two rounds of the event loop with the time asked for.

    Args:
        limit: Shortest pause that counts.
        time: Clock of this instance.
    """

    def __init__(self, limit: datetime.timedelta, time: clock.Clock) -> None:
        self._limit = limit
        self._clock = time
        self._seen_at = time.monotonic()

    async def run(self) -> None:
        """Look at the clock; runs until cancelled."""
        self._seen_at = self._clock.monotonic()
        while True:
            await self._clock.sleep(_INTERVAL)
            now = self._clock.monotonic()
            pause = now - self._seen_at - _INTERVAL
            self._seen_at = now
            if pause > self._limit:
                _log.warn("process stood still", ms=round(pause / _MILLISECOND))
