"""HTTP protocol of client connections, with the limits of the configuration."""

import functools
import typing
from collections import abc

from pimentolatch import results
from pimentolatch.entry import bounded_http
from pimentolatch.gateway import fleet_state, request_log
from pimentolatch.platform import http_headers
from pimentolatch.protocol import forwarding

__all__ = ["ForwardedProtocol", "RouteProtocol", "protocol_class"]


class RouteProtocol(bounded_http.BoundedHttpProtocol):
    """One client connection; the newest limits apply."""

    def __init__(
        self,
        *args: typing.Any,
        fleet: fleet_state.FleetState,
        log: request_log.RequestLog,
        **named: typing.Any,
    ) -> None:
        super().__init__(*args, **named)
        self._fleet = fleet
        self._request_log = log

    @property
    def head_limit_bytes(self) -> int:
        """Largest head of a request."""
        if self._fleet.configuration is None:
            return super().head_limit_bytes
        return self._fleet.configuration.limits.head_bytes

    @property
    def head_seconds(self) -> float:
        """Longest time a head may take to arrive."""
        if self._fleet.configuration is None:
            return super().head_seconds
        return self._fleet.configuration.limits.head_timeout.total_seconds()

    @property
    def idle_seconds(self) -> float:
        """Longest time without a request on a connection."""
        if self._fleet.configuration is None:
            return super().idle_seconds
        return self._fleet.configuration.limits.idle_timeout.total_seconds()

    def continues_after_eof(self, path: str) -> bool:
        """Return True: the front end decides how long it goes on."""
        return True

    def report_unanswered(
        self,
        reason: bounded_http.Unanswered,
        headers: abc.Iterable[tuple[bytes, bytes]],
    ) -> None:
        """Log a request without a response."""
        self._request_log.write(
            request_log.UNANSWERED,
            http_headers.request_id(headers),
            wrong=True,
            reason=reason.value,
        )

    def report_refused(
        self, refusal: results.Refusal, headers: abc.Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Log a request that is refused for want of memory."""
        self._request_log.write(
            request_log.ANSWERED,
            http_headers.request_id(headers),
            wrong=True,
            status=refusal.http_status,
            outcome=refusal.message,
            version=self._fleet.version,
        )


class ForwardedProtocol(RouteProtocol):
    """One connection of a peer that forwards its clients' requests."""

    @property
    def head_limit_bytes(self) -> int:
        """Largest head of a request, with the peer's own fields."""
        return super().head_limit_bytes + forwarding.HEAD_BYTES


def protocol_class(
    fleet: fleet_state.FleetState,
    log: request_log.RequestLog,
    kind: type[RouteProtocol] = RouteProtocol,
) -> typing.Callable[..., typing.Any]:
    """Return the factory of the protocol of each connection."""
    return functools.partial(kind, fleet=fleet, log=log)
