"""Times out requests that their peer does not acknowledge."""

import asyncio
import dataclasses
import datetime
from collections import abc

from pimentolatch.backend import sockets
from pimentolatch.decisions import request_delivery

__all__ = ["DeliveryTimer", "transmission"]


def transmission(transport: asyncio.Transport) -> request_delivery.Transmission:
    """Return what neither the event loop nor the kernel has delivered."""
    in_kernel = sockets.transmission(transport.get_extra_info("socket"))
    undelivered = in_kernel.unacknowledged_bytes + transport.get_write_buffer_size()
    return dataclasses.replace(in_kernel, unacknowledged_bytes=undelivered)


class DeliveryTimer:
    """Watches the requests on one connection until they are acknowledged or answered.

    See `request_delivery` for the reasons.

    Args:
        transport: The connection.
        limit: How long the peer may leave a request without an acknowledgement.
        on_timeout: Called with the reason; it has to reset the connection.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        limit: datetime.timedelta,
        on_timeout: abc.Callable[[str], None],
    ) -> None:
        self._transport = transport
        self._limit = limit
        self._on_timeout = on_timeout
        self._timer: asyncio.TimerHandle | None = None

    @property
    def acknowledged(self) -> bool:
        """Whether the peer's kernel has all that was written, read or not."""
        return (
            not self._transport.is_closing()
            and not transmission(self._transport).unacknowledged_bytes
        )

    def begin(self) -> None:
        """Watch the request that has just been written."""
        self.end()
        if not self._transport.is_closing():
            self._schedule(
                request_delivery.DeliveryCheck(transmission(self._transport))
            )

    def end(self) -> None:
        """Stop watching, as the request was answered or its connection is closed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self, check: request_delivery.DeliveryCheck) -> None:
        interval = self._limit / request_delivery.CHECKS
        self._timer = asyncio.get_running_loop().call_later(
            interval.total_seconds(), self._observe, check
        )

    def _observe(self, check: request_delivery.DeliveryCheck) -> None:
        self._timer = None
        if self._transport.is_closing():
            return
        state = check.observe(transmission(self._transport))
        if state is request_delivery.Delivery.IN_PROGRESS:
            self._schedule(check)
        elif state is request_delivery.Delivery.TIMED_OUT:
            limit_s = self._limit.total_seconds()
            self._on_timeout(f"{state.value} within {limit_s:g} s, connection reset")
