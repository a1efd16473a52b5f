"""A server whose answers have no length and end with their connection."""

import asyncio
import contextlib
import json

from pimentolatch.backend import sockets

__all__ = ["QUESTIONS", "SOUND_ANSWER", "ClosingServer"]

SEAL = b"x-response-seal: s"
EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 4))
PLAIN = b"whole body"
# Health checks of plain servers and requests for engines' reports.
QUESTIONS = (b"GET /health", b"GET /v1/report")
SOUND_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
HANDLE = {"kv_handle": "h", "tokens": 1, "version": 1}
# Longer than it takes a client to read what was sent before the end.
PAUSE_S = 0.05


class ClosingServer:
    """Answers requests, one on each connection, and questions whether it reads.

    Args:
        name: Its id.
        service: Its service.
        stage: `decode` for an engine, None for a plain server.
        ending: `closed`, `reset`, or `closed within an event`.
    """

    def __init__(self, name, service, stage, ending):
        self.name = name
        self.service = service
        self._stage = stage
        self._ending = ending

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def stop(self):
        """Stop listening."""
        self._server.close()

    def entry(self):
        """Return its entry in the store."""
        port = self._server.sockets[0].getsockname()[1]
        entry = {"service": self.service, "address": f"127.0.0.1:{port}"}
        entry |= {"zone": "here", "version": "v1", "slots": 8, "state": "ready"}
        entry |= {"cold_remaining_ms": 0, "sequence": 1}
        return entry if self._stage is None else entry | {"stage": self._stage}

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            while head.startswith(QUESTIONS):
                writer.write(SOUND_ANSWER)
                head = await reader.readuntil(b"\r\n\r\n")
            if b"x-stage: prefill" in head.lower():
                body = json.dumps(HANDLE).encode()
                length = b"content-length: %d" % len(body)
                writer.write(b"HTTP/1.1 200 OK\r\n" + length + b"\r\n\r\n" + body)
            else:
                await self._answer(writer)
        writer.close()

    async def _answer(self, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n" + SEAL + b"\r\n\r\n")
        writer.write(PLAIN if self._stage is None else EVENTS)
        if self._ending == "closed within an event":
            writer.write(b"id: 4\ndata: pie")
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
        if self._ending == "reset":
            sockets.reset_on_close(writer.get_extra_info("socket"))
            writer.transport.abort()
