"""Bounds many short waits of one stream with few timers."""

import asyncio
import typing

__all__ = ["ReusableTimeout"]

_Result = typing.TypeVar("_Result")


class ReusableTimeout:
    """Time limits on waits that follow one another, one at a time.

    A stream waits twice for each token, for the engine and for the caller. A timer set
    and cancelled for each wait is a fifth of what a token costs an instance. Here a
    timer is left alone while waits end in time: when it fires it looks at the wait of
    that moment, ends it if it is over its limit, and is set anew otherwise.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._deadline: float | None = None
        self._task: asyncio.Task[typing.Any] | None = None
        self._expired = False

    async def wait_for(
        self, seconds: float, awaitable: typing.Awaitable[_Result]
    ) -> _Result:
        """Return what is waited for; raises `TimeoutError` past the limit."""
        task = asyncio.current_task()
        assert task is not None
        cancelling = task.cancelling()
        self._task = task
        self._deadline = self._loop.time() + seconds
        if self._timer is None or self._timer.when() > self._deadline:
            self._set_timer(self._deadline)
        try:
            return await awaitable
        except asyncio.CancelledError:
            # The cancellation may be ours, somebody else's, or both; only ours alone
            # may be turned into a timeout.
            if self._expired and task.uncancel() <= cancelling:
                raise TimeoutError from None
            raise
        finally:
            self._deadline = None
            self._expired = False

    def close(self) -> None:
        """Drop the timer; the last wait has ended."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set_timer(self, when: float) -> None:
        self.close()
        self._timer = self._loop.call_at(when, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._deadline is None or self._task is None:
            return
        if self._loop.time() < self._deadline:
            self._set_timer(self._deadline)
            return
        self._expired = True
        self._task.cancel()
