"""A server of requests that stands still, and answers questions whether it reads."""

import asyncio
import dataclasses

__all__ = ["LONG_BODY_BYTES", "ReadingServer", "Received"]

# More than is on its way at once, so that the server is still sending when it closes.
LONG_BODY_BYTES = 1_000_000

_HINT = b"HTTP/1.1 103 Early Hints\r\n\r\n"
_ANSWER = b"HTTP/1.1 200 OK\r\nx-response-seal: s\r\ncontent-length: 2\r\n\r\nok"
_LAST_ANSWER = _ANSWER.replace(b"200 OK\r\n", b"200 OK\r\nconnection: close\r\n")
_STALE_ANSWER = _ANSWER.replace(b"200 OK\r\n", b"200 OK\r\nx-request-id: r0\r\n")
_LONG_ANSWER = (
    b"HTTP/1.1 413 Content Too Large\r\nconnection: close\r\n"
    b"content-length: %d\r\n\r\n" % LONG_BODY_BYTES
) + bytes(LONG_BODY_BYTES)
_DECLINE = (
    b"HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\n"
    b"content-length: 0\r\n\r\n"
)


@dataclasses.dataclass
class Received:
    """A head that was received, and the body once it has followed."""

    connection: int
    announced: bool
    time_left_ms: int
    body: bytes | None = None


class ReadingServer:
    """Answers questions (GET) at once, and requests as `manner` says.

    Args:
        manner: `answers` requests, `hints and answers`, `declines` them, `closes` the
            connection instead, `answers at length and closes`, `sends hints without
            end`, `closes after questions`, `is full` (declines questions), `ignores
            kept connections` or `answers an earlier request first` on these.

    Attributes:
        requests: Received heads, in order.
        questions: The connections over which it was asked whether it reads, in order.
        reading: Cleared while the server reads nothing.
        head_read: Set when a head has been read, of a question or a request.
    """

    def __init__(self, manner):
        self.manner = manner
        self.requests = []
        self.questions = []
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
        exchanges = 0
        try:
            while True:
                await self._exchange(number, reader, writer, is_kept=exchanges > 1)
                exchanges += 1
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _exchange(self, number, reader, writer, *, is_kept):
        await self.reading.wait()
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        await self.reading.wait()
        if is_kept and self.manner == "ignores kept connections":
            await reader.read()
            raise ConnectionAbortedError
        self.head_read.set()
        if head.startswith(b"get "):
            self.questions.append(number)
            self._answer_question(writer, is_kept=is_kept)
            return
        request = Received(
            number,
            b"expect: 100-continue" in head,
            int(_value(head, b"x-deadline-ms")),
        )
        self.requests.append(request)
        if self.manner == "closes":
            raise ConnectionAbortedError
        if self.manner == "answers at length and closes":
            writer.write(_answer_to(head, _LONG_ANSWER))
            writer.write_eof()
            # A server that closes with a request unread resets its own answer.
            await reader.read()
            raise ConnectionAbortedError
        while self.manner == "sends hints without end":
            writer.write(_HINT)
            await writer.drain()
        request.body = await reader.readexactly(int(_value(head, b"content-length")))
        answer = _DECLINE if self.manner == "declines" else _ANSWER
        hints = _HINT * (self.manner == "hints and answers")
        writer.write(hints + _answer_to(head, answer))

    def _answer_question(self, writer, *, is_kept):
        if self.manner == "closes after questions":
            writer.write(_LAST_ANSWER)
            raise ConnectionAbortedError
        if is_kept and self.manner == "answers an earlier request first":
            writer.write(_STALE_ANSWER)
        writer.write(_DECLINE if self.manner == "is full" else _ANSWER)


def _value(head, name):
    return head.partition(name + b": ")[2].partition(b"\r\n")[0]


def _answer_to(head, answer):
    """Return an answer with the id of its request."""
    request_id = b"\r\nx-request-id: " + _value(head, b"x-request-id")
    return answer.replace(b"\r\n", request_id + b"\r\n", 1)
