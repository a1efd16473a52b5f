"""Splits a document into parts, so that a change transfers only the affected parts.

At the fleet size designed for, a document has about 1 MB and changes every 23 s. The
whole document, even compressed, would take most of the 18 KB/s that an instance has for
control traffic. The boundaries are content-defined: adding or removing an entry changes
only its own part.
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

# A part has 64 entries or about 16 kB on average. A change then transfers about one
# part (a few kB compressed), and the head, which names all parts, stays at a few kB.
_MEAN_ENTRIES_PER_PART = 64
# Keeps a part below the platform's limit of 1 MB, even if the JSON escape of each
# character takes six characters.
PART_LIMIT_CHARACTERS = 120_000
_HASH_LENGTH = 32


@dataclasses.dataclass(frozen=True, slots=True)
class PartText:
    """A part's content hash and text."""

    content_hash: str
    text: str


def document_text(document: schema.FleetDocument) -> str:
    """Return the text by which a document is stored, hashed and sent to peers."""
    return "".join(_fragments(document))


def split(document: schema.FleetDocument) -> tuple[PartText, ...]:
    """Return the parts of a document; their joined texts are its text."""
    return tuple(PartText(part_hash(text), text) for text in _group_fragments(document))


def content_hash(text: str) -> str:
    """Return the SHA-256 of a text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def part_hash(text: str) -> str:
    """Return the truncated hash that is the prefix of a part's name."""
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
    """Yield the document's text in fragments, one for each entry of a list."""
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
