"""HTTP/1.1 connections that carry one request at a time, kept between requests.

h11 parses and frames, asyncio carries the bytes. The client library of the other calls
hides what this path depends on: whether a byte was sent before an error, where an
answer without a length ends, and bytes that arrive after an answer or before a request.
"""

import asyncio
import dataclasses
import datetime
import socket
import struct
import typing
from collections import abc

import h11

from pimentolatch import settings

__all__ = [
    "ResponseHead",
    "BrokenError",
    "Channel",
    "ChannelPool",
    "ConnectError",
    "connect",
]

_READ_BUFFER_BYTES = 262_144
# A peer behind a network partition, or a connection that was forgotten on the way, is
# silent for ever without a probe. Three probes a second apart notice it before the
# shortest span in which anybody is told to have noticed (three seconds).
_PROBE_AFTER_S = 1
_PROBE_EVERY_S = 1
_PROBES = 2
_USER_TIMEOUT_MS = 3000
# Kept connections close this much before the time that the server states, so that a
# request does not cross the server's close.
_KEEP_ALIVE_MARGIN = datetime.timedelta(milliseconds=700)
_DEFAULT_KEEP_ALIVE = datetime.timedelta(seconds=4)
_MAX_IDLE_PER_SERVER = 128
# SO_LINGER on with no time: closing drops what is unsent and resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Fields = abc.Sequence[tuple[bytes, bytes]]


class ConnectError(Exception):
    """No connection stood, so no byte of the request has left.

    Attributes:
        silent: The other side did not answer; else it turned the connection away.
    """

    def __init__(self, reason: str, *, unresponsive: bool = False) -> None:
        super().__init__(reason)
        self.unresponsive = unresponsive


class BrokenError(Exception):
    """The exchange broke off after a byte of the request may have left."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and header of an answer, with lower-case names."""

    status: int
    fields: tuple[tuple[bytes, bytes], ...]


class _ByteStream(asyncio.Protocol):
    """The bytes of one connection, handed over when they are asked for."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.ended = False
        self.error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = typing.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Keep what arrived; stop reading when too much waits."""
        self.received += data
        if len(self.received) > _READ_BUFFER_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note the end; the transport closes by itself."""
        self.ended = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end and its reason."""
        if not self.ended:
            self.error = exc or ConnectionResetError("closed")
        self.ended = True
        self._wake()

    async def read(self) -> bytes:
        """Return what arrived; empty at the end; raises `OSError` after a reset."""
        while not self.received and not self.ended:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        if self.received:
            data = bytes(self.received)
            self.received.clear()
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()
            return data
        if self.error is not None:
            raise self.error
        return b""

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class Channel:
    """One connection; `send`, `start` and `read` are one exchange."""

    def __init__(self, stream: _ByteStream) -> None:
        self._stream = stream
        self._parser = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self.keep_alive: datetime.timedelta = _DEFAULT_KEEP_ALIVE

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent.

        Bytes that nobody asked for, or a body that the server has not taken whole,
        would be read as part of the next exchange.
        """
        stream = self._stream
        return (
            stream.transport is not None
            and not stream.transport.is_closing()
            and not stream.ended
            and not stream.received
            and not self._parser.trailing_data[0]
            and stream.transport.get_write_buffer_size() == 0
            and self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        )

    @property
    def idle(self) -> bool:
        """Whether a kept connection still stands and is silent."""
        stream = self._stream
        return not stream.ended and not stream.received

    def send(self, method: str, target: bytes, fields: Fields, body: bytes) -> None:
        """Send a request; raises `ValueError` before any byte if it is malformed."""
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        headers = list(fields)
        if body or method not in ("GET", "HEAD", "DELETE"):
            headers.append((b"content-length", b"%d" % len(body)))
        try:
            self._request = h11.Request(method=method, target=target, headers=headers)
            data = self._parser.send(self._request)
            if body:
                data += self._parser.send(h11.Data(body))
            data += self._parser.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise ValueError(str(error)) from error
        assert self._stream.transport is not None
        self._stream.transport.write(data)

    async def read_head(self) -> ResponseHead:
        """Wait for the header of the answer; raises `BrokenError`."""
        while True:
            event = await self._event()
            if isinstance(event, h11.Response):
                fields = tuple(event.headers)
                self._read_keep_alive(fields)
                return ResponseHead(event.status_code, fields)
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenError("no answer")

    async def read(self) -> bytes:
        """Return the next bytes of the body, empty at its end; raises `BrokenError`."""
        event = await self._event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        raise BrokenError("the answer broke off")

    async def read_body(self, max_bytes: int | None = None) -> bytes:
        """Return the rest of the body; raises `BrokenError`, also beyond the bound."""
        content = bytearray()
        while part := await self.read():
            content += part
            if max_bytes is not None and len(content) > max_bytes:
                raise BrokenError("the answer is too large to be held")
        return bytes(content)

    def skip_response(self) -> None:
        """Take the answer just read for somebody else's and expect another one.

        A server may answer an earlier request once more where the next answer is due.
        """
        rest, _ = self._parser.trailing_data
        assert self._request is not None
        self._parser = h11.Connection(h11.CLIENT)
        self._parser.send(self._request)
        length = dict(self._request.headers).get(b"content-length", b"0")
        if int(length):
            self._parser.send(h11.Data(bytes(int(length))))
        self._parser.send(h11.EndOfMessage())
        if rest:
            self._parse(rest)

    def close(self) -> None:
        """Close the connection; a server then stops working on its request.

        It is reset, not ended in order; see `_reset_on_close`.
        """
        if self._stream.transport is not None:
            self._stream.transport.abort()

    def _read_keep_alive(self, fields: Fields) -> None:
        for name, value in fields:
            if name == b"keep-alive":
                for item in value.split(b","):
                    key, _, seconds = item.strip().partition(b"=")
                    if key.lower() == b"timeout" and seconds.isdigit():
                        stated = datetime.timedelta(seconds=int(seconds))
                        self.keep_alive = stated - _KEEP_ALIVE_MARGIN

    async def _event(self) -> typing.Any:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise BrokenError(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._stream.read()
            except OSError as error:
                raise BrokenError(repr(error)) from error
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise BrokenError(str(error)) from error


async def connect(address: settings.Address, limit: datetime.timedelta) -> Channel:
    """Open a connection; raises `ConnectError`."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(limit.total_seconds()):
            transport, stream = await loop.create_connection(
                _ByteStream, address.host, address.port
            )
    except (OSError, TimeoutError) as error:
        unresponsive = isinstance(error, TimeoutError)
        raise ConnectError(repr(error), unresponsive=unresponsive) from error
    sock = transport.get_extra_info("socket")
    _enable_tcp_keepalive(sock)
    _reset_on_close(sock)
    return Channel(stream)


def _reset_on_close(sock: socket.socket) -> None:
    """Have a connection reset whenever it is closed, by whomever.

    What the kernel still holds of a request would otherwise go on being sent after the
    close: behind a partition of six seconds a request that had been given up and
    answered elsewhere reached its first server when the partition healed, and that
    server had left meanwhile. It is set from the start, since a connection that its
    server ends is closed by the event loop, which would end it in order.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


def _enable_tcp_keepalive(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, _PROBE_AFTER_S),
        (socket.TCP_KEEPINTVL, _PROBE_EVERY_S),
        (socket.TCP_KEEPCNT, _PROBES),
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


@dataclasses.dataclass(slots=True)
class _IdleConnection:
    channel: Channel
    since: datetime.timedelta


class ChannelPool:
    """Kept connections, by server.

    Args:
        connect_limit: Time limit of opening a connection.
    """

    def __init__(self, connect_limit: datetime.timedelta) -> None:
        self._connect_limit = connect_limit
        self._idle: dict[abc.Hashable, list[_IdleConnection]] = {}

    async def acquire(
        self,
        server: abc.Hashable,
        address: settings.Address,
        now: datetime.timedelta,
        *,
        max_idle: datetime.timedelta | None = None,
    ) -> Channel:
        """Return a kept connection or a new one; raises `ConnectError`.

        Args:
            server: Key of the connections.
            address: Where the server is.
            now: The time.
            max_idle: Do not use a connection that was idle for longer.
        """
        idle_connections = self._idle.get(server, [])
        while idle_connections:
            entry = idle_connections.pop()
            idle = now - entry.since
            fresh = max_idle is None or idle <= max_idle
            if entry.channel.idle and idle < entry.channel.keep_alive and fresh:
                return entry.channel
            entry.channel.close()
        return await connect(address, self._connect_limit)

    def release(
        self, server: abc.Hashable, channel: Channel, now: datetime.timedelta
    ) -> None:
        """Keep a connection if another request may use it; else close it."""
        idle_connections = self._idle.setdefault(server, [])
        if channel.reusable and len(idle_connections) < _MAX_IDLE_PER_SERVER:
            idle_connections.append(_IdleConnection(channel, now))
        else:
            channel.close()

    def retain(self, servers: abc.Container[abc.Hashable]) -> None:
        """Close the kept connections of all other servers."""
        for server in [name for name in self._idle if name not in servers]:
            for entry in self._idle.pop(server):
                entry.channel.close()

    def close(self) -> None:
        """Close every kept connection."""
        self.retain(())
