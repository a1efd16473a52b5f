"""WebSocket links to peers, each with its own task and a bounded send queue."""

import asyncio
import collections
import dataclasses
import ipaddress
import itertools
import typing

import logbook
import websockets.asyncio.client
import websockets.asyncio.connection
import websockets.asyncio.server
import websockets.exceptions

from pimentolatch import clock, settings
from pimentolatch.membership import incarnations
from pimentolatch.protocol import codec, messages

__all__ = ["LinkHandler", "Links"]

_log = logbook.Logger("links")
# Messages queued for a peer before its link is closed. Waiting for a peer that is slow
# or unreachable would delay messages to the other peers; a new link starts with the
# whole state.
_QUEUE_LIMIT = 512
_BATCH_LIMIT = 64
_SMALL_ENTRIES = 64
_OPEN_TIMEOUT_S = 3.0
_CLOSE_TIMEOUT_S = 0.5
_RECEIVE_QUEUE = 8
# The design size needs 40 links, and a few across failure domains.
_LINK_LIMIT = 256
_TOO_BIG = 1009
_POLICY = 1008


class LinkHandler(typing.Protocol):
    """Handles link events; called in the event loop, so it must not block."""

    def opened(self, number: int, peer: messages.Hello) -> None:
        """Called after the handshake with a peer."""

    def closed(self, number: int) -> None:
        """Called after a link was closed."""

    def handle(self, number: int, message: messages.Message) -> None:
        """Called for each message received."""


@dataclasses.dataclass(slots=True)
class _Link:
    socket: websockets.asyncio.connection.Connection
    dialed: bool
    peer: messages.Hello | None = None
    queue: collections.deque[messages.Message] = dataclasses.field(
        default_factory=collections.deque
    )
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    closing: str | None = None


class Links:
    """All links of this instance.

    Args:
        own: Identity of this process, with the address that peers dial.
        address: Address to listen at.
        io_timeout_s: Time-out of one send or receive, in seconds.
    """

    def __init__(
        self,
        own: incarnations.Identity,
        address: settings.Address,
        time: clock.Clock,
        io_timeout_s: float,
    ) -> None:
        self._own = own
        self._address = address
        self._clock = time
        self._io_timeout_s = io_timeout_s
        self._numbers = itertools.count(1)
        self._links: dict[int, _Link] = {}
        self._handler: LinkHandler | None = None
        self._server: websockets.asyncio.server.Server | None = None
        self._closed = False
        self.bytes_sent = 0
        self.bytes_received = 0
        self.frames = 0

    @property
    def linked(self) -> frozenset[str]:
        """Names of the instances that are connected by open links."""
        return frozenset(
            incarnations.instance_of(link.peer.incarnation)
            for link in self._links.values()
            if link.peer is not None and link.closing is None
        )

    @property
    def dialed(self) -> dict[int, messages.Hello]:
        """Peers of the links that this instance dialed, by link number."""
        return {
            number: link.peer
            for number, link in self._links.items()
            if link.dialed and link.peer is not None
        }

    async def start(self, handler: LinkHandler) -> None:
        """Listen for peers; raises `OSError` if the address is unavailable."""
        self._handler = handler
        self._server = await websockets.asyncio.server.serve(
            self._accept,
            self._address.host,
            self._address.port,
            compression=None,
            open_timeout=_OPEN_TIMEOUT_S,
            close_timeout=_CLOSE_TIMEOUT_S,
            ping_interval=None,
            max_size=codec.FRAME_LIMIT_BYTES,
            max_queue=_RECEIVE_QUEUE,
        )

    async def stop(self) -> None:
        """Send the queued messages, close the links and then the listening socket."""
        self._closed = True
        for number in list(self._links):
            self.close(number, "stopping")
        if self._server is not None:
            self._server.close(close_connections=True)
            await self._server.wait_closed()

    async def dial(
        self, host: str, port: int, on_identified: typing.Callable[[str], None]
    ) -> str:
        """Open a link and serve it until it closes; returns the reason for the close.

        Args:
            host: IP address of the peer.
            port: Port of the peer.
            on_identified: Called with the name of the instance in the peer's hello.
        """
        shown = f"[{host}]" if ipaddress.ip_address(host).version == 6 else host
        try:
            # Firewalls and tests identify the calling instance by its source address.
            socket = await websockets.asyncio.client.connect(
                f"ws://{shown}:{port}",
                compression=None,
                open_timeout=_OPEN_TIMEOUT_S,
                close_timeout=_CLOSE_TIMEOUT_S,
                ping_interval=None,
                max_size=codec.FRAME_LIMIT_BYTES,
                max_queue=_RECEIVE_QUEUE,
                proxy=None,
                local_addr=(self._address.host, 0),
            )
        except (OSError, TimeoutError, websockets.exceptions.WebSocketException) as e:
            return repr(e)
        return await self._serve(socket, dialed=True, on_identified=on_identified)

    def send(self, link: int, message: messages.Message) -> None:
        """See `interfaces.Network.send`."""
        chosen = self._links.get(link)
        if chosen is None or chosen.closing is not None:
            return
        if len(chosen.queue) >= _QUEUE_LIMIT:
            self.close(link, "send queue full: the peer is too slow or unreachable")
            chosen.queue.clear()
            return
        chosen.queue.append(message)
        chosen.wake.set()

    def close(self, link: int, reason: str) -> None:
        """See `interfaces.Network.close`."""
        chosen = self._links.get(link)
        if chosen is not None and chosen.closing is None:
            chosen.closing = reason
            chosen.wake.set()

    async def _accept(self, socket: websockets.asyncio.server.ServerConnection) -> None:
        if len(self._links) < _LINK_LIMIT and not self._closed:
            await self._serve(socket, dialed=False)

    async def _serve(
        self,
        socket: websockets.asyncio.connection.Connection,
        *,
        dialed: bool,
        on_identified: typing.Callable[[str], None] = lambda instance: None,
    ) -> str:
        number = next(self._numbers)
        link = self._links[number] = _Link(socket, dialed)
        try:
            reason = await self._handshake(link, on_identified)
            if not reason:
                reason = await self._run(number, link)
        except (
            OSError,
            TimeoutError,
            websockets.exceptions.ConnectionClosed,
        ) as error:
            reason = link.closing or repr(error)
            if _was_too_big(error):
                _log.error("frame too large", peer=_peer_name(link))
        finally:
            self._links.pop(number, None)
            if link.peer is not None and self._handler is not None:
                self._handler.closed(number)
            socket.transport.abort()
        _log.debug("link closed", peer=_peer_name(link), reason=reason)
        return reason

    async def _handshake(
        self, link: _Link, on_identified: typing.Callable[[str], None]
    ) -> str:
        own = self._own
        hello = messages.Hello(
            codec.PROTOCOL_VERSION,
            own.incarnation,
            own.failure_domain,
            own.host,
            own.port,
        )
        async with asyncio.timeout(_OPEN_TIMEOUT_S):
            await link.socket.send(codec.encode([hello]))
            received = codec.decode(_as_bytes(await link.socket.recv()))
        if isinstance(received, codec.Malformed) or len(received) != 1:
            return await self._reject(
                link, f"first frame must be one hello: {received}"
            )
        peer = received[0]
        if not isinstance(peer, messages.Hello):
            return await self._reject(link, "first message must be a hello")
        if peer.version != codec.PROTOCOL_VERSION:
            return await self._reject(link, f"protocol version {peer.version}")
        instance = incarnations.instance_of(peer.incarnation)
        on_identified(instance)
        if instance == own.instance:
            return "the address belongs to this instance"
        if not self._supersedes(link, peer):
            return "duplicate link to the same incarnation"
        link.peer = peer
        return ""

    def _supersedes(self, link: _Link, peer: messages.Hello) -> bool:
        """Decide which of two links to an incarnation stays; False if it's the other.

        Both sides may dial at the same time. If each side kept the newer link, each
        could close the one that the other keeps, again and again. So both sides keep
        the link that the instance with the lower name dialed.
        """
        for number, other in list(self._links.items()):
            if other is link or other.peer is None or other.closing is not None:
                continue
            if other.peer.incarnation != peer.incarnation:
                continue
            lower_dialed = link.dialed == (self._own.incarnation < peer.incarnation)
            if not lower_dialed and other.dialed != link.dialed:
                return False
            self.close(number, "replaced by another link to the same incarnation")
        return True

    async def _reject(self, link: _Link, reason: str) -> str:
        _log.error("link rejected", peer=_peer_name(link), reason=reason)
        await link.socket.close(_POLICY)
        return reason

    async def _run(self, number: int, link: _Link) -> str:
        if self._handler is None or link.peer is None:
            return "not started"
        self._handler.opened(number, link.peer)
        writer = asyncio.create_task(self._write(link))
        reader = asyncio.create_task(self._read(number, link, self._handler))
        try:
            done, _ = await asyncio.wait(
                (writer, reader), return_when=asyncio.FIRST_COMPLETED
            )
            return "; ".join(sorted(task.result() for task in done))
        finally:
            writer.cancel()
            reader.cancel()
            await asyncio.gather(writer, reader, return_exceptions=True)

    async def _write(self, link: _Link) -> str:
        while True:
            if link.queue:
                frame = codec.encode(_next_batch(link.queue))
                self.bytes_sent += len(frame)
                self.frames += 1
                async with asyncio.timeout(self._io_timeout_s):
                    await link.socket.send(frame)
            elif link.closing is not None:
                return link.closing
            else:
                link.wake.clear()
                await link.wake.wait()

    async def _read(self, number: int, link: _Link, handler: LinkHandler) -> str:
        while True:
            async with asyncio.timeout(self._io_timeout_s):
                frame = _as_bytes(await link.socket.recv())
            self.bytes_received += len(frame)
            self.frames += 1
            received = codec.decode(frame)
            if isinstance(received, codec.Malformed):
                return await self._reject(link, f"malformed frame: {received.reason}")
            for message in received:
                try:
                    handler.handle(number, message)
                # A fault that one peer's message causes must only close that link.
                except Exception:
                    _log.exception(
                        "message handler failed; closing the link",
                        peer=_peer_name(link),
                    )
                    return "message handler failed"


def _next_batch(
    queue: collections.deque[messages.Message],
) -> list[messages.Message]:
    batch = [queue.popleft()]
    while queue and len(batch) < _BATCH_LIMIT:
        if _is_large(batch[-1]) or _is_large(queue[0]):
            break
        batch.append(queue.popleft())
    return batch


def _is_large(message: messages.Message) -> bool:
    """Return whether a message needs its own frame, to stay below the size limit."""
    match message:
        case messages.Part() | messages.DomainViews() | messages.ConfigurationHead():
            return True
        case messages.Heartbeat():
            return len(message.introduced) > _SMALL_ENTRIES
        case messages.WorkDelta():
            return len(message.servers) + len(message.callers) > _SMALL_ENTRIES
        case messages.LeavingNotice():
            return len(message.servers) > _SMALL_ENTRIES
        case messages.CrashNotice():
            return len(message.crashes) > _SMALL_ENTRIES
        case messages.RelayedAcknowledgements():
            return len(message.rows) > _SMALL_ENTRIES
        case _:
            return False


def _as_bytes(frame: str | bytes) -> bytes:
    return frame.encode() if isinstance(frame, str) else frame


def _was_too_big(error: Exception) -> bool:
    closed = websockets.exceptions.ConnectionClosed
    if not isinstance(error, closed):
        return False
    return error.sent is not None and error.sent.code == _TOO_BIG


def _peer_name(link: _Link) -> str:
    if link.peer is not None:
        return link.peer.incarnation
    return str(link.socket.remote_address)
