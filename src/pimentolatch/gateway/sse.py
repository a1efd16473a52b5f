"""Splits a byte stream of server-sent events into blocks, byte for byte.

Source of the format: "Server-sent events" in the WHATWG HTML standard. A line ends with
LF, CR LF or CR, an empty line ends an event, and a line that begins with a colon is a
comment.
"""

import dataclasses
import re
from collections import abc

__all__ = ["Block", "BlockSplitter", "OversizedEventError", "count_events"]

# An event has one or a few tokens.
_MAX_EVENT_BYTES = 262_144
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_COMMENT = b":"
_CR, _LF = b"\r", b"\n"
_LINE_ENDS = (_LF, _CR, _CR + _LF)
_DATA_LINE = re.compile(rb"data[:\r\n]")
# Numbers of events, and no longer digits, which would take long to convert.
_NUMBER_LINE = re.compile(rb"id: ?([0-9]{1,18})", re.ASCII)


@dataclasses.dataclass(frozen=True, slots=True)
class Block:
    """Whole lines of a stream that belong together.

    Attributes:
        number: Numeric id that it sets; None if it sets none.
        data: The lines, byte for byte.
        is_event: Whether it is an event, rather than comments, an empty line or fields
            without data.
    """

    number: int | None
    data: bytes
    is_event: bool = False


class OversizedEventError(Exception):
    """An event does not end."""


def count_events(blocks: abc.Iterable[Block]) -> int:
    """Return the number of events among blocks."""
    return sum(block.is_event for block in blocks)


class BlockSplitter:
    """Holds back a partial event or line until its end has arrived.

    A server that crashes may stop in the middle of an event. If the partial event were
    forwarded, the first event of the server that resumes the stream would be joined to
    it. Comments between events are forwarded at once: they keep a connection alive.

    Args:
        keeps_mark: Whether a byte order mark at the beginning is kept. Within what the
            client receives it would be part of a line.
    """

    def __init__(self, *, keeps_mark: bool = True) -> None:
        self._keeps_mark = keeps_mark
        self._at_start = True
        self._event: list[bytes] = []
        self._event_bytes = 0
        self._number: int | None = None
        self._has_data = False
        self._partial = b""
        self._after_cr = False

    @property
    def incomplete(self) -> bool:
        """Whether the bytes so far end within an event."""
        return bool(self._event or self._partial) and not self._in_comment

    @property
    def rest(self) -> bytes:
        """A last comment without a line end."""
        return self._partial if self._in_comment else b""

    @property
    def _in_comment(self) -> bool:
        return not self._event and self._partial.startswith(_COMMENT)

    def feed(self, data: bytes) -> list[Block]:
        """Return the blocks that are now complete.

        Raises:
            OversizedEventError: The next event is too large.
        """
        buffer = self._partial + data
        if self._at_start:
            without_mark = self._without_mark(buffer)
            if without_mark is None:
                return []
            buffer = without_mark
        blocks = []
        if self._after_cr and buffer.startswith(_LF):
            # The second half of a line end whose first half ended the last read.
            buffer = buffer[1:]
            if self._event:
                self._event.append(_LF)
            else:
                blocks.append(Block(None, _LF))
        lines = buffer.splitlines(keepends=True)
        self._partial = b""
        if lines and not lines[-1].endswith((_LF, _CR)):
            self._partial = lines.pop()
        for line in lines:
            if line in _LINE_ENDS or (line.startswith(_COMMENT) and not self._event):
                blocks.append(self._finish_block(line))
            else:
                self._add_line(line)
        self._after_cr = data.endswith(_CR)
        if self._event_bytes + len(self._partial) > _MAX_EVENT_BYTES:
            raise OversizedEventError(
                f"an event exceeds {_MAX_EVENT_BYTES} bytes without an end"
            )
        return blocks

    def _without_mark(self, buffer: bytes) -> bytes | None:
        """Take a byte order mark off; None if there may be more of it to come."""
        if len(buffer) < len(_BYTE_ORDER_MARK) and _BYTE_ORDER_MARK.startswith(buffer):
            self._partial = buffer
            return None
        self._at_start = False
        if not buffer.startswith(_BYTE_ORDER_MARK):
            return buffer
        if self._keeps_mark:
            self._event.append(_BYTE_ORDER_MARK)
        return buffer[len(_BYTE_ORDER_MARK) :]

    def _add_line(self, line: bytes) -> None:
        self._event.append(line)
        self._event_bytes += len(line)
        if _DATA_LINE.match(line):
            self._has_data = True
        elif (found := _NUMBER_LINE.fullmatch(line.rstrip())) is not None:
            self._number = int(found.group(1))

    def _finish_block(self, line: bytes) -> Block:
        """Return the block that ends with a line."""
        self._event.append(line)
        block = Block(self._number, b"".join(self._event), self._has_data)
        self._event = []
        self._event_bytes = 0
        self._number = None
        self._has_data = False
        return block
