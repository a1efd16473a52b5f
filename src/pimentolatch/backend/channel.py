"""Pooled HTTP/1.1 connections without pipelining.

h11 does the parsing and framing, asyncio the input and output. The HTTP library used
elsewhere hides what this path depends on: whether a byte was sent before an error,
where a response without a length ends, and unexpected bytes between the exchanges.
"""

import array
import asyncio
import dataclasses
import datetime
import re
import typing
from collections import abc

import h11

from pimentolatch import settings
from pimentolatch.backend import delivery_timer, sockets
from pimentolatch.decisions import connection_reuse

__all__ = [
    "ResponseHead",
    "BrokenError",
    "Channel",
    "ChannelPool",
    "ConnectError",
    "UndeliveredError",
    "connect",
    "writable",
]

# The largest status of HTTP (RFC 9110, section 15); larger ones can't be passed on. The
# parser refuses those below 100.
_MAX_STATUS = 599
# No field value may have these (RFC 9110, section 5.5). The parser takes them all the
# same.
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_READ_BUFFER_BYTES = 262_144
# Bytes that are parsed before other tasks may run.
_PARSED_BYTES = 16_384
# How many more bytes of heads and framing than of body a response may have. A server in
# trouble may send interim responses or tiny chunks without end, each of which takes as
# long to parse as many kilobytes of a body.
_MAX_FRAMING_BYTES = 32_768
# Calls among instances and to the platform have time limits of about this length.
_ACKNOWLEDGEMENT_LIMIT = datetime.timedelta(seconds=1)
# Idle connections are dropped this long before the server's stated time-out, so that a
# request is not sent while the server closes the connection.
_KEEP_ALIVE_MARGIN = datetime.timedelta(milliseconds=700)
_DEFAULT_KEEP_ALIVE = datetime.timedelta(seconds=4)
# Far below the time after which the kernel ends a connection, so that a request on an
# idle one can still be reset; see `sockets`.
_MAX_KEEP_ALIVE = datetime.timedelta(seconds=30)
_MAX_IDLE_PER_SERVER = 128
# Requests that a connection carries before it is closed. Their ids take 2 KB.
_MAX_CARRIED = 256

Fields = abc.Sequence[tuple[bytes, bytes]]


class ConnectError(Exception):
    """The connection could not be opened, so no byte of the request was sent.

    Attributes:
        unresponsive: The server did not answer in time, rather than refusing the
            connection.
    """

    def __init__(self, reason: str, *, unresponsive: bool = False) -> None:
        super().__init__(reason)
        self.unresponsive = unresponsive


class BrokenError(Exception):
    """The exchange failed after a byte of the request may have been sent."""


class UndeliveredError(BrokenError):
    """The peer did not acknowledge the request, and the connection was reset."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and header fields of a response, with lower-case names."""

    status: int
    fields: tuple[tuple[bytes, bytes], ...]


class _ByteStream(asyncio.Protocol):
    """Buffers the bytes received on a connection until they are read."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.at_end = False
        self.error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = typing.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Buffer the data; pause reading while the buffer is full."""
        self.received += data
        if len(self.received) > _READ_BUFFER_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Record the end of the stream; the transport closes by itself.

        A peer that ends its side before it has all of a request has broken off: its
        kernel resets the connection once more of the request arrives. The reset can't
        be seen behind the end, and what the end completes would look whole.
        """
        assert self.transport is not None
        if delivery_timer.transmission(self.transport).unacknowledged_bytes:
            self.error = ConnectionResetError("ended before the request was delivered")
        self.at_end = True
        self._wake()
        return False

    def abort(self, error: Exception) -> None:
        """Reset the connection and raise an error in readers."""
        self.error = error
        self.at_end = True
        assert self.transport is not None
        self.transport.abort()
        self._wake()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the stream and its reason."""
        if not self.at_end:
            self.error = exc or ConnectionResetError("closed")
        self.at_end = True
        self._wake()

    async def read(self, max_bytes: int) -> bytes:
        """Return received bytes, empty at the end.

        Raises:
            OSError: The connection was reset.
            UndeliveredError: It was reset because a request was not acknowledged.
        """
        if len(self.received) > max_bytes:
            # Other tasks run between two parts of what has been received.
            await asyncio.sleep(0)
        while not self.received and not self.at_end:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        if self.received:
            data = bytes(self.received[:max_bytes])
            del self.received[:max_bytes]
            if (
                len(self.received) <= _READ_BUFFER_BYTES
                and self.transport is not None
                and not self.transport.is_closing()
            ):
                self.transport.resume_reading()
            return data
        if self.error is not None:
            raise self.error
        return b""

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class Channel:
    """One connection; `send`, `read_head` and `read` make up one exchange.

    Args:
        stream: The connection.
        acknowledgement_limit: How long the peer may leave a request without an
            acknowledgement.
    """

    def __init__(
        self, stream: _ByteStream, acknowledgement_limit: datetime.timedelta
    ) -> None:
        self._stream = stream
        assert stream.transport is not None
        self._delivery = delivery_timer.DeliveryTimer(
            stream.transport, acknowledgement_limit, self._time_out
        )
        self._parser = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._parsed_bytes = 0
        self._body_bytes = 0
        self.keep_alive: datetime.timedelta = _DEFAULT_KEEP_ALIVE
        # Time at which it is known to have been open; None before its first release.
        self.opened_by: datetime.timedelta | None = None
        # Start time that the process at its end has reported over it; None if unknown.
        self.started_ms: int | None = None
        # Requests sent, whatever for.
        self.exchanges = 0
        self._carried = array.array("q")

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent.

        Unexpected bytes, or a request body that the server has not received in full,
        would be taken as part of the next exchange. No more ids are recorded of one
        connection than `has_carried` can look through.
        """
        stream = self._stream
        return (
            stream.transport is not None
            and not stream.transport.is_closing()
            and not stream.at_end
            and not stream.received
            and not self._parser.trailing_data[0]
            and stream.transport.get_write_buffer_size() == 0
            and self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and len(self._carried) < _MAX_CARRIED
        )

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed the connection, as far as is known here."""
        return not self._stream.at_end

    @property
    def acknowledged(self) -> bool:
        """Whether a reset can no longer recall what was sent; False if closed."""
        return self._delivery.acknowledged

    @property
    def close_announced(self) -> bool:
        """Whether the last response said that the server closes the connection."""
        return self._parser.their_state in (h11.MUST_CLOSE, h11.CLOSED)

    @property
    def idle(self) -> bool:
        """Whether an unused connection is still open and has received nothing."""
        stream = self._stream
        return not stream.at_end and not stream.received

    def record_id(self, request_id: str) -> None:
        """Record the id of a request that is about to be sent."""
        self._carried.append(hash(request_id))

    def has_carried(self, request_id: str) -> bool:
        """Tell whether a request with this id has been sent, or very rarely another."""
        return hash(request_id) in self._carried

    def send(self, method: str, target: bytes, fields: Fields, body: bytes) -> None:
        """Send a request; raises `ValueError`, sending nothing, if it is malformed.

        Args:
            method: Its method.
            target: Its target.
            fields: Its header fields, without the length of the body.
            body: Its body.
        """
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        self._parsed_bytes = self._body_bytes = 0
        headers = list(fields)
        if body or method not in ("GET", "HEAD", "DELETE"):
            headers.append((b"content-length", b"%d" % len(body)))
        try:
            self._request = h11.Request(method=method, target=target, headers=headers)
            data = self._parser.send(self._request) or b""
        except h11.LocalProtocolError as error:
            raise ValueError(str(error)) from error
        if body:
            data += self._parser.send(h11.Data(body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        assert self._stream.transport is not None
        self._stream.transport.write(data)
        self.exchanges += 1
        self._delivery.begin()

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the response; raises `BrokenError`."""
        while True:
            event = await self._event()
            self._delivery.end()
            if not isinstance(event, h11.InformationalResponse):
                return self._response_head(event)

    async def read(self) -> bytes:
        """Return the next bytes of the body, empty at its end; raises `BrokenError`."""
        event = await self._event()
        if isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        raise BrokenError("connection closed within the response body")

    async def read_body(
        self, max_bytes: int, on_part: abc.Callable[[int], None] = lambda size: None
    ) -> bytes:
        """Return the rest of the body; raises `BrokenError`, also past `max_bytes`.

        Args:
            max_bytes: Largest body that is accepted.
            on_part: Called with the size of each part that arrives, in bytes.
        """
        content = bytearray()
        while part := await self.read():
            on_part(len(part))
            content += part
            if len(content) > max_bytes:
                raise BrokenError(f"response body exceeds {max_bytes} bytes")
        return bytes(content)

    def skip_response(self) -> None:
        """Discard the response just read and expect another one.

        A server may send a duplicate response to an earlier request before the response
        to the current one.
        """
        rest, _ = self._parser.trailing_data
        self._parsed_bytes = self._body_bytes = 0
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
        """Close the connection, which makes a server cancel its request.

        The connection is reset, not shut down in order; see `sockets.reset_on_close`.
        """
        self._delivery.end()
        if self._stream.transport is not None:
            self._stream.transport.abort()

    def _response_head(self, event: typing.Any) -> ResponseHead:
        if not isinstance(event, h11.Response):
            raise BrokenError("connection closed before a response")
        if event.status_code > _MAX_STATUS:
            raise BrokenError(f"the status {event.status_code} is none of HTTP")
        fields = tuple(event.headers)
        self._read_keep_alive(fields)
        return ResponseHead(event.status_code, fields)

    def _time_out(self, reason: str) -> None:
        self._stream.abort(UndeliveredError(reason))

    def _read_keep_alive(self, fields: Fields) -> None:
        for name, value in fields:
            if name == b"keep-alive":
                for item in value.split(b","):
                    key, _, seconds = item.strip().partition(b"=")
                    if key.lower() == b"timeout" and seconds.isdigit():
                        self.keep_alive = _usable_keep_alive(seconds)

    async def _event(self) -> typing.Any:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise BrokenError(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            if self._parsed_bytes - 2 * self._body_bytes > _MAX_FRAMING_BYTES:
                raise BrokenError("the response has more framing than content")
            try:
                data = await self._stream.read(_PARSED_BYTES)
            except OSError as error:
                raise BrokenError(repr(error)) from error
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        self._parsed_bytes += len(data)
        try:
            self._parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise BrokenError(str(error)) from error


def writable(value: bytes) -> bytes:
    """Return the value of a response's field as it can be passed on."""
    return _CONTROL_CHARACTER.sub(b" ", value)


def _usable_keep_alive(digits: bytes) -> datetime.timedelta:
    """Return how long a connection may stay idle, by the seconds its server states."""
    digits = digits.lstrip(b"0") or b"0"
    # A number with more digits is larger, and may be too large to be represented.
    if len(digits) > len(str(_MAX_KEEP_ALIVE // datetime.timedelta(seconds=1))):
        return _MAX_KEEP_ALIVE
    stated = datetime.timedelta(seconds=int(digits))
    return min(stated - _KEEP_ALIVE_MARGIN, _MAX_KEEP_ALIVE)


async def connect(
    address: settings.Address,
    limit: datetime.timedelta,
    *,
    acknowledgement_limit: datetime.timedelta = _ACKNOWLEDGEMENT_LIMIT,
) -> Channel:
    """Open a connection; raises `ConnectError`.

    Args:
        address: Address of the peer.
        limit: Time limit for opening the connection.
        acknowledgement_limit: How long the peer may leave a request without an
            acknowledgement before the connection is reset.
    """
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
    sockets.enable_keepalive(sock)
    sockets.reset_on_close(sock)
    return Channel(stream, acknowledgement_limit)


@dataclasses.dataclass(slots=True)
class _IdleConnection:
    channel: Channel
    since: datetime.timedelta

    def obstacle(
        self, now: datetime.timedelta, max_idle: datetime.timedelta | None
    ) -> connection_reuse.Opening | None:
        """Return why it can't be used; see `connection_reuse.obstacle`."""
        if not self.channel.idle:
            return connection_reuse.Opening.EXPIRED
        keep_alive = self.channel.keep_alive
        return connection_reuse.obstacle(now - self.since, keep_alive, max_idle)


class ChannelPool:
    """Pool of idle connections, by server.

    Args:
        connect_limit: Time limit for opening a connection.
        acknowledgement_limit: How long a peer may leave a request without an
            acknowledgement before the connection is reset.
        on_open: Called with the reason whenever a connection is opened.
    """

    def __init__(
        self,
        connect_limit: datetime.timedelta,
        *,
        acknowledgement_limit: datetime.timedelta = _ACKNOWLEDGEMENT_LIMIT,
        on_open: abc.Callable[[connection_reuse.Opening], None] = lambda why: None,
    ) -> None:
        self._on_open = on_open
        self._connect_limit = connect_limit
        self._acknowledgement_limit = acknowledgement_limit
        self._idle: dict[abc.Hashable, list[_IdleConnection]] = {}

    async def acquire(
        self,
        server: abc.Hashable,
        address: settings.Address,
        now: datetime.timedelta,
        *,
        max_idle: datetime.timedelta | None = None,
        reuse: bool = True,
        opened_before: datetime.timedelta | None = None,
        request_id: str | None = None,
    ) -> Channel:
        """Return an idle connection or a new one; raises `ConnectError`.

        Args:
            server: Key of the server's connections.
            address: Address of the server.
            now: The current time.
            max_idle: Connections that were idle for longer are not reused.
            reuse: Whether an idle connection may be returned.
            opened_before: Return only an idle connection that was open at this time.
            request_id: Return no connection that has carried a request with this id:
                an answer that the server repeats later would be taken for the next one.
        """
        if opened_before is not None:
            return self._idle_since(server, now, opened_before)
        if not reuse:
            return await self._open(address, connection_reuse.Opening.REQUIRED)
        why = connection_reuse.Opening.NONE_IDLE
        idle_connections = self._idle.get(server, [])
        for index in reversed(range(len(idle_connections))):
            entry = idle_connections[index]
            if request_id is not None and entry.channel.has_carried(request_id):
                why = connection_reuse.Opening.CARRIED
                continue
            del idle_connections[index]
            obstacle = entry.obstacle(now, max_idle)
            if obstacle is None:
                return entry.channel
            if why is connection_reuse.Opening.NONE_IDLE:
                why = obstacle
            entry.channel.close()
        return await self._open(address, why)

    def release(
        self, server: abc.Hashable, channel: Channel, now: datetime.timedelta
    ) -> None:
        """Return a connection to the pool, or close it if it is not reusable."""
        idle_connections = self._idle.setdefault(server, [])
        if channel.opened_by is None:
            channel.opened_by = now
        if channel.reusable and len(idle_connections) < _MAX_IDLE_PER_SERVER:
            idle_connections.append(_IdleConnection(channel, now))
        else:
            channel.close()

    def retain(self, servers: abc.Container[abc.Hashable]) -> None:
        """Close the idle connections of all other servers."""
        for server in [name for name in self._idle if name not in servers]:
            for entry in self._idle.pop(server):
                entry.channel.close()

    def close(self) -> None:
        """Close all idle connections."""
        self.retain(())

    def _idle_since(
        self, server: abc.Hashable, now: datetime.timedelta, at: datetime.timedelta
    ) -> Channel:
        """Take an idle connection that was open at a time; raises `ConnectError`."""
        idle_connections = self._idle.get(server, [])
        for entry in reversed(idle_connections):
            opened_by = entry.channel.opened_by
            if opened_by is None or opened_by > at:
                continue
            if entry.obstacle(now, None) is None:
                idle_connections.remove(entry)
                return entry.channel
        raise ConnectError(f"no idle connection that was open at {at}")

    async def _open(
        self, address: settings.Address, why: connection_reuse.Opening
    ) -> Channel:
        self._on_open(why)
        return await self._connect(address)

    async def _connect(self, address: settings.Address) -> Channel:
        return await connect(
            address,
            self._connect_limit,
            acknowledgement_limit=self._acknowledgement_limit,
        )
