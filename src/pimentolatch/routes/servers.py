"""Backend servers, as listed in the platform's store."""

import dataclasses
import datetime
import enum
import functools
from collections import abc

from pimentolatch import settings

__all__ = ["Incarnation", "Server", "ServerTable", "Stage", "shared_incarnation"]

_MAX_CACHED = 8192


class Stage(enum.Enum):
    """Stage that an engine runs: prefill for other engines, or decode."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One incarnation of a backend server: one run of its process.

    A server may restart under the same id and loses its state then. So everything that
    is recorded about a server is recorded by incarnation: cached prefixes, work counts,
    failures, connections. By the id alone, prefixes would be expected in a cache that
    has lost them, and an order could use the order count of a terminated process.

    Attributes:
        server_id: Id of the server.
        started_ms: Unix time of the start, in milliseconds; None if unknown.
    """

    server_id: str
    started_ms: int | None = None


@functools.lru_cache(maxsize=_MAX_CACHED)
def shared_incarnation(server_id: str, started_ms: int | None) -> Incarnation:
    """Return the shared object of an incarnation.

    Every beacon names the same incarnations. A dictionary look-up is several times
    faster with the very object that is the key than with an equal one.
    """
    return Incarnation(server_id, started_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """A backend server, as described by its entry in the store.

    Attributes:
        server_id: Id of the server.
        service: Name of the service it belongs to.
        address: Address for requests.
        failure_domain: Failure domain it is in.
        draining: Whether it completes running requests and accepts no new ones.
        stage: Stage that an engine runs; None for other servers.
        slots: Number of requests that it runs at once.
        remaining_warm_up: Time for which it is still slow after its start.
        started_ms: Unix time of its start, in milliseconds; None if unknown.
        spot: Whether it is a spot server: cheaper, and may be reclaimed any time.
        version: Version of its software; empty if unknown. Versions have no order.
        check_in: Number of the check-in that wrote the entry, counted by the
            incarnation; None if unknown.
        created_revision: Revision of the store at the creation of the entry; 0 if
            unknown. An entry that was removed and written again has a new one.
        revision: Revision of the store at its last change; 0 if unknown.
        incarnation: The incarnation, by server id and start time.
    """

    server_id: str
    service: str
    address: settings.Address
    failure_domain: str
    draining: bool
    stage: Stage | None
    slots: int
    remaining_warm_up: datetime.timedelta = datetime.timedelta()
    started_ms: int | None = None
    spot: bool = False
    version: str = ""
    check_in: int | None = dataclasses.field(default=None, compare=False)
    created_revision: int = dataclasses.field(default=0, compare=False)
    revision: int = dataclasses.field(default=0, compare=False)
    incarnation: Incarnation = dataclasses.field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        incarnation = shared_incarnation(self.server_id, self.started_ms)
        object.__setattr__(self, "incarnation", incarnation)


class ServerTable:
    """The servers of one revision of the store; it never returns to an older one."""

    def __init__(self) -> None:
        self._servers: dict[str, Server] = {}
        self._by_service: dict[str, list[Server]] = {}

    def replace(self, servers: abc.Iterable[Server]) -> None:
        """Replace all servers by a full listing."""
        self._servers = {server.server_id: server for server in servers}
        self._index()

    def get(self, server_id: str) -> Server | None:
        """Return a listed server, or None."""
        return self._servers.get(server_id)

    def all(self) -> abc.Collection[Server]:
        """Return all listed servers, including draining ones."""
        return self._servers.values()

    def of_service(self, service: str) -> list[Server]:
        """Return the servers of a service that accept new requests."""
        return self._by_service.get(service, [])

    def _index(self) -> None:
        found: dict[str, list[Server]] = {}
        for server in self._servers.values():
            if not server.draining:
                found.setdefault(server.service, []).append(server)
        self._by_service = found
