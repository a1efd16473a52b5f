"""Tells peers which servers leave although the store lists them as ready.

An instance that has just started, or was cut off while a server reported that it
drains, has only the older entry. Without it, each instance would learn of a leaving
that the store no longer tells from the server's answers, after a request too many.
"""

import logbook

from pimentolatch.gateway import fleet_state
from pimentolatch.protocol import beacons
from pimentolatch.routes import servers

__all__ = ["DepartureExchange"]

_log = logbook.Logger("watch")
# Servers of a service that a beacon names.
_MAX_NAMED = 20


class DepartureExchange:
    """Exchanges by beacons what the store's list does not tell.

    Args:
        fleet: The listed servers.
    """

    def __init__(self, fleet: fleet_state.FleetState) -> None:
        self._fleet = fleet

    def reports(self) -> dict[str, tuple[servers.Incarnation, ...]]:
        """Return the servers to report, by service; mostly none."""
        found: dict[str, tuple[servers.Incarnation, ...]] = {}
        for server in self._fleet.overruled_servers():
            named = found.get(server.service, ())
            if len(named) < _MAX_NAMED:
                found[server.service] = (*named, server.incarnation)
        return found

    def receive(self, beacon: beacons.Beacon) -> None:
        """Apply what a peer reports."""
        for demand in beacon.demands:
            for server in demand.leaving:
                if self._fleet.mark_drained(server):
                    _log.info(
                        "server leaves, a peer tells",
                        server=server.server_id,
                        started_ms=server.started_ms,
                        peer=beacon.instance,
                    )
