"""Backend servers as processes that are stopped, leave meanwhile and go on.

Gateways reach them without a relay: what the kernel of a stopped server has accepted is
read when it goes on, even if the connection was reset meanwhile.
"""

import asyncio
import dataclasses
import json
import pathlib
import signal
import subprocess
import sys

import psutil

from standins import route_server, route_server_process
from tests.support import silent_world, soak_world

__all__ = ["LateRequest", "ProcessWorld", "ServerProcess", "StoppedServers"]

# The operator allows two seconds from the store's word; the rest covers the way of a
# request on a busy machine.
LATE_S = 2.2
POLL_S = 0.02
# What a server reads when it goes on has arrived by then.
WATCHED_S = 1.0
RUNS = ("prefill", "run")
CLIENTS = 16


@dataclasses.dataclass(frozen=True)
class LateRequest:
    """A request that reached a server too late, counted from when it left."""

    server_id: str
    kind: str
    after_s: float


class ServerProcess(route_server.RouteServer):
    """A server that runs in a process of its own.

    This object describes it, and has its requests once they are loaded.
    """

    def __init__(self, folder, *description):
        super().__init__(*description)
        self.stutters = False
        self._output = pathlib.Path(folder) / f"{self.server_id}.out"
        self._popen = None

    async def start(self):
        """Start the process and wait until it listens."""
        self._popen = self._spawn()
        async with asyncio.timeout(soak_world.START_TIMEOUT_S):
            while not (lines := self._lines()):  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)
        self.port = lines[0]["port"]
        self.advertised_address = f"127.0.0.1:{self.port}"

    async def stop(self):
        """End the process and load its requests."""
        self._popen.kill()
        self._popen.wait()
        self.load_requests()

    def suspend(self):
        """Have the process stand still."""
        self._popen.send_signal(signal.SIGSTOP)

    async def suspend_after_head(self):
        """Have the process stand still once it has read the head of a request."""
        self._popen.send_signal(signal.SIGUSR1)
        process = psutil.Process(self._popen.pid)
        for _ in range(round(2 * route_server_process.HEAD_LIMIT_S / POLL_S)):
            await asyncio.sleep(POLL_S)
            if process.status() == psutil.STATUS_STOPPED:
                return
        self.suspend()

    def resume(self):
        """Have the process go on."""
        self._popen.send_signal(signal.SIGCONT)

    def load_requests(self):
        """Load the requests that the process has received so far."""
        self.heads, whole = [], []
        for line in self._lines()[1:]:
            what, at = line.pop("what"), line.pop("at")
            line["body"] = line["body"].encode("latin-1")
            request = route_server.ReceivedRequest(**line)
            (self.heads if what == "head" else whole).append((request, at))
        self.received = [request for request, _ in whole]
        self.arrival_times = [at for _, at in whole]

    def _spawn(self):
        settings = {
            "server_id": self.server_id,
            "service": self.service,
            "failure_domain": self.failure_domain,
            "stage": self.stage,
            "event_count": self.event_count,
            "event_pause_s": self.event_pause_s,
            "body_requests": self.body_requests,
            "started_ms": self.started_ms,
            "stutters": self.stutters,
        }
        module = "standins.route_server_process"
        with self._output.open("wb") as output:
            return subprocess.Popen(
                [sys.executable, "-m", module, json.dumps(settings)], stdout=output
            )

    def _lines(self):
        text = self._output.read_text(encoding="utf-8")
        return [json.loads(line) for line in text.splitlines(True) if line[-1] == "\n"]


class ProcessWorld(soak_world.SoakWorld):
    """A world whose servers are processes without a relay before them.

    Attributes:
        body_requests: What its servers do about bodies that are announced, in turn.
        stutters: Whether its servers stand still for half of the time.
    """

    body_requests = (route_server.ASKS,)
    stutters = False

    async def add_server(self, service, stage):
        name = f"{stage or service}-{next(self._numbers)}"
        domain = self._emptiest_domain(service, stage)
        server = ServerProcess(self._folder.name, name, service, domain, stage)
        server.event_count = self.event_count
        server.event_pause_s = self.event_pause_s
        server.body_requests = self.body_requests[
            len(self.servers) % len(self.body_requests)
        ]
        server.stutters = self.stutters
        server.started_ms = self.first_start_ms
        await server.start()
        self.servers[name] = server
        await self.list_server(name)
        return server


class StoppedServers(silent_world.Gateways):
    """Gateways with clients that go on asking, before servers as processes."""

    client_count = CLIENTS

    def __init__(self, runner):
        super().__init__(runner)
        self.world = ProcessWorld()
        self.left_at = 0.0
        self._stopped_at = {}
        self.stopped = []

    async def stop_servers(
        self, leave_after_s, seconds, *, listed, within_requests=False
    ):
        """Stop a server of each kind, have them leave meanwhile, and let them go on.

        Args:
            leave_after_s: When they leave, after they have been stopped.
            seconds: For how long they are stopped.
            listed: Whether their entries stay and say that they drain.
            within_requests: Whether they stop between the head of a request and its
                body.
        """
        kinds = {s.stage: s for s in self.world.servers.values()}
        self.stopped = list(kinds.values())
        await asyncio.gather(
            *(self._suspend(server, within_requests) for server in self.stopped)
        )
        await asyncio.sleep(leave_after_s)
        table = self.world.platform.table
        for server in self.stopped:
            if listed:
                server.state = "draining"
                await self.world.list_server(server.server_id)
            else:
                current = table.get("servers", server.server_id)
                await table.delete("servers", server.server_id, current.version)
        self.left_at = asyncio.get_running_loop().time()
        await asyncio.sleep(seconds - leave_after_s)
        for server in self.stopped:
            server.resume()
        await asyncio.sleep(WATCHED_S)

    async def _suspend(self, server, within_request):
        if within_request:
            await server.suspend_after_head()
        else:
            server.suspend()
        self._stopped_at[server.server_id] = asyncio.get_running_loop().time()

    def late_requests(self):
        """Return the requests whose heads reached a server too late.

        A server hands a request to its handler when it has read the head. Those that
        clients sent before it stood still may have been on their way.
        """
        sent_at = {
            attempt.request_id: attempt.sent_at
            for client in self.clients
            for attempt in client.attempts
        }
        return [
            LateRequest(server.server_id, request.kind, after_s)
            for server, request, after_s in self._late_heads()
            if request.kind in RUNS
            and sent_at.get(request.fields.get("x-request-id"), 0.0)
            > self._stopped_at[server.server_id]
        ]

    def late_calls(self):
        """Return the gateways' own calls, but health checks, that came too late."""
        return [
            LateRequest(server.server_id, request.target, after_s)
            for server, request, after_s in self._late_heads()
            if "x-request-id" not in request.fields
            and request.target != route_server.HEALTH_TARGET
        ]

    def _late_heads(self):
        for server in self.stopped:
            server.load_requests()
            for request, at in server.heads:
                after_s = at - self.left_at
                if after_s > LATE_S:
                    yield server, request, after_s

    def failed(self):
        """Return the requests that ended without success."""
        ended = [a for c in self.clients for a in c.attempts if a.ended_at]
        return [attempt for attempt in ended if attempt.status != 200]
