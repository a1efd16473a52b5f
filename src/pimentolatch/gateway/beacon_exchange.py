"""Tells peers several times a second what this instance knows and has under way."""

import dataclasses
import datetime
import random
from collections import abc

import logbook

from pimentolatch import clock
from pimentolatch.decisions import demand_rate, neighbours
from pimentolatch.gateway import (
    cache_updates,
    datagrams,
    fleet_state,
    leadership,
    load_exchange,
    peer_table,
    quarantine,
)
from pimentolatch.gateway import settings as gateway_settings
from pimentolatch.protocol import beacons

__all__ = ["BeaconExchange"]

_log = logbook.Logger("peers")
# Counts of work are worth little after half a second; four beacons a second keep the
# mean age at an eighth of one.
_INTERVAL = datetime.timedelta(milliseconds=250)
# In a fleet where not everybody hears everybody an instance has fewer requests of its
# own: taking 50 beacons a second then cost it as much of a core as half its requests.
_INTERVAL_LARGE = datetime.timedelta(milliseconds=400)
# Whom to tell is worked out anew once a second; other failure domains are told by every
# second beacon, since bytes between them are dear.
_BEACONS_PER_SELECTION = 4
_NEAR_PER_FAR = 2
# Instances told of in each beacon, and in the first answer to one that was not heard
# before. Without that answer a fleet of 85 that starts at one moment knew itself after
# twelve seconds, and all of it watched the store until then.
_MEMBERS_PER_BEACON = 2
_MEMBERS_IN_REPLY = 30


class BeaconExchange(datagrams.DatagramSocket):
    """The socket by which instances tell each other their state.

    Args:
        chosen: Addresses of this instance and of some others.
        own_name: Name of this instance.
        own_domain: Failure domain of this instance.
        life: Differs for each start of this instance.
        fleet: What this instance knows; peers' work is added to its engines.
        table: Takes what is heard.
        updates: What engines keep, for peers.
        suspects: Requests under which servers have ended, for peers and from them.
        held: Who does the duties of one holder, for peers and from them.
        demands: Returns what clients ask through this instance.
        chance: Draws whom to tell in other failure domains.
    """

    def __init__(
        self,
        chosen: gateway_settings.PeerSettings,
        own_name: str,
        own_domain: str,
        incarnation: str,
        fleet: fleet_state.FleetState,
        table: peer_table.PeerTable,
        updates: cache_updates.CacheUpdates,
        suspects: quarantine.Quarantine,
        own_leadership: leadership.Leadership,
        demands: abc.Callable[[], abc.Mapping[str, demand_rate.ServiceDemand]],
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        super().__init__(chosen.address)
        self._rng = rng
        self._name = own_name
        self._place = neighbours.Place(chosen.host, own_domain)
        self._incarnation = incarnation
        self._fleet = fleet
        self._table = table
        self._updates = updates
        self._suspects = suspects
        self._leadership = own_leadership
        self._demands = demands
        self._clock = time
        self._seeds = {seed.host for seed in chosen.seeds} - {chosen.host}
        self._load_exchange = load_exchange.LoadExchange(fleet, own_domain, updates)
        self._neighbours = neighbours.Neighbours(())
        self._weights: dict[str, float] = {}
        self.stopping = False

    async def run(self) -> None:
        """Send beacons for ever."""
        while True:
            self._choose_receivers()
            for number in range(_BEACONS_PER_SELECTION):
                self._send_near()
                if number % _NEAR_PER_FAR == 0:
                    self._send_far()
                large = bool(self._neighbours.far)
                await self._clock.sleep(_INTERVAL_LARGE if large else _INTERVAL)

    def announce_stop(self) -> None:
        """Tell peers at once that this instance is about to end."""
        self.stopping = True
        self._send_near()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a beacon."""
        beacon = beacons.decode(data)
        if isinstance(beacon, beacons.Malformed):
            _log.warn("datagram dropped", sender=addr[0], reason=beacon.reason)
            return
        if beacon.instance == self._name:
            return
        if self._table.receive(addr[0], beacon):
            _log.info("peer heard", peer=beacon.instance, host=addr[0])
            self._send([addr[0]], self.beacon(_MEMBERS_IN_REPLY))
        weight = self._weights.get(beacon.failure_domain, 1.0)
        self._load_exchange.receive(beacon, weight, self._clock.monotonic())
        self._suspects.receive(beacon.suspicions)
        self._leadership.receive(beacon.holder)

    def _choose_receivers(self) -> None:
        """Choose whom to tell, and how much each one's word counts."""
        self._table.forget_old()
        places = self._table.places()
        known = {place.host for place in places}
        unheard = [neighbours.Place(host, "") for host in self._seeds - known]
        self._neighbours = neighbours.choose(self._place, [*places, *unheard])
        self._load_exchange.partial_mesh = bool(self._neighbours.far)
        self._suspects.partial_mesh = self._load_exchange.partial_mesh
        for loads in self._fleet.loads_by_service().values():
            loads.partly_heard = self._load_exchange.partial_mesh
        self._weights = self._table.weights()
        self._load_exchange.retain(
            {peer.beacon.instance for peer in self._table.live()}
        )

    def _send_near(self) -> None:
        beacon = self.beacon(
            cached=self._updates.take_near(), suspicions=self._suspects.take_near()
        )
        self._send(self._neighbours.near, beacon)

    def _send_far(self) -> None:
        """Tell one instance of each other domain what this one has under way."""
        hosts = [self._rng.choice(hosts) for hosts in self._neighbours.far]
        if not hosts:
            return
        beacon = self.beacon(
            cached=self._updates.take_far(), suspicions=self._suspects.take_far()
        )
        beacon = dataclasses.replace(beacon, loads=())
        for piece, totals in self._load_exchange.totals(self._clock.monotonic()):
            self._send(hosts, dataclasses.replace(beacon, totals=totals, piece=piece))

    def _send(self, hosts: abc.Iterable[str], beacon: beacons.Beacon) -> None:
        self.send(hosts, [beacons.encode(beacon)])

    def beacon(
        self,
        members: int = _MEMBERS_PER_BEACON,
        cached: tuple[beacons.CachedPart, ...] = (),
        suspicions: tuple[beacons.Suspicion, ...] = (),
    ) -> beacons.Beacon:
        """Return what this instance tells its peers now."""
        return beacons.Beacon(
            instance=self._name,
            failure_domain=self._place.failure_domain,
            life=self._incarnation,
            configuration=self._fleet.version,
            servers=self._fleet.servers_revision,
            stopping=self.stopping,
            readers=self._readers(),
            members=self._table.sample_members(members),
            loads=self._load_exchange.own(),
            cached=cached,
            changing=self._load_exchange.changing(self._clock.monotonic()),
            demands=tuple(
                beacons.Demand(
                    service,
                    int(demand.reading),
                    int(demand.writing),
                    int(1000 * self._fleet.loads(service).reading_rate),
                )
                for service, demand in self._demands().items()
            ),
            suspicions=suspicions,
            holder=self._leadership.announcement(),
        )

    def _readers(self) -> tuple[beacons.Reader, ...]:
        now = self._clock.monotonic()
        reported = [
            beacons.Reader(reader.name, _milliseconds(now - reader.heard))
            for reader in self._table.readers()
        ]
        if not self._fleet.store_unreachable and not self.stopping:
            reported.append(beacons.Reader(self._name, 0))
        return tuple(reported)


def _milliseconds(span: datetime.timedelta) -> int:
    return int(span / datetime.timedelta(milliseconds=1))
