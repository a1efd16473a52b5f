"""Exchanges by beacons who reads the store, and how old what instances know is.

An instance that does not read the store would otherwise have to take a peer that offers
to read it for a proof that its own list is current: also while it can't fetch that
peer's list, or that peer's own watch has fallen silent.
"""

import datetime

from pimentolatch import clock
from pimentolatch.decisions import missing_servers
from pimentolatch.gateway import fleet_state
from pimentolatch.gateway.peers import peer_table
from pimentolatch.protocol import beacons

__all__ = ["ReaderExchange"]

_MILLISECOND = datetime.timedelta(milliseconds=1)


class ReaderExchange:
    """Offers to read the store, and confirms the own state by what peers have read.

    Args:
        own_name: Name of this instance.
        fleet: The local state.
        table: The readers that peers name.
        time: Clock of this instance.
    """

    def __init__(
        self,
        own_name: str,
        fleet: fleet_state.FleetState,
        table: peer_table.PeerTable,
        time: clock.Clock,
    ) -> None:
        self._name = own_name
        self._fleet = fleet
        self._table = table
        self._clock = time

    def rows(self, *, stopping: bool) -> tuple[beacons.Reader, ...]:
        """Return the known readers of the own failure domain.

        Args:
            stopping: Whether this instance is about to stop.
        """
        now = self._clock.monotonic()
        known = [
            beacons.Reader(reader.name, (now - reader.last_seen) // _MILLISECOND)
            for reader in self._table.readers()
        ]
        if self._fleet.store_unreachable or stopping:
            return tuple(known)
        return (*known, self._own_row(now))

    def receive(self, beacon: beacons.Beacon) -> None:
        """Confirm the own state as far as a peer has nothing newer.

        What a peer knows covers all changes until it last matched the store. If all of
        it is known here, so are these changes.
        """
        fleet, now = self._fleet, self._clock.monotonic()
        for reader in beacon.readers:
            if reader.instance != beacon.instance:
                continue
            fleet.peer_offered_at = now
            servers_age = reader.servers_age_ms
            # A peer that has just lost the store may not have noticed.
            if servers_age is not None and missing_servers.is_current(
                servers_age * _MILLISECOND
            ):
                fleet.store_return.record_answer(now)
            if servers_age is not None and fleet.has_servers(beacon.servers):
                fleet.confirm_servers(now - servers_age * _MILLISECOND)
            age = reader.configuration_age_ms
            if age is not None and fleet.version >= beacon.configuration > 0:
                fleet.confirm_configuration(now - age * _MILLISECOND)

    def _own_row(self, now: datetime.timedelta) -> beacons.Reader:
        fleet = self._fleet
        return beacons.Reader(
            self._name,
            0,
            beacons.passed_on_age_ms(now - fleet.servers_confirmed_at),
            beacons.passed_on_age_ms(now - fleet.configuration_confirmed_at),
        )
