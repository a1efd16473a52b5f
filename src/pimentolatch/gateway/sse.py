"""Splits a byte stream of server-sent events into blocks, byte for byte.

Source of the format: "Server-sent events" in the WHATWG HTML standard. A line ends with
LF, CR LF or CR, an empty line ends an event, and a line that begins with a colon is a
comment.
"""

import dataclasses
import re
from collections import abc

__all__ = ["Block", "BlockSplitter", "OversizedEventError", "has_event"]

# An event has one or a few tokens.
_MAX_EVENT_BYTES = 262_144
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_COMMENT = b":"
_CR, _LF = b"\r", b"\n"
_LINE_ENDS = _CR + _LF
_LINE_END = re.compile(rb"\r\n|\n|\r")
_ID = b"id"
_DATA = b"data"
# Numbers of events, and no longer digits, which would take long to convert.
_NUMBER = re.compile(rb" ?([0-9]{1,18})", re.ASCII)


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


def has_event(blocks: abc.Iterable[Block]) -> bool:
    """Tell whether there is an event among blocks."""
    return any(block.is_event for block in blocks)


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
        self._mark = b""
        self._event = bytearray()
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
        scanned = len(self._partial) if not self._at_start else 0
        buffer = self._partial + data
        if self._at_start:
            if len(buffer) < len(_BYTE_ORDER_MARK) and _BYTE_ORDER_MARK.startswith(
                buffer
            ):
                self._partial = buffer
                return []
            self._at_start = False
            if buffer.startswith(_BYTE_ORDER_MARK):
                buffer = buffer[len(_BYTE_ORDER_MARK) :]
                self._mark = _BYTE_ORDER_MARK if self._keeps_mark else b""
        blocks = []
        end = 0
        if self._after_cr and buffer.startswith(_LF):
            # The second half of a line end whose first half ended the last read.
            end = 1
            if self._event:
                self._event += _LF
            else:
                blocks.append(Block(None, _LF))
        for match in _LINE_END.finditer(buffer, max(end, scanned)):
            line, end = buffer[end : match.end()], match.end()
            if (block := self._take_line(line)) is not None:
                blocks.append(block)
        self._partial = buffer[end:]
        if buffer:
            self._after_cr = not self._partial and buffer.endswith(_CR)
        if len(self._event) + len(self._partial) > _MAX_EVENT_BYTES:
            raise OversizedEventError(
                f"an event exceeds {_MAX_EVENT_BYTES} bytes without an end"
            )
        return blocks

    def _take_line(self, line: bytes) -> Block | None:
        """Return the block that a line completes, if it does."""
        content = line.rstrip(_LINE_ENDS)
        if content and (self._event or not content.startswith(_COMMENT)):
            self._event += self._take_mark() + line
            self._read_field(content)
            return None
        block = Block(
            self._number, self._take_mark() + bytes(self._event) + line, self._has_data
        )
        self._event.clear()
        self._number = None
        self._has_data = False
        return block

    def _take_mark(self) -> bytes:
        mark, self._mark = self._mark, b""
        return mark

    def _read_field(self, content: bytes) -> None:
        name, _, value = content.partition(b":")
        if name == _DATA:
            self._has_data = True
        elif name == _ID and (found := _NUMBER.fullmatch(value)) is not None:
            self._number = int(found.group(1))
