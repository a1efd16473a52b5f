"""Cuts a document into parts, so that a change moves only the parts it touches.

At the size designed for a document is about a megabyte and changes every 23 seconds.
Sent whole, compressed or not, it alone would take most of the 18 KB a second that an
instance has for control. The cuts depend on the content: an entry that comes or goes
changes its own part, and the parts after it stay what they were.
"""

import dataclasses
import hashlib
import json
import typing
import zlib
from collections import abc

from pimentolatch.document import schema

__all__ = [
    "PartText",
    "content_hash",
    "document_text",
    "part_hash",
    "split",
]

# On average 64 entries, some 16 kB, make a part: a change then moves about one part
# (a few kB compressed), and the head that names all parts stays at a few kB.
_MEAN_ENTRIES_PER_PART = 64
# Under the platform's megabyte even if every character needs six for its JSON escape.
PART_LIMIT_CHARACTERS = 120_000
_HASH_LENGTH = 32


@dataclasses.dataclass(frozen=True, slots=True)
class PartText:
    """A part's content hash and text."""

    content_hash: str
    text: str


def document_text(document: schema.FleetDocument) -> str:
    """Return the one text a document is stored, hashed and sent to peers as."""
    return "".join(_fragments(document))


def split(document: schema.FleetDocument) -> tuple[PartText, ...]:
    """Return the parts whose texts, joined, are the document's text."""
    return tuple(PartText(part_hash(text), text) for text in _group_fragments(document))


def content_hash(text: str) -> str:
    """Return the SHA-256 of a text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def part_hash(text: str) -> str:
    """Return the shortened hash that a part's name begins with."""
    return content_hash(text)[:_HASH_LENGTH]


def _group_fragments(document: schema.FleetDocument) -> abc.Iterator[str]:
    group: list[str] = []
    size = 0
    for fragment in _limit_size(_fragments(document)):
        if group and size + len(fragment) > PART_LIMIT_CHARACTERS:
            yield "".join(group)
            group, size = [], 0
        group.append(fragment)
        size += len(fragment)
        if zlib.crc32(fragment.encode()) % _MEAN_ENTRIES_PER_PART == 0:
            yield "".join(group)
            group, size = [], 0
    if group:
        yield "".join(group)


def _limit_size(fragments: abc.Iterable[str]) -> abc.Iterator[str]:
    for fragment in fragments:
        for start in range(0, len(fragment), PART_LIMIT_CHARACTERS):
            yield fragment[start : start + PART_LIMIT_CHARACTERS]


def _fragments(document: schema.FleetDocument) -> abc.Iterator[str]:
    """Yield the text of the document, an entry of a list at a time."""
    separator = "{"
    for name, value in document.model_dump(mode="json").items():
        yield f"{separator}{json.dumps(name)}:"
        separator = ","
        if not isinstance(value, list):
            yield _json(value)
            continue
        yield "["
        for number, entry in enumerate(value):
            yield ("," if number else "") + _json(entry)
        yield "]"
    yield "}"


def _json(value: typing.Any) -> str:
    return json.dumps(value, separators=(",", ":"))
