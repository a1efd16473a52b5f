"""A server of requests whose heads announce that their bodies follow on request."""

import asyncio
import dataclasses

__all__ = ["LONG_BODY_BYTES", "InterimServer", "Received"]

# More than is on its way at once, so that the server is still sending when it closes.
LONG_BODY_BYTES = 1_000_000

_ASK = b"HTTP/1.1 100 Continue\r\n\r\n"
_HINT = b"HTTP/1.1 103 Early Hints\r\n\r\n"
_ANSWER = b"HTTP/1.1 200 OK\r\nx-response-seal: s\r\ncontent-length: 2\r\n\r\nok"
_LONG_ANSWER = (
    b"HTTP/1.1 413 Content Too Large\r\nconnection: close\r\n"
    b"content-length: %d\r\n\r\n" % LONG_BODY_BYTES
) + bytes(LONG_BODY_BYTES)
_REJECT = b"HTTP/1.1 417 Expectation Failed\r\ncontent-length: 0\r\n\r\n"
_DECLINE = (
    b"HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\n"
    b"content-length: 0\r\n\r\n"
)


@dataclasses.dataclass
class Received:
    """A head that was received, and the body once it has followed."""

    connection: int
    announced: bool
    body: bytes | None = None


class InterimServer:
    """Answers each request with a body, as `manner` says, and others at once.

    Args:
        manner: `asks` for the body, `hints and asks`, `ignores` that it is announced,
            `rejects` that, `declines` before the body, `closes` before it, `answers at
            length and closes` or `sends hints without end` instead of asking.

    Attributes:
        requests: Received heads, in order.
        reading: Cleared while the server reads nothing.
        head_read: Set when a head has been read.
    """

    def __init__(self, manner):
        self.manner = manner
        self.requests = []
        self.reading = asyncio.Event()
        self.reading.set()
        self.head_read = asyncio.Event()
        self._connections = 0
        self._server = None

    async def start(self):
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()

    @property
    def bodies(self):
        """The bodies of the requests that were received whole."""
        return [r.body for r in self.requests if r.body is not None]

    async def _serve(self, reader, writer):
        self._connections += 1
        number = self._connections
        try:
            while True:
                await self._exchange(number, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _exchange(self, number, reader, writer):
        await self.reading.wait()
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        await self.reading.wait()
        if head.startswith(b"get "):
            writer.write(_ANSWER)
            return
        request = Received(number, b"expect: 100-continue" in head)
        self.requests.append(request)
        self.head_read.set()
        if request.announced and self.manner == "rejects":
            writer.write(_REJECT)
            raise ConnectionAbortedError
        if self.manner.endswith("closes"):
            if self.manner.startswith("answers"):
                writer.write(_LONG_ANSWER)
            raise ConnectionAbortedError
        while self.manner == "sends hints without end":
            writer.write(_HINT)
            await writer.drain()
        if self.manner == "declines":
            writer.write(_DECLINE)
        elif request.announced and self.manner != "ignores":
            writer.write(_HINT * (self.manner == "hints and asks") + _ASK)
        length = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
        request.body = await reader.readexactly(int(length))
        if self.manner != "declines":
            writer.write(_ANSWER)
