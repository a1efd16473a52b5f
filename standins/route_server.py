"""Stand-in for a backend server of routes: an engine with a stage, or a plain server.

It implements the server side of the platform's HTTP API over real sockets, with one
request at a time per connection. Each request consumes the next injected fault.
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import re
import socket
import struct
import typing
from collections import abc

import h11

from standins import answer_copies

__all__ = [
    "ASKS",
    "DEFAULT_VERSION",
    "IGNORES",
    "EVENT_COUNT",
    "EVENT_FORMAT",
    "EVENT_PAUSE_S",
    "HEALTH_TARGET",
    "ReceivedRequest",
    "RouteServer",
]

HEALTH_TARGET = "/health"
REPORT_TARGET = "/v1/report"
# What a server does about a head that announces its body.
ASKS = "asks"
IGNORES = "ignores"
DEFAULT_VERSION = "v1"
EVENT_COUNT = 6
EVENT_FORMAT = "id: {number}\ndata: {mark}piece {number}\n\n"
EVENT_PAUSE_S = 0.005
_CRASH_DELAY_S = 0.05
_CUT = re.compile("(?P<how>ends|reset) after (?P<bytes>[0-9]+)")
# Option of a socket that is reset when it is closed.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_RESPONSE_DELAYS_S = {
    "slow": 0.5,
    "slow decline": 0.5,
    "late": 1.3,
    "late cut": 1.3,
    "stuck": 30.0,
}


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A received request.

    Attributes:
        kind: `prefill` for a request that only prefills a prompt, `run` for one that is
            executed, or the path of another call.
        fields: Header fields by lower-case name.
    """

    kind: str
    method: str
    target: str
    fields: dict[str, str]
    body: bytes

    @property
    def parts(self) -> frozenset[str]:
        """Names of the parts of its prompt."""
        entries = self.fields.get("x-prompt-prefix", "").split(",")
        return frozenset(entry.partition(":")[0] for entry in entries)


class RouteServer:
    """A backend server.

    Args:
        server_id: Server id; a request that expects another id gets status 421.
        service: Service that the server belongs to.
        failure_domain: Failure domain of the server.
        stage: `prefill`, `decode`, or None for a plain server.
        version: Version of the server's software; events of other versions than the
            default one name it.

    Attributes:
        faults: Faults of the next `prefill` and `run` requests, one per request; an
            empty string is no fault. `decline` (503, not executed), `reset`, `cut` (in
            the middle of an event), `no proof` (response without a seal),
            `other first` (preceded by a response to another request), `fail` (500),
            `silent` (no response), `slow decline` (the first after a while), `slow` and
            `late` (delayed response), `late cut` (both), `comment only` (then a reset),
            `stuck` (queued for longer than any client waits), `from the start` (a
            resumed stream starts at its first event), `ends after N` and `reset after
            N` (the connection is closed or reset after so many bytes of the response).
        received: Received requests, in order.
        arrival_times: Times of their arrival, by the event loop's clock.
        heads: Requests whose head was read, with no body, and when, by the same clock.
            Those that are declined, and those whose body never comes, are among them.
        body_requests: `ASKS` for a body that is announced, or `IGNORES` that it is.
        advertised_address: Address to list the server under, if it is not its own.
        cancelled: Ids of requests whose client closed the connection before the
            response.
        freed_handles: KV handles that were freed.
        orders: Accepted orders of the current incarnation.
        unresponsive: Whether requests for its report or health get no response either.
        started_ms: Unix time of its start in milliseconds; None if not reported.
        event_count: Number of events of a stream.
        event_format: Format of an event, with the fields `number` and `mark`.
        stream_prefix: Bytes before the first event of each stream.
        stream_suffix: Bytes after the last event of each stream.
        chunk_bytes: Size of the chunks that streams are sent in; None for one chunk an
            event.
        event_pause_s: Time between two events of a stream.
        slowness: Factor of that time.
        first_event_delay_s: Time from the head of a stream to its first event.
        cuts_new_streams: Whether it cuts each stream that begins with its first event.
        restart_before_order: Whether it restarts after its next report.
        queued, running: Ids of queued and running requests, for its report.
        fatal_body: A request with this body crashes the server soon after it starts to
            run; None for no such request.
        fatal_parts: A request with one of these parts in its prompt crashes the server
            soon after its response begins.
        crashed: Whether the server has crashed.
        crashed_at: Time of the crash, by the event loop's clock.
        crashed_under: The fatal parts of the request that crashed it.
        notices: Header fields that it adds to all its responses.
        retry_after: Value of Retry-After with which it declines all requests; None to
            accept them.
        declined: Request ids that it declined so, and when they arrived.
        notified: Request ids of the responses with such fields, and when they began,
            by the event loop's clock.
        manners: What it refuses besides, and which answers it sends copies of.
        awake: Cleared while the server is silent: it accepts connections and reads and
            writes nothing.
        on_request: Called with each received request.
        on_head: Called with each request whose head has been read.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        failure_domain: str,
        stage: str | None = None,
        version: str = DEFAULT_VERSION,
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.failure_domain = failure_domain
        self.stage = stage
        self.version = version
        self.state = "ready"
        self.faults: collections.deque[str] = collections.deque()
        self.received: list[ReceivedRequest] = []
        self.arrival_times: list[float] = []
        self.heads: list[tuple[ReceivedRequest, float]] = []
        self.body_requests = ASKS
        self.advertised_address = ""
        self.cancelled: list[str] = []
        self.freed_handles: list[str] = []
        self.orders: list[dict[str, typing.Any]] = []
        self.unresponsive = False
        self.started_ms: int | None = None
        self.event_count = EVENT_COUNT
        self.event_format = EVENT_FORMAT
        self.stream_prefix = self.stream_suffix = b""
        self.chunk_bytes: int | None = None
        self.event_pause_s = EVENT_PAUSE_S
        self.slowness = 1.0
        self.first_event_delay_s = 0.0
        self.cuts_new_streams = False
        self.restart_before_order = False
        self.queued: set[str] = set()
        self.running: set[str] = set()
        self.fatal_body: bytes | None = None
        self.fatal_parts: frozenset[str] = frozenset()
        self.crashed = False
        self.crashed_at = 0.0
        self.crashed_under: frozenset[str] = frozenset()
        self.notices: list[tuple[bytes, bytes]] = []
        self.notified: list[tuple[str, float]] = []
        self.retry_after: str | None = None
        self.declined: list[tuple[str, float]] = []
        self.manners = answer_copies.Manners(server_id)
        self.awake = asyncio.Event()
        self.awake.set()
        self.on_request: abc.Callable[[ReceivedRequest], None] = lambda request: None
        self.on_head: abc.Callable[[ReceivedRequest], None] = lambda request: None
        self.port = 0
        self._check_ins = 0
        self._restarts = 0
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def crash(self) -> None:
        """Simulate a crash: reset all connections and accept no more."""
        self.crashed = True
        self.crashed_at = asyncio.get_running_loop().time()
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for connection in list(self._connections):
            connection.reset()

    async def fall_silent(self, seconds: float) -> None:
        """Read and write nothing for some time, and then go on."""
        self.awake.clear()
        await asyncio.sleep(seconds)
        self.awake.set()

    def restart(
        self,
        started_ms: int | None,
        version: str | None = None,
        *,
        silently: bool = False,
    ) -> None:
        """Start a new incarnation with the same id and address.

        Args:
            started_ms: Unix time of the start in milliseconds; None if not reported.
            version: Version of its software; None for the same as before.
            silently: Whether open connections are not reset before their next request,
                as after a loss of power.
        """
        self.started_ms = started_ms
        self.version = version or self.version
        self.orders = []
        self._check_ins = 0
        self._restarts += 1
        self.queued, self.running = set(), set()
        if not silently:
            self.reset_connections()

    def entry(self) -> dict[str, typing.Any]:
        """Return the entry that its next check-in writes to the store."""
        self._check_ins += 1
        entry: dict[str, typing.Any] = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.failure_domain,
            "version": self.version,
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._check_ins,
        }
        if self.stage is not None:
            entry["stage"] = self.stage
        if self.started_ms is not None:
            entry["born"] = self.started_ms
        return entry

    def count_runs(self, request_id: str) -> int:
        """Return how often the server executed a request."""
        return sum(
            item.kind == "run" and item.fields.get("x-request-id") == request_id
            for item in self.received
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        connection = _Connection(
            reader,
            writer,
            self.notices,
            self.notified,
            self.awake,
            self._read_head,
            answer_copies.OwedCopies(self.manners),
        )
        self._connections.add(connection)
        incarnation = self._restarts
        try:
            while (request := await connection.read_request()) is not None:
                if self._restarts != incarnation:
                    connection.reset()
                    break
                if not await self._respond(connection, request):
                    break
        except (ConnectionError, h11.RemoteProtocolError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(connection)
            writer.close()

    def _read_head(self, head: ReceivedRequest) -> bool:
        """Record a head; return whether the server asks for an announced body."""
        self.heads.append((head, asyncio.get_running_loop().time()))
        self.on_head(head)
        return self.body_requests == ASKS

    async def _respond(
        self, connection: "_Connection", request: ReceivedRequest
    ) -> bool:
        """Respond to a request; returns False if the connection must be closed."""
        expected = request.fields.get("x-expect-instance", self.server_id)
        self.received.append(request)
        self.arrival_times.append(asyncio.get_running_loop().time())
        self.on_request(request)
        if expected != self.server_id:
            await connection.send(421, _repeated_id(request), b"")
            return True
        if request.target in (HEALTH_TARGET, REPORT_TARGET):
            status = self.manners.refusal_of_question()
            if status is not None:
                self._forget_last()
                await connection.refuse(status, [])
                return True
            if self.unresponsive:
                await connection.wait_closed()
                return False
        if request.target == REPORT_TARGET:
            await connection.send(200, [], json.dumps(self._report()).encode())
            if self.restart_before_order:
                self.restart_before_order = False
                self.restart((self.started_ms or 0) + 1)
                return False
            return True
        if request.target == HEALTH_TARGET:
            self._forget_last()
            status = 200 if self.state == "ready" else 503
            identity = [(b"x-instance-id", self.server_id.encode())]
            await connection.send(status, identity, b"")
            return True
        if request.target == "/v1/order":
            return await self._handle_order(connection, request)
        if request.method == "DELETE":
            self.freed_handles.append(request.target.rsplit("/", 1)[-1])
            await connection.send(200, [], b"{}")
            return True
        return await self._execute(connection, request)

    def _report(self) -> dict[str, typing.Any]:
        report: dict[str, typing.Any] = {
            "stage": self.stage,
            "busy": False,
            "sequence": len(self.orders),
            "queued": len(self.queued),
            "running": len(self.running),
            "runs": [[name, 0, 0, 5] for name in self.running],
        }
        return report if self.started_ms is None else report | {"born": self.started_ms}

    async def _handle_order(
        self, connection: "_Connection", request: ReceivedRequest
    ) -> bool:
        order = json.loads(request.body)
        if order["precondition"] != len(self.orders):
            await connection.send(409, [], b"{}")
            return True
        self.orders.append(order)
        self.stage = order["stage"]
        await connection.send(202, [], b"{}")
        return True

    async def _execute(
        self, connection: "_Connection", request: ReceivedRequest
    ) -> bool:
        fault = self.faults.popleft() if self.faults else ""
        request_id = request.fields.get("x-request-id", "")
        headers = [(b"x-request-id", request_id.encode())]
        if self.retry_after is not None:
            self.received.pop()
            self.declined.append((request_id, self.arrival_times.pop()))
            rest = (b"retry-after", self.retry_after.encode())
            await connection.send(503, [*headers, (b"x-not-executed", b"1"), rest], b"")
            return True
        if (status := self.manners.refusal_of_run()) is not None:
            self._forget_last()
            await connection.refuse(status, headers)
            return True
        started_ms = self.started_ms
        lifetime = started_ms or self._restarts
        handle_suffix = f"-{lifetime}" if lifetime else ""
        if fault == "decline":
            self._forget_last()
            await connection.send(503, [*headers, (b"x-not-executed", b"1")], b"")
            return True
        if fault == "reset":
            connection.reset()
            return False
        if cut := _CUT.fullmatch(fault):
            connection.cut_after(int(cut["bytes"]), resets=cut["how"] == "reset")
        if fault == "silent":
            await self._wait_cancelled(connection, request_id)
            return False
        if fault in _RESPONSE_DELAYS_S:
            closed = asyncio.create_task(self._wait_cancelled(connection, request_id))
            self.queued.add(request_id)
            await asyncio.wait({closed}, timeout=_RESPONSE_DELAYS_S[fault])
            self.queued.discard(request_id)
            if closed.done():
                return False
            closed.cancel()
            await asyncio.wait({closed})
        if fault == "slow decline":
            self._forget_last()
            await connection.send(503, [*headers, (b"x-not-executed", b"1")], b"")
            return True
        if fault == "fail":
            await connection.send(
                500, [*headers, (b"x-response-seal", b"f")], b"failed"
            )
            return True
        if request.kind == "run" and request.body == self.fatal_body:
            await asyncio.sleep(_CRASH_DELAY_S)
            self.crash()
            return False
        if fault == "other first":
            foreign_headers = [
                (b"x-request-id", b"other"),
                (b"x-response-seal", b"other"),
            ]
            await connection.send(200, foreign_headers, b"not yours", expected=False)
        if request.kind == "prefill":
            handle: dict[str, typing.Any] = {
                "kv_handle": f"h-{request_id}{handle_suffix}",
                "tokens": 1,
                "version": 1,
            }
            if started_ms is not None:
                handle["born"] = started_ms
            await connection.send(200, headers, json.dumps(handle).encode())
            return True
        if fault != "no proof":
            headers.append((b"x-response-seal", f"seal-{self.server_id}".encode()))
        if self.stage is None:
            await connection.send(200, headers, b"answer of " + request.body)
            return True
        self.running.add(request_id)
        try:
            return await self._stream(connection, request, headers, fault)
        finally:
            self.running.discard(request_id)

    def _forget_last(self) -> None:
        self.received.pop()
        self.arrival_times.pop()

    async def _wait_cancelled(self, connection: "_Connection", request_id: str) -> None:
        await connection.wait_closed()
        self.cancelled.append(request_id)

    async def _stream(
        self,
        connection: "_Connection",
        request: ReceivedRequest,
        fields: list[tuple[bytes, bytes]],
        fault: str,
    ) -> bool:
        first = int(request.fields.get("last-event-id", "0")) + 1
        if fault == "from the start":
            first = 1
        await connection.send_head(200, fields)
        if fault == "comment only":
            await connection.send_chunk(b": waiting\n\n")
            connection.reset()
            return False
        await asyncio.sleep(self.first_event_delay_s)
        if self.fatal_parts & request.parts:
            await asyncio.sleep(_CRASH_DELAY_S)
            self.crashed_under = self.crashed_under or self.fatal_parts & request.parts
            self.crash()
            return False
        is_cut = fault.endswith("cut") or (self.cuts_new_streams and first == 1)
        mark = "" if self.version == DEFAULT_VERSION else f"{self.version} "
        for number in range(first, self.event_count + 1):
            event = self.event_format.format(number=number, mark=mark).encode()
            if number == first:
                event = self.stream_prefix + event
            if is_cut and number == first + 2:
                await connection.send_chunk(event[: len(event) // 2])
                connection.reset()
                return False
            size = self.chunk_bytes or len(event)
            for start in range(0, len(event), size):
                await connection.send_chunk(event[start : start + size])
            await asyncio.sleep(self.event_pause_s * self.slowness)
        await connection.send_chunk(self.stream_suffix)
        await connection.send_end()
        return True


class _Connection:
    """A server connection.

    Args:
        reader: Bytes from the client.
        writer: Bytes to the client.
        notices: The server's header fields for all responses; they may change.
        notified: The server's record of the responses with such fields.
        awake: Cleared while the server reads and writes nothing.
        on_head: Called with each head; returns whether to ask for an announced body.
        copies: Copies of answers that are to be sent.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        notices: list[tuple[bytes, bytes]],
        notified: list[tuple[str, float]],
        awake: asyncio.Event,
        on_head: abc.Callable[[ReceivedRequest], bool],
        copies: answer_copies.OwedCopies,
    ) -> None:
        self._copies = copies
        self._answer = bytearray()
        self._held = bytearray()
        self._holds = False
        self._awake = awake
        self._on_head = on_head
        self._notices = notices
        self._notified = notified
        self._reader = reader
        self._writer = writer
        self._parser = h11.Connection(h11.SERVER)
        self._left: int | None = None
        self._resets = False

    def cut_after(self, size: int, *, resets: bool) -> None:
        """Close or reset the connection after so many bytes of the next response."""
        self._left = size
        self._resets = resets

    def _write(self, data: bytes) -> None:
        """Write data, up to where the response is cut.

        Raises:
            ConnectionError: If the response is cut here.
        """
        part = data[: self._left]
        self._answer += part
        self._held += part
        if not self._holds:
            self._flush()
        if self._left is None:
            return
        self._left -= len(part)
        if len(part) < len(data):
            if self._resets:
                link = self._writer.get_extra_info("socket")
                link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
                self.reset()
            raise ConnectionAbortedError

    async def read_request(self) -> ReceivedRequest | None:
        """Return the next request, or None at the end of the connection."""
        self._left = None
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                data = await self._reader.read(65_536)
                await self._awake.wait()
                if not data and head is None:
                    return None
                self._parser.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
                asks = self._on_head(_parse_request(head, b""))
                if asks and self._parser.they_are_waiting_for_100_continue:
                    await self._ask_for_body()
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _parse_request(head, bytes(body))
            else:
                return None

    async def _ask_for_body(self) -> None:
        await self._awake.wait()
        interim = h11.InformationalResponse(status_code=100, headers=[])
        self._writer.write(self._parser.send(interim) or b"")
        await self._writer.drain()

    async def send(
        self,
        status: int,
        fields: list[tuple[bytes, bytes]],
        body: bytes,
        *,
        expected: bool = True,
    ) -> None:
        """Send a full response.

        Args:
            status: HTTP status.
            fields: Header fields other than the content length.
            body: Body of the response.
            expected: Whether it is the response to the current request. False sends an
                additional response ahead of that one.
        """
        if not expected:
            head = b"".join(n + b": " + v + b"\r\n" for n, v in fields)
            length = b"content-length: %d\r\n\r\n" % len(body)
            self._write(b"HTTP/1.1 %d \r\n" % status + head + length + body)
            await self._writer.drain()
            return
        await self.send_head(status, [*fields, (b"content-length", b"%d" % len(body))])
        await self.send_chunk(body)
        await self.send_end()

    async def refuse(self, status: int, fields: list[tuple[bytes, bytes]]) -> None:
        """Send a refusal that says "not run", and what is owed at once behind it."""
        self._holds = True
        await self.send(status, [*fields, (b"x-not-executed", b"1")], b"")
        self._holds = False
        self._flush()

    async def _send_copies(self, copies: list[answer_copies.Copy]) -> None:
        """Send copies of earlier answers; raises `ConnectionError` after a cut one."""
        for copy in copies:
            if not copy.is_together:
                self._flush()
            self._held += copy.data
            if not copy.is_together or copy.is_cut:
                self._flush()
                await self._writer.drain()
            if copy.is_cut:
                raise ConnectionAbortedError

    def _flush(self) -> None:
        """Write what is held back, in one packet."""
        self._writer.write(bytes(self._held))
        self._held.clear()

    async def send_head(self, status: int, fields: list[tuple[bytes, bytes]]) -> None:
        """Send the status line and header fields, after the copies that are due."""
        await self._awake.wait()
        await self._send_copies(self._copies.due())
        self._answer.clear()
        headers = [*fields, *self._notices]
        if self._notices:
            request_id = dict(fields).get(b"x-request-id", b"").decode()
            now = asyncio.get_running_loop().time()
            self._notified.append((request_id, now))
        response = h11.Response(status_code=status, headers=headers)
        self._write(self._parser.send(response) or b"")
        await self._writer.drain()

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the body."""
        await self._awake.wait()
        if data:
            self._write(self._parser.send(h11.Data(data)) or b"")
            await self._writer.drain()

    async def send_end(self) -> None:
        """Send the end of the body."""
        await self._awake.wait()
        self._write(self._parser.send(h11.EndOfMessage()) or b"")
        await self._writer.drain()
        await self._send_copies(self._copies.after(bytes(self._answer)))

    async def wait_closed(self) -> None:
        """Wait until the client closes the connection."""
        with contextlib.suppress(ConnectionError):
            while await self._reader.read(65_536):
                pass

    def reset(self) -> None:
        """Reset the connection."""
        self._writer.transport.abort()


def _repeated_id(request: ReceivedRequest) -> list[tuple[bytes, bytes]]:
    """Return the id of a request as a field of its answer; a call may have none."""
    name = request.fields.get("x-request-id")
    return [] if name is None else [(b"x-request-id", name.encode())]


def _parse_request(head: h11.Request, body: bytes) -> ReceivedRequest:
    fields = {n.decode().lower(): v.decode("latin-1") for n, v in head.headers}
    kind = "prefill" if fields.get("x-stage") == "prefill" else "run"
    target = head.target.decode()
    if target.startswith("/v1/"):
        kind = target
    return ReceivedRequest(kind, head.method.decode(), target, fields, body)
