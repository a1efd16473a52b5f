"""Gateways as processes, with their store, servers and clients, for the soak test.

Relays carry the connections of each gateway to the store, those to each server, and
those of clients to each gateway, so that faults are injected outside the gateways.
"""

import asyncio
import collections
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

from standins import platform, processes, relay, route_server
from tests.support import restartable_store, route_world

GRACE_S = 8.0
CLIENTS_PORT = 8080
READY_PORT = 8081
PEERS_PORT = 8082
METRICS_PORT = 8083
RELAY_PORT = 8090
STORE_PORT = 9000
SERVER_PORT = 9100
START_TIMEOUT_S = 30.0
POLL_S = 0.05
REPLACE_DELAY_S = 1.0
# With second services, each service has a copy, to which routes may be moved.
SECOND = "-b"
SECOND_SERVERS = (
    ("lm-b", "prefill"),
    ("lm-b", "decode"),
    ("lm-b", "decode"),
    ("app-b", None),
    ("app-b", None),
)


@dataclasses.dataclass
class Gateway:
    """One instance; `incarnation` is the number of times it was started."""

    name: str
    host: str
    settings: pathlib.Path
    log: pathlib.Path
    popen: subprocess.Popen
    incarnation: int = 1

    @property
    def running(self):
        return self.popen.poll() is None


@dataclasses.dataclass(frozen=True)
class Configured:
    """A version of the configuration and when it was written."""

    at: float
    spec: dict


class SoakWorld:
    """All processes, servers and relays of one run.

    Args:
        module: Python module that each gateway process runs.
        arguments: Command-line arguments of the module.

    Attributes:
        version: Version of the configuration.
        versions: Versions of the software of the servers that will be added.
        routes: Routes of the next version of the configuration.
        limits: What differs from the usual limits of clients in it.
        gateway_settings: What differs from the usual settings of the gateways.
        second_services: Whether each service has a copy.
        event_count, event_pause_s: Length and pace of the servers' streams.
        failure_domains: Those of gateways and servers, filled evenly.
        first_start_ms: Time of their start that servers report; None for none.
        slowness: Factors of the pace of the engines, one after the other.
        configurations: All versions of the configuration, in order.
        removed_at: Time at which each removed server was stopped, by server id.
    """

    def __init__(self, module="pimentolatch.gateway", arguments=()):
        self._command = [sys.executable, "-m", module, *arguments]
        self._network = processes.Network()
        self._folder = tempfile.TemporaryDirectory(prefix="pimentolatch-soak-")
        self._numbers = itertools.count(1)
        self.relays = relay.Relays()
        self.platform = platform.Platform()
        self.gateways = {}
        self.servers = {}
        self.removed_servers = []
        self.fatal_body = None
        self.version = 0
        self.versions = itertools.repeat(route_server.DEFAULT_VERSION)
        self.routes = list(route_world.ROUTES)
        self.limits = {}
        self.gateway_settings = {}
        self.second_services = False
        self.event_count = route_server.EVENT_COUNT
        self.event_pause_s = route_server.EVENT_PAUSE_S
        self.failure_domains = ("here",)
        self.first_start_ms = None
        self.slowness = itertools.repeat(1.0)
        self.configurations = []
        self.removed_at = {}
        self._store_host = self._network.address()
        self.store = restartable_store.RestartableStore(
            self.platform, self._store_host, STORE_PORT
        )

    async def start(
        self, gateways, decode_engines=3, prefill_engines=2, plain_servers=3
    ):
        """Start the store, servers and gateways; wait until all gateways are ready."""
        await self.store.start()
        await self.configure()
        for service, stage, count in (
            ("lm", "prefill", prefill_engines),
            ("lm", "decode", decode_engines),
            ("app", None, plain_servers),
        ):
            for _ in range(count):
                await self.add_server(service, stage)
        for service, stage in SECOND_SERVERS if self.second_services else ():
            await self.add_server(service, stage)
        names = [f"g{number}" for number in range(gateways)]
        hosts = {name: self._network.address() for name in names}
        seeds = [f"{host}:{PEERS_PORT}" for host in list(hosts.values())[:3]]
        domains = itertools.cycle(self.failure_domains)
        for (name, host), domain in zip(hosts.items(), domains, strict=False):
            self._add_gateway(name, host, domain, seeds)
        for name in names:
            await self.wait_until_ready(name)

    async def configure(self, new_route=None):
        """Write a new version of the configuration, optionally with one more route."""
        self.version += 1
        if new_route is not None:
            self.routes.append(new_route)
        spec = route_world.configuration(self.version, list(self.routes))
        spec["limits"] |= self.limits
        if self.second_services:
            spec["services"] += [
                service | {"name": service["name"] + SECOND}
                for service in spec["services"]
            ]
        now = asyncio.get_running_loop().time()
        self.configurations.append(Configured(now, spec))
        await self.store.write("config", "main", spec)

    async def add_server(self, service, stage):
        """Start a server behind a relay and write its entry to the store."""
        name = f"{stage or service}-{next(self._numbers)}"
        version = next(self.versions)
        domain = self._emptiest_domain(service, stage)
        server = route_server.RouteServer(name, service, domain, stage, version)
        server.fatal_body = self.fatal_body
        server.event_count = self.event_count
        server.started_ms = self.first_start_ms
        server.event_pause_s = self.event_pause_s
        server.slowness = next(self.slowness)
        await server.start()
        listener = (self._network.address(), SERVER_PORT)
        self.relays.start(name, listener, ("127.0.0.1", server.port))
        server.advertised_address = f"{listener[0]}:{listener[1]}"
        self.servers[name] = server
        await self.list_server(name)
        return server

    def _emptiest_domain(self, service, stage):
        """Return the failure domain that has the fewest ready servers of a kind."""
        kind = (service, stage, "ready")
        counts = collections.Counter(
            server.failure_domain
            for server in self.servers.values()
            if (server.service, server.stage, server.state) == kind
        )
        return min(self.failure_domains, key=lambda domain: counts[domain])

    async def list_server(self, name):
        """Write a server's entry to the store, as the server itself does."""
        server = self.servers[name]
        await self.store.write(
            "servers", name, server.entry() | {"address": server.advertised_address}
        )

    async def remove_server(self, name):
        """Stop a server and delete its entry; does nothing if it was removed before."""
        if await self.stop_server(name):
            current = self.platform.table.get("servers", name)
            await self.platform.table.delete("servers", name, current.version)

    async def stop_server(self, name):
        """Stop a server; return False if it was stopped before."""
        server = self.servers.pop(name, None)
        if server is None:
            return False
        self.removed_servers.append(server)
        self.removed_at[name] = asyncio.get_running_loop().time()
        await server.stop()
        return True

    async def replace_crashed(self, stop):
        """Replace servers that a request has crashed, until `stop` is set."""
        while not stop.is_set():
            await asyncio.sleep(REPLACE_DELAY_S)
            for server in [s for s in self.servers.values() if s.crashed]:
                await self.add_server(server.service, server.stage)
                await self.remove_server(server.server_id)

    def restart(self, name):
        """Start a gateway again; its previous process must have exited."""
        gateway = self.gateways[name]
        gateway.incarnation += 1
        gateway.popen = self._spawn(gateway.settings, gateway.log)

    async def wait_until_ready(self, name):
        """Wait until a gateway reports to the load balancer that it is ready."""
        for _ in range(round(START_TIMEOUT_S / POLL_S)):
            if await self.is_ready(name):
                return
            await asyncio.sleep(POLL_S)
        raise TimeoutError(f"{name} is not ready")

    async def is_ready(self, name):
        """Query a gateway's readiness endpoint as the load balancer does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.gateways[name].host, READY_PORT
                )
                writer.write(b"GET /v1/ready HTTP/1.1\r\nhost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def metric(self, name, metric):
        """Return the value of a gauge of a gateway."""
        reader, writer = await asyncio.open_connection(
            self.gateways[name].host, METRICS_PORT
        )
        writer.write(b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        text = (await route_world.reply(reader)).body.decode()
        writer.close()
        values = dict(line.rsplit(" ", 1) for line in text.splitlines())
        return float(values[f"pimentolatch_{metric}"])

    async def wait_until(self, condition):
        """Wait until `condition` returns true."""
        for _ in range(round(START_TIMEOUT_S / POLL_S)):
            if condition():
                return
            await asyncio.sleep(POLL_S)
        raise TimeoutError

    async def stop(self):
        """Stop every process and server that this object started."""
        for gateway in self.gateways.values():
            if gateway.running:
                gateway.popen.send_signal(signal.SIGCONT)
                gateway.popen.kill()
            gateway.popen.wait()
        for server in self.servers.values():
            await server.stop()
        await self.store.stop()
        self.relays.stop()

    def logs(self):
        """Return the text of each gateway's log by gateway name."""
        return {
            name: gateway.log.read_text(encoding="utf-8")
            for name, gateway in self.gateways.items()
        }

    def _add_gateway(self, name, host, domain, seeds):
        store = (self._network.address(), STORE_PORT)
        self.relays.start(f"store of {name}", store, (self._store_host, STORE_PORT))
        self.relays.start(
            f"clients of {name}", (host, RELAY_PORT), (host, CLIENTS_PORT)
        )
        settings = pathlib.Path(self._folder.name) / f"{name}.jsonc"
        fields = {
            "instance": name,
            "failure_domain": domain,
            "clients": f"{host}:{CLIENTS_PORT}",
            "readiness": f"{host}:{READY_PORT}",
            "metrics": f"{host}:{METRICS_PORT}",
            "peers": {
                "host": host,
                "ports": [PEERS_PORT, PEERS_PORT],
                "seeds": seeds,
            },
            "store": {"address": f"{store[0]}:{store[1]}"},
            "bounds": {"repeat_slack": 100, "stop_grace_s": GRACE_S},
        } | self.gateway_settings
        settings.write_text(json.dumps(fields), encoding="utf-8")
        log = settings.with_suffix(".log")
        popen = self._spawn(settings, log)
        self.gateways[name] = Gateway(name, host, settings, log, popen)

    def _spawn(self, settings, log):
        environment = os.environ | {"PIMENTOLATCH_BOOT": str(settings)}
        with log.open("ab") as output:
            return subprocess.Popen(
                self._command, env=environment, stdout=output, stderr=output
            )
