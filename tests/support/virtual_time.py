"""An event loop whose time advances to the next timer instead of waiting for it.

Code on it runs deterministically; its sleeps and timeouts take no real time.
"""

import asyncio
import datetime
import selectors
import typing
from collections import abc

__all__ = ["LoopClock", "VirtualLoop", "run"]

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_ROUNDING = 1e-9


class _VirtualTimeSelector(selectors.SelectSelector):
    elapsed = 0.0

    def select(self, timeout: float | None = None) -> typing.Any:
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait and no timer is set")
        if timeout > 0:
            self.elapsed += timeout + _ROUNDING
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.elapsed


class LoopClock:
    """A `clock.Clock` that reads the time of the running loop."""

    def now(self) -> datetime.datetime:
        """See `clock.Clock.now`."""
        return _START + self.monotonic()

    def monotonic(self) -> datetime.timedelta:
        """See `clock.Clock.monotonic`."""
        return datetime.timedelta(seconds=asyncio.get_running_loop().time())

    async def sleep(self, duration: datetime.timedelta) -> None:
        """See `clock.Clock.sleep`."""
        await asyncio.sleep(duration.total_seconds())


ResultT = typing.TypeVar("ResultT")


def run(main: abc.Coroutine[typing.Any, typing.Any, ResultT]) -> ResultT:
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
