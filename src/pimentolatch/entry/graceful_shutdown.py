"""Graceful shutdown: tracks requests in flight and drains them before a stop."""

import asyncio
import contextlib
import datetime
from collections import abc

from pimentolatch import results

__all__ = ["GracefulShutdown"]

_STOPPING_RETRY_AFTER = datetime.timedelta(seconds=1)


class GracefulShutdown:
    """Admits requests until the instance stops, and waits for those in flight.

    A stop has two steps: `announce_stop` ends readiness while requests are still
    served, and `stop` refuses new ones. `end_requests` ends those that are left.
    """

    def __init__(self) -> None:
        self._in_flight = 0
        self._stopping = False
        self._announced = False
        self._ends_at: datetime.timedelta | None = None
        self._ending = False
        self._aborting = False
        self._on_end: set[abc.Callable[[], object]] = set()
        self._empty = asyncio.Event()
        self._empty.set()

    @property
    def in_flight(self) -> int:
        """Number of requests being served."""
        return self._in_flight

    @property
    def stopping(self) -> bool:
        """Whether new requests are refused."""
        return self._stopping

    @property
    def ending(self) -> bool:
        """Whether requests in flight are being answered without their result."""
        return self._ending

    @property
    def aborting(self) -> bool:
        """Whether requests in flight are being cut off."""
        return self._aborting

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send requests to this instance."""
        return not self._announced

    @property
    def ends_at(self) -> datetime.timedelta | None:
        """When requests in flight are ended; None while no stop is announced."""
        return self._ends_at

    def announce_stop(self, ends_at: datetime.timedelta | None = None) -> None:
        """End readiness; requests are still served.

        Args:
            ends_at: When those in flight will be ended, if that is decided.
        """
        self._announced = True
        self._ends_at = ends_at

    def stop(self) -> None:
        """Refuse new requests from now on."""
        self._stopping = True

    def end_requests(self) -> None:
        """Have the requests in flight answered at once, whatever they wait for."""
        self._ending = True
        for call in tuple(self._on_end):
            call()

    @contextlib.contextmanager
    def ended_by(self, call: abc.Callable[[], object]) -> abc.Iterator[None]:
        """Name what `end_requests` has to call while the context is open."""
        self._on_end.add(call)
        if self._ending:
            call()
        try:
            yield
        finally:
            self._on_end.discard(call)

    def announce_abort(self) -> None:
        """Record that requests in flight are being cut off."""
        self._aborting = True

    def refusal(self, *, forwarded: bool = False) -> results.Refusal | None:
        """Return the refusal of a new request, or None if it is admitted.

        Calls forwarded by other instances are admitted until the end: only this
        instance knows the outcomes under their idempotency keys, and a refusal would
        leave them unknown.
        """
        if not self._stopping or forwarded:
            return None
        return results.Refusal(
            results.ResultCode.STOPPING,
            "this instance is shutting down; retry to reach another one",
            results.Execution.NOT_RUN,
            _STOPPING_RETRY_AFTER,
        )

    @contextlib.contextmanager
    def track_request(self) -> abc.Iterator[None]:
        """Count a request as in flight while the context is open."""
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
