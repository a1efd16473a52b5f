"""The connections of clients, bounded as the configuration says."""

import functools
import typing

from pimentolatch.entry import guard
from pimentolatch.gateway import fleet_state

__all__ = ["RouteProtocol", "protocol_class"]


class RouteProtocol(guard.GuardedProtocol):
    """One connection of a client; the newest limits apply to each request."""

    def __init__(
        self, *args: typing.Any, known: fleet_state.FleetState, **named: typing.Any
    ) -> None:
        super().__init__(*args, **named)
        self._known = known

    @property
    def head_limit_bytes(self) -> int:
        """Largest head of a request."""
        if self._known.configuration is None:
            return super().head_limit_bytes
        return self._known.configuration.limits.head_bytes

    @property
    def head_seconds(self) -> float:
        """Longest time a head may take to arrive."""
        if self._known.configuration is None:
            return super().head_seconds
        return self._known.configuration.limits.head_timeout.total_seconds()

    @property
    def first_byte_seconds(self) -> float:
        """Longest time a new connection may stay silent."""
        if self._known.configuration is None:
            return super().first_byte_seconds
        return self._known.configuration.limits.idle_timeout.total_seconds()

    def runs_to_its_end(self, path: str) -> bool:
        """A client that has closed its side has left."""
        return False

    def on_response_complete(self) -> None:
        """Keep the connection for as long as the configuration says."""
        self.timeout_keep_alive = round(self.first_byte_seconds)
        super().on_response_complete()


def protocol_class(known: fleet_state.FleetState) -> typing.Callable[..., typing.Any]:
    """Return what makes the protocol of each connection."""
    return functools.partial(RouteProtocol, known=known)
