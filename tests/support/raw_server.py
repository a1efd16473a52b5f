"""A server that sends scripted bytes, to test malformed and truncated responses."""

import asyncio
import contextlib
import dataclasses
import re
from collections import abc

from pimentolatch import settings

__all__ = ["RawServer", "ScriptedResponse", "http_response"]


@dataclasses.dataclass(frozen=True, slots=True)
class ScriptedResponse:
    """Response to one request.

    Attributes:
        raw: Bytes to send.
        delay_s: Seconds to wait before sending them.
        close: Whether to close the connection afterwards.
    """

    raw: bytes
    delay_s: float = 0.0
    close: bool = False


def http_response(body: bytes, status: str = "200 OK") -> bytes:
    """Return a complete HTTP response."""
    return b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n%s" % (
        status.encode(),
        len(body),
        body,
    )


class RawServer:
    """Responds to the n-th request with the n-th response of its script.

    Attributes:
        requests: For each request, the number of its connection and its body.
    """

    def __init__(self, *script: ScriptedResponse) -> None:
        self.requests: list[tuple[int, bytes]] = []
        self._script = list(script)
        self._connections = 0
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def listening(self) -> abc.AsyncIterator[settings.Address]:
        """Listen on a free port."""
        server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        try:
            yield settings.Address(host="127.0.0.1", port=port)
        finally:
            server.close()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections += 1
        task = asyncio.create_task(self._serve(self._connections, reader, writer))
        self._tasks.add(task)

    async def _serve(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while self._script:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = re.search(rb"content-length: (\d+)", head)
                body = await reader.readexactly(int(length[1]) if length else 0)
                self.requests.append((number, body))
                response = self._script.pop(0)
                await asyncio.sleep(response.delay_s)
                writer.write(response.raw)
                await writer.drain()
                if response.close:
                    break
        writer.close()
