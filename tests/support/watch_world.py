"""Instances in virtual time that learn the servers from a store and from each other."""

import asyncio
import dataclasses
import datetime
import itertools
import random

from pimentolatch import clock
from pimentolatch.decisions import neighbours
from pimentolatch.gateway import (
    expired_entries,
    fleet_state,
    pause_monitor,
    readiness_checks,
    settings,
    store_watch,
)
from pimentolatch.gateway.peers import (
    departure_exchange,
    peer_snapshots,
    peer_table,
    reader_exchange,
)
from pimentolatch.protocol import beacon_codec, beacons
from standins import memory_store, object_table
from tests.support import route_world

__all__ = ["Instance", "WatchWorld", "entry"]

DOMAIN = "here"
PEERS_PORT = 8082
STEP_S = 0.05
BEACON_INTERVAL_STEPS = 5
# Rounds of the event loop in one step of the clock; a call to the store takes a few.
ROUNDS = 40


def entry(name):
    """Return the entry of a plain server."""
    return {
        "service": "app",
        "address": "127.0.0.1:80",
        "zone": DOMAIN,
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "name": name,
    }


@dataclasses.dataclass(frozen=True)
class Instance:
    """What an instance consists of as far as it learns the list of servers."""

    name: str
    host: str
    fleet: fleet_state.FleetState
    expired: expired_entries.ExpiredServers
    watch: store_watch.ServerWatch
    pauses: pause_monitor.PauseMonitor
    peers: peer_table.PeerTable
    fetcher: peer_snapshots.SnapshotFetcher
    endpoint: peer_snapshots.SnapshotEndpoint
    returned: readiness_checks.ReadinessChecks
    departures: departure_exchange.DepartureExchange
    readers: reader_exchange.ReaderExchange

    def used(self):
        """Return the ids of the servers that requests may be sent to."""
        return {server.server_id for server in self.fleet.servers.of_service("app")}


class WatchWorld:
    """A store, servers that write their entries to it, and instances.

    Args:
        runner: Runs the instances.
        servers: Ids of the servers.
        instances: Number of instances; all of them read the store.

    Attributes:
        apart: Names of instances that no peer reaches.
        held: Names of instances whose watches get their answers later.
        answers: What servers answer when they are asked whether they are ready, by
            id; by default that they are.
        asked: Ids of the servers that were asked whether they are ready.
        said_leaving: Name of an instance, and a server's incarnation that has said in
            an answer to it that it leaves.
        rejects_configuration: Whether the store rejects reads of the configuration.
        tells_age: False if instances do not tell how old what they know is.
    """

    def __init__(self, runner, servers, instances):
        self.runner = runner
        self.clock = clock.ManualClock()
        self.faults = memory_store.StoreFaults()
        self.table = object_table.ObjectTable()
        self.apart = set()
        self.held = set()
        self.answers = {}
        self.asked = []
        self.said_leaving = set()
        self.tells_age = True
        self.rejects_configuration = False
        self._steps = 0
        self._tasks = []
        self._check_ins = itertools.count(1)
        for name in servers:
            self.write(name)
        built = [self._instance(f"i{n}", f"10.0.0.{n}") for n in range(instances)]
        self.instances = {instance.name: instance for instance in built}
        self.runner.run(self._start(built))
        self.advance(1)
        # Instances ask what they find listed when they start.
        self.asked.clear()

    def _instance(self, name, host):
        fleet = fleet_state.FleetState(
            lambda server: (name, server) in self.said_leaving
        )
        store_watch.apply_configuration(
            fleet, route_world.configuration(1, route_world.ROUTES)
        )
        fleet.watches_store = True
        expired = expired_entries.ExpiredServers(fleet, self.clock)
        link = memory_store.MemoryStore(
            self.table, time=self.clock, link=name, faults=self.faults
        )
        self._hold_answers(link, name)
        bounds = settings.BoundSettings()
        pauses = pause_monitor.PauseMonitor(
            bounds.pause_limit, lambda: self._catch_up(name), self.clock
        )
        place = neighbours.Place(host, DOMAIN)
        peers = peer_table.PeerTable(name, place, self.clock, random.Random(name))
        return Instance(
            name,
            host,
            fleet,
            expired,
            store_watch.ServerWatch(
                link,
                fleet,
                expired,
                self.clock,
                bounds.server_watch,
                pauses.stood_still_since,
                random.Random(name),
            ),
            pauses,
            peers,
            peer_snapshots.SnapshotFetcher(
                fleet, peers, expired, PEERS_PORT, self.clock, self._fetch
            ),
            peer_snapshots.SnapshotEndpoint(fleet, expired, self.clock),
            readiness_checks.ReadinessChecks(
                fleet,
                self._ask,
                lambda: 1,
                peers.is_first_for,
                self.clock,
                random.Random(name),
            ),
            departure_exchange.DepartureExchange(fleet),
            reader_exchange.ReaderExchange(name, fleet, peers, self.clock),
        )

    async def _catch_up(self, name):
        await self.instances[name].watch.catch_up()

    async def _ask(self, server):
        """Return what a server says of itself."""
        self.asked.append(server.server_id)
        return self.answers.get(server.server_id, readiness_checks.Answer.READY)

    def _hold_answers(self, link, name):
        answer = link.watch

        async def watch(*args, **kwargs):
            outcome = await answer(*args, **kwargs)
            while name in self.held:
                await self.clock.sleep(datetime.timedelta(seconds=STEP_S))
            return outcome

        link.watch = watch

    def add_instance(self, name, host):
        """Start one more instance."""
        instance = self._instance(name, host)
        self.instances[name] = instance
        self.runner.run(self._start([instance]))

    async def _start(self, instances):
        for instance in instances:
            for work in (
                instance.watch.run,
                instance.pauses.run,
                instance.expired.run,
                instance.fetcher.run,
                instance.returned.run,
                instance.returned.run_first_list,
            ):
                self._tasks.append(asyncio.create_task(work()))

    async def _fetch(self, address, path, progress):
        by_host = {instance.host: instance for instance in self.instances.values()}
        endpoint = by_host[address.host].endpoint
        path, _, query = path.partition("?")
        sent = []

        async def send(message):
            sent.append(message)

        scope = {"type": "http", "path": path, "query_string": query.encode()}
        await endpoint(scope, None, send)
        start, body = sent
        fields = tuple(start["headers"]) if self.tells_age else ()
        return peer_snapshots.Response(fields, body["body"])

    def advance(self, seconds):
        """Let time pass; instances hear each other meanwhile."""
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def step(self):
        """Let one step of time pass."""
        self.clock.advance(datetime.timedelta(seconds=STEP_S))
        self._steps += 1
        for instance in self.instances.values():
            instance.fleet.servers_unreachable = instance.watch.unreachable
            instance.fleet.configuration_unreachable = self.rejects_configuration
        if self._steps % BEACON_INTERVAL_STEPS == 0:
            self._exchange_beacons()
        self.runner.run(self._rounds())

    def stand_still(self, seconds):
        """Let time pass in which no instance runs, and then let them go on."""
        self.clock.advance(datetime.timedelta(seconds=seconds))
        self.runner.run(self._rounds())

    async def _rounds(self):
        for _ in range(ROUNDS):
            await asyncio.sleep(0)

    def _exchange_beacons(self):
        hearing = [i for i in self.instances.values() if i.name not in self.apart]
        for sender in hearing:
            beacon = beacons.Beacon(
                sender.name,
                DOMAIN,
                "1",
                1,
                sender.fleet.servers_revision,
                stopping=False,
                readers=sender.readers.rows(stopping=False) if self.tells_age else (),
                members=(),
                demands=(
                    beacons.Demand(
                        "app",
                        0,
                        0,
                        0,
                        leaving=sender.departures.leaving().get("app", ()),
                        unconfirmed=sender.departures.unconfirmed().get("app", ()),
                    ),
                ),
            )
            beacon = beacon_codec.decode(beacon_codec.encode(beacon))
            for receiver in hearing:
                if receiver is not sender:
                    receiver.peers.receive(sender.host, beacon)
                    receiver.departures.receive(beacon)
                    receiver.readers.receive(beacon)

    def write(self, name, **fields):
        """Write a server's entry, by default with the number of its next check-in."""
        current = self.table.get("servers", name)
        version = 0 if current is None else current.version
        value = entry(name) | {"sequence": next(self._check_ins)} | fields
        self.runner.run(self.table.put("servers", name, value, version))

    def remove(self, *names):
        """Remove servers' entries."""
        for name in names:
            version = self.table.get("servers", name).version
            self.runner.run(self.table.delete("servers", name, version))

    def users(self, name):
        """Return the instances that use a server."""
        return {i.name for i in self.instances.values() if name in i.used()}

    async def stop(self):
        """Stop all instances."""
        for task in self._tasks:
            task.cancel()
