"""Counts requests in flight, so that a planned stop can wait for the last one."""

import asyncio
import contextlib
import datetime
from collections import abc

from pimentolatch import results

__all__ = ["GracefulShutdown"]

_STOPPING_RETRY_AFTER = datetime.timedelta(seconds=1)


class GracefulShutdown:
    """Admits requests until the instance stops."""

    def __init__(self) -> None:
        self._in_flight = 0
        self._stopping = False
        self._announced = False
        self._empty = asyncio.Event()
        self._empty.set()

    @property
    def in_flight(self) -> int:
        """Requests now being served."""
        return self._in_flight

    @property
    def stopping(self) -> bool:
        """Whether new requests are refused."""
        return self._stopping

    @property
    def ready(self) -> bool:
        """Whether the balancer should go on sending requests here."""
        return not self._announced

    def announce_stop(self) -> None:
        """Tell the balancer of the stop while requests are still served."""
        self._announced = True

    def stop(self) -> None:
        """Refuse new requests from now on."""
        self._stopping = True

    def refusal(self, *, forwarded: bool = False) -> results.Refusal | None:
        """Return the refusal of a new request, or None if it may enter.

        Calls that other instances pass on enter to the last: only this instance knows
        what became of their keys, and refusing them would leave it unknown.
        """
        if not self._stopping or forwarded:
            return None
        return results.Refusal(
            results.ResultCode.STOPPING,
            "this instance is stopping; another one will answer",
            results.Execution.NOT_RUN,
            _STOPPING_RETRY_AFTER,
        )

    @contextlib.contextmanager
    def track_request(self) -> abc.Iterator[None]:
        """Hold the instance up for the length of one request."""
        self._in_flight += 1
        self._empty.clear()
        try:
            yield
        finally:
            self._in_flight -= 1
            if self._in_flight == 0:
                self._empty.set()

    async def wait_drained(self, limit: datetime.timedelta) -> bool:
        """Wait until no request is in flight; False if the limit passed first."""
        try:
            async with asyncio.timeout(limit.total_seconds()):
                await self._empty.wait()
        except TimeoutError:
            return False
        return True
