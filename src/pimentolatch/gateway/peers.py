"""Tells peers several times a second what this instance knows and has under way."""

import dataclasses
import datetime
import random
from collections import abc

import logbook

from pimentolatch import clock
from pimentolatch.decisions import (
    demand_rate,
    neighbours,
)
from pimentolatch.gateway import (
    cache_updates,
    datagrams,
    knowledge,
    peer_table,
    peer_work,
    quarantine,
    tenure,
)
from pimentolatch.gateway import (
    settings as gateway_settings,
)
from pimentolatch.protocol import beacons

__all__ = ["Peers"]

_log = logbook.Logger("peers")
# Counts of work are worth little after half a second; four beacons a second keep the
# mean age at an eighth of one.
_INTERVAL = datetime.timedelta(milliseconds=250)
# In a fleet where not everybody hears everybody an instance has fewer requests of its
# own: taking 50 beacons a second then cost it as much of a core as half its requests.
_INTERVAL_LARGE = datetime.timedelta(milliseconds=400)
# Whom to tell is worked out anew once a second; other failure domains are told by every
# second beacon, since bytes between them are dear.
_BEACONS_TO_SAME = 4
_NEAR_FOR_ONE_FAR = 2
# Instances told of in each beacon, and in the first answer to one that was not heard
# before. Without that answer a fleet of 85 that starts at one moment knew itself after
# twelve seconds, and all of it watched the store until then.
_MEMBERS_TOLD = 2
_MEMBERS_TOLD_FIRST = 30


class Peers(datagrams.DatagramSocket):
    """The socket by which instances tell each other their state.

    Args:
        chosen: Addresses of this instance and of some others.
        own_name: Name of this instance.
        own_domain: Failure domain of this instance.
        life: Differs for each start of this instance.
        known: What this instance knows; peers' work is added to its engines.
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
        life: str,
        known: knowledge.Knowledge,
        table: peer_table.PeerTable,
        updates: cache_updates.CacheUpdates,
        suspects: quarantine.Quarantine,
        held: tenure.Tenure,
        demands: abc.Callable[[], abc.Mapping[str, demand_rate.ServiceDemand]],
        time: clock.Clock,
        chance: random.Random,
    ) -> None:
        super().__init__(chosen.address)
        self._chance = chance
        self._name = own_name
        self._place = neighbours.Place(chosen.host, own_domain)
        self._life = life
        self._known = known
        self._table = table
        self._updates = updates
        self._suspects = suspects
        self._tenure = held
        self._demands = demands
        self._clock = time
        self._seeds = {seed.host for seed in chosen.seeds} - {chosen.host}
        self._work = peer_work.PeerWork(known, own_domain, updates)
        self._neighbours = neighbours.Neighbours(())
        self._weights: dict[str, float] = {}
        self.stopping = False

    async def run(self) -> None:
        """Send beacons for ever."""
        while True:
            self._choose()
            for number in range(_BEACONS_TO_SAME):
                self._tell()
                if number % _NEAR_FOR_ONE_FAR == 0:
                    self._tell_far()
                large = bool(self._neighbours.far)
                await self._clock.sleep(_INTERVAL_LARGE if large else _INTERVAL)

    def announce_stop(self) -> None:
        """Tell peers at once that this instance is about to end."""
        self.stopping = True
        self._tell()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a beacon."""
        beacon = beacons.decode(data)
        if isinstance(beacon, beacons.Malformed):
            _log.warn("datagram dropped", sender=addr[0], reason=beacon.reason)
            return
        if beacon.instance == self._name:
            return
        if self._table.heard(addr[0], beacon):
            _log.info("peer heard", peer=beacon.instance, host=addr[0])
            self._send([addr[0]], self.beacon(_MEMBERS_TOLD_FIRST))
        weight = self._weights.get(beacon.failure_domain, 1.0)
        self._work.take(beacon, weight, self._clock.monotonic())
        self._suspects.take(beacon.suspicions)
        self._tenure.hear(beacon.holder)

    def _choose(self) -> None:
        """Choose whom to tell, and how much each one's word counts."""
        self._table.forget_old()
        places = self._table.places()
        known = {place.host for place in places}
        unheard = [neighbours.Place(host, "") for host in self._seeds - known]
        self._neighbours = neighbours.choose(self._place, [*places, *unheard])
        self._work.partly_heard = bool(self._neighbours.far)
        self._suspects.partly_heard = self._work.partly_heard
        for loads in self._known.all_loads().values():
            loads.partial_view = self._work.partly_heard
        self._weights = self._table.weights()
        self._work.retain({peer.beacon.instance for peer in self._table.live()})

    def _tell(self) -> None:
        beacon = self.beacon(
            cached=self._updates.take_near(), suspicions=self._suspects.take_near()
        )
        self._send(self._neighbours.near, beacon)

    def _tell_far(self) -> None:
        """Tell one instance of each other domain what this one has under way."""
        hosts = [self._chance.choice(hosts) for hosts in self._neighbours.far]
        if not hosts:
            return
        beacon = self.beacon(
            cached=self._updates.take_far(), suspicions=self._suspects.take_far()
        )
        beacon = dataclasses.replace(beacon, loads=())
        for piece, totals in self._work.totals(self._clock.monotonic()):
            self._send(hosts, dataclasses.replace(beacon, totals=totals, piece=piece))

    def _send(self, hosts: abc.Iterable[str], beacon: beacons.Beacon) -> None:
        self.send(hosts, [beacons.encode(beacon)])

    def beacon(
        self,
        members: int = _MEMBERS_TOLD,
        cached: tuple[beacons.CachedPart, ...] = (),
        suspicions: tuple[beacons.Suspicion, ...] = (),
    ) -> beacons.Beacon:
        """Return what this instance tells its peers now."""
        return beacons.Beacon(
            instance=self._name,
            failure_domain=self._place.failure_domain,
            life=self._life,
            configuration=self._known.version,
            servers=self._known.servers_revision,
            stopping=self.stopping,
            readers=self._readers(),
            members=self._table.some_members(members),
            loads=self._work.own(),
            cached=cached,
            changing=self._work.changing(self._clock.monotonic()),
            demands=tuple(
                beacons.Demand(
                    service,
                    int(demand.prefill),
                    int(demand.decode),
                    int(1000 * self._known.loads(service).prefill_rate),
                )
                for service, demand in self._demands().items()
            ),
            suspicions=suspicions,
            holder=self._tenure.announcement(),
        )

    def _readers(self) -> tuple[beacons.Reader, ...]:
        now = self._clock.monotonic()
        told = [
            beacons.Reader(reader.name, _milliseconds(now - reader.last_seen))
            for reader in self._table.readers()
        ]
        if not self._known.store_lost and not self.stopping:
            told.append(beacons.Reader(self._name, 0))
        return tuple(told)


def _milliseconds(span: datetime.timedelta) -> int:
    return int(span / datetime.timedelta(milliseconds=1))
