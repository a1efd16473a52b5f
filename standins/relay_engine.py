"""Forwards connections and datagrams, and blocks, loses, delays or resets them.

A cut behaves like a network partition: connections stay open, no data gets through, and
data sent meanwhile arrives after the partition heals, since TCP retransmits it. A relay
that is unreachable has lost its connections and accepts none: attempts time out.

A silenced connection behaves like one whose state a middlebox has lost, or whose peer
process hangs: it stays open, keep-alive probes are answered, and what is sent on it is
lost for good. New connections work.

The end of what one side sends is passed on by itself, and a reset as a reset.

Datagrams are relayed too; a cut loses them.
"""

import asyncio
import contextlib
import dataclasses
import functools
import socket
import struct
import typing
from collections import abc

__all__ = ["TO_CLIENT", "TO_SERVER", "Address", "Cut", "RelayEngine"]

_CHUNK = 65_536
# Interval at which a connection that one side has half-closed is checked for a reset,
# which asyncio reports no earlier than on the next write.
_RESET_CHECK_S = 0.1
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
TO_SERVER = "to server"
TO_CLIENT = "to client"

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """Traffic through a relay that is blocked.

    Attributes:
        relay: Name of the relay.
        source: Host of the client whose connections are affected; None for all.
        direction: `TO_SERVER` or `TO_CLIENT`.
    """

    relay: str
    source: str | None
    direction: str


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _End:
    """One end of a relayed connection.

    Attributes:
        reader, writer: Streams of the relay's socket.
        direction: Where what it sends goes.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    direction: str

    @property
    def was_reset(self) -> bool:
        """Whether its peer has reset the connection."""
        if self.writer.transport.is_closing():
            return True
        opened = self.writer.get_extra_info("socket")
        return bool(opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def reset(self) -> None:
        """Reset the connection to its peer."""
        if not self.writer.transport.is_closing():
            self.writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self.writer.transport.abort()


@dataclasses.dataclass(slots=True, eq=False)
class _Connection:
    """A relayed connection.

    Attributes:
        relay: Name of the relay.
        source: Host of the client.
        client, server: Its two ends.
        silent: Directions in which data is lost.
        ends: Number of its ends that their peers have closed, once it is silent.
        ended: Set when both are closed.
    """

    relay: str
    source: str
    client: _End
    server: _End
    silent: frozenset[str] = frozenset()
    ends: int = 0
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def both(self) -> tuple[_End, _End]:
        """Its two ends."""
        return self.client, self.server

    def other(self, end: _End) -> _End:
        """Return the end that gets what `end` sends."""
        return self.server if end is self.client else self.client


class _DatagramRelay(asyncio.DatagramProtocol):
    """A socket that receives datagrams for a host and sends those of the same host.

    Args:
        engine: Decides what becomes of a datagram.
        name: Name of the relay.
        port: Port on which all relays of these datagrams listen.
        target: Where the host listens.
    """

    def __init__(
        self, engine: "RelayEngine", name: str, port: int, target: Address
    ) -> None:
        self._engine = engine
        self._name = name
        self._port = port
        self._target = target
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Relay a datagram."""
        sender = (addr[0], self._port)
        self._engine.forward_datagram(self._name, data, sender, self._target)

    def send(self, data: bytes, target: Address) -> None:
        """Send a datagram of this relay's host."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, target)


class RelayEngine:
    """All relays of a process, in the event loop that runs its methods."""

    def __init__(self) -> None:
        self._cuts: frozenset[Cut] = frozenset()
        self._cuts_changed = asyncio.Event()
        self._delays: dict[str, float] = {}
        self._connections: dict[str, set[_Connection]] = {}
        self._targets: dict[str, Address] = {}
        self._servers: dict[str, asyncio.Server] = {}
        self._full: dict[str, tuple[socket.socket, ...]] = {}
        self._datagrams: dict[Address, _DatagramRelay] = {}
        self._failures: list[str] = []

    async def start(self, name: str, listen: Address, target: Address) -> None:
        """Start a relay from the address `listen` to `target`."""
        self._targets[name] = target
        await self._listen(name, listen)

    async def start_datagrams(
        self, name: str, listen: Address, target: Address
    ) -> None:
        """Start a relay of datagrams from the address `listen` to `target`.

        A datagram arrives from the address at which the relay with the same port and
        the sender's host listens, as if that had sent it.
        """
        loop = asyncio.get_running_loop()
        _, relay = await loop.create_datagram_endpoint(
            lambda: _DatagramRelay(self, name, listen[1], target), local_addr=listen
        )
        self._datagrams[listen] = relay

    def forward_datagram(
        self, name: str, data: bytes, sender: Address, target: Address
    ) -> None:
        """Send a datagram on in its sender's name, unless it is to be lost."""
        relay = self._datagrams.get(sender)
        if relay is None or self._is_cut(name, sender[0], TO_SERVER):
            return
        delay = self._delays.get(name, 0.0)
        asyncio.get_running_loop().call_later(delay, relay.send, data, target)

    async def add_cuts(self, cuts: abc.Iterable[Cut]) -> None:
        """Block the traffic of several relays."""
        self._set_cuts(self._cuts.union(cuts))

    async def remove_cuts(self, cuts: abc.Iterable[Cut]) -> None:
        """Let traffic through again that was blocked."""
        self._set_cuts(self._cuts.difference(cuts))

    async def heal(self, name: str | None) -> None:
        """Remove the cuts and delays of one relay, or of all."""
        for delayed in list(self._delays) if name is None else [name]:
            self._delays.pop(delayed, None)
        await self.remove_cuts(cut for cut in self._cuts if name in (None, cut.relay))

    async def delay(self, name: str, seconds: float) -> None:
        """Delay each chunk of data that goes through a relay."""
        self._delays[name] = seconds

    async def make_unreachable(self, name: str) -> None:
        """Reset all connections, and let attempts to connect time out."""
        address = self._servers[name].sockets[0].getsockname()
        self._servers[name].close()
        filler = socket.socket()
        # A client may have filled it already; then this attempt would last.
        filler.setblocking(False)
        # The kernel drops all attempts beyond the one that it keeps unaccepted.
        self._full[name] = (socket.create_server(address, backlog=0), filler)
        with contextlib.suppress(BlockingIOError):
            filler.connect(address)
        await self.reset(name)

    async def make_reachable(self, name: str) -> None:
        """Undo `make_unreachable`."""
        address = self._full[name][0].getsockname()
        for opened in self._full.pop(name):
            opened.close()
        await self._listen(name, address)

    async def reset(self, name: str) -> None:
        """Reset all connections through a relay."""
        for connection in self._connections.get(name, ()):
            for end in connection.both:
                end.reset()

    async def silence(self, name: str, directions: abc.Iterable[str]) -> int:
        """Silence the open connections through a relay, for good.

        Args:
            name: The relay.
            directions: Directions in which data is lost; both if none is given.

        Returns:
            The number of silenced connections.
        """
        lost = frozenset(directions) or {TO_SERVER, TO_CLIENT}
        connections = self._connections.get(name, set())
        for connection in connections:
            connection.silent |= lost
        return len(connections)

    async def failures(self) -> list[str]:
        """Return the connections that were closed as the target was not reached.

        Each has the relay's name and the reason.
        """
        return list(self._failures)

    async def _listen(self, name: str, listen: Address) -> None:
        serve = functools.partial(self._serve, name)
        self._servers[name] = await asyncio.start_server(serve, *listen)

    async def _serve(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = writer.get_extra_info("peername")[0]
        try:
            await self._wait_until_healed(name, source, TO_SERVER)
            server = await asyncio.open_connection(
                *self._targets[name], local_addr=(source, 0)
            )
        except OSError as error:
            self._failures.append(f"{name}: {error!r}")
            writer.close()
            return
        client_end = _End(reader, writer, TO_SERVER)
        connection = _Connection(name, source, client_end, _End(*server, TO_CLIENT))
        connections = self._connections.setdefault(name, set())
        connections.add(connection)
        try:
            await self._forward_both(connection)
        finally:
            connections.remove(connection)

    async def _forward_both(self, connection: _Connection) -> None:
        """Forward in both directions until both have ended, or until a reset."""
        forwarders = [
            asyncio.create_task(self._forward(connection, end))
            for end in connection.both
        ]
        try:
            await self._until_ended(connection, forwarders)
        except ConnectionError:
            for end in connection.both:
                end.reset()
        finally:
            for forwarder in forwarders:
                forwarder.cancel()
            await asyncio.gather(*forwarders, return_exceptions=True)
            for end in connection.both:
                end.writer.close()

    async def _until_ended(
        self, connection: _Connection, forwarders: list[asyncio.Task[None]]
    ) -> None:
        done, pending = await asyncio.wait(
            forwarders, return_when=asyncio.FIRST_COMPLETED
        )
        while pending:
            _raise_errors(done)
            await self._check_reset(connection)
            done, pending = await asyncio.wait(pending, timeout=_RESET_CHECK_S)
        _raise_errors(done)

    async def _forward(self, connection: _Connection, end: _End) -> None:
        """Forward what an end sends, and then its end.

        Raises:
            ConnectionError: The peer of either end has reset the connection.
        """
        target = connection.other(end).writer
        with contextlib.suppress(OSError):
            while data := await end.reader.read(_CHUNK):
                if delay := self._delays.get(connection.relay):
                    await asyncio.sleep(delay)
                await self._wait_until_passable(connection, end.direction)
                if end.direction not in connection.silent:
                    target.write(data)
                    await target.drain()
        await self._check_reset(connection)
        # During a partition, the end of a connection must not get through either.
        await self._wait_until_passable(connection, end.direction)
        if connection.silent:
            connection.ends += 1
            if connection.ends == len(connection.both):
                connection.ended.set()
            await connection.ended.wait()
        else:
            target.write_eof()

    async def _check_reset(self, connection: _Connection) -> None:
        """Raise an error once a reset of the connection may get through."""
        for end in connection.both:
            if not connection.silent and end.was_reset:
                await self._wait_until_passable(connection, end.direction)
                raise ConnectionResetError(f"{connection.relay}: {end.direction}")

    async def _wait_until_passable(
        self, connection: _Connection, direction: str
    ) -> None:
        await self._wait_until_healed(connection.relay, connection.source, direction)

    async def _wait_until_healed(self, name: str, source: str, direction: str) -> None:
        while self._is_cut(name, source, direction):
            await self._cuts_changed.wait()

    def _is_cut(self, name: str, source: str, direction: str) -> bool:
        return bool(self._cuts) and any(
            Cut(name, client, direction) in self._cuts for client in (source, None)
        )

    def _set_cuts(self, cuts: frozenset[Cut]) -> None:
        self._cuts = cuts
        self._cuts_changed.set()
        self._cuts_changed = asyncio.Event()


def _raise_errors(forwarders: abc.Iterable[asyncio.Task[None]]) -> None:
    for forwarder in forwarders:
        forwarder.result()
