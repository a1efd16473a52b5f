"""The operator's routing configuration, and the choice of a route and a service."""

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
    """What a route's requests allow.

    `SAFE` requests may run several times, `UNSAFE` ones at most once for each request
    id. A `STREAM` is answered with events; it is treated as `UNSAFE` unless its route
    is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that takes `weight` parts of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and what they allow.

    Attributes:
        path_prefix: Begins and ends with a slash.
        shares: The services behind the route; more than one splits its requests.
        timeout: Longest time a request may be kept, from its arrival to its last byte.
        latency_target: Time in which an answer (a stream: its first event) is on time.
        event_gap_target: Longest time between events of a stream that is on time.
        rank: 0 is the most urgent.
        max_attempts: Servers that one request may be sent to.
        carries_prompt: Whether requests name the parts of a prompt.
        resumable: Whether a broken stream may be continued on another server.
        public: Whether requests need no key.
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
        """Whether a request that may have run can be sent again."""
        if self.kind is Kind.STREAM:
            return self.resumable
        return self.kind is Kind.SAFE

    def service_of(self, request_id: str) -> str:
        """Return the service of a request.

        The id decides, so that two instances that know the same configuration agree
        and a request sent again stays with its service.
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
    """What the operator says of the engines of a model service.

    Attributes:
        slots: Requests that an engine runs at once.
        kv_tokens: Tokens that fit an engine's memory.
        stage_change_time: How long an engine is away when its stage changes.
    """

    slots: int
    kv_tokens: int
    stage_change_time: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Scaling:
    """What the operator says of a service whose servers are ordered.

    Attributes:
        min_servers: Servers of both kinds together in each failure domain, at least.
        max_servers: The same, at most.
        boot_time: Time until an ordered server serves.
        spot_price: Price of a server that may be taken back, as a share of the other
            kind's.
        prices: Price of a server by failure domain.
    """

    min_servers: int
    max_servers: int
    boot_time: datetime.timedelta
    spot_price: float
    prices: abc.Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of equal backend servers.

    Attributes:
        engine: Set for model engines.
        scaling: Set where the number of servers is ordered.
    """

    name: str
    engine: EngineTraits | None
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds on what a client may send and on how long it may take."""

    head_bytes: int
    body_bytes: int
    head_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta


class Configuration:
    """One version of the routes, services and limits; it never changes.

    Args:
        version: Higher is newer.
        routes: All routes; host and path prefix together are unique.
        services: All services by name.
        limits: Bounds on clients.
        customers: Who may send requests; None if requests bear no keys.
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
        """Return the route with the longest prefix that begins a path, or None."""
        host = host.lower()
        end = path.rfind("/") + 1
        while end > 0:
            route = self._by_prefix.get((host, path[:end]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None
