"""Small HTTP/1.1 helpers for the stand-ins of the review: standard library only."""

import asyncio

__all__ = ["Message", "head_bytes", "read_message"]


class Message:
    """Head and body of a request or response.

    Attributes:
        start: First line, in three parts.
        fields: Header fields with lower-case names, in order.
        body: The whole body.
    """

    def __init__(self, start, fields, body=b""):
        self.start = start
        self.fields = fields
        self.body = body

    def get(self, name, default=""):
        """Return the value of a header field."""
        for key, value in self.fields:
            if key == name:
                return value
        return default


async def read_head(reader):
    """Return a message without its body; None if the connection has ended."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip().lower(), value.strip()))
    return Message(lines[0].split(" ", 2), fields)


async def read_chunk(reader):
    """Return the next chunk of a chunked body; empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    if not size:
        await reader.readuntil(b"\r\n")
        return b""
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_message(reader):
    """Return a whole message; None if the connection has ended before its head."""
    message = await read_head(reader)
    if message is None:
        return None
    if "chunked" in message.get("transfer-encoding"):
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        message.body = b"".join(parts)
    elif length := message.get("content-length"):
        message.body = await reader.readexactly(int(length))
    return message


def head_bytes(start, fields):
    """Return the bytes of a head."""
    lines = [start, *(f"{name}: {value}" for name, value in fields)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
