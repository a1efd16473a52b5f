"""Gateway instances, an object store and backend servers in one process, on sockets."""

import asyncio
import dataclasses
import datetime
import functools

from pimentolatch import clock, event_loop
from pimentolatch.gateway import process, settings
from standins import platform, route_server
from tests.support import port_blocks, restartable_store

HOST = "127.0.0.1"
WAIT_S = 10.0
POLL_S = 0.01
PEER_PORTS = 3


def runner():
    """Return a runner with the event loop that the daemons run on.

    On the standard one the limits of an instance end what has come in time whenever the
    process, which its servers and clients share, is not scheduled for that long.
    """
    return asyncio.Runner(loop_factory=event_loop.InputFirstEventLoop)


@functools.cache
def _ports():
    return port_blocks.PortBlock(HOST)


def free_port():
    """Return a free port that no other process of the tests uses."""
    return _ports().free_port()


def free_port_range():
    """Return the first of as many free ports as an instance's peers use."""
    while True:
        ports = [free_port() for _ in range(PEER_PORTS)]
        if ports[-1] - ports[0] == PEER_PORTS - 1:
            return ports[0]


def route(name, service, kind, **fields):
    """Return a route in the format of the operator's configuration."""
    chosen = {
        "name": name,
        "host": "site.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 8000,
        "latency_target_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "sticky": kind == "stream",
        "resumable": False,
        "gap_target_ms": 100,
    }
    return chosen | fields


def configuration(version, routes, customers=None):
    """Return a configuration in the operator's format.

    Without customers, requests need no API keys.
    """
    engine = {
        "slots": 8,
        "kv_tokens": 100_000,
        "kv_bytes": 1000,
        "link_mbps": 1000.0,
        "stride": 1,
        "handle_ttl_s": 5.0,
        "switch_s": 1.0,
        "models": [{"name": "m"}],
    }
    services = [
        {"name": "lm", "health_path": "/health", "max_conns": 100, "engine": engine},
        {"name": "app", "health_path": "/health", "max_conns": 100},
    ]
    limits = {
        "max_header_bytes": 8192,
        "max_body_bytes": 100_000,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15_000,
    }
    spec = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
    }
    return spec if customers is None else spec | {"tenants": customers}


ROUTES = [
    route("digest", "lm", "stream", resumable=True),
    route("draft", "lm", "stream", max_attempts=1),
    route("print", "app", "unsafe", max_attempts=1),
    route("notify", "app", "safe"),
]


class HeldClock(clock.SystemClock):
    """Blocks sleeps of at least `LONG` until released.

    The only one that long is the sleep of an instance that shuts down.
    """

    LONG = datetime.timedelta(seconds=2)

    def __init__(self):
        self._released = asyncio.Event()
        self.held = False

    def release(self):
        self._released.set()

    async def sleep(self, duration):
        if duration < self.LONG:
            await super().sleep(duration)
            return
        self.held = True
        await self._released.wait()


@dataclasses.dataclass
class Reply:
    """A response as a client received it.

    Attributes:
        complete: False if the connection broke before the end of the body.
    """

    status: int
    fields: dict
    body: bytes
    complete: bool

    @property
    def events(self):
        lines = self.body.decode().split("\n")
        return [line.split()[-1] for line in lines if line.startswith("data:")]


class RouteWorld:
    """Store, servers and instances that a scenario starts.

    Attributes:
        bounds: Bounds of the instances that differ from the usual ones.
    """

    def __init__(self):
        self.bounds = {}
        self.platform = platform.Platform()
        self.control = None
        self.extra_servers = []
        self.servers = {}
        self.instances = {}
        self.ports = {}
        self.readiness = {}
        self.metrics = {}
        self.store_port = free_port()
        self.store = restartable_store.RestartableStore(
            self.platform, HOST, self.store_port
        )

    async def start_store(self):
        await self.store.start()

    async def stop_store(self):
        await self.store.stop()

    async def configure(self, version, routes=None, customers=None):
        chosen = ROUTES if routes is None else routes
        await self.write("config", "main", configuration(version, chosen, customers))

    async def limit_routes(self, instance, version, timeout_ms):
        """Configure a time limit for all routes; wait until an instance has it."""
        routes = [item | {"timeout_ms": timeout_ms} for item in ROUTES]
        await self.configure(version, routes)
        await self.until(lambda: instance.fleet.version == version)

    async def write(self, kind, name, spec):
        await self.store.write(kind, name, spec)

    async def add_server(self, name, service, stage=None, domain="here"):
        server = route_server.RouteServer(name, service, domain, stage)
        await server.start()
        self.servers[name] = server
        await self.write("servers", name, server.entry())
        return server

    async def drain(self, name):
        self.servers[name].state = "draining"
        await self.write("servers", name, self.servers[name].entry())

    def settings(self, name, seeds=(), host=HOST):
        return settings.GatewaySettings.model_validate(
            {
                "instance": name,
                "failure_domain": "here",
                "clients": f"{host}:{self.ports[name]}",
                "readiness": f"{host}:{self.readiness[name]}",
                "metrics": f"{host}:{self.metrics[name]}",
                "peers": {
                    "host": host,
                    "ports": [self.peer_port, self.peer_port + PEER_PORTS - 1],
                    "seeds": list(seeds),
                },
                "store": {"address": f"{HOST}:{self.store_port}"},
                "control": self.control,
                "bounds": {"repeat_slack": 100} | self.bounds,
            }
        )

    async def start_before(self, server):
        """Start the store, one server of a test's own, and an instance before it."""
        await self.start_store()
        await self.configure(1)
        await server.start()
        self.extra_servers.append(server)
        await self.write("servers", server.name, server.entry())
        await self.add_instance()

    async def add_instance(
        self, name="one", seeds=(), host=HOST, ready=True, time=None
    ):
        if not self.ports:
            self.peer_port = free_port_range()
        self.ports[name] = free_port()
        self.readiness[name] = free_port()
        self.metrics[name] = free_port()
        chosen = self.settings(name, seeds, host)
        instance = process.GatewayInstance(chosen, time or clock.SystemClock())
        await instance.start()
        self.instances[name] = (host, instance)
        if ready:
            await self.until_ready(name)
            await self.until(lambda: receives_updates(instance))
        return instance

    async def until_ready(self, name):
        await self.until_returns(lambda: self.ask_ready(name), 200)

    async def ask_ready(self, name):
        host, _ = self.instances[name]
        reader, writer = await asyncio.open_connection(host, self.readiness[name])
        writer.write(b"GET /v1/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return int(line.split()[1]) if line else 0

    async def ask_metrics(self, name="one"):
        """Return an instance's metric values by name with labels."""
        host, _ = self.instances[name]
        reader, writer = await asyncio.open_connection(host, self.metrics[name])
        writer.write(b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        text = (await reply(reader)).body.decode()
        writer.close()
        lines = [line for line in text.splitlines() if not line.startswith("#")]
        return {
            name: float(value) for name, value in (li.rsplit(" ", 1) for li in lines)
        }

    async def connect(self, name="one"):
        host, _ = self.instances[name]
        return await asyncio.open_connection(host, self.ports[name])

    async def ask(self, route_name, request_id, *, name="one", body=b"", **fields):
        reader, writer = await self.connect(name)
        writer.write(request(route_name, request_id, body, **fields))
        try:
            async with asyncio.timeout(WAIT_S):
                return await reply(reader)
        finally:
            writer.close()

    async def until(self, condition):
        for _ in range(round(WAIT_S / POLL_S)):
            if condition():
                return
            await asyncio.sleep(POLL_S)
        raise TimeoutError

    async def until_returns(self, ask, expected):
        for _ in range(round(WAIT_S / POLL_S)):
            if await ask() == expected:
                return
            await asyncio.sleep(POLL_S)
        raise TimeoutError

    async def stop(self):
        for _, instance in self.instances.values():
            await instance.abort()
        for server in self.servers.values():
            await server.stop()
        for served in self.extra_servers:
            await served.stop()
        await self.stop_store()


def receives_updates(instance):
    """Return whether an instance receives changes, from the store or from watchers."""
    return instance.fleet.watches_store or len(instance.peers.readers()) == 3


def request(route_name, request_id, body=b"", **fields):
    """Return a client's HTTP request as bytes."""
    headers = {"host": "site.example", "x-request-id": request_id}
    headers |= {"x-deadline-ms": "6000", "content-length": str(len(body))}
    if route_name in ("digest", "draft"):
        headers |= {
            "x-model": "m",
            "x-token-counts": "1200,20",
            "x-prompt-prefix": f"aa:800,{request_id}:400",
        }
    headers |= {name.replace("_", "-"): value for name, value in fields.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"POST /{route_name}/x HTTP/1.1\r\n{head}\r\n".encode() + body


async def reply(reader):
    """Read a response up to its end or up to where the connection broke."""
    status = int((await reader.readline()).split()[1])
    fields = {}
    while (line := (await reader.readline()).strip()) != b"":
        name, _, value = line.decode().partition(":")
        fields[name.lower()] = value.strip()
    if status in (204, 304):
        return Reply(status, fields, b"", True)
    if "content-length" in fields:
        length = int(fields["content-length"])
        try:
            return Reply(status, fields, await reader.readexactly(length), True)
        except asyncio.IncompleteReadError as error:
            return Reply(status, fields, error.partial, False)
    body = b""
    try:
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
    except (ValueError, asyncio.IncompleteReadError, ConnectionError):
        return Reply(status, fields, body, False)
    return Reply(status, fields, body, True)
