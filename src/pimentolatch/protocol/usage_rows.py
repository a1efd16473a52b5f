"""Datagrams in which instances report how many requests customers started."""

import dataclasses
from collections import abc

import cbor2

from pimentolatch.decisions import usage
from pimentolatch.protocol import fields

__all__ = ["Malformed", "decode", "encode"]

_VERSION = 1
# Customers in one datagram, so few that no link has to fragment it.
_MAX_CUSTOMERS = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A datagram that is not a row of this version."""

    reason: str


def encode(row: usage.Row) -> list[bytes]:
    """Return the datagrams of a row."""
    parts = [
        row.counts[first : first + _MAX_CUSTOMERS]
        for first in range(0, len(row.counts), _MAX_CUSTOMERS)
    ]
    return [_encode_part(row, part) for part in parts or [()]]


def decode(datagram: bytes) -> usage.Row | Malformed:
    """Return the row of a datagram, which is untrusted."""
    try:
        version, instance, incarnation, window, final, total, counts = cbor2.loads(
            datagram
        )
        if version != _VERSION:
            raise ValueError(f"unknown version {version!r:.20}")
        return usage.Row(
            usage.Origin(fields.text(instance), fields.text(incarnation)),
            fields.count(window),
            bool(final),
            fields.count(total),
            tuple((fields.text(name), fields.count(count)) for name, count in counts),
        )
    except fields.DECODE_ERRORS as error:
        return Malformed(repr(error))


def _encode_part(row: usage.Row, counts: abc.Sequence[tuple[str, int]]) -> bytes:
    origin = row.origin
    head = [
        _VERSION,
        origin.instance,
        origin.incarnation,
        row.window,
        row.final,
        row.total,
    ]
    return cbor2.dumps([*head, [list(pair) for pair in counts]])
