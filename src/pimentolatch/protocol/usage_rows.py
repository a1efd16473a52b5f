"""Datagrams in which instances report how many requests customers started.

A leader that begins asks for them by a notice, and one that yields tells its peers. An
instance of a version without notices drops them as malformed.
"""

import dataclasses
from collections import abc

import cbor2

from pimentolatch.decisions import usage
from pimentolatch.protocol import fields

__all__ = ["LeaderNotice", "Malformed", "decode", "encode", "encode_notice"]

_VERSION = 1
# Customers in one datagram, so few that no link has to fragment it.
_MAX_CUSTOMERS = 50
_NOTICE = "leader"
_NOTICE_FIELDS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A datagram that is not a row of this version."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderNotice:
    """The sender has become the leader, or has released its leadership.

    Attributes:
        host: Host at which peers reach the sender.
        fence: Fencing token of the leadership.
        released: Whether it was released.
    """

    host: str
    fence: int
    released: bool


def encode_notice(notice: LeaderNotice) -> bytes:
    """Return the datagram of a notice."""
    values = [_VERSION, _NOTICE, notice.host, notice.fence, notice.released]
    return cbor2.dumps(values)


def encode(row: usage.Row) -> list[bytes]:
    """Return the datagrams of a row."""
    parts = [
        row.counts[first : first + _MAX_CUSTOMERS]
        for first in range(0, len(row.counts), _MAX_CUSTOMERS)
    ]
    return [_encode_part(row, part) for part in parts or [()]]


def decode(datagram: bytes) -> usage.Row | LeaderNotice | Malformed:
    """Return the row or notice of a datagram, which is untrusted."""
    try:
        values = cbor2.loads(datagram)
        if len(values) == _NOTICE_FIELDS and values[:2] == [_VERSION, _NOTICE]:
            _, _, host, fence, released = values
            return LeaderNotice(fields.text(host), fields.count(fence), bool(released))
        version, instance, incarnation, window, final, total, counts = values
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
