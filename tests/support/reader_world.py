"""Instances in virtual time; a few read the store, and the others learn from them.

Beacons and fetches between two instances are cut separately, and each way by itself.
"""

import asyncio
import collections
import dataclasses
import datetime
import random

from pimentolatch.backend import channel
from pimentolatch.decisions import neighbours
from pimentolatch.gateway import (
    expired_entries,
    fleet_state,
    settings,
    store_watch,
    watch_controller,
)
from pimentolatch.gateway.peers import peer_snapshots, peer_table, reader_exchange
from pimentolatch.platform import configuration
from pimentolatch.protocol import beacon_codec, beacons
from standins import memory_store, object_table
from tests.support import route_world, virtual_time, watch_world

__all__ = ["ReaderWorld"]

PEERS_PORT = 8082
BEACON_INTERVAL_S = 0.25
FETCH_TIMEOUT_S = 1.0
# Parts of a response; lists of servers are smaller than configurations here.
PARTS = 30
CONFIGURATION_BYTES = 900
POLL_S = 0.01
OBSERVED_INTERVAL_S = 0.05


@dataclasses.dataclass
class Instance:
    """What an instance consists of as far as it learns from the store and peers."""

    name: str
    domain: str
    host: str
    fleet: fleet_state.FleetState
    table: peer_table.PeerTable
    readers: reader_exchange.ReaderExchange
    endpoint: peer_snapshots.SnapshotEndpoint
    fetcher: peer_snapshots.SnapshotFetcher
    controller: watch_controller.WatchController
    store: memory_store.MemoryStore

    def uses(self, server):
        """Tell whether requests may be sent to a server."""
        names = {s.server_id for s in self.fleet.servers.of_service("app")}
        return server in names


class ReaderWorld:
    """Failure domains of instances that share one store.

    Args:
        runner: Runs the instances, in virtual time.
        domains: Number of instances in each failure domain.

    Attributes:
        lost_beacons: Pairs of sender and receiver whose beacons are lost.
        failed_fetches: Pairs of instance and peer from which it can't fetch.
        malformed: Instances whose snapshots can't be decoded.
        fetched: Pairs of instance and peer of all fetches that were answered.
        calls: Calls to the store, as pairs of an instance and a name.
        transfer_s: How long the link of an instance, if not shared, takes for a
            configuration; no time for others.
        fail_listings: Whether the store is away from the next listing on.
        longest_behind: For how long each instance was behind its peers at most.
    """

    def __init__(self, runner, domains):
        self.runner = runner
        self.clock = virtual_time.LoopClock()
        self.faults = memory_store.StoreFaults()
        self.table = object_table.ObjectTable()
        self.lost_beacons = set()
        self.failed_fetches = set()
        self.malformed = set()
        self.fetched = []
        self.transfer_s = {}
        self._links = collections.defaultdict(asyncio.Lock)
        self.calls = []
        self.fail_listings = False
        self.longest_behind = collections.defaultdict(datetime.timedelta)
        self._tasks = []
        self.instances = {}
        runner.run(self._start(domains))

    def _instance(self, name, domain, host):
        fleet, time = fleet_state.FleetState(), self.clock

        async def count_call(point):
            if not point.endswith("done"):
                self.calls.append((name, point))
            if self.fail_listings and point.startswith("list"):
                self.faults.outage = True

        link = memory_store.MemoryStore(
            self.table, time=time, link=name, faults=self.faults, pause=count_call
        )
        place = neighbours.Place(host, domain)
        table = peer_table.PeerTable(name, place, time, random.Random(name))
        expired = expired_entries.ExpiredServers(fleet, time)
        bounds = settings.BoundSettings()
        watches = (
            store_watch.ConfigurationWatch(
                link, fleet, time, bounds.configuration_watch
            ),
            store_watch.ServerWatch(link, fleet, expired, time, bounds.server_watch),
        )

        async def fetch(address, path, progress):
            response = await self._fetch(name, address.host, path)
            await self._transfer(name, address.host, response, progress)
            return response

        return Instance(
            name,
            domain,
            host,
            fleet,
            table,
            reader_exchange.ReaderExchange(name, fleet, table, time),
            peer_snapshots.SnapshotEndpoint(fleet, expired, time),
            peer_snapshots.SnapshotFetcher(
                fleet, table, expired, PEERS_PORT, time, fetch
            ),
            watch_controller.WatchController(name, fleet, table, watches, time),
            link,
        )

    async def _start(self, domains):
        for domain, count in domains.items():
            for number in range(count):
                name = f"{domain}-{number}"
                host = f"10.0.0.{len(self.instances) + 1}"
                self.instances[name] = self._instance(name, domain, host)
        await self.configure(1)
        for number in range(4):
            await self.write_server(f"s{number}")
        for instance in self.instances.values():
            for work in (instance.controller.run, instance.fetcher.run):
                self._tasks.append(asyncio.create_task(work()))
            self._tasks.append(asyncio.create_task(self._send_beacons(instance)))
        self._tasks.append(asyncio.create_task(self._observe()))

    async def _send_beacons(self, sender):
        await asyncio.sleep(random.Random(sender.name).uniform(0, BEACON_INTERVAL_S))
        while True:
            beacon = beacons.Beacon(
                sender.name,
                sender.domain,
                "1",
                sender.fleet.version,
                sender.fleet.servers_revision,
                stopping=False,
                readers=sender.readers.rows(stopping=False),
                members=(),
            )
            beacon = beacon_codec.decode(beacon_codec.encode(beacon))
            for name, receiver in self.instances.items():
                if name != sender.name and (sender.name, name) not in self.lost_beacons:
                    receiver.table.receive(sender.host, beacon)
                    receiver.readers.receive(beacon)
            await asyncio.sleep(BEACON_INTERVAL_S)

    async def _observe(self):
        """Note for how long instances are behind their peers without a break."""
        while True:
            await asyncio.sleep(OBSERVED_INTERVAL_S)
            now = self.clock.monotonic()
            for name, instance in self.instances.items():
                lag = instance.fleet.servers_lag.duration(now)
                self.longest_behind[name] = max(self.longest_behind[name], lag)

    async def _fetch(self, name, host, path):
        peer = next(i for i in self.instances.values() if i.host == host)
        if (name, peer.name) in self.failed_fetches:
            await asyncio.sleep(FETCH_TIMEOUT_S)
            raise channel.ConnectError("cut")
        self.fetched.append((name, peer.name))
        sent = []

        async def send(message):
            sent.append(message)

        path, _, query = path.partition("?")
        scope = {"type": "http", "path": path, "query_string": query.encode()}
        await peer.endpoint(scope, None, send)
        start, body = sent
        if peer.name in self.malformed:
            body["body"] = body["body"][:-1]
        return peer_snapshots.Response(tuple(start["headers"]), body["body"])

    async def _transfer(self, name, host, response, progress):
        """Pass on a response in parts, which all fetches by a link take in turn."""
        peer = next(i.name for i in self.instances.values() if i.host == host)
        link = name if name in self.transfer_s else peer
        if link not in self.transfer_s or len(response.body) < CONFIGURATION_BYTES:
            return
        for _ in range(PARTS):
            async with self._links[link]:
                await asyncio.sleep(self.transfer_s[link] / PARTS)
            progress(len(response.body) // PARTS)

    async def configure(self, version):
        """Write a version of the configuration."""
        await self._put(
            configuration.CONFIGURATION_KIND,
            configuration.CONFIGURATION_NAME,
            route_world.configuration(version, route_world.ROUTES),
        )

    async def write_server(self, name, **fields):
        """Write the entry of a server."""
        await self._put("servers", name, watch_world.entry(name) | fields)

    async def forget_history(self):
        """Change a server, and have the store drop its history at the same time."""
        await self.write_server("s2", slots=9)
        self.table.compact_history()

    async def _put(self, kind, name, value):
        current = self.table.get(kind, name)
        await self.table.put(
            kind, name, value, 0 if current is None else current.version
        )

    def end_watches(self, name):
        """End the watches of an instance, which goes on believing that they run."""
        for task in self.instances[name].controller._running:
            task.cancel()

    def now(self):
        """Return the time by the clocks of the instances."""

        async def read():
            return self.clock.monotonic()

        return self.runner.run(read())

    def pass_time(self, seconds):
        """Let time pass."""
        self.runner.run(asyncio.sleep(seconds))

    def time_until(self, condition, limit):
        """Return how long it took until a condition held, at most `limit` seconds."""

        async def wait():
            begin = asyncio.get_running_loop().time()
            while not condition():  # noqa: ASYNC110
                if asyncio.get_running_loop().time() - begin >= limit:
                    break
                await asyncio.sleep(POLL_S)
            return asyncio.get_running_loop().time() - begin

        return self.runner.run(wait())

    def knowing(self, server, version):
        """Return the instances that know that a server left, and a version."""
        return {
            name
            for name, instance in self.instances.items()
            if not instance.uses(server) and instance.fleet.version >= version
        }

    def calls_of(self, names, since=0):
        """Return the calls of some instances to the store, from one of them on."""
        return [point for name, point in self.calls[since:] if name in names]

    async def stop(self):
        """Stop all instances."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
