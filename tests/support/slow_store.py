"""A store over a raw socket whose response for one object is delayed or truncated."""

import asyncio
import dataclasses
import json

__all__ = ["SlowStore"]

DELAY_S = 0.4


@dataclasses.dataclass(slots=True)
class SlowStore:
    """Answers each read with the name that was asked for.

    Attributes:
        delayed: Name whose answer comes delayed.
        truncated: Name whose answer ends in the middle of its headers.
        writes: Writes that arrived; the connection of each ends without an answer.
    """

    delayed: str = ""
    truncated: str = ""
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
        if name == self.delayed:
            await asyncio.sleep(DELAY_S)
        head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
        if name == self.truncated:
            writer.write(head)
            writer.close()
            return
        writer.write(head + b"content-length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()
