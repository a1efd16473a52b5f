"""Sends beacons with this instance's state and load to peers several times a second."""

import dataclasses
import datetime
import random
from collections import abc

import logbook

from pimentolatch import clock
from pimentolatch.decisions import demand_rate, neighbours
from pimentolatch.gateway import fleet_state, flow_control, quarantine, speed_log
from pimentolatch.gateway import settings as gateway_settings
from pimentolatch.gateway.leader import leadership
from pimentolatch.gateway.peers import (
    cache_updates,
    datagrams,
    departure_exchange,
    load_exchange,
    peer_table,
    reader_exchange,
    silence_exchange,
    speed_exchange,
)
from pimentolatch.protocol import beacon_codec, beacons

__all__ = ["BeaconExchange"]

_log = logbook.Logger("peers")
# Load counts older than 500 ms are of little use; at four beacons per second their
# mean age is 125 ms.
_INTERVAL = datetime.timedelta(milliseconds=250)
# In a fleet so large that not every instance receives every other's beacons, each one
# serves fewer requests: at the shorter interval, processing 50 beacons per second took
# as much CPU as half of its requests.
_INTERVAL_LARGE = datetime.timedelta(milliseconds=400)
# The receivers are selected anew once per this many beacons, about once a second. Only
# every second beacon goes to other failure domains, since traffic between failure
# domains is expensive.
_BEACONS_PER_SELECTION = 4
_NEAR_PER_FAR = 2
# Members listed in each beacon, and in the reply to the first beacon from an instance.
# Without that reply a fleet of 85 instances that started at the same time needed 12 s
# to discover all members, and every instance watched the store until then.
_MEMBERS_PER_BEACON = 2
_MEMBERS_IN_REPLY = 30
_NO_REPORTS = quarantine.CrashReports()


class BeaconExchange(datagrams.DatagramSocket):
    """Socket over which instances exchange beacons with their state.

    Args:
        chosen: Addresses of this instance and of the seeds.
        own_name: Name of this instance.
        own_domain: Failure domain of this instance.
        incarnation: Differs for each start of this instance.
        fleet: Local fleet state; peers' load is added to its engines.
        table: Records the received beacons.
        updates: Prefix-cache updates to send to peers and received from them.
        suspects: Crash evidence to send to peers and received from them.
        own_leadership: Leadership claims to send to peers and received from them.
        flow: Limits of servers to send to peers and received from them.
        cut_off_services: Returns the services that this instance has no path to.
        demands: Returns the demand of clients at this instance, by service.
        silence: Servers found silent, to send to peers and received from them.
        departures: Servers that leave against the store's list, likewise.
        time: Clock of this instance.
        rng: Picks the receivers in other failure domains.

    Attributes:
        stopping: Whether beacons announce that this instance is about to stop.
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
        flow: flow_control.FlowControl,
        cut_off_services: abc.Callable[[], abc.Set[str]],
        demands: abc.Callable[[], abc.Mapping[str, demand_rate.ServiceDemand]],
        silence: silence_exchange.SilenceExchange,
        departures: departure_exchange.DepartureExchange,
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
        self._flow = flow
        self._cut_off_services = cut_off_services
        self._demands = demands
        self._silence = silence
        self._departures = departures
        self._readers = reader_exchange.ReaderExchange(own_name, fleet, table, time)
        self._clock = time
        self._seeds = {seed.host for seed in chosen.seeds} - {chosen.host}
        self._load_exchange = load_exchange.LoadExchange(fleet, own_domain, updates)
        self._speed_exchange = speed_exchange.SpeedExchange(fleet, own_domain)
        self._speed_log = speed_log.SpeedLog(fleet)
        self._neighbours = neighbours.Neighbours(())
        self._weights: dict[str, float] = {}
        self.stopping = False

    async def run(self) -> None:
        """Send beacons periodically; runs until cancelled."""
        while True:
            self._choose_receivers()
            for number in range(_BEACONS_PER_SELECTION):
                self._send_near()
                if number % _NEAR_PER_FAR == 0:
                    self._send_far()
                large = bool(self._neighbours.far)
                await self._clock.sleep(_INTERVAL_LARGE if large else _INTERVAL)

    def announce_stop(self) -> None:
        """Notify peers immediately that this instance is about to stop."""
        self.stopping = True
        self._send_near()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a beacon."""
        beacon = beacon_codec.decode(data)
        if isinstance(beacon, beacon_codec.Malformed):
            _log.warn("malformed beacon dropped", sender=addr[0], reason=beacon.reason)
            return
        if beacon.instance == self._name:
            return
        if self._table.receive(addr[0], beacon):
            _log.info("peer heard", peer=beacon.instance, host=addr[0])
            self._send([addr[0]], self.beacon(_MEMBERS_IN_REPLY))
        weight = self._weights.get(beacon.failure_domain, 1.0)
        now = self._clock.monotonic()
        self._load_exchange.receive(beacon, weight, now)
        self._speed_exchange.receive(
            beacon, now, partial_view=self._load_exchange.partial_view
        )
        self._suspects.receive(
            quarantine.CrashReports(beacon.crash_reports, beacon.part_reports)
        )
        self._silence.receive(beacon)
        self._departures.receive(beacon)
        self._readers.receive(beacon)
        self._leadership.receive(beacon.leader)
        self._flow.receive(beacon.server_limits, self._fleet.servers)

    def _choose_receivers(self) -> None:
        """Select the receivers of beacons and the weight of each peer's load."""
        self._table.forget_old()
        places = self._table.places()
        known_hosts = {place.host for place in places}
        seeds = [neighbours.Place(host, "") for host in self._seeds - known_hosts]
        self._neighbours = neighbours.choose(self._place, [*places, *seeds])
        self._load_exchange.partial_view = bool(self._neighbours.far)
        self._suspects.set_partial_view(self._load_exchange.partial_view)
        for loads in self._fleet.loads_by_service().values():
            loads.partial_view = self._load_exchange.partial_view
        self._speed_log.write(self._clock.monotonic())
        self._weights = self._table.weights()
        self._load_exchange.retain(
            {peer.beacon.instance for peer in self._table.live()}
        )

    def _send_near(self) -> None:
        beacon = self.beacon(
            cached=self._updates.take_near(), reports=self._suspects.take_near()
        )
        beacon = self._with_speeds(beacon, of_domain=False)
        self._send(self._neighbours.near, beacon)

    def _send_far(self) -> None:
        """Send this domain's total load to one instance in each other domain."""
        hosts = [self._rng.choice(hosts) for hosts in self._neighbours.far]
        if not hosts:
            return
        beacon = self.beacon(
            cached=self._updates.take_far(), reports=self._suspects.take_far()
        )
        beacon = dataclasses.replace(beacon, loads=())
        for chunk, totals in self._load_exchange.totals(self._clock.monotonic()):
            message = dataclasses.replace(beacon, totals=totals, chunk=chunk)
            if not chunk.number:
                message = self._with_speeds(message, of_domain=True)
            self._send(hosts, message)

    def _with_speeds(
        self, beacon: beacons.Beacon, *, of_domain: bool
    ) -> beacons.Beacon:
        """Return a beacon with the speeds of some engines, if they differ.

        Args:
            beacon: The beacon.
            of_domain: Whether it reports for all instances of this domain.
        """
        now = self._clock.monotonic()
        named = {load.engine for load in (*beacon.loads, *beacon.totals)}
        demands = tuple(
            dataclasses.replace(
                demand,
                speeds=self._speed_exchange.rows(
                    demand.service, named, now, of_domain=of_domain
                ),
            )
            for demand in beacon.demands
        )
        return dataclasses.replace(beacon, demands=demands)

    def _send(self, hosts: abc.Iterable[str], beacon: beacons.Beacon) -> None:
        self.send(hosts, [beacon_codec.encode(beacon)])

    def beacon(
        self,
        members: int = _MEMBERS_PER_BEACON,
        cached: tuple[beacons.CachedPrefix, ...] = (),
        reports: quarantine.CrashReports = _NO_REPORTS,
    ) -> beacons.Beacon:
        """Return the beacon to send now.

        Args:
            members: Maximum number of members to list.
            cached: Prefix-cache updates to include.
            reports: Crash evidence to include.
        """
        return beacons.Beacon(
            instance=self._name,
            failure_domain=self._place.failure_domain,
            incarnation=self._incarnation,
            configuration=self._fleet.version,
            servers=self._fleet.servers_revision,
            stopping=self.stopping,
            readers=self._readers.rows(stopping=self.stopping),
            members=self._table.sample_members(members),
            loads=self._load_exchange.own(),
            cached=cached,
            stage_changes=self._load_exchange.changing(self._clock.monotonic()),
            demands=self._demand_rows(),
            crash_reports=reports.requests,
            part_reports=reports.parts,
            leader=self._leadership.announcement(),
            server_limits=self._flow.reports(),
            cut_off_services=tuple(sorted(self._cut_off_services())),
        )

    def _demand_rows(self) -> tuple[beacons.Demand, ...]:
        demands = self._demands()
        silent = self._silence.reports()
        leaving = self._departures.leaving()
        unconfirmed = self._departures.unconfirmed()
        unknown = demand_rate.ServiceDemand(0.0, 0.0)
        rows = []
        for service in dict.fromkeys([*demands, *silent, *leaving, *unconfirmed]):
            demand = demands.get(service, unknown)
            rate = self._fleet.loads(service).prefill_rate if service in demands else 0
            rows.append(
                beacons.Demand(
                    service,
                    int(demand.prefill),
                    int(demand.decode),
                    int(1000 * rate),
                    silent=silent.get(service, ()),
                    leaving=leaving.get(service, ()),
                    unconfirmed=unconfirmed.get(service, ()),
                )
            )
        return tuple(rows)
