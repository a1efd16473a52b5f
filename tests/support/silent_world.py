"""Gateways, and peers of an instance, whose connections fall silent."""

import asyncio
import collections
import dataclasses
import itertools
import json
import random
import signal

import logbook

from pimentolatch import clock, settings
from pimentolatch.decisions import neighbours
from pimentolatch.entry import http_server
from pimentolatch.gateway import expired_entries, fleet_state
from pimentolatch.gateway.peers import peer_snapshots, peer_table
from pimentolatch.protocol import beacons
from standins import processes, relay
from tests.support import route_world, soak_clients, soak_world

__all__ = ["Gateways", "Peers"]

CLIENTS = 6
# Far above the two seconds that the operator allows, so that a busy machine does not
# matter, and far below the time for which a watch may wait at the store.
LEARN_S = 10.0
POLL_S = 0.1
REQUESTS_AFTER = 60
# Of a failure domain so many gateways read the store, with a watch of each kind.
MAX_READERS = 3
WATCHES = 2
# Requests of each kind that are sent at once before connections to servers fall silent.
KEPT = 12
# Longer than a leaving server may get requests.
PAUSE_S = 2.9
LEAVE_AFTER_S = 0.1
# Shorter than an instance asks a store that is out of its reach what it missed.
BETWEEN_PAUSES_S = 0.15
EACH_PAUSE_S = 1.0


@dataclasses.dataclass(frozen=True)
class Peer:
    """A peer, and the host of the relay in front of it."""

    name: str
    relay_host: str
    fleet: fleet_state.FleetState
    server: http_server.HttpServer


class Peers:
    """An instance that learns the server list from peers behind relays."""

    def __init__(self, runner, names):
        self.runner = runner
        self.relays = relay.Relays()
        self.log = logbook.TestHandler()
        self._network = processes.Network()
        self._time = clock.SystemClock()
        self._peers = [self._peer(name) for name in names]
        place = neighbours.Place("own", "here")
        self._table = peer_table.PeerTable("own", place, self._time, random.Random(1))
        self._fleet = fleet_state.FleetState()
        self._asked = []
        self._fetcher = peer_snapshots.SnapshotFetcher(
            self._fleet,
            self._table,
            expired_entries.ExpiredServers(self._fleet, self._time),
            soak_world.PEERS_PORT,
            self._time,
            self._fetch,
        )

    async def _fetch(self, address, path, progress):
        self._asked.append(address.host)
        return await peer_snapshots.fetch(address, path)

    def _peer(self, name):
        fleet = fleet_state.FleetState()
        expired = expired_entries.ExpiredServers(fleet, self._time)
        host, relay_host = self._network.address(), self._network.address()
        port = soak_world.PEERS_PORT
        server = http_server.HttpServer(
            peer_snapshots.SnapshotEndpoint(fleet, expired, self._time),
            settings.Address(host=host, port=port),
        )
        self.relays.start(name, (relay_host, port), (host, port))
        return Peer(name, relay_host, fleet, server)

    def start(self):
        self.log.push_application()
        for peer in self._peers:
            self.runner.run(peer.server.start())
        self.task = self.runner.get_loop().create_task(self._fetcher.run())

    def tell(self, revision):
        """Give all peers a list of this revision, and have their beacons arrive."""
        for peer in self._peers:
            peer.fleet.replace_servers(revision, [])
            beacon = beacons.Beacon(peer.name, "here", "1", 0, revision, False, (), ())
            self._table.receive(peer.relay_host, beacon)

    def until_learned(self, revision):
        async def wait():
            async with asyncio.timeout(LEARN_S):
                while self._fleet.servers_revision < revision:  # noqa: ASYNC110
                    await asyncio.sleep(POLL_S)

        self.runner.run(wait())

    def attempts(self, name):
        """Return how often a peer was asked."""
        host = next(peer.relay_host for peer in self._peers if peer.name == name)
        return self._asked.count(host)

    def failed_attempts(self):
        return sum("failed" in record.message for record in self.log.records)

    async def stop(self):
        self.task.cancel()
        self.log.pop_application()
        for peer in self._peers:
            peer.server.abort()
        self.relays.stop()


class Gateways:
    """Gateways behind relays, with clients that keep their connections.

    Attributes:
        client_count: Number of the clients.
    """

    client_count = CLIENTS

    def __init__(self, runner):
        self.runner = runner
        self.world = soak_world.SoakWorld()
        self.stopping = asyncio.Event()
        self.clients = []
        self.tasks = []
        self.drained = []
        self.entries_before = {}

    def start(self, count):
        self.runner.run(self._start(count))

    async def _start(self, count):
        await self.world.start(count)
        clock = asyncio.get_running_loop().time
        self.clients = [
            soak_clients.Client(self.world, number, number, clock)
            for number in range(self.client_count)
        ]
        self.tasks = [
            asyncio.create_task(client.run(self.stopping)) for client in self.clients
        ]
        async with asyncio.timeout(soak_world.START_TIMEOUT_S):
            await self._until(self._all_read)
        await self._until_answered(REQUESTS_AFTER)

    async def stop_clients(self):
        self.stopping.set()
        await asyncio.gather(*self.tasks)
        self.tasks = []

    async def ask(self, route, request_id, gateway=None):
        """Send a request to a gateway, the first by default; return the answer."""
        gateway = gateway or next(iter(self.world.gateways.values()))
        reader, writer = await asyncio.open_connection(
            gateway.host, soak_world.CLIENTS_PORT
        )
        writer.write(route_world.request(route, request_id))
        try:
            async with asyncio.timeout(LEARN_S):
                return await route_world.reply(reader)
        finally:
            writer.close()

    async def ask_at_once(self, prefix, prompts, calls):
        """Send requests whose ids begin with `prefix`; return the answers."""
        routes = ["digest"] * prompts + ["notify"] * calls
        sent = (self.ask(route, f"{prefix}{n}") for n, route in enumerate(routes))
        return await asyncio.gather(*sent)

    async def ask_in_pause(self, leave, *, cut=False):
        """Stop the first gateway, have servers leave and send it requests meanwhile.

        Args:
            leave: Has two servers leave.
            cut: Whether the gateway has no way to the store from then on.

        Returns:
            The answers.
        """
        name, gateway = next(iter(self.world.gateways.items()))
        gateway.popen.send_signal(signal.SIGSTOP)
        if cut:
            for direction in (relay.TO_SERVER, relay.TO_CLIENT):
                self.world.relays.cut(f"store of {name}", direction)
        await asyncio.sleep(LEAVE_AFTER_S)
        await leave()
        asking = asyncio.create_task(self.ask_at_once("paused", KEPT, KEPT))
        await asyncio.sleep(PAUSE_S)
        gateway.popen.send_signal(signal.SIGCONT)
        return await asking

    async def ask_in_two_pauses(self):
        """Stop the first gateway twice; send it requests meanwhile.

        It has no way to the store from then on, so that the second pause comes while
        it asks what it missed in the first one.

        Returns:
            The answers.
        """
        name, gateway = next(iter(self.world.gateways.items()))
        for direction in (relay.TO_SERVER, relay.TO_CLIENT):
            self.world.relays.cut(f"store of {name}", direction)
        gateway.popen.send_signal(signal.SIGSTOP)
        asking = asyncio.create_task(self.ask_at_once("paused", KEPT, KEPT))
        await asyncio.sleep(EACH_PAUSE_S)
        gateway.popen.send_signal(signal.SIGCONT)
        await asyncio.sleep(BETWEEN_PAUSES_S)
        gateway.popen.send_signal(signal.SIGSTOP)
        await asyncio.sleep(EACH_PAUSE_S)
        gateway.popen.send_signal(signal.SIGCONT)
        return await asking

    def reached(self, prefix):
        """Return the requests whose ids begin so and that servers got which left."""
        return [
            request.fields["x-request-id"]
            for server in self.drained
            for request in server.received
            if request.fields.get("x-request-id", "").startswith(prefix)
        ]

    def lines(self, event, prefix):
        """Return the log lines of an event for requests whose ids begin so."""
        logs = self.world.logs().values()
        lines = [json.loads(line) for log in logs for line in log.splitlines()]
        return [
            line
            for line in lines
            if line["message"] == event and line["id"].startswith(prefix)
        ]

    async def silence_servers(self):
        """Have several connections of each server kept, then silence them."""
        await self.stop_clients()
        await self.ask_at_once("early", KEPT, KEPT)
        silenced = [self.world.relays.silence(name) for name in self.world.servers]
        assert sum(silenced) > len(silenced), silenced

    def silence_store(self):
        world = self.world
        counts = [world.relays.silence(f"store of {name}") for name in world.gateways]
        assert sum(counts) >= WATCHES * self._readers, counts

    @property
    def _readers(self):
        domains = itertools.cycle(self.world.failure_domains)
        sizes = collections.Counter(
            domain for _, domain in zip(self.world.gateways, domains, strict=False)
        )
        return sum(min(MAX_READERS, size) for size in sizes.values())

    async def _until(self, condition):
        while not await condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)

    async def _all_read(self):
        reading = [
            await self.world.metric(name, "reads_store") for name in self.world.gateways
        ]
        return sum(reading) == self._readers

    async def configure(self, route):
        await self.world.configure(route)

    async def drain(self):
        """Have an engine and a plain server drain, and keep them running."""
        for server in self._chosen_to_leave():
            await self.world.list_server(server.server_id)

    async def leave(self):
        """Remove the entries of an engine and a plain server, and keep them running."""
        table = self.world.platform.table
        for server in self._chosen_to_leave():
            current = table.get("servers", server.server_id)
            await table.delete("servers", server.server_id, current.version)

    def _chosen_to_leave(self):
        """Return the servers that leave; they say so when they are asked."""
        table = self.world.platform.table
        for stage in ("decode", None):
            server = next(s for s in self.world.servers.values() if s.stage == stage)
            entry = table.get("servers", server.server_id)
            self.entries_before[server.server_id] = entry.value
            server.state = "draining"
            self.drained.append(server)
        return self.drained

    async def write_as_before(self):
        """Write the entries of the servers that leave as they were before."""
        for name, entry in self.entries_before.items():
            await self.world.store.write("servers", name, entry)

    async def until_known(self):
        """Wait until all gateways have the newest revision of the store."""
        revision = self.world.platform.table.revision
        async with asyncio.timeout(LEARN_S):
            for name in self.world.gateways:
                await self._until(lambda name=name: self._knows(name, revision))

    async def _knows(self, name, revision):
        return await self.world.metric(name, "servers_revision") >= revision

    async def check_unused(self):
        """Check that requests which are sent from now on reach other servers."""
        sent_before = self._request_ids()
        await self._until_answered(REQUESTS_AFTER)
        reached = {
            request.fields.get("x-request-id", "")
            for server in self.drained
            for request in server.received
        }
        assert not reached & (self._request_ids() - sent_before)

    async def until_served(self, route):
        """Wait until each gateway serves a route."""
        async with asyncio.timeout(LEARN_S):
            for gateway in self.world.gateways.values():
                await self._until(lambda by=gateway: self._serves(by, route))

    async def _serves(self, gateway, route):
        return (await self.ask(route, "probe", gateway)).status == 200

    def _request_ids(self):
        return {a.request_id for client in self.clients for a in client.attempts}

    async def _until_answered(self, count):
        """Wait until the clients have had so many more answers."""
        goal = self._answered() + count

        async def enough():
            return self._answered() >= goal

        async with asyncio.timeout(soak_world.START_TIMEOUT_S):
            await self._until(enough)

    def _answered(self):
        return sum(a.complete for client in self.clients for a in client.attempts)

    async def stop(self):
        await self.stop_clients()
        await self.world.stop()
