"""Timeouts for the many short waits of a stream, with few timers."""

import asyncio
import typing

__all__ = ["ReusableTimeout"]

_Result = typing.TypeVar("_Result")


class ReusableTimeout:
    """Timeout for consecutive waits, one at a time, that reuses one timer.

    A stream waits twice per token, for the engine and for the caller. Setting and
    cancelling a timer for each wait takes a fifth of an instance's cost per token.
    Here the timer keeps running while waits end in time: when it fires, it cancels the
    current wait if that is past its deadline, and is set again otherwise.
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
        """Await with a time limit in seconds; raises `TimeoutError` past it."""
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
            # This timeout, other code or both may have cancelled the task; only a
            # cancellation by this timeout alone becomes a `TimeoutError`.
            if self._expired and task.uncancel() <= cancelling:
                raise TimeoutError from None
            raise
        finally:
            self._deadline = None
            self._expired = False

    def close(self) -> None:
        """Cancel the timer, after the last wait."""
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
