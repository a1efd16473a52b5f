"""A server in trouble that sends bytes until its peer closes the connection."""

import asyncio
import contextlib
import itertools
import json

from tests.support import closing_server

__all__ = ["DRIPS", "FLOODS", "FloodingServer"]

HEAD = b"HTTP/1.1 200 OK\r\nx-response-seal: s\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
HANDLE = json.dumps({"kv_handle": "h", "tokens": 1, "version": 1}).encode()
BLOCK = 65_536
DRIP_PAUSE_S = 0.02


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def numbered_events():
    for number in itertools.count(1):
        yield chunk(b"id: %d\ndata: token\n\n" % number)


# What is sent first, and what is sent again and again from then on.
FLOODS = {
    "a header line": (HEAD + b"x: ", b"a" * BLOCK),
    "header lines": (HEAD, b"x: a\r\n" * 8192),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
    "bytes that are no answer": (b"", b"\0" * BLOCK),
    "blank lines": (b"", b"\r\n" * 8192),
    "a body": (CHUNKED, chunk(b"a" * BLOCK)),
    "a body of single bytes": (CHUNKED, chunk(b"a") * 8192),
    "a body of a stated length": (
        HEAD + b"content-length: 1000000000000\r\n\r\n",
        b"a" * BLOCK,
    ),
    "a body that ends with its connection": (HEAD + b"\r\n", b"a" * BLOCK),
    "a chunk's extension": (CHUNKED + b"1;", b"a" * BLOCK),
    "trailer fields": (CHUNKED + b"0\r\n", b"x: a\r\n" * 8192),
    "an event": (CHUNKED + chunk(b"id: 1\ndata: "), chunk(b"a" * BLOCK)),
    "events without numbers": (CHUNKED, chunk(b"data: a\n\n" * 8192)),
    "comments": (CHUNKED, chunk(b":\n\n" * 8192)),
    "numbered events": (CHUNKED, None),
    "a refusal's body": (
        b"HTTP/1.1 503 Unavailable\r\nx-not-executed: 1\r\n"
        b"transfer-encoding: chunked\r\n\r\n",
        chunk(b"a" * BLOCK),
    ),
    "an extra answer's body": (
        HEAD + b"x-request-id: other\r\ntransfer-encoding: chunked\r\n\r\n",
        chunk(b"a" * BLOCK),
    ),
    "a failure's body": (
        b"HTTP/1.1 500 Failed\r\ntransfer-encoding: chunked\r\n\r\n",
        chunk(b"a" * BLOCK),
    ),
}
DRIPS = {
    "a header line": (HEAD + b"x: ", b"a"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "a body": (CHUNKED, chunk(b"a")),
    "an event": (CHUNKED + chunk(b"id: 1\ndata: "), chunk(b"a")),
    "a refusal's body": (FLOODS["a refusal's body"][0], chunk(b"a")),
}


class FloodingServer:
    """Answers every request without end, and questions whether it reads if it is told.

    Args:
        name: Its id.
        service: Its service.
        stage: `decode` for an engine, None for a plain server.
        first: Bytes that an answer begins with.
        then: Bytes that are sent again and again; None for numbered events.
        pause_s: Pause between two times.

    Attributes:
        floods_questions: Whether it answers questions whether it reads without end too.
        sent: Bytes that were sent on the connection with the most.
        requests: Number of requests that it has answered without end.
        calls: Number of those that are no questions.
        ended: Number of connections that the peer has closed.
    """

    def __init__(self, name, service, stage, first, then, pause_s=0.0):
        self.name = name
        self.service = service
        self._stage = stage
        self._first = first
        self._then = then
        self._pause_s = pause_s
        self.floods_questions = False
        self.sent = 0
        self.requests = self.calls = 0
        self.ended = 0
        self.port = 0

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stop listening."""
        self._server.close()

    def entry(self):
        """Return its entry in the store."""
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}"}
        entry |= {"zone": "here", "version": "v1", "slots": 8, "state": "ready"}
        entry |= {"cold_remaining_ms": 0, "sequence": 1}
        return entry if self._stage is None else entry | {"stage": self._stage}

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            head = await reader.readuntil(b"\r\n\r\n")
            while (
                head.startswith(closing_server.QUESTIONS) and not self.floods_questions
            ):
                writer.write(closing_server.SOUND_ANSWER)
                head = await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            self.calls += not head.startswith(closing_server.QUESTIONS)
            await self._flood(writer, _request_id(head))
        self.ended += 1
        writer.close()

    async def _flood(self, writer, request_id):
        rest = numbered_events() if self._then is None else itertools.repeat(self._then)
        sent = 0
        first = self._first.replace(b"\r\n", b"\r\n" + request_id, 1)
        for part in itertools.chain([first], rest):
            writer.write(part)
            sent += len(part)
            self.sent = max(self.sent, sent)
            await writer.drain()
            await asyncio.sleep(self._pause_s)


def _request_id(head):
    """Return the header line with the id of a request; empty if it has none."""
    lines = head.split(b"\r\n")
    found = (line for line in lines if line.lower().startswith(b"x-request-id:"))
    return b"".join(line + b"\r\n" for line in found)
