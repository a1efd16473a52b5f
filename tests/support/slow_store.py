"""A store on a raw socket that delays or truncates the response for one object."""

import asyncio
import dataclasses
import json

__all__ = ["SlowStore"]

DELAY_S = 0.4


@dataclasses.dataclass(slots=True)
class SlowStore:
    """Responds to each read with the requested name.

    Attributes:
        delayed: Name whose response is delayed by `DELAY_S`.
        truncated: Name whose response ends within its headers.
        retry_after: Value of Retry-After with which it rejects reads of `delayed`.
        writes: Number of writes received; each closes its connection without response.
    """

    delayed: str = ""
    truncated: str = ""
    retry_after: str | None = None
    writes: int = 0

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                if request.startswith(b"PUT"):
                    self.writes += 1
                    writer.close()
                    return
                name = request.split(b" ", 2)[1].decode().rsplit("/", 1)[-1]
                await self._respond(name, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _respond(self, name: str, writer: asyncio.StreamWriter) -> None:
        body = json.dumps(
            {"metadata": {"name": name, "revision": 1}, "spec": name}
        ).encode()
        if name == self.delayed and self.retry_after is not None:
            status = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n"
            writer.write(
                status + b"retry-after: %s\r\n\r\n" % self.retry_after.encode()
            )
            await writer.drain()
            return
        if name == self.delayed:
            await asyncio.sleep(DELAY_S)
        head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
        if name == self.truncated:
            writer.write(head)
            writer.close()
            return
        writer.write(head + b"content-length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()
