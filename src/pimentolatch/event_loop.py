"""Event loop that handles the input which has arrived before it runs timers.

When a process goes on after it stood still (stopped, suspended with its host, starved,
or blocked in a long callback), timers that fell due meanwhile fire at once. The
standard event loop runs them before it has handled the input that arrived meanwhile:

- A wait for input that was interrupted by a stop reports none, so timers run before the
  sockets have been read at all. Connections are closed that hold whole requests.
- A task that awaits input is resumed one iteration after the input was read, and a
  timer that cancels it runs in between. Responses are discarded that came in time.

Here timers run at once only if a poll has just shown that there is nothing to handle.
Otherwise they wait for a few iterations, in which the input is handled, and cancels the
timers that it concerns. On a loop that has nothing else to do, a timer costs one poll.
"""

import asyncio
import contextvars
import selectors
import typing
from collections import abc

__all__ = ["InputFirstEventLoop"]

_Arguments = typing.TypeVarTuple("_Arguments")

# Input passes through a chain of tasks, each resumed an iteration after the one before:
# the connection's reader, the exchange that awaits it, the request with its time limit.
# The number is small, so that a busy loop doesn't starve its timers.
_ITERATIONS = 4


class _Selector(selectors.DefaultSelector):
    """Selector that doesn't take an interrupted wait for a lack of input.

    Attributes:
        idle: Whether the last call waited, and then found nothing.
    """

    idle = False

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """See `selectors.BaseSelector.select`."""
        events = super().select(timeout)
        waited = timeout is None or timeout > 0
        if waited and not events:
            events = super().select(0)
        self.idle = waited and not events
        return events


class InputFirstEventLoop(asyncio.SelectorEventLoop):
    """Selector event loop whose timers run after the input that has arrived."""

    def __init__(self) -> None:
        self._poll = _Selector()
        super().__init__(self._poll)

    def call_at(
        self,
        when: float,
        callback: abc.Callable[[*_Arguments], object],
        *args: *_Arguments,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """See `asyncio.AbstractEventLoop.call_at`."""
        timer = _Timer(self, callback, args)
        timer.handle = super().call_at(when, timer, context=context)
        return timer.handle

    @property
    def idle(self) -> bool:
        """Whether there is nothing to handle but the timers that are due."""
        return self._poll.idle

    def defer(self, timer: "_Timer", when: float) -> None:
        """Run a timer in the next iteration, after the input that it reads."""
        super().call_at(when, timer)


class _Timer:
    """Callback of a timer, which is put off while there is input to handle."""

    __slots__ = ("_args", "_callback", "_iterations", "_loop", "handle")

    def __init__(
        self,
        loop: InputFirstEventLoop,
        callback: abc.Callable[..., object],
        args: tuple[typing.Any, ...],
    ) -> None:
        self.handle: asyncio.TimerHandle
        self._loop = loop
        self._callback = callback
        self._args = args
        self._iterations = 0

    def __call__(self) -> None:
        """Run the callback, or put it off by an iteration."""
        if self.handle.cancelled():
            return
        if self._loop.idle or self._iterations == _ITERATIONS:
            self._callback(*self._args)
            return
        self._iterations += 1
        self._loop.defer(self, self.handle.when())
