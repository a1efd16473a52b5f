"""Local copy of the fleet's state: configuration, servers and load of the engines."""

import dataclasses
import datetime
import enum
import typing
from collections import abc

from pimentolatch.decisions import (
    engine_loads,
    peer_lag,
    server_speeds,
    store_readers,
    store_return,
)
from pimentolatch.gateway import listed_servers
from pimentolatch.routes import route_table, servers

__all__ = ["STORE", "FleetState", "ServerListStatus", "StoreAccess"]

# Source of what this instance has read from the store itself; peers go by their names.
STORE = "store"
_ANY_TARGET = b"/"
_MILLISECOND = datetime.timedelta(milliseconds=1)


class StoreAccess(enum.Enum):
    """How this instance gets at what the store holds."""

    READS = "reads"
    UNREACHABLE = "unreachable"
    THROUGH_PEERS = "through peers"


@dataclasses.dataclass(frozen=True, slots=True)
class ServerListStatus:
    """What a decision that uses the server list rests on, for the log.

    Attributes:
        revision: Store revision that the list reflects.
        source: Where it was read: `STORE`, or the name of a peer.
        age_ms: Time since it was last known to match the store.
        announced: Newest revision that peers announce; None if it is not newer.
        behind_ms: For how long peers have announced a newer one; None if they do not.
        store: How this instance gets at what the store holds.
    """

    revision: int
    source: str
    age_ms: int
    announced: int | None
    behind_ms: int | None
    store: StoreAccess


class FleetState:
    """The newest configuration and server list that this instance has received.

    Versions only increase: an older version or revision that arrives late, from the
    store or from a peer, is dropped.

    Args:
        is_leaving: Tells whether an incarnation has said in an answer that it leaves.
            It counts as draining then, whatever the store's list says: the list is
            late, and does not change at all while the store is away.
        is_avoided: Tells whether other instances found an incarnation silent.

    Attributes:
        configuration: None until a configuration has been received.
        configuration_spec: The configuration as the store holds it, sent to peers.
        servers: Table of the listed servers.
        servers_revision: Store revision that the server table reflects.
        servers_source: Where that was read: `STORE`, or the name of a peer.
        servers_listed: Whether a server list has ever been received.
        watches_store: Whether this instance watches the store itself.
        servers_unreachable: This instance watches the servers in the store, and its
            last call for them failed.
        configuration_unreachable: The same for the configuration.
        store_lost_at: Time at which calls of this instance began to fail.
        store_return: By when the store was back after its last outage.
        peer_offered_at: Time at which a peer that reads the store was last heard.
        servers_confirmed_at: Time at which the server table last matched the store, as
            far as is known: by an answer of the store to this instance, or to a peer
            whose servers are all known here.
        configuration_confirmed_at: The same for the configuration.
        servers_lag: Whether peers have newer servers, and since when.
        configuration_lag: The same for the configuration.
    """

    def __init__(
        self,
        is_leaving: abc.Callable[[servers.Incarnation], bool] = lambda server: False,
        is_avoided: abc.Callable[[servers.Incarnation], bool] = lambda server: False,
        speed_ratio: float | None = server_speeds.DEFAULT_RATIO,
    ) -> None:
        self._speed_ratio = speed_ratio
        self._is_leaving = is_leaving
        self._is_avoided = is_avoided
        self.configuration: route_table.Configuration | None = None
        self.configuration_spec: typing.Any = None
        self.servers = servers.ServerTable()
        self._listed = listed_servers.ListedServers()
        self._said_leaving: set[servers.Incarnation] = set()
        self.servers_revision = 0
        self.servers_source = ""
        self.servers_listed = False
        self.watches_store = False
        self.servers_unreachable = False
        self.configuration_unreachable = False
        self.store_lost_at = datetime.timedelta()
        self.store_return = store_return.StoreReturn()
        self.peer_offered_at = datetime.timedelta()
        self.servers_confirmed_at = datetime.timedelta()
        self.configuration_confirmed_at = datetime.timedelta()
        self.servers_lag = peer_lag.PeerLag()
        self.configuration_lag = peer_lag.PeerLag()
        self._kept_until: abc.Mapping[str, datetime.timedelta] = {}
        self._loads: dict[str, engine_loads.EngineLoads] = {}
        self._engines: dict[servers.Incarnation, engine_loads.EngineLoad] = {}
        self._on_change: list[abc.Callable[[], None]] = []

    @property
    def kept_until(self) -> abc.Mapping[str, datetime.timedelta]:
        """Until when servers are used whose entries are missing, by id."""
        return self._kept_until

    @kept_until.setter
    def kept_until(self, until: abc.Mapping[str, datetime.timedelta]) -> None:
        self._kept_until = until
        self._listed.kept = until

    @property
    def version(self) -> int:
        """Version of the configuration; 0 without one."""
        return 0 if self.configuration is None else self.configuration.version

    @property
    def configuration_behind(self) -> bool:
        """Whether peers have a newer configuration."""
        return self.configuration_lag.announced > self.version

    @property
    def store_unreachable(self) -> bool:
        """Whether this instance watches the store and a last call failed."""
        return self.servers_unreachable or self.configuration_unreachable

    @property
    def store_access(self) -> StoreAccess:
        """How this instance gets at what the store holds."""
        if not self.watches_store:
            return StoreAccess.THROUGH_PEERS
        if self.store_unreachable:
            return StoreAccess.UNREACHABLE
        return StoreAccess.READS

    @property
    def complete(self) -> bool:
        """Whether requests can be served."""
        return self.configuration is not None and self.servers_listed

    @property
    def unconfirmed_servers(self) -> list[servers.Server]:
        """Servers that are not used before they say that they are ready."""
        return self._listed.unconfirmed

    @property
    def presumed_servers(self) -> list[servers.Server]:
        """Servers that are used until they say that they are not ready."""
        return self._listed.presumed

    @property
    def doubted_servers(self) -> list[servers.Server]:
        """Servers that peers must ask too."""
        return self._listed.doubted

    def listed_servers(self) -> list[servers.Server]:
        """Return the servers to tell peers, with those that are not confirmed here."""
        if not self._said_leaving:
            return list(self._listed.all())
        return [self._as_said(server) for server in self._listed.all()]

    def provided_servers(self, service: str) -> list[servers.Server]:
        """Return the servers of a service that are listed and do not leave.

        Some may be unconfirmed. They get no requests, but are there and paid for: if
        they did not count, others would be ordered in their place.
        """
        return [
            server
            for server in self.listed_servers()
            if server.service == service and not server.draining
        ]

    def overruled_servers(self) -> list[servers.Server]:
        """Return the servers that leave although their entries say they are ready."""
        # Asked for each beacon, mostly while there are none.
        if not self._said_leaving:
            return self._listed.overruled
        said = (
            server
            for server in self._listed.all()
            if not server.draining and server.incarnation in self._said_leaving
        )
        return [*self._listed.overruled, *said]

    def server_list_status(self, now: datetime.timedelta) -> ServerListStatus:
        """Return what a decision that is taken now rests on."""
        age = now - self.servers_confirmed_at
        lag = self.servers_lag
        is_behind = lag.announced > self.servers_revision
        return ServerListStatus(
            self.servers_revision,
            self.servers_source,
            round(age / _MILLISECOND),
            lag.announced if is_behind else None,
            round(lag.duration(now) / _MILLISECOND) if is_behind else None,
            self.store_access,
        )

    def kept_ms(self, now: datetime.timedelta, *server_ids: str) -> int | None:
        """Return for how long servers are used yet whose entries are missing.

        Returns:
            The shortest time of these servers; None if the entries of all are listed.
        """
        kept = [self.kept_until[name] for name in server_ids if name in self.kept_until]
        return round((min(kept) - now) / _MILLISECOND) if kept else None

    def on_change(self, call: abc.Callable[[], None]) -> None:
        """Register a callback that runs after each change of the server table."""
        self._on_change.append(call)

    def configure(
        self, configuration: route_table.Configuration, spec: typing.Any
    ) -> bool:
        """Apply a configuration if it is newer; return whether it was applied."""
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        self.configuration_spec = spec
        return True

    def replace_servers(
        self,
        revision: int,
        listed: abc.Iterable[servers.Server],
        source: str = STORE,
        unreadable: abc.Container[str] = (),
        unconfirmed: abc.Collection[str] = (),
    ) -> bool:
        """Apply a full server list unless it is older; return whether it was used.

        Args:
            revision: Revision of the store that the list reflects.
            listed: The servers.
            source: Where it was read: `STORE`, or the name of a peer.
            unreadable: Names of entries that describe no server.
            unconfirmed: Ids of the servers that the peer has not confirmed.
        """
        if self.servers_listed and revision < self.servers_revision:
            return False
        self.servers_revision = revision
        self.servers_source = source
        self.servers_listed = True
        listed = list(listed)
        self._listed.replace(listed, unreadable, revision, source)
        self._said_leaving = set(self._leaving(listed))
        self._listed.doubt(
            server.incarnation
            for server in self._listed.all()
            if server.server_id in unconfirmed
        )
        self._update_table()
        return True

    def update_servers(
        self,
        revision: int,
        changed: abc.Iterable[servers.Server],
        removed: abc.Iterable[str],
        unreadable: abc.Collection[str] = (),
    ) -> bool:
        """Apply incremental changes unless they are older; return whether they were.

        Args:
            revision: Revision of the store that they lead to.
            changed: The servers whose entries have changed.
            removed: Names of the entries that were removed.
            unreadable: Names of the entries that describe no server any more.
        """
        if revision <= self.servers_revision:
            return False
        self.servers_revision = revision
        self.servers_source = STORE
        self._change(changed, [*removed, *unreadable], unreadable)
        return True

    def has_servers(self, revision: int) -> bool:
        """Tell whether the server table reflects at least this revision."""
        return self.servers_listed and self.servers_revision >= revision

    def follows_servers(self, now: datetime.timedelta) -> bool:
        """Tell whether a change of the servers in the store becomes known here at once.

        This instance reads them, or hears a peer that does.
        """
        reads = self._reads(self.servers_unreachable, self.servers_confirmed_at)
        return reads or self._hears_reader(now)

    def follows_configuration(self, now: datetime.timedelta) -> bool:
        """Tell whether a new configuration becomes known here at once.

        This instance reads it, or hears a peer that does, and none has a newer one.
        """
        if self.configuration_behind:
            return False
        reads = self._reads(
            self.configuration_unreachable, self.configuration_confirmed_at
        )
        return reads or self._hears_reader(now)

    def confirm_servers(self, at: datetime.timedelta) -> None:
        """Record that the server table matched the store at this time."""
        self.servers_confirmed_at = max(self.servers_confirmed_at, at)

    def confirm_configuration(self, at: datetime.timedelta) -> None:
        """Record that the configuration matched the store at this time."""
        self.configuration_confirmed_at = max(self.configuration_confirmed_at, at)

    def confirm_server(self, server: servers.Incarnation) -> None:
        """Use a server again that has said that it is ready."""
        self._listed.confirm(server)
        self._update_table()

    def deny_server(self, server: servers.Incarnation) -> None:
        """Apply that a server that is listed again has said that it is not ready."""
        self._listed.deny(server)
        self._update_table()

    def doubt_servers(self, doubted: abc.Iterable[servers.Incarnation]) -> bool:
        """Apply that a peer has not confirmed servers; return whether that counts."""
        counts = self._listed.doubt(doubted)
        if counts:
            self._update_table()
        return counts

    def mark_drained(self, server: servers.Incarnation) -> bool:
        """Apply a peer's word that a server drains; return whether that was new."""
        is_new = self._listed.mark_drained(server)
        if is_new:
            self._update_table()
        return is_new

    def mark_leaving(self, server: servers.Server) -> None:
        """Apply that a listed server has said that it leaves."""
        listed = self.servers.get(server.server_id)
        if listed is not None and listed.incarnation == server.incarnation:
            self._said_leaving.add(server.incarnation)
            self._update_table()

    def remove_servers(self, removed: abc.Iterable[str]) -> None:
        """Remove servers whose entries have expired."""
        self._change((), removed)

    def engine_traits(self, service: str) -> route_table.EngineTraits | None:
        """Return the configured properties of a service's engines, if any."""
        if self.configuration is None or service not in self.configuration.services:
            return None
        return self.configuration.services[service].engine

    def loads(self, service: str) -> engine_loads.EngineLoads:
        """Return the engine loads of a model service."""
        loads = self._loads.get(service)
        if loads is None:
            loads = engine_loads.EngineLoads(self._is_avoided, self._speed_ratio)
            self._loads[service] = loads
        return loads

    def engine_load(
        self, incarnation: servers.Incarnation
    ) -> engine_loads.EngineLoad | None:
        """Return the load of a listed engine of any service."""
        return self._engines.get(incarnation)

    def accepts(self, server: servers.Server) -> bool:
        """Tell whether a server is listed and accepts new requests."""
        listed = self.servers.get(server.server_id)
        return (
            listed is not None
            and listed.incarnation == server.incarnation
            and not listed.draining
        )

    def health_target(self, server: servers.Server) -> bytes:
        """Return the target of a server's health check.

        A service that is no longer configured has none; its servers answer all the
        same.
        """
        configuration = self.configuration
        services = {} if configuration is None else configuration.services
        service = services.get(server.service)
        return _ANY_TARGET if service is None else service.health_target

    def is_replaced(self, incarnation: servers.Incarnation) -> bool:
        """Tell whether a later incarnation of the same server is listed instead.

        False for a server that is not listed: it may still serve running requests. An
        incarnation that is known from its answers may be later than the listed one.
        """
        server = self.servers.get(incarnation.server_id)
        if server is None:
            return False
        if server.started_ms is None or incarnation.started_ms is None:
            return server.incarnation != incarnation
        return server.started_ms > incarnation.started_ms

    def loads_by_service(self) -> abc.Mapping[str, engine_loads.EngineLoads]:
        """Return the engine loads of every model service, by service name."""
        return self._loads

    def _reads(self, unreachable: bool, confirmed_at: datetime.timedelta) -> bool:
        """Tell whether this instance reads a kind of object itself."""
        if unreachable or not self.watches_store:
            return False
        # A call for one kind may still wait where one for the other has failed.
        return not self.store_unreachable or confirmed_at > self.store_lost_at

    def _hears_reader(self, now: datetime.timedelta) -> bool:
        return store_readers.is_heard(
            self.peer_offered_at, now, lost_at=self.store_lost_at
        )

    def _change(
        self,
        changed: abc.Iterable[servers.Server],
        removed: abc.Iterable[str],
        unreadable: abc.Container[str] = (),
    ) -> None:
        changed = list(changed)
        self._listed.update(
            changed, removed, unreadable, self.servers_revision, self.servers_source
        )
        self._said_leaving.update(self._leaving(changed))
        self._update_table()

    def _leaving(
        self, listed: abc.Iterable[servers.Server]
    ) -> abc.Iterator[servers.Incarnation]:
        """Yield those of some servers that have said in an answer that they leave."""
        for server in listed:
            if self._is_leaving(server.incarnation):
                yield server.incarnation

    def _update_table(self) -> None:
        if self._said_leaving:
            self._said_leaving &= {s.incarnation for s in self._listed.all()}
        listed = self.listed_servers()
        if withheld := self._listed.withheld():
            listed = [
                dataclasses.replace(server, draining=True)
                if server.incarnation in withheld
                else server
                for server in listed
            ]
        self.servers.replace(listed)
        self._update_loads()

    def _as_said(self, server: servers.Server) -> servers.Server:
        """Return a listed server with what it has said in its answers."""
        if server.draining or server.incarnation not in self._said_leaving:
            return server
        return dataclasses.replace(server, draining=True)

    def _update_loads(self) -> None:
        # Services that had engines before are updated too: the last engine of such a
        # service may just have been removed.
        engines: dict[str, list[servers.Server]] = {name: [] for name in self._loads}
        for server in self.servers.all():
            if server.stage is not None:
                engines.setdefault(server.service, []).append(server)
        for service, listed in engines.items():
            self.loads(service).update(listed)
        self._engines = {
            engine.server.incarnation: engine
            for loads in self._loads.values()
            for engine in loads.all()
        }
        for call in self._on_change:
            call()
