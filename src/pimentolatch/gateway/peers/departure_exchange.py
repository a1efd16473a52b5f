"""Tells peers which servers are not to be used although the store lists them as ready.

An instance that has just started, or was cut off while a server left, has only the
older entry. Without this exchange it would learn of the leaving from the server's
answers, after a request too many.
"""

from collections import abc

import logbook

from pimentolatch.gateway import fleet_state
from pimentolatch.protocol import beacons
from pimentolatch.routes import servers

__all__ = ["DepartureExchange"]

_log = logbook.Logger("watch")
# Servers of a service that a beacon names.
_MAX_NAMED = 20

Reports = abc.Mapping[str, tuple[servers.Incarnation, ...]]


class DepartureExchange:
    """Exchanges by beacons what the store's list does not tell.

    Args:
        fleet: The listed servers.
    """

    def __init__(self, fleet: fleet_state.FleetState) -> None:
        self._fleet = fleet

    def leaving(self) -> Reports:
        """Return the servers that leave against the store's list; mostly none."""
        return _by_service(self._fleet.overruled_servers())

    def unconfirmed(self) -> Reports:
        """Return the servers that have not said that they are ready; mostly none."""
        return _by_service(self._fleet.doubted_servers)

    def receive(self, beacon: beacons.Beacon) -> None:
        """Apply what a peer reports."""
        for demand in beacon.demands:
            for server in demand.leaving:
                if self._fleet.mark_drained(server):
                    _log_told(server, beacon.instance, "leaves")
            for server in demand.unconfirmed:
                if self._fleet.doubt_servers([server]):
                    _log_told(server, beacon.instance, "unconfirmed")


def _by_service(found: abc.Iterable[servers.Server]) -> Reports:
    by_service: dict[str, tuple[servers.Incarnation, ...]] = {}
    for server in found:
        named = by_service.get(server.service, ())
        if len(named) < _MAX_NAMED:
            by_service[server.service] = (*named, server.incarnation)
    return by_service


def _log_told(server: servers.Incarnation, peer: str, what: str) -> None:
    _log.info(
        "a peer tells of a server",
        server=server.server_id,
        started_ms=server.started_ms,
        what=what,
        peer=peer,
    )
