"""Datagrams in which instances tell what customers' requests began."""

import dataclasses
import typing
from collections import abc

import cbor2

from pimentolatch.decisions import usage

__all__ = ["Malformed", "decode", "encode"]

_VERSION = 1
# Customers in one datagram, so that it passes every link unfragmented.
_MOST_CUSTOMERS = 50
_MOST_COUNT = 2**53
_UNREADABLE = (
    cbor2.CBORError,
    ValueError,
    TypeError,
    LookupError,
    OverflowError,
    RecursionError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A datagram that is no row of this version."""

    reason: str


def encode(row: usage.Row) -> list[bytes]:
    """Return the datagrams of a row."""
    parts = [
        row.counts[first : first + _MOST_CUSTOMERS]
        for first in range(0, len(row.counts), _MOST_CUSTOMERS)
    ]
    return [_encode_part(row, part) for part in parts or [()]]


def decode(datagram: bytes) -> usage.Row | Malformed:
    """Return the row of a datagram; anybody may have sent it."""
    try:
        fields = cbor2.loads(datagram)
        version, instance, life, window, final, total, counts = fields
        if version != _VERSION:
            raise ValueError(f"version {version!r:.20}")
        return usage.Row(
            usage.Origin(_text(instance), _text(life)),
            _count(window),
            bool(final),
            _count(total),
            tuple((_text(name), _count(count)) for name, count in counts),
        )
    except _UNREADABLE as error:
        return Malformed(repr(error))


def _encode_part(row: usage.Row, counts: abc.Sequence[tuple[str, int]]) -> bytes:
    origin = row.origin
    fields = [_VERSION, origin.instance, origin.life, row.window, row.final, row.total]
    return cbor2.dumps([*fields, [list(pair) for pair in counts]])


def _text(value: typing.Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"not a text: {value!r:.60}")
    return value


def _count(value: typing.Any) -> int:
    if not isinstance(value, int) or not 0 <= value < _MOST_COUNT:
        raise ValueError(f"not a count: {value!r:.60}")
    return value
