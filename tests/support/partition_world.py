"""Gateway instances of which some lose the path to all servers, and clients of all."""

import asyncio
import collections
import contextvars
import dataclasses

from pimentolatch import event_loop
from standins import relay
from tests.support import route_world, soak_world

__all__ = ["PartitionWorld", "PartitionedLoop", "ProcessWorld", "Way"]

# The instance in whose tasks a connection is opened.
_INSTANCE = contextvars.ContextVar("instance", default=None)
_NEVER_S = 3600.0
ROUTES = ("digest", "draft", "print", "notify")
DEADLINE_MS = "6000"


@dataclasses.dataclass(frozen=True)
class Way:
    """How a partition treats connections to servers.

    Attributes:
        hangs: Whether new connections hang; otherwise they are refused.
        accepts: Whether a device on the way accepts new connections, which then deliver
            nothing.
        silences: Whether open connections fall silent.
        resets: Whether open connections are reset.
    """

    hangs: bool = True
    accepts: bool = False
    silences: bool = False
    resets: bool = False


WAYS = {
    "silent": Way(silences=True),
    "reset": Way(resets=True),
    "refused": Way(hangs=False, resets=True),
    "accepted on the way": Way(accepts=True, silences=True),
    "new connections hang": Way(),
    "new connections are refused": Way(hangs=False),
}


class _Link:
    """An open connection of an instance to a server.

    Args:
        transport: The connection.
        counts_lost: Whether what is written while it is silent stays unacknowledged.
    """

    def __init__(self, transport, counts_lost):
        self._counts_lost = counts_lost
        self.transport = transport
        self._write = transport.write
        self._buffered = transport.get_write_buffer_size
        self._lost = bytearray()

    def silence(self):
        """Hold back what is written and what arrives, as unacknowledged segments."""
        if not self.transport.is_closing():
            self.transport.pause_reading()
            self.transport.write = self._lost.extend
            self.transport.get_write_buffer_size = self._held

    def heal(self):
        """Deliver what was held back, unless the connection has been closed."""
        if not self.transport.is_closing():
            self.transport.write = self._write
            self.transport.get_write_buffer_size = self._buffered
            self.transport.resume_reading()
            self._write(bytes(self._lost))
            self._lost.clear()

    def _held(self):
        return len(self._lost) * self._counts_lost + self._buffered()


class PartitionedLoop(event_loop.InputFirstEventLoop):
    """Event loop that partitions instances from servers, by the server's port."""

    def __init__(self):
        super().__init__()
        self.server_ports = {}
        self.cuts = {}
        self._links = collections.defaultdict(list)

    def cut(self, instance, how, servers=None):
        """Partition an instance from servers, by name; from all if none are given."""
        self.cuts[instance] = how, servers
        for link in self._affected(instance):
            if how.silences:
                link.silence()
            if how.resets:
                link.transport.abort()

    def heal(self, instance):
        """End the partition of an instance."""
        self.cuts.pop(instance)
        for link in (link for _, link in self._links[instance]):
            link.heal()

    def _affected(self, instance):
        _, servers = self.cuts[instance]
        return [
            link
            for name, link in self._links[instance]
            if servers is None or name in servers
        ]

    async def create_connection(self, factory, host=None, port=None, **options):
        """See `asyncio.AbstractEventLoop.create_connection`."""
        instance, server = _INSTANCE.get(), self.server_ports.get(port)
        how, servers = self.cuts.get(instance, (None, ()))
        cut = server and how and (servers is None or server in servers)
        if cut and not how.hangs:
            raise ConnectionRefusedError
        if cut and not how.accepts:
            await asyncio.sleep(_NEVER_S)
        opened = await super().create_connection(factory, host, port, **options)
        if server and instance:
            link = _Link(opened[0], counts_lost=not cut)
            self._links[instance].append((server, link))
            if cut:
                link.silence()
        return opened


class Load:
    """Sends requests to instances, each on a new connection, and counts the served.

    Subclasses have `ask` and `servers`.
    """

    def __init__(self):
        super().__init__()
        self._numbers = iter(range(1_000_000))
        self.kinds = {}

    async def first_attempt(self, name, route_name):
        """Send one request; return whether the whole answer of a server came."""
        request_id = f"{route_name}-{next(self._numbers)}"
        self.kinds[request_id] = route_name
        try:
            body = request_id.encode()
            reply = await self.ask(route_name, request_id, name=name, body=body)
        except (TimeoutError, OSError, asyncio.IncompleteReadError, IndexError):
            return False
        served = reply.status == 200 and reply.complete
        assert not (reply.status in (429, 503) and self.runs(request_id)), request_id
        return served

    async def load(self, names, seconds, rate):
        """Send requests of all routes in turn; return those served, by instance."""
        waits = [
            asyncio.create_task(self._steady(name, round(seconds * rate), 1 / rate))
            for name in names
        ]
        return dict(zip(names, await asyncio.gather(*waits), strict=True))

    async def _steady(self, name, count, pause):
        sent = []
        for number in range(count):
            route_name = ROUTES[number % len(ROUTES)]
            sent.append(asyncio.create_task(self.first_attempt(name, route_name)))
            await asyncio.sleep(pause)
        return [bool(served) for served in await asyncio.gather(*sent)]

    def runs(self, request_id):
        """Return how many servers have started to run a request."""
        return sum(server.count_runs(request_id) for server in self.servers.values())

    def queued(self, route_name):
        """Tell whether a server holds a request whose id begins so."""
        return any(
            request_id.startswith(route_name)
            for server in self.servers.values()
            for request_id in server.queued
        )

    def repeated(self):
        """Return the requests that ran more than once although they must not."""
        return [
            name
            for name, route_name in self.kinds.items()
            if route_name in ("print", "draft") and self.runs(name) > 1
        ]


class PartitionWorld(Load, route_world.RouteWorld):
    """Instances and servers in one process."""

    async def add_server(self, name, service, stage=None, domain="here"):
        server = await super().add_server(name, service, stage, domain)
        asyncio.get_running_loop().server_ports[server.port] = name
        return server

    async def add_instance(
        self, name="one", seeds=(), host=route_world.HOST, **options
    ):
        token = _INSTANCE.set(name)
        try:
            return await super().add_instance(name, seeds, host, **options)
        finally:
            _INSTANCE.reset(token)

    async def start(self, instances):
        await self.start_store()
        await self.configure(1)
        for number in range(3):
            await self.add_server(f"reader-{number}", "lm", "prefill")
            await self.add_server(f"plain-{number}", "app")
        for number in range(4):
            await self.add_server(f"writer-{number}", "lm", "decode")
        seeds = []
        for number in range(instances):
            host = f"127.0.1.{number + 1}"
            await self.add_instance(f"g{number}", list(seeds), host, ready=False)
            seeds.append(f"{host}:{self.peer_port}")
        for name, (_, instance) in self.instances.items():
            await self.until_ready(name)
            await self.until(lambda by=instance: len(by.peers.live()) == instances - 1)

    def cut(self, names, how, servers=None):
        for name in names:
            asyncio.get_running_loop().cut(name, WAYS[how], servers)

    def heal(self, names):
        for name in names:
            asyncio.get_running_loop().heal(name)


class ProcessWorld(Load):
    """Gateways as processes behind relays, which tell them apart by their hosts."""

    def __init__(self):
        super().__init__()
        self._world = soak_world.SoakWorld("tests.support.bound_gateway")

    @property
    def instances(self):
        return self._world.gateways

    @property
    def servers(self):
        return self._world.servers

    async def start(self, count):
        await self._world.start(count)

    async def ask(self, route_name, request_id, *, name, body=b""):
        host = self.instances[name].host
        reader, writer = await asyncio.open_connection(host, soak_world.CLIENTS_PORT)
        writer.write(route_world.request(route_name, request_id, body))
        try:
            async with asyncio.timeout(route_world.WAIT_S):
                return await route_world.reply(reader)
        finally:
            writer.close()

    def cut(self, names):
        """Have nothing pass between some gateways and any server."""
        for name in names:
            for server in self.servers:
                for direction in (relay.TO_SERVER, relay.TO_CLIENT):
                    self._world.relays.cut(server, direction, self.instances[name].host)

    async def stop(self):
        await self._world.stop()
