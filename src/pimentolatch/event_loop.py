"""Event loop that handles the input which has arrived before it runs late timers.

When a process goes on after it stood still (stopped, suspended with its host, starved,
or blocked in a long callback), timers that fell due meanwhile fire at once. The
standard event loop runs them before it has handled the input that arrived meanwhile:

- A wait for input that was interrupted by a stop reports none, so timers run before the
  sockets have been read at all. Connections are closed that hold whole requests.
- A task that awaits input is resumed one iteration after the input was read, and a
  timer that cancels it runs in between. Responses are discarded that came in time.

Here timers that fire after a standstill wait until a poll finds nothing more to handle,
within bounds. The input is handled first, and cancels the timers that it concerns.

A busy loop polls its sockets in each iteration, so what it has not handled arrived just
now and crosses the limit anyway: there timers run at once, as on the standard loop.
"""

import asyncio
import collections
import contextvars
import selectors
import time
import typing
from collections import abc

__all__ = ["InputFirstEventLoop"]

_Arguments = typing.TypeVarTuple("_Arguments")

# An iteration that takes longer is a standstill. Input that waits for less than this
# before a limit falls due is taken to cross it.
_STANDSTILL_SECONDS = 0.05
# Input that is handled takes a few iterations: it passes from a connection's reader to
# the exchange that awaits it and to the request with its time limit, and a large
# response is parsed in parts. Timers wait for so many at least, and then for as long as
# there is input, so that neither large responses nor backlogs are cut short, nor are
# limits put off forever beside input without end.
_MIN_ITERATIONS = 4
_MAX_WAIT_SECONDS = 0.1
# Interval between two looks whether the input has been handled. It has to be positive:
# only a poll that waits shows that nothing else is ready to run.
_INTERVAL_SECONDS = 0.001


class _Selector(selectors.DefaultSelector):
    """Selector that tells whether input may have waited, and whether none is left.

    Attributes:
        found_nothing: Whether the last call waited, and then found nothing.
        input_may_have_waited: Whether the process may have stood still before the input
            of the last call was read.
    """

    def __init__(self) -> None:
        super().__init__()
        self._returned_at = time.monotonic()
        self._catching_up_until = 0.0
        self.found_nothing = False
        self.input_may_have_waited = False

    @property
    def is_outdated(self) -> bool:
        """Whether the process stood still since the last call, or was blocked."""
        return time.monotonic() - self._returned_at > _STANDSTILL_SECONDS

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """See `selectors.BaseSelector.select`."""
        called_at = time.monotonic()
        events = super().select(timeout)
        waits = timeout is None or timeout > 0
        if waits and not events:
            # A stop that ends after the time is over interrupts the wait unseen.
            events = super().select(0)
        now = time.monotonic()
        blocked = called_at - self._returned_at
        overslept = now - called_at - timeout if timeout is not None else 0.0
        self._returned_at = now
        self.found_nothing = waits and not events
        if self.found_nothing:
            self._catching_up_until = 0.0
        elif blocked > _STANDSTILL_SECONDS or overslept > _STANDSTILL_SECONDS:
            self._catching_up_until = now + _MAX_WAIT_SECONDS
        # A wait ends as input arrives. If a timer is due by then, the process may have
        # been stopped within the wait.
        self.input_may_have_waited = now < self._catching_up_until or (
            waits and bool(events)
        )
        return events


class InputFirstEventLoop(asyncio.SelectorEventLoop):
    """Selector event loop whose late timers run after the input that has arrived."""

    def __init__(self) -> None:
        self._polls = _Selector()
        self._deferred: collections.deque[_Timer] = collections.deque()
        self._deferred_since = 0.0
        self._iterations = 0
        super().__init__(self._polls)

    def call_at(
        self,
        when: float,
        callback: abc.Callable[[*_Arguments], object],
        *args: *_Arguments,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """See `asyncio.AbstractEventLoop.call_at`."""
        context = contextvars.copy_context() if context is None else context
        timer = _Timer(self, callback, args, context)
        handle = super().call_at(when, timer, context=context)
        timer.handle = handle
        return handle

    def defer(self, timer: "_Timer") -> bool:
        """Put off a timer that fires if there may be input that came before.

        Returns:
            Whether the timer was put off; it has to run at once otherwise.
        """
        if not self._deferred:
            if not (self._polls.input_may_have_waited or self._polls.is_outdated):
                return False
            self._deferred_since = self.time()
            self._iterations = 0
            self._schedule_look()
        self._deferred.append(timer)
        return True

    def _schedule_look(self) -> None:
        super().call_at(self.time() + _INTERVAL_SECONDS, self._look)

    def _look(self) -> None:
        """Run the deferred timers once the input has been handled."""
        self._iterations += 1
        waited = self.time() - self._deferred_since
        is_over = self._iterations >= _MIN_ITERATIONS and waited >= _MAX_WAIT_SECONDS
        if not (self._polls.found_nothing or is_over):
            self._schedule_look()
            return
        while self._deferred:
            timer = self._deferred.popleft()
            self.call_soon(timer.run, context=timer.context)


class _Timer:
    """Callback of a timer, which may be put off.

    Attributes:
        handle: What cancels the timer; None once it has run.
        context: Context that it runs in.
    """

    __slots__ = ("_args", "_callback", "_loop", "context", "handle")

    def __init__(
        self,
        loop: InputFirstEventLoop,
        callback: abc.Callable[..., object],
        args: tuple[typing.Any, ...],
        context: contextvars.Context,
    ) -> None:
        self.handle: asyncio.TimerHandle | None = None
        self.context = context
        self._loop = loop
        self._callback = callback
        self._args = args

    def __call__(self) -> None:
        """Fire: run, or have the loop put the timer off."""
        if not self._loop.defer(self):
            self.run()

    def __repr__(self) -> str:
        """Name the callback, for the loop's reports of exceptions."""
        return f"<timer of {self._callback!r}>"

    def run(self) -> None:
        """Run the callback, unless the timer has been cancelled."""
        handle, self.handle = self.handle, None
        if handle is None or not handle.cancelled():
            self._callback(*self._args)
