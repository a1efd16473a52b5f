"""A server that stops within its answers, after a chosen number of bytes."""

import asyncio
import contextlib
import dataclasses
import re

from pimentolatch import settings
from pimentolatch.backend import sockets

__all__ = [
    "COMMENT",
    "ENDINGS",
    "REQUEST_ID",
    "Cut",
    "CuttingEngine",
    "CuttingServer",
    "Form",
    "cut_name",
    "plain_forms",
]

ENDINGS = ("closed", "reset")
# A request names its cut in any field of its head.
CUT_NAME = re.compile(rb"cut-(\d+)-(closed|reset)")
# Header field of an answer that repeats the id of its request, which is the name of its
# cut. White space behind a value has no meaning.
_ID_PLACEHOLDER = b"@" * len("cut-0000-closed")
REQUEST_ID = b"x-request-id: " + _ID_PLACEHOLDER + b"\r\n"
# Longer than it takes a client to read what was sent before a reset.
RESET_AFTER_S = 0.02
# Between the two halves of what is sent, so that a client reads them apart.
SPLIT_S = 0.001
HEALTHY = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
PIECES = (b"first, ", b"second", b" and last")
# What an engine sends before it goes on with a stream.
COMMENT = b": here it goes on\n\n"


@dataclasses.dataclass(frozen=True)
class Form:
    """An answer and how its end is told.

    Attributes:
        head: Its head, with interim answers before it.
        raw: All of it.
        body: What a client reads as its body.
        ends_with_connection: Whether nothing but the end of the connection ends it.
    """

    head: bytes
    raw: bytes
    body: bytes
    ends_with_connection: bool = False

    @property
    def is_success(self):
        """Whether it says that the request succeeded."""
        return b" 20" in self.final_line

    @property
    def is_refusal(self):
        """Whether it says that the request has not run."""
        return b" 503 " in self.final_line

    @property
    def is_failure(self):
        """Whether it says that the request failed."""
        return b" 50" in self.final_line and not self.is_refusal

    @property
    def final_line(self):
        """Its status line, after those of interim answers."""
        return re.findall(rb"HTTP/1\..*", self.head)[-1]

    def whole_body(self, cut):
        """Return the body of the answer if a client may take it for whole, or None."""
        sent = len(self.raw) if cut is None else cut.sent
        if sent >= len(self.raw) and not self.ends_with_connection:
            return self.body
        in_order = cut is None or cut.ending == "closed"
        if self.ends_with_connection and sent >= len(self.head) and in_order:
            return self.raw[len(self.head) : sent]
        return None

    def cuts(self):
        """Return every cut of it, from no byte to all of them."""
        return [
            Cut(sent, ending) for ending in ENDINGS for sent in range(len(self.raw) + 1)
        ]


@dataclasses.dataclass(frozen=True)
class Cut:
    """Where an answer stops.

    Attributes:
        sent: Number of bytes sent.
        ending: `closed` in order, or `reset`.
    """

    sent: int
    ending: str


def cut_name(cut):
    """Return the name by which a request asks for a cut."""
    return f"cut-{cut.sent}-{cut.ending}"


def chunked(pieces):
    """Return a body in chunks."""
    parts = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces]
    return b"".join([*parts, b"0\r\n\r\n"])


def plain_forms(fields, pieces=PIECES, status=b"200 OK"):
    """Return an answer in each form in which HTTP can tell its end."""
    body = b"".join(pieces)
    first = b"HTTP/1.1 " + status + b"\r\n" + fields
    length = first + b"content-length: %d\r\n\r\n" % len(body)
    in_chunks = first + b"transfer-encoding: chunked\r\n\r\n"
    none = b"HTTP/1.1 204 No Content\r\n" + fields + b"\r\n"
    hints = b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"
    bare = length.replace(b"\r\n", b"\n")
    old = (first + b"\r\n").replace(b"HTTP/1.1", b"HTTP/1.0")
    return {
        "a length": Form(length, length + body, body),
        "chunks": Form(in_chunks, in_chunks + chunked(pieces), body),
        "no length": Form(first + b"\r\n", first + b"\r\n" + body, body, True),
        "no body": Form(none, none, b""),
        "interim answers": Form(hints * 2 + length, hints * 2 + length + body, body),
        "bare line feeds": Form(bare, bare + body, body),
        "an older version": Form(old, old + body, body, True),
    }


class CuttingServer:
    """Answers requests as far as their names tell.

    A request without such a name is taken for a health check.

    Args:
        form: The answer.
        cut: See below.
        names_cuts: Whether requests name their cuts.
        keeps_open: Whether a connection stays open after a whole answer.

    Attributes:
        cut: Where answers stop whose requests have no name; None for nowhere.
        seen: Heads of the requests that have named a cut.
    """

    def __init__(self, form, cut=None, *, names_cuts=True, keeps_open=False):
        self._form = form
        self._keeps_open = keeps_open
        self._names_cuts = names_cuts
        self.cut = cut
        self.seen = []

    @contextlib.asynccontextmanager
    async def listening(self):
        """Listen on a free port."""
        await self.start()
        try:
            yield self.address
        finally:
            await self.stop()

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = settings.Address(host="127.0.0.1", port=port)

    async def stop(self):
        """Stop listening."""
        self._server.close()

    def entry(self, service, stage=None):
        """Return its entry in the store."""
        address = f"{self.address.host}:{self.address.port}"
        entry = {"service": service, "address": address, "zone": "here"}
        entry |= {"version": "v1", "slots": 64, "state": "ready", "sequence": 1}
        entry |= {"cold_remaining_ms": 0}
        return entry if stage is None else entry | {"stage": stage}

    def answer(self, head):
        """Return the answer to a request and where it stops."""
        if not self._names_cuts:
            return self._form.raw, self.cut
        found = CUT_NAME.search(head)
        if found is None:
            return HEALTHY, None
        self.seen.append(head)
        name = found[0].ljust(len(_ID_PLACEHOLDER))
        raw = self._form.raw.replace(_ID_PLACEHOLDER, name)
        return raw, Cut(int(found[1]), found[2].decode())

    async def _serve(self, reader, writer):
        try:
            while await self._exchange(reader, writer):
                pass
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _exchange(self, reader, writer):
        """Answer a request; return whether its connection stays open."""
        head = await reader.readuntil(b"\r\n\r\n")
        if length := re.search(rb"content-length: (\d+)", head.lower()):
            await reader.readexactly(int(length[1]))
        raw, cut = self.answer(head)
        sent = len(raw) if cut is None else cut.sent
        writer.write(raw[: sent // 2])
        await writer.drain()
        await asyncio.sleep(SPLIT_S)
        writer.write(raw[sent // 2 : sent])
        await writer.drain()
        if cut is not None and cut.ending == "reset":
            await asyncio.sleep(RESET_AFTER_S)
            sockets.reset_on_close(writer.get_extra_info("socket"))
            writer.transport.abort()
            return False
        return self._keeps_open and sent >= len(raw)


class CuttingEngine(CuttingServer):
    """Cuts its answer to the first dispatch of each request, and resumes streams.

    Args:
        form_name: One of `plain_forms`.
        events: The events of each stream, one after the other.
        started: Names of the cuts that an engine has made, shared by several.
    """

    def __init__(self, form_name, fields, events, started):
        self._form_name = form_name
        self._fields = fields
        self._events = events
        self._started = started
        super().__init__(self._rest(0))

    def answer(self, head):
        """Return the answer to a request and where it stops."""
        raw, cut = super().answer(head)
        if cut is None or cut not in self._started:
            self._started.add(cut)
            return raw, cut
        last = re.search(rb"last-event-id: (\d+)", head.lower())
        return self._rest(int(last[1]) if last else 0, COMMENT).raw, None

    def _rest(self, last, *before):
        pieces = [*before, *self._events[last:]]
        return plain_forms(self._fields, pieces)[self._form_name]
