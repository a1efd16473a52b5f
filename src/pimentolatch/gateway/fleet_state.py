"""What an instance knows: the configuration, the servers and the engines' work."""

import datetime
import typing
from collections import abc

from pimentolatch.decisions import engine_loads
from pimentolatch.routes import servers, table

__all__ = ["FleetState"]


class FleetState:
    """The newest configuration and servers that this instance has heard of.

    It never goes back: an older version or revision that arrives late, from the store
    or from a peer, is dropped.

    Attributes:
        configuration: None until one was read.
        configuration_spec: The same as the store holds it, for peers.
        servers_revision: Revision of the store up to which the servers are known.
        servers_listed: Whether the servers were ever read.
        reads_store: Whether this instance follows the store itself.
        store_lost: It does, and the store does not answer.
        servers_heard: When the servers were last known to be those of the store.
    """

    def __init__(self) -> None:
        self.configuration: table.Configuration | None = None
        self.configuration_spec: typing.Any = None
        self.servers = servers.ServerTable()
        self.servers_revision = 0
        self.servers_listed = False
        self.watches_store = False
        self.store_unreachable = False
        self.servers_confirmed_at = datetime.timedelta()
        self._loads: dict[str, engine_loads.EngineLoads] = {}
        self._engines: dict[servers.Incarnation, engine_loads.EngineLoad] = {}
        self._on_change: list[abc.Callable[[], None]] = []

    @property
    def version(self) -> int:
        """Version of the configuration; 0 without one."""
        return 0 if self.configuration is None else self.configuration.version

    @property
    def complete(self) -> bool:
        """Whether requests can be served."""
        return self.configuration is not None and self.servers_listed

    def on_change(self, call: abc.Callable[[], None]) -> None:
        """Have something called after each change of the servers."""
        self._on_change.append(call)

    def configure(self, configuration: table.Configuration, spec: typing.Any) -> bool:
        """Take a configuration if it is newer; tells whether it was."""
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        self.configuration_spec = spec
        return True

    def replace_servers(
        self,
        revision: int,
        listed: abc.Iterable[servers.Server],
    ) -> bool:
        """Take a whole listing if it is newer; tells whether it was taken."""
        if self.servers_listed and revision < self.servers_revision:
            return False
        self.servers.replace(listed)
        self.servers_revision = revision
        self.servers_listed = True
        self._update_loads()
        return True

    def update_servers(
        self,
        revision: int,
        changed: abc.Iterable[servers.Server],
        removed: abc.Iterable[str],
    ) -> None:
        """Take changes that follow on the known revision."""
        if revision <= self.servers_revision:
            return
        self.servers_revision = revision
        self._change(changed, removed)

    def remove_servers(self, removed: abc.Iterable[str]) -> None:
        """Drop servers that are gone."""
        self._change((), removed)

    def engine_traits(self, service: str) -> table.EngineTraits | None:
        """Return what the operator says of a service's engines."""
        if self.configuration is None or service not in self.configuration.services:
            return None
        return self.configuration.services[service].engine

    def loads(self, service: str) -> engine_loads.EngineLoads:
        """Return the engines of a model service."""
        return self._loads.setdefault(service, engine_loads.EngineLoads())

    def engine(
        self, incarnation: servers.Incarnation
    ) -> engine_loads.EngineLoad | None:
        """Return the work of a listed engine, whatever its service."""
        return self._engines.get(incarnation)

    def is_replaced(self, incarnation: servers.Incarnation) -> bool:
        """Tell whether another life of a server is listed in place of this one.

        One that is not listed at all may still serve what it has.
        """
        server = self.servers.get(incarnation.server_id)
        return server is not None and server.incarnation != incarnation

    def loads_by_service(self) -> abc.Mapping[str, engine_loads.EngineLoads]:
        """Return the engines of every model service."""
        return self._loads

    def _change(
        self, changed: abc.Iterable[servers.Server], removed: abc.Iterable[str]
    ) -> None:
        self.servers.change(changed, removed)
        self._update_loads()

    def _update_loads(self) -> None:
        # Services of before come too: their last engine may just have gone.
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
