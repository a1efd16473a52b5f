"""Clients that do not behave, at ports of the daemons' processes.

Each sends up to a bound of its own and then stays open. What becomes of it is not
checked: it may be refused or closed at any time.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import pathlib

from standins import deployments
from tests.support import route_world, soak_world

__all__ = ["MACHINE_MB", "Crowd", "GatewayWorld", "Target", "descriptors", "peak_bytes"]

# Memory of the machine, in the settings of the tested processes.
MACHINE_MB = 128
BODY_BYTES = 4_000_000
# Of what has no end of its own so much is sent by each client.
ENDLESS_BYTES = 64_000_000
AHEAD_BYTES = 256_000
PIECE_BYTES = 16_384
# A client that can't go on sending stops after this time, and stays open.
SENDING_S = 8.0
# All stay open for this time before anything is checked: what they sent is read then.
STAYING_S = 2.0
# The crowd is in full swing by then.
BESIDE_AFTER_S = 1.0
PORTS = {
    "clients": soak_world.CLIENTS_PORT,
    "readiness": soak_world.READY_PORT,
    "metrics": soak_world.METRICS_PORT,
    "lists of peers": soak_world.PEERS_PORT,
    "forwarding peers": soak_world.PEERS_PORT + 2,
}
PLAIN_SERVERS = 3


@dataclasses.dataclass(frozen=True)
class Target:
    """What a crowd sends its requests to.

    Attributes:
        host, port: Address.
        head: First lines of a request with a body.
        pid: Process behind the address.
    """

    host: str
    port: int
    head: bytes
    pid: int


def peak_bytes(pid):
    """Return the largest amount of memory that a process had."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields["VmHWM"].split()[0]) * 1024


def descriptors(pid):
    """Return the number of open descriptors of a process."""
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))


def _chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def _chunked(head):
    return head + b"transfer-encoding: chunked\r\n\r\n"


def _whole(head):
    return head + b"content-length: %d\r\n\r\n%s" % (BODY_BYTES, b"x" * BODY_BYTES)


def trailers(head):
    """Yield a whole chunked body and trailers without end."""
    yield _chunked(head) + _chunk(b"x") + b"0\r\n"
    trailer = b"x-trailer: " + b"t" * 1000 + b"\r\n"
    for _ in range(ENDLESS_BYTES // (64 * len(trailer))):
        yield trailer * 64


def trailer_line(head):
    """Yield a whole chunked body and one trailer without end."""
    yield _chunked(head) + _chunk(b"x") + b"0\r\nx-trailer: "
    for _ in range(ENDLESS_BYTES // PIECE_BYTES):
        yield b"t" * PIECE_BYTES


def open_body(head):
    """Yield a body but for its last byte."""
    yield _whole(head)[:-1]


def open_pieces(head):
    """Yield a body in pieces, but for its end."""
    yield _chunked(head)
    for _ in range(BODY_BYTES // PIECE_BYTES):
        yield _chunk(b"x" * PIECE_BYTES)


def one_byte_chunks(head):
    """Yield a body in chunks of one byte, without end."""
    yield _chunked(head)
    chunks = _chunk(b"x") * (PIECE_BYTES // 6)
    for _ in range(ENDLESS_BYTES // len(chunks)):
        yield chunks


def whole_body(head):
    """Yield a whole body."""
    yield _whole(head)


def ahead(head):
    """Yield requests without a body."""
    request = b"GET / HTTP/1.1\r\nhost:x\r\n\r\n"
    yield request * (AHEAD_BYTES // len(request))


KINDS = {
    "trailers without end": trailers,
    "a trailer line without end": trailer_line,
    "bodies just short of their end": open_body,
    "bodies just short of their end, piece by piece": open_pieces,
    "chunks of one byte": one_byte_chunks,
    "whole bodies": whole_body,
    "requests ahead": ahead,
}


class Crowd:
    """Clients that send one kind of thing each over a connection, and read nothing."""

    def __init__(self, target, kind, count):
        self._target = target
        self._kind = KINDS[kind]
        self._count = count
        self._writers = []
        self._ids = itertools.count(1)

    async def send(self):
        """Have all clients send at once, and stay open for a while."""
        await asyncio.gather(*(self._send_one() for _ in range(self._count)))
        await asyncio.sleep(STAYING_S)

    async def _send_one(self):
        target = self._target
        head = target.head + b"x-request-id: hostile-%d\r\n" % next(self._ids)
        # A closed or blocked connection ends what a client sends.
        with contextlib.suppress(OSError, TimeoutError):
            _, writer = await asyncio.open_connection(target.host, target.port)
            self._writers.append(writer)
            async with asyncio.timeout(SENDING_S):
                for data in self._kind(head):
                    writer.write(data)
                    await writer.drain()

    def close(self):
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()


class GatewayWorld:
    """One gateway process, on a machine with little memory."""

    def __init__(self, runner):
        self.runner = runner
        self.world = soak_world.SoakWorld()
        self.world.limits = {"max_body_bytes": BODY_BYTES}
        self.world.gateway_settings = {"memory_mb": MACHINE_MB}
        self.crowds = []

    def start(self):
        self.runner.run(self.world.start(1, plain_servers=PLAIN_SERVERS))

    @property
    def gateway(self):
        return self.world.gateways["g0"]

    def target(self, port):
        head = (
            b"POST /notify/x HTTP/1.1\r\nhost: site.example\r\nx-deadline-ms: 6000\r\n"
        )
        pid = self.gateway.popen.pid
        return Target(self.gateway.host, PORTS[port], head, pid)

    def crowd(self, count, kind, port):
        crowd = Crowd(self.target(port), kind, count)
        self.crowds.append(crowd)
        self.runner.run(crowd.send())

    async def ask(self, raw):
        """Send one request, and return its reply."""
        reader, writer = await asyncio.open_connection(
            self.gateway.host, PORTS["clients"]
        )
        try:
            writer.write(raw)
            async with asyncio.timeout(route_world.WAIT_S):
                return await route_world.reply(reader)
        finally:
            writer.close()

    async def ask_beside(self, count, kind, raw_requests):
        """Send requests one after the other while a crowd sends; return the replies."""
        crowd = Crowd(self.target("clients"), kind, count)
        self.crowds.append(crowd)
        sending = asyncio.create_task(crowd.send())
        await asyncio.sleep(BESIDE_AFTER_S)
        replies = []
        for raw in raw_requests:
            try:
                replies.append(await self.ask(raw))
            except TimeoutError:
                replies.append(None)
        sending.cancel()
        return replies

    async def ask_all(self, count):
        """Send whole bodies at once; return the replies by request id."""
        ids = [f"whole-{number}" for number in range(count)]
        raw = [route_world.request("print", one, b"x" * BODY_BYTES) for one in ids]
        replies = await asyncio.gather(*(self.ask(one) for one in raw))
        return dict(zip(ids, replies, strict=True))

    def runs(self, request_id):
        """Return how often servers ran a request."""
        servers = self.world.servers.values()
        return sum(server.count_runs(request_id) for server in servers)

    def received(self, body):
        """Return the request with this body as its server received it."""
        return next(
            request
            for server in self.world.servers.values()
            for request in server.received
            if request.body == body
        )

    async def stop(self):
        for crowd in self.crowds:
            crowd.close()
        await self.world.stop()


def entry_target(deployment):
    """Return the port for callers of a deployment's first daemon."""
    head = b"POST /v1/services/booking/find HTTP/1.1\r\nhost: x\r\n"
    pid = deployment.processes["entry-1"].popen.pid
    return Target(deployment.hosts["entry-1"], deployments.CALLERS_PORT, head, pid)
