"""Stand-in for a server behind routes: an engine with stages, or a plain service.

It speaks the server side of the users' platform over real sockets, one request at a
time on a connection, and misbehaves on command: each request takes the next fault of
its list.
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import typing

import h11

__all__ = ["Received", "RouteServer"]

_EVENTS = 6
_FATAL_AFTER_S = 0.05
_PAUSES_S = {"slow": 0.5, "late": 1.3, "late cut": 1.3, "stuck": 30.0}


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """One request that arrived.

    Attributes:
        what: `read` for a prompt that is only read, `run`, or the call's path.
    """

    what: str
    method: str
    target: str
    fields: dict[str, str]
    body: bytes


class RouteServer:
    """One life of a server.

    Args:
        server_id: Its id; a request that expects another one is misdirected.
        service: Service it belongs to.
        failure_domain: Where it stands.
        stage: `prefill`, `decode`, or None for a plain server.

    Attributes:
        faults: Taken one by one by requests that read or run; empty text for none.
            `decline`, `reset`, `cut` (in the middle of an event), `no proof`,
            `other first` (an answer to another request comes first), `fail`, `silent`,
            `slow` and `late` (pauses before the answer), `late cut` (both), `stuck` (it
            stays queued for longer than any client waits), `from the start` (a resumed
            stream begins anew).
        received: What arrived, in order.
        times: When each of these arrived, by the event loop's clock.
        listed_at: Address of its entry, if that is not its own.
        cancelled: Ids of requests whose connection closed while they ran.
        freed: Handles that were freed.
        dark: It answers no report either.
        born: Unix time of its start in milliseconds; None if it does not say.
        reborn_before_order: It starts again when it has given its next report.
        queued, running: Ids of requests that it has, for its report.
        fatal_body: A request with this body ends the process soon after it begins to
            run; None if there is none.
        ended: The process has ended by such a request.
        ended_at: When, by the event loop's clock.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        failure_domain: str,
        stage: str | None = None,
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.failure_domain = failure_domain
        self.stage = stage
        self.state = "ready"
        self.faults: collections.deque[str] = collections.deque()
        self.received: list[Received] = []
        self.times: list[float] = []
        self.listed_at = ""
        self.cancelled: list[str] = []
        self.freed: list[str] = []
        self.orders: list[dict[str, typing.Any]] = []
        self.dark = False
        self.born: int | None = None
        self.reborn_before_order = False
        self.queued: set[str] = set()
        self.running: set[str] = set()
        self.fatal_body: bytes | None = None
        self.ended = False
        self.ended_at = 0.0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._links: set[_Link] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the address and every connection."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def crash(self) -> None:
        """End the process: every connection closes and none is accepted."""
        self.ended = True
        self.ended_at = asyncio.get_running_loop().time()
        if self._server is not None:
            self._server.close()
        for link in list(self._links):
            link.reset()

    def start_again(self, born: int) -> None:
        """Start a new life under the same id and address."""
        self.born = born
        self.orders = []
        self.queued, self.running = set(), set()
        for link in self._links:
            link.reset()

    def entry(self) -> dict[str, typing.Any]:
        """Return what the server writes about itself into the store."""
        entry: dict[str, typing.Any] = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.failure_domain,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        if self.stage is not None:
            entry["stage"] = self.stage
        if self.born is not None:
            entry["born"] = self.born
        return entry

    def runs(self, request_id: str) -> int:
        """Return how often a request ran here."""
        return sum(
            item.what == "run" and item.fields.get("x-request-id") == request_id
            for item in self.received
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        link = _Link(reader, writer)
        self._links.add(link)
        try:
            while (received := await link.request()) is not None:
                if not await self._answer(link, received):
                    break
        except (ConnectionError, h11.RemoteProtocolError, asyncio.CancelledError):
            pass
        finally:
            self._links.discard(link)
            writer.close()

    async def _answer(self, link: "_Link", received: Received) -> bool:
        """Answer a request; False if the connection is to be closed."""
        expected = received.fields.get("x-expect-instance", self.server_id)
        self.received.append(received)
        self.times.append(asyncio.get_running_loop().time())
        if expected != self.server_id:
            await link.send(421, [], b"")
            return True
        if received.target == "/v1/report":
            if self.dark:
                await link.until_closed()
                return False
            await link.send(200, [], json.dumps(self._report()).encode())
            if self.reborn_before_order:
                self.reborn_before_order = False
                self.start_again((self.born or 0) + 1)
                return False
            return True
        if received.target == "/v1/order":
            return await self._order(link, received)
        if received.method == "DELETE":
            self.freed.append(received.target.rsplit("/", 1)[-1])
            await link.send(200, [], b"{}")
            return True
        return await self._work(link, received)

    def _report(self) -> dict[str, typing.Any]:
        report: dict[str, typing.Any] = {
            "stage": self.stage,
            "busy": False,
            "sequence": len(self.orders),
            "queued": len(self.queued),
            "running": len(self.running),
            "runs": [[name, 0, 0, 5] for name in self.running],
        }
        return report if self.born is None else report | {"born": self.born}

    async def _order(self, link: "_Link", received: Received) -> bool:
        order = json.loads(received.body)
        if order["precondition"] != len(self.orders):
            await link.send(409, [], b"{}")
            return True
        self.orders.append(order)
        self.stage = order["stage"]
        await link.send(202, [], b"{}")
        return True

    async def _work(self, link: "_Link", received: Received) -> bool:
        fault = self.faults.popleft() if self.faults else ""
        request_id = received.fields.get("x-request-id", "")
        own = [(b"x-request-id", request_id.encode())]
        born = "" if self.born is None else f"-{self.born}"
        if fault == "decline":
            self.received.pop()
            self.times.pop()
            await link.send(503, [*own, (b"x-not-executed", b"1")], b"")
            return True
        if fault == "reset":
            link.reset()
            return False
        if fault == "silent":
            await self._until_closed(link, request_id)
            return False
        if fault in _PAUSES_S:
            closed = asyncio.create_task(self._until_closed(link, request_id))
            self.queued.add(request_id)
            await asyncio.wait({closed}, timeout=_PAUSES_S[fault])
            self.queued.discard(request_id)
            if closed.done():
                return False
            closed.cancel()
            await asyncio.wait({closed})
        if fault == "fail":
            await link.send(500, [*own, (b"x-response-seal", b"f")], b"failed")
            return True
        if received.what == "run" and received.body == self.fatal_body:
            await asyncio.sleep(_FATAL_AFTER_S)
            self.crash()
            return False
        if fault == "other first":
            others = [(b"x-request-id", b"other"), (b"x-response-seal", b"other")]
            await link.send(200, others, b"not yours", end=False)
        if received.what == "read":
            handle = {"kv_handle": f"h-{request_id}{born}", "tokens": 1, "version": 1}
            await link.send(200, own, json.dumps(handle).encode())
            return True
        if fault != "no proof":
            own.append((b"x-response-seal", f"seal-{self.server_id}".encode()))
        if self.stage is None:
            await link.send(200, own, b"answer of " + received.body)
            return True
        return await self._stream(link, received, own, fault)

    async def _until_closed(self, link: "_Link", request_id: str) -> None:
        await link.until_closed()
        self.cancelled.append(request_id)

    async def _stream(
        self,
        link: "_Link",
        received: Received,
        fields: list[tuple[bytes, bytes]],
        fault: str,
    ) -> bool:
        first = int(received.fields.get("last-event-id", "0")) + 1
        if fault == "from the start":
            first = 1
        await link.begin(200, fields)
        for number in range(first, _EVENTS + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if fault.endswith("cut") and number == first + 2:
                await link.part(event[: len(event) // 2])
                link.reset()
                return False
            await link.part(event)
            await asyncio.sleep(0.005)
        await link.end()
        return True


class _Link:
    """One connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._parser = h11.Connection(h11.SERVER)

    async def request(self) -> Received | None:
        """Return the next request, or None at the connection's end."""
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                data = await self._reader.read(65_536)
                if not data and head is None:
                    return None
                self._parser.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _received(head, bytes(body))
            else:
                return None

    async def send(
        self,
        status: int,
        fields: list[tuple[bytes, bytes]],
        body: bytes,
        *,
        end: bool = True,
    ) -> None:
        """Send a whole answer; without `end`, one more than was asked for."""
        if not end:
            head = b"".join(n + b": " + v + b"\r\n" for n, v in fields)
            length = b"content-length: %d\r\n\r\n" % len(body)
            self._writer.write(b"HTTP/1.1 %d \r\n" % status + head + length + body)
            await self._writer.drain()
            return
        await self.begin(status, [*fields, (b"content-length", b"%d" % len(body))])
        await self.part(body)
        await self.end()

    async def begin(self, status: int, fields: list[tuple[bytes, bytes]]) -> None:
        """Send status and header."""
        response = h11.Response(status_code=status, headers=fields)
        self._writer.write(self._parser.send(response) or b"")
        await self._writer.drain()

    async def part(self, data: bytes) -> None:
        """Send a part of the body."""
        if data:
            self._writer.write(self._parser.send(h11.Data(data)) or b"")
            await self._writer.drain()

    async def end(self) -> None:
        """Send the end of the body."""
        self._writer.write(self._parser.send(h11.EndOfMessage()) or b"")
        await self._writer.drain()

    async def until_closed(self) -> None:
        """Wait until the other side closes the connection."""
        with contextlib.suppress(ConnectionError):
            while await self._reader.read(65_536):
                pass

    def reset(self) -> None:
        """Close the connection so that the other side sees a reset."""
        self._writer.transport.abort()


def _received(head: h11.Request, body: bytes) -> Received:
    fields = {n.decode().lower(): v.decode() for n, v in head.headers}
    what = "read" if fields.get("x-stage") == "prefill" else "run"
    target = head.target.decode()
    if target.startswith("/v1/"):
        what = target
    return Received(what, head.method.decode(), target, fields, body)
