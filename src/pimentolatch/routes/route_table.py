"""Routing configuration, and the selection of a route and a service."""

import dataclasses
import datetime
import enum
import hashlib
from collections import abc

from pimentolatch.routes import customers as customer_table

__all__ = [
    "ClientLimits",
    "Configuration",
    "EngineTraits",
    "Kind",
    "Route",
    "Scaling",
    "Service",
    "ServiceShare",
]


class Kind(enum.Enum):
    """Whether a route's requests may run more than once.

    `SAFE` requests may run several times, `UNSAFE` ones at most once per request id. A
    `STREAM` is answered with server-sent events and treated as `UNSAFE` unless its
    route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How requests of one host and path prefix are routed and handled.

    Attributes:
        name: Name of the route.
        host: Host of the requests, in lower case.
        path_prefix: Prefix of the path; begins and ends with a slash.
        kind: Whether requests may run more than once.
        shares: Services of the route; several split its requests by their weights.
        timeout: Longest time from a request's arrival to the last byte of its response.
        latency_target: Target for the time to the response, or to the first event of a
            stream.
        event_gap_target: Target for the time between two events of a stream.
        rank: Priority; 0 is the most urgent.
        max_attempts: Number of servers that one request may be dispatched to.
        carries_prompt: Whether requests list the parts of a prompt.
        resumable: Whether a broken stream may be resumed on another server.
        public: Whether requests need no API key.
    """

    name: str
    host: str
    path_prefix: str
    kind: Kind
    shares: tuple[ServiceShare, ...]
    timeout: datetime.timedelta
    latency_target: datetime.timedelta
    event_gap_target: datetime.timedelta
    rank: int
    max_attempts: int
    carries_prompt: bool
    resumable: bool
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be retried."""
        if self.kind is Kind.STREAM:
            return self.resumable
        return self.kind is Kind.SAFE

    def service_of(self, request_id: str) -> str:
        """Return the service of a request.

        The service follows from the request id, so that instances with the same
        configuration agree on it and a retry stays with its service.
        """
        if len(self.shares) == 1:
            return self.shares[0].service
        digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
        total = sum(share.weight for share in self.shares)
        point = int.from_bytes(digest, "big") / 2**64 * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTraits:
    """Configured properties of the engines of a model service.

    Attributes:
        slots: Number of requests that an engine runs at once.
        kv_tokens: Capacity of an engine's KV cache, in tokens.
        stage_change_time: Time for which an engine is out of service during a change
            of its stage.
    """

    slots: int
    kv_tokens: int
    stage_change_time: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Scaling:
    """Configured scaling of a service with an automatic number of servers.

    Attributes:
        min_servers: Smallest number of on-demand and spot servers together in each
            failure domain.
        max_servers: Largest number of both together in each failure domain.
        boot_time: Time from the order of a server until it serves.
        spot_price: Price of a spot server as a fraction of the on-demand price.
        prices: Price of a server by failure domain.
    """

    min_servers: int
    max_servers: int
    boot_time: datetime.timedelta
    spot_price: float
    prices: abc.Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable backend servers.

    Attributes:
        name: Name of the service.
        engine: Properties of its engines; None if its servers are not model engines.
        scaling: Scaling of the service; None if its number of servers is fixed.
        health_target: Target of its servers' health checks.
    """

    name: str
    engine: EngineTraits | None
    scaling: Scaling | None = None
    health_target: bytes = b"/"


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds on the size and duration of client requests.

    Attributes:
        head_bytes: Largest request head, in bytes.
        body_bytes: Largest request body, in bytes.
        head_timeout: Longest time a request head may take to arrive.
        idle_timeout: Longest time a connection may be idle.
    """

    head_bytes: int
    body_bytes: int
    head_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta


class Configuration:
    """An immutable version of the routes, services, limits and customers.

    Args:
        version: Version number; higher is newer.
        routes: All routes; the pair of host and path prefix is unique.
        services: All services by name.
        limits: Bounds on client requests.
        customers: Customers that may send requests; None if requests carry no API keys.
    """

    def __init__(
        self,
        version: int,
        routes: abc.Iterable[Route],
        services: abc.Mapping[str, Service],
        limits: ClientLimits,
        customers: customer_table.Customers | None = None,
    ) -> None:
        self._by_prefix = {(r.host, r.path_prefix): r for r in routes}
        self.version = version
        self.services = services
        self.limits = limits
        self.customers = customers

    @property
    def routes(self) -> abc.Collection[Route]:
        """All routes."""
        return self._by_prefix.values()

    def select(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        host = host.lower()
        end = path.rfind("/") + 1
        while end > 0:
            route = self._by_prefix.get((host, path[:end]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None
