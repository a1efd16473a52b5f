"""Datagrams in which instances record and look up which build began a stream."""

import dataclasses
import datetime
import functools
import typing

import cbor2

from pimentolatch.decisions import stream_origins
from pimentolatch.protocol import fields

__all__ = [
    "MAX_ORIGINS",
    "Announcement",
    "Answer",
    "Malformed",
    "Message",
    "Origin",
    "Question",
    "decode",
    "encode",
]

_VERSION = 1
_ANNOUNCEMENT = 1
_QUESTION = 2
_ANSWER = 3
# Origins in one datagram, so few that no link has to fragment it.
MAX_ORIGINS = 50
_KEYS = 1 << 64
_MAX_REMAINING_MS = stream_origins.LIFETIME // datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Record of the build that began a stream.

    Attributes:
        origin: Key of the request that began the stream.
        build: Key of the service and the software version.
        remaining_ms: Time for which the record still counts.
    """

    origin: int
    build: int
    remaining_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Records for the receiver to keep, `MAX_ORIGINS` at most."""

    origins: tuple[Origin, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """Query for the build that began a stream; the answer repeats its number."""

    number: int
    origin: int


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a question; the build is None if the sender has no record."""

    number: int
    build: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A datagram that is not a message of this version."""

    reason: str


Message = Announcement | Question | Answer


@functools.singledispatch
def encode(message: Message) -> bytes:
    """Return the datagram of a message.

    Raises:
        TypeError: It is no message.
        ValueError: An announcement has too many origins.
    """
    raise TypeError(f"not a message: {message!r:.60}")


@encode.register
def _(message: Announcement) -> bytes:
    if len(message.origins) > MAX_ORIGINS:
        raise ValueError(f"more than {MAX_ORIGINS} origins")
    rows = [[row.origin, row.build, row.remaining_ms] for row in message.origins]
    return cbor2.dumps([_VERSION, _ANNOUNCEMENT, rows])


@encode.register
def _(message: Question) -> bytes:
    return cbor2.dumps([_VERSION, _QUESTION, message.number, message.origin])


@encode.register
def _(message: Answer) -> bytes:
    return cbor2.dumps([_VERSION, _ANSWER, message.number, message.build])


def decode(datagram: bytes) -> Message | Malformed:
    """Return the message of a datagram, which is untrusted."""
    try:
        row = cbor2.loads(datagram)
        if not isinstance(row, list) or not row or row[0] != _VERSION:
            return Malformed("not a message of this protocol version")
        return _message(row[1], row[2:])
    except fields.DECODE_ERRORS as error:
        return Malformed(repr(error))


def _message(kind: typing.Any, row: list[typing.Any]) -> Message:
    if kind == _ANNOUNCEMENT:
        (rows,) = row
        return Announcement(_origins(rows))
    if kind == _QUESTION:
        number, origin = row
        return Question(fields.count(number), _key(origin))
    if kind == _ANSWER:
        number, build = row
        return Answer(fields.count(number), None if build is None else _key(build))
    raise ValueError(f"unknown kind {kind!r:.20}")


def _origins(rows: typing.Any) -> tuple[Origin, ...]:
    if not isinstance(rows, list) or len(rows) > MAX_ORIGINS:
        raise ValueError(f"must be a list of up to {MAX_ORIGINS} origins")
    return tuple(_origin(row) for row in rows)


def _origin(row: typing.Any) -> Origin:
    origin, build, remaining_ms = row
    if fields.count(remaining_ms) > _MAX_REMAINING_MS:
        raise ValueError(f"remaining time too long: {remaining_ms}")
    return Origin(_key(origin), _key(build), remaining_ms)


def _key(value: typing.Any) -> int:
    if not isinstance(value, int) or not 0 <= value < _KEYS:
        raise ValueError(f"must be a 64-bit key: {value!r:.60}")
    return value
