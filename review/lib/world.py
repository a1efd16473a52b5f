"""A small deployment: gateways as processes, the store, servers and clients.

Addresses are loopback addresses of a network of its own, drawn from the process id.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

import http11
import store as store_module

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIB = pathlib.Path(__file__).resolve().parent
# The run command of the deploy file.
GATEWAY = ["python3", "-m", "pimentolatch.gateway"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def _free_ports(count):
    """Return the first of some consecutive ports that nobody listens on."""
    for _ in range(100):
        first = random.randrange(20000, 31000)
        opened = []
        try:
            for number in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    opened.append(socket.socket(socket.AF_INET, kind))
                    opened[-1].bind(("", number))
            return first
        except OSError:
            continue
        finally:
            for found in opened:
                found.close()
    raise OSError("no free ports")


# The same on all machines.
_FIRST = _free_ports(24)
CLIENTS, READY, METRICS, SERVER, STORE, CONTROL, RELAY, PEERS = range(_FIRST, _FIRST + 8)
PEERS_LAST = PEERS + 15


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Writes what happens to `record.txt`, with the time since the start."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._since = time.monotonic()

    def write(self, text):
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._since:9.3f} {text}\n")
        self._file.flush()


class World:
    """All processes of one case; `stop` ends them."""

    def __init__(self, record):
        self.record = record
        self.store = store_module.Store()
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self._prefix = f"127.{20 + os.getpid() % 200}.{1 + (os.getpid() >> 8) % 250}"
        self._hosts = 0
        self.gateways = {}
        self.servers = {}
        self._configuration = None

    def host(self):
        """Return an unused loopback address."""
        self._hosts += 1
        return f"{self._prefix}.{self._hosts}"

    async def start_store(self):
        """Start the store."""
        self.store_address = await self.store.start(self.host(), STORE)

    def configure(self, version, routes, services, tenants=None):
        """Write a configuration, as the operator does."""
        spec = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 5000,
                "idle_timeout_ms": 20000,
            },
        }
        if tenants is not None:
            spec["tenants"] = tenants
        self.store.write("config", "main", spec)
        self.record.write(f"operator: configuration {version} written")

    async def start_server(
        self, name, service, stage=None, host=None, list_after_s=0.0, **options
    ):
        """Start a server as a process and list it, maybe later; return its host."""
        host = host or self.host()
        settings = {
            "id": name,
            "host": host,
            "port": SERVER,
            "stage": stage,
            "log": str(pathlib.Path(self.folder.name) / f"{name}.jsonl"),
            **options,
        }
        popen = subprocess.Popen(
            [sys.executable, str(LIB / "server.py"), json.dumps(settings)],
            stdout=subprocess.PIPE,
        )
        line = await asyncio.get_running_loop().run_in_executor(
            None, popen.stdout.readline
        )
        if not line.startswith(b"ready"):
            raise CannotRunError(f"server {name} did not start")
        self.servers[name] = popen
        entry = {
            "service": service,
            "address": f"{host}:{SERVER}",
            "zone": "here",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        if stage is not None:
            entry["stage"] = stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        if "born" in options:
            entry["born"] = options["born"]
        if list_after_s:
            loop = asyncio.get_running_loop()
            loop.call_later(list_after_s, self._check_in, name, entry)
        else:
            self._check_in(name, entry)
        return host

    def _check_in(self, name, entry):
        self.store.write("servers", name, entry)
        self.record.write(f"store: entry of {name}, born {entry.get('born')}")

    def server_log(self, name):
        """Return what a server has recorded."""
        path = pathlib.Path(self.folder.name) / f"{name}.jsonl"
        if not path.exists():
            return []
        lines = path.read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines if line.endswith("}")]

    def add_gateway(self, name, domain="here", store=None, seeds=None, **more):
        """Write the settings of a gateway; `start_gateway` starts it."""
        host = self.host()
        fields = {
            "instance": name,
            "failure_domain": domain,
            "clients": f"{host}:{CLIENTS}",
            "readiness": f"{host}:{READY}",
            "metrics": f"{host}:{METRICS}",
            "peers": {"host": host, "ports": [PEERS, PEERS_LAST], "seeds": seeds or []},
            "store": {"address": store or self.store_address},
            "bounds": {
                "stop_grace_s": 8,
                "repeat_ratio": 0.2,
                "repeat_window_s": 10,
                "repeat_slack": 54,
                "lease_ms": 3000,
                "server_change_ms": 2000,
                "configuration_change_ms": 2000,
            },
            **more,
        }
        path = pathlib.Path(self.folder.name) / f"{name}.json"
        self.gateways[name] = {"host": host, "path": path, "fields": fields}
        return host

    def start_gateway(self, name):
        """Start a gateway as the deploy file does."""
        gateway = self.gateways[name]
        gateway["path"].write_text(json.dumps(gateway["fields"]), encoding="utf-8")
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["PIMENTOLATCH_BOOT"] = str(gateway["path"])
        with gateway["path"].with_suffix(".log").open("ab") as output:
            gateway["popen"] = subprocess.Popen(
                GATEWAY, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self.record.write(f"platform: {name} started")

    def signal(self, name, number):
        """Send a signal to a gateway."""
        self.gateways[name]["popen"].send_signal(number)
        self.record.write(f"platform: {signal.Signals(number).name} to {name}")

    async def wait_ready(self, name, limit_s=25.0):
        """Wait until a gateway says that it is ready."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready(name):
                return
            await asyncio.sleep(0.05)
        end_of_log = self.gateway_log(name)[-1500:]
        raise CannotRunError(f"{name} is not ready: {end_of_log}")

    async def is_ready(self, name):
        """Ask as the balancer does."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.gateways[name]["host"], READY
                )
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def gateway_log(self, name):
        """Return the log of a gateway."""
        path = self.gateways[name]["path"].with_suffix(".log")
        return path.read_text(encoding="utf-8", errors="replace")

    def stop(self):
        """End all processes that this case started."""
        processes = [g["popen"] for g in self.gateways.values() if "popen" in g]
        for popen in [*processes, *self.servers.values()]:
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
                popen.kill()
            popen.wait()
        self.store.close()
        self.folder.cleanup()


async def request(host, port, method, target, fields, body=b"", timeout_s=15.0):
    """Send one request over a new connection, as a client does.

    Returns:
        The status (0 for none), the header fields, the body as far as it came and
        whether the answer was complete.
    """
    got = bytearray()
    status, found = 0, []
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [("Host", "front.example"), *fields]
            if body or method != "GET":
                lines.append(("Content-Length", str(len(body))))
            writer.write(
                http11.head_bytes(f"{method} {target} HTTP/1.1", lines) + body
            )
            head = await http11.read_head(reader)
            if head is None:
                return 0, [], b"", False
            status, found = int(head.start[1]), head.fields
            if "chunked" in head.get("transfer-encoding"):
                while part := await http11.read_chunk(reader):
                    got += part
            elif head.get("content-length"):
                got += await reader.readexactly(int(head.get("content-length")))
            return status, found, bytes(got), True
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return status, found, bytes(got), False
    finally:
        if writer is not None:
            writer.close()


def run(case, folder):
    """Run a case and exit with its result: 1 broken, 0 held, 2 could not run."""
    record = Record(folder)
    record.write(f"disruption: {'on' if TROUBLE else 'off'}")

    async def limited():
        world = World(record)
        try:
            async with asyncio.timeout(110):
                return await case(world)
        finally:
            world.stop()

    try:
        broken = asyncio.run(limited())
    except (CannotRunError, OSError, TimeoutError, subprocess.SubprocessError) as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    record.write("RULE BROKEN" if broken else "rule held")
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
