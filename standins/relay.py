"""Relays that can block, lose, delay or reset traffic.

A cut behaves like a network partition: connections stay open, no data gets through, and
data sent meanwhile arrives after the partition heals, since TCP retransmits it. A relay
that is unreachable has lost its connections and accepts none: attempts time out.

A silenced connection behaves like one whose state a middlebox has lost, or whose peer
process hangs: it stays open, keep-alive probes are answered, and what is sent on it is
lost for good. New connections work.

Datagrams are relayed too; a cut loses them.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import socket
import threading
import typing
from collections import abc

__all__ = ["Cut", "Relays"]

_CHUNK = 65_536
_Result = typing.TypeVar("_Result")
TO_SERVER = "to server"
TO_CLIENT = "to client"


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


@dataclasses.dataclass(slots=True)
class _Connection:
    """A relayed connection.

    Attributes:
        writers: Its two ends.
        silent: Directions in which data is lost.
        ends: Number of its ends that their peers have closed, once it is silent.
        ended: Set when both are closed.
    """

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    silent: frozenset[str] = frozenset()
    ends: int = 0
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class _DatagramRelay(asyncio.DatagramProtocol):
    """A socket that receives datagrams for a host and sends those of the same host.

    Args:
        relays: Decide what becomes of a datagram.
        name: Name of the relay.
        port: Port on which all relays of these datagrams listen.
        target: Where the host listens.
    """

    def __init__(
        self, relays: "Relays", name: str, port: int, target: tuple[str, int]
    ) -> None:
        self._relays = relays
        self._name = name
        self._port = port
        self._target = target
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Relay a datagram."""
        sender = (addr[0], self._port)
        self._relays.forward_datagram(self._name, data, sender, self._target)

    def send(self, data: bytes, target: tuple[str, int]) -> None:
        """Send a datagram of this relay's host."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, target)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


class Relays:
    """All relays of a scenario, in a thread with an event loop of its own.

    Attributes:
        failures: Connections that were closed at once since the target was not reached,
            with the relay's name and the reason.
    """

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._targets: dict[str, tuple[str, int]] = {}
        self._cuts: set[Cut] = set()
        self._delays: dict[str, float] = {}
        self._connections: dict[str, list[_Connection]] = {}
        self._cuts_changed = asyncio.Condition()
        self._servers: dict[str, asyncio.Server] = {}
        self._full: dict[str, tuple[socket.socket, ...]] = {}
        self._datagrams: dict[tuple[str, int], _DatagramRelay] = {}
        self.failures: list[str] = []

    def start(
        self, name: str, listen: tuple[str, int], target: tuple[str, int]
    ) -> None:
        """Start a relay from the address `listen` to `target`."""
        self._call(self._start(name, listen, target))

    def start_datagrams(
        self, name: str, listen: tuple[str, int], target: tuple[str, int]
    ) -> None:
        """Start a relay of datagrams from the address `listen` to `target`.

        A datagram arrives from the address at which the relay with the same port and
        the sender's host listens, as if that had sent it.
        """
        self._call(self._start_datagrams(name, listen, target))

    def cut(self, name: str, direction: str, source: str | None = None) -> None:
        """Block the traffic of a relay in one direction.

        Args:
            name: The relay.
            direction: `TO_SERVER` or `TO_CLIENT`.
            source: Host of the client whose connections are affected; None for all.
        """
        self._call(self._set_cuts(self._cuts | {Cut(name, source, direction)}))

    def add_cuts(self, cuts: abc.Iterable[Cut]) -> None:
        """Block the traffic of several relays."""
        self._call(self._set_cuts(self._cuts.union(cuts)))

    def remove_cuts(self, cuts: abc.Iterable[Cut]) -> None:
        """Let traffic through again that was blocked."""
        self._call(self._set_cuts(self._cuts.difference(cuts)))

    def heal(self, name: str | None = None) -> None:
        """Remove the cuts and delays of one relay, or of all."""
        for delayed in list(self._delays) if name is None else [name]:
            self._delays.pop(delayed, None)
        remaining = {
            cut for cut in self._cuts if name is not None and cut.relay != name
        }
        self._call(self._set_cuts(remaining))

    def make_unreachable(self, name: str) -> None:
        """Reset all connections, and let attempts to connect time out."""
        self._call(self._fill_backlog(name))
        self.reset(name)

    def make_reachable(self, name: str) -> None:
        """Undo `make_unreachable`."""
        self._call(self._empty_backlog(name))

    def delay(self, name: str, seconds: float) -> None:
        """Delay each chunk of data that goes through a relay."""
        self._delays[name] = seconds

    def reset(self, name: str) -> None:
        """Reset all connections through a relay."""
        self._call(self._reset(name))

    def silence(self, name: str, *directions: str) -> int:
        """Silence the open connections through a relay, for good.

        Args:
            name: The relay.
            directions: Directions in which data is lost; both if none is given.

        Returns:
            The number of silenced connections.
        """
        return self._call(self._silence(name, frozenset(directions)))

    def stop(self) -> None:
        """Stop all relays and close their connections."""
        self._call(self._stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _call(self, work: abc.Coroutine[typing.Any, typing.Any, _Result]) -> _Result:
        return asyncio.run_coroutine_threadsafe(work, self._loop).result()

    async def _start(
        self, name: str, listen: tuple[str, int], target: tuple[str, int]
    ) -> None:
        self._targets[name] = target
        await self._listen(name, listen)

    async def _listen(self, name: str, listen: tuple[str, int]) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(name, self._targets[name], reader, writer)

        self._servers[name] = await asyncio.start_server(serve, *listen)

    async def _start_datagrams(
        self, name: str, listen: tuple[str, int], target: tuple[str, int]
    ) -> None:
        _, relay = await self._loop.create_datagram_endpoint(
            lambda: _DatagramRelay(self, name, listen[1], target), local_addr=listen
        )
        self._datagrams[listen] = relay

    def forward_datagram(
        self, name: str, data: bytes, sender: tuple[str, int], target: tuple[str, int]
    ) -> None:
        """Send a datagram on in its sender's name, unless it is to be lost."""
        relay = self._datagrams.get(sender)
        if relay is None or self._is_cut(name, sender[0], TO_SERVER):
            return
        delay = self._delays.get(name, 0.0)
        self._loop.call_later(delay, relay.send, data, target)

    async def _fill_backlog(self, name: str) -> None:
        """Replace a listener by one that accepts none; the kernel drops all others."""
        address = self._servers[name].sockets[0].getsockname()
        self._servers[name].close()
        filler = socket.socket()
        # A client may have filled it already; then this attempt would last.
        filler.setblocking(False)
        self._full[name] = (socket.create_server(address, backlog=0), filler)
        with contextlib.suppress(BlockingIOError):
            filler.connect(address)

    async def _empty_backlog(self, name: str) -> None:
        address = self._full[name][0].getsockname()
        for opened in self._full.pop(name):
            opened.close()
        await self._listen(name, address)

    async def _serve(
        self,
        name: str,
        target: tuple[str, int],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        source = writer.get_extra_info("peername")[0]
        try:
            await self._wait_until_healed(name, source, TO_SERVER)
            server_reader, server_writer = await asyncio.open_connection(
                *target, local_addr=(source, 0)
            )
        except OSError as error:
            self.failures.append(f"{name}: {error!r}")
            writer.close()
            return
        connection = _Connection((writer, server_writer))
        connections = self._connections.setdefault(name, [])
        connections.append(connection)
        forwarders = (
            asyncio.create_task(
                self._forward(
                    name, source, TO_SERVER, connection, reader, server_writer
                )
            ),
            asyncio.create_task(
                self._forward(
                    name, source, TO_CLIENT, connection, server_reader, writer
                )
            ),
        )
        try:
            await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for forwarder in forwarders:
                forwarder.cancel()
            await asyncio.gather(*forwarders, return_exceptions=True)
            connections.remove(connection)
            writer.close()
            server_writer.close()

    async def _forward(
        self,
        name: str,
        source: str,
        direction: str,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while data := await reader.read(_CHUNK):
                await asyncio.sleep(self._delays.get(name, 0.0))
                await self._wait_until_healed(name, source, direction)
                if direction not in connection.silent:
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            if not connection.silent:
                raise
        # During a partition, the end of a connection must not get through either.
        await self._wait_until_healed(name, source, direction)
        if connection.silent:
            connection.ends += 1
            if connection.ends == len(connection.writers):
                connection.ended.set()
            await connection.ended.wait()

    async def _wait_until_healed(self, name: str, source: str, direction: str) -> None:
        async with self._cuts_changed:
            await self._cuts_changed.wait_for(
                lambda: not self._is_cut(name, source, direction)
            )

    def _is_cut(self, name: str, source: str, direction: str) -> bool:
        return any(
            Cut(name, client, direction) in self._cuts for client in (source, None)
        )

    async def _reset(self, name: str) -> None:
        for connection in list(self._connections.get(name, ())):
            for writer in connection.writers:
                writer.transport.abort()

    async def _silence(self, name: str, directions: frozenset[str]) -> int:
        open_connections = self._connections.get(name, [])
        for connection in open_connections:
            connection.silent |= directions or {TO_SERVER, TO_CLIENT}
        return len(open_connections)

    async def _set_cuts(self, cuts: set[Cut]) -> None:
        async with self._cuts_changed:
            self._cuts = cuts
            self._cuts_changed.notify_all()

    async def _stop(self) -> None:
        for server in self._servers.values():
            server.close()
        for relay in self._datagrams.values():
            relay.close()
        for opened in itertools.chain.from_iterable(self._full.values()):
            opened.close()
        current = asyncio.current_task()
        tasks = [task for task in asyncio.all_tasks() if task is not current]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
