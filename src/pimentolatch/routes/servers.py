"""The backend servers as the platform's store lists them."""

import dataclasses
import datetime
import enum
import functools
from collections import abc

from pimentolatch import settings

__all__ = ["Incarnation", "Server", "ServerTable", "Stage", "shared_incarnation"]

_MAX_CACHED = 8192


class Stage(enum.Enum):
    """What an engine does: read prompts for others, or write answers."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One life of a backend server.

    A server may start again under its id. It then knows nothing of what it was sent
    before, so whatever is remembered of a server is remembered of an incarnation: kept
    prompts, counts of work, failures, connections. Remembered by the id alone, parts
    of prompts would be expected where they are gone, and an order could rest on the
    count of a life that has ended.

    Attributes:
        started_ms: Unix time of its start in milliseconds; None if it does not say.
    """

    server_id: str
    started_ms: int | None = None


@functools.lru_cache(maxsize=_MAX_CACHED)
def shared_incarnation(server_id: str, started_ms: int | None) -> Incarnation:
    """Return the one object that stands for a life of a server.

    Every beacon names the same lives; to look up an object that is the key itself is
    several times faster than to compare two alike.
    """
    return Incarnation(server_id, started_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """A backend server as its entry describes it.

    Attributes:
        draining: It takes no new requests and ends what runs.
        stage: None for servers that are no engines.
        slots: Requests that it works on at once.
        remaining_warm_up: How much longer it is slow after its start.
        started_ms: Unix time of its start in milliseconds; None if it does not say.
        spot: It costs less and may be taken back.
        incarnation: Which life of the server this is.
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
    incarnation: Incarnation = dataclasses.field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        incarnation = shared_incarnation(self.server_id, self.started_ms)
        object.__setattr__(self, "incarnation", incarnation)


class ServerTable:
    """The servers of one revision of the store; entries never go back."""

    def __init__(self) -> None:
        self._servers: dict[str, Server] = {}
        self._by_service: dict[str, list[Server]] = {}

    def replace(self, servers: abc.Iterable[Server]) -> None:
        """Take a whole listing."""
        self._servers = {server.server_id: server for server in servers}
        self._index()

    def update(self, changed: abc.Iterable[Server], removed: abc.Iterable[str]) -> None:
        """Take the changes after the last revision."""
        for server in changed:
            self._servers[server.server_id] = server
        for name in removed:
            self._servers.pop(name, None)
        self._index()

    def get(self, server_id: str) -> Server | None:
        """Return a server that is still listed."""
        return self._servers.get(server_id)

    def all(self) -> abc.Collection[Server]:
        """Return every listed server."""
        return self._servers.values()

    def of_service(self, service: str) -> list[Server]:
        """Return the servers of a service that take new requests."""
        return self._by_service.get(service, [])

    def _index(self) -> None:
        found: dict[str, list[Server]] = {}
        for server in self._servers.values():
            if not server.draining:
                found.setdefault(server.service, []).append(server)
        self._by_service = found
