"""Datagrams in which instances tell each other what they know and have under way.

A count of outstanding work is worth something for a fraction of a second, so a lost one
is not sent again: the next is on its way. That makes datagrams the better carrier than
the links between instances of the other protocol, whose connections would have to be
opened, probed and given up at every partition.
"""

import dataclasses
import typing
from collections import abc

import cbor2

__all__ = [
    "Beacon",
    "Demand",
    "Load",
    "Malformed",
    "Member",
    "Reader",
    "Sighting",
    "decode",
    "encode",
]

_VERSION = 4
_FIELDS = 13
_UNREADABLE = (
    cbor2.CBORError,
    ValueError,
    TypeError,
    IndexError,
    OverflowError,
    RecursionError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Work at one engine, of the sender or of all instances.

    Attributes:
        reading: Prompt tokens that are not read yet, by urgency.
        writing: Streams that run.
        held: Tokens that these streams keep in memory.
    """

    server_id: str
    reading: tuple[int, ...]
    writing: int
    held: int


@dataclasses.dataclass(frozen=True, slots=True)
class Sighting:
    """A shared part of a prompt that the sender has lately sent to an engine."""

    server_id: str
    part: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What clients ask of a service through the sender, in tokens a second.

    Attributes:
        rate: Prompt tokens a second that one engine reads, as the sender has learned.
    """

    service: str
    reading: int
    writing: int
    rate: int


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An instance that the sender knows of; its domain is empty if not known."""

    host: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reader:
    """An instance of the sender's domain that would read the platform's store.

    Attributes:
        age_ms: How long ago it said so.
    """

    instance: str
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Beacon:
    """What one instance tells its peers several times a second.

    Attributes:
        instance: Name of the sender.
        failure_domain: Where the sender stands.
        life: Differs for each start of the sender.
        configuration: Version that the sender has in force.
        servers: Revision of the store up to which the sender knows the servers.
        stopping: The sender is about to end.
        readers: Who would read the store for the sender's domain, first by name.
        members: Some of the instances that the sender knows of.
        loads: Work of the sender.
        totals: Work of all instances at the engines of the sender's domain, for
            instances of other ones.
    """

    instance: str
    failure_domain: str
    life: str
    configuration: int
    servers: int
    stopping: bool
    readers: tuple[Reader, ...]
    members: tuple[Member, ...]
    loads: tuple[Load, ...] = ()
    sightings: tuple[Sighting, ...] = ()
    demands: tuple[Demand, ...] = ()
    totals: tuple[Load, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A datagram that is no beacon of this version."""

    reason: str


def encode(beacon: Beacon) -> bytes:
    """Return the datagram of a beacon."""
    rows: list[typing.Any] = [
        _VERSION,
        beacon.instance,
        beacon.failure_domain,
        beacon.life,
        beacon.configuration,
        beacon.servers,
        beacon.stopping,
        [[reader.instance, reader.age_ms] for reader in beacon.readers],
        [[member.host, member.failure_domain] for member in beacon.members],
        [_load_row(load) for load in beacon.loads],
        [[seen.server_id, seen.part, seen.tokens] for seen in beacon.sightings],
        [[d.service, d.reading, d.writing, d.rate] for d in beacon.demands],
        [_load_row(load) for load in beacon.totals],
    ]
    return cbor2.dumps(rows)


def _load_row(load: Load) -> list[typing.Any]:
    return [load.server_id, list(load.reading), load.writing, load.held]


def _load(row: typing.Any) -> Load:
    return Load(_text(row[0]), tuple(_counts(row[1])), *_counts(row[2:4]))


def decode(datagram: bytes) -> Beacon | Malformed:
    """Return the beacon of a datagram; anybody may have sent it."""
    try:
        rows = cbor2.loads(datagram)
        if not isinstance(rows, list) or len(rows) != _FIELDS or rows[0] != _VERSION:
            return Malformed("not a beacon of this version")
        return Beacon(
            _text(rows[1]),
            _text(rows[2]),
            _text(rows[3]),
            _count(rows[4]),
            _count(rows[5]),
            bool(rows[6]),
            tuple(Reader(_text(row[0]), _count(row[1])) for row in rows[7]),
            tuple(Member(_text(row[0]), _text(row[1])) for row in rows[8]),
            tuple(_load(row) for row in rows[9]),
            tuple(
                Sighting(_text(row[0]), _text(row[1]), _count(row[2]))
                for row in rows[10]
            ),
            tuple(Demand(_text(row[0]), *_counts(row[1:4])) for row in rows[11]),
            tuple(_load(row) for row in rows[12]),
        )
    except _UNREADABLE as error:
        return Malformed(repr(error))


def _counts(values: abc.Iterable[typing.Any]) -> list[int]:
    return [_count(value) for value in values]


def _text(value: typing.Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"not a text: {value!r}")
    return value


def _count(value: typing.Any) -> int:
    if not isinstance(value, int) or value < 0:
        raise ValueError(f"not a count: {value!r}")
    return value
