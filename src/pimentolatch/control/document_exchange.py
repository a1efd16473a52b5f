"""Transfers documents between instances; does no network I/O itself.

An instance that learns of a peer with a later document waits for a random delay, picks
one of the peers that have a later document by then, and requests the head and the parts
that it lacks. Because of the random delay the first instances fetch from the instance
that read the document and the next ones fetch from those, so no instance has to send
the document to a whole failure domain.
"""

import asyncio
import dataclasses
import datetime
import json
import random
import zlib

import logbook

from pimentolatch import clock
from pimentolatch.control import heads, local_document, parts
from pimentolatch.membership import interfaces
from pimentolatch.protocol import messages

__all__ = ["DocumentExchange"]

_log = logbook.Logger("configuration")
_PARTS_PER_REQUEST = 4
_MAX_PARTS_PER_RESPONSE = 8
_STALL_TIMEOUT = datetime.timedelta(seconds=2)
_DELAY_PER_PEER = datetime.timedelta(milliseconds=20)
_MAX_DELAY = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True)
class _Transfer:
    link: int
    last_progress: datetime.timedelta
    head: heads.Head | None = None
    missing: list[str] = dataclasses.field(default_factory=list)
    requested: set[str] = dataclasses.field(default_factory=set)
    received: dict[str, str] = dataclasses.field(default_factory=dict)


class DocumentExchange:
    """Implements `interfaces.ConfigurationPeer` with one transfer at a time."""

    def __init__(
        self,
        documents: local_document.LocalDocument,
        network: interfaces.Network,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._document = documents
        self._network = network
        self._clock = time
        self._rng = rng
        self._peer_numbers: dict[int, int] = {}
        self._transfer: _Transfer | None = None
        self._due: datetime.timedelta | None = None
        self._in_force: tuple[int, datetime.timedelta] = (0, datetime.timedelta())
        self._dissemination_time: datetime.timedelta | None = None
        self.wake = asyncio.Event()

    @property
    def number(self) -> int:
        """See `interfaces.ConfigurationPeer.number`."""
        return self._document.number

    @property
    def busy(self) -> bool:
        """Whether a transfer is scheduled or in progress, so `poll` must be called."""
        return self._due is not None or self._transfer is not None

    @property
    def peers_behind(self) -> int:
        """Number of linked peers that have an older document than this instance."""
        return sum(number < self.number for number in self._peer_numbers.values())

    @property
    def dissemination_time(self) -> datetime.timedelta | None:
        """Time from adoption here until every linked peer had the document."""
        return self._dissemination_time

    def offered(self, link: int, number: int) -> None:
        """See `interfaces.ConfigurationPeer.offered`."""
        self._peer_numbers[link] = number
        self._measure_dissemination()
        if number > self._document.known_number and not self.busy:
            max_delay = min(_MAX_DELAY, _DELAY_PER_PEER * len(self._peer_numbers))
            self._due = self._clock.monotonic() + max_delay * self._rng.random()
            self.wake.set()

    def closed(self, link: int) -> None:
        """See `interfaces.ConfigurationPeer.closed`."""
        self._peer_numbers.pop(link, None)
        if self._transfer is not None and self._transfer.link == link:
            self._abort("the link was closed")

    def poll(self) -> None:
        """Start a transfer that is due; abort one that has stalled."""
        now = self._clock.monotonic()
        transfer = self._transfer
        if transfer is not None and now - transfer.last_progress >= _STALL_TIMEOUT:
            self._abort("no progress within the stall timeout")
        if self._transfer is None and self._due is not None and now >= self._due:
            self._due = None
            self._start_transfer()

    def handle(self, link: int, message: messages.Message) -> None:
        """See `interfaces.ConfigurationPeer.handle`."""
        match message:
            case messages.WantHead():
                self._send_head(link)
            case messages.WantParts():
                self._send_parts(link, message)
            case messages.ConfigurationHead():
                self._receive_head(link, message)
            case messages.Part():
                self._receive_part(link, message)
            case messages.PartMissing():
                if self._transfer is not None and self._transfer.link == link:
                    self._abort("the peer no longer has a requested part")
            case _:
                self._network.close(link, "unexpected message")

    def _start_transfer(self) -> None:
        known = self._document.known_number
        candidates = sorted(
            link for link, number in self._peer_numbers.items() if number > known
        )
        if not candidates:
            return
        link = self._rng.choice(candidates)
        self._transfer = _Transfer(link, self._clock.monotonic())
        self._network.send(link, messages.WantHead())

    def _abort(self, reason: str) -> None:
        _log.debug("document transfer aborted", reason=reason)
        self._transfer = None
        self._due = self._clock.monotonic()
        self.wake.set()

    def _send_head(self, link: int) -> None:
        head = self._document.head
        if head is not None:
            text = json.dumps(head.to_json(), separators=(",", ":"))
            self._network.send(link, messages.ConfigurationHead(text))

    def _send_parts(self, link: int, request: messages.WantParts) -> None:
        for name in request.names[:_MAX_PARTS_PER_RESPONSE]:
            text = self._document.part_text(name)
            if text is None:
                self._network.send(link, messages.PartMissing(name))
            else:
                data = zlib.compress(text.encode())
                self._network.send(link, messages.Part(name, data))

    def _receive_head(self, link: int, message: messages.ConfigurationHead) -> None:
        transfer = self._transfer
        if transfer is None or transfer.link != link or transfer.head is not None:
            return
        try:
            head = heads.Head.from_json(json.loads(message.value))
        except (
            AttributeError,
            KeyError,
            RecursionError,
            TypeError,
            ValueError,
        ) as error:
            self._network.close(link, f"invalid document head: {error!r}")
            return
        if head.number <= self._document.known_number:
            self._transfer = None
            return
        transfer.head = head
        transfer.missing = list(self._document.missing_parts(head))
        self._continue(transfer)

    def _receive_part(self, link: int, message: messages.Part) -> None:
        transfer = self._transfer
        if transfer is None or transfer.link != link:
            return
        if message.name not in transfer.requested:
            return
        text = _decompressed(message.data)
        if text is None or parts.part_hash(text) != message.name.split(".")[0]:
            self._network.close(
                link,
                "the content of a document part does not match the hash in its name",
            )
            return
        transfer.requested.discard(message.name)
        transfer.received[message.name] = text
        self._continue(transfer)

    def _continue(self, transfer: _Transfer) -> None:
        transfer.last_progress = self._clock.monotonic()
        if transfer.requested:
            return
        if transfer.missing:
            names = tuple(transfer.missing[:_PARTS_PER_REQUEST])
            del transfer.missing[:_PARTS_PER_REQUEST]
            transfer.requested = set(names)
            self._network.send(transfer.link, messages.WantParts(names))
            return
        self._transfer = None
        if transfer.head is None:
            return
        outcome = self._document.adopt(transfer.head, transfer.received)
        if isinstance(outcome, local_document.Unreadable):
            # Parts were replaced during the transfer, or the peer is faulty.
            _log.warn("document from peer unreadable", reason=outcome.reason)
            self._network.close(transfer.link, "invalid document")

    def _measure_dissemination(self) -> None:
        number, since = self._in_force
        if number != self.number:
            self._in_force = (self.number, self._clock.monotonic())
            self._dissemination_time = None
        elif (
            self._dissemination_time is None
            and self._peer_numbers
            and not self.peers_behind
        ):
            self._dissemination_time = self._clock.monotonic() - since


def _decompressed(data: bytes) -> str | None:
    """Return the text, or None if it is invalid or too long.

    The limit protects against small messages that decompress to a huge size.
    """
    limit = parts.PART_LIMIT_CHARACTERS * 4
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(data, limit)
        return None if decompressor.unconsumed_tail else raw.decode()
    except (zlib.error, UnicodeDecodeError):
        return None
