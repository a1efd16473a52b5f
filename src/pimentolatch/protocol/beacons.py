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

from pimentolatch.protocol import fields
from pimentolatch.routes import servers

__all__ = [
    "Beacon",
    "CachedPart",
    "Changing",
    "Demand",
    "Holder",
    "Load",
    "Malformed",
    "Member",
    "Piece",
    "Reader",
    "Suspicion",
    "decode",
    "encode",
]

_VERSION = 10
_FIELDS = 18


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Work at one engine, of the sender or of all instances.

    Attributes:
        reading: Prompt tokens that are not read yet, by urgency.
        writing: Streams that run.
        held: Tokens that these streams keep in memory.
    """

    engine: servers.Incarnation
    reading: tuple[int, ...]
    writing: int
    held: int


@dataclasses.dataclass(frozen=True, slots=True)
class CachedPart:
    """A part of prompts that an engine keeps in its prefix cache.

    Attributes:
        key: `prompts.part_key` of the part's name.
    """

    engine: servers.Incarnation
    key: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """Which of the engines the totals of a beacon cover: one part of them by a hash."""

    number: int = 0
    count: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Changing:
    """An engine that is changing its stage.

    Attributes:
        left_ms: Until the change is over at the latest.
    """

    engine: servers.Incarnation
    stage: servers.Stage
    left_ms: int


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
class Suspicion:
    """A server's connection ended while it ran a request.

    Attributes:
        digest: `digests.request_digest` of the request.
        cleared: The server lives on, or the request has run to its end since.
        age_ms: How long ago it ended at the most.
        lasted_ms: How long the server had had the request by then; 0 if not known.
        server_lives: The server has answered since, so that it has not ended.
    """

    digest: int
    server: servers.Incarnation
    cleared: bool
    age_ms: int
    lasted_ms: int = 0
    server_lives: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The instance that does the duties of one holder, or did so last.

    Attributes:
        fence: Fencing token of its tenure; a higher one is a later holder.
        released: It sends nothing more in that tenure.
        age_ms: How long ago it said so at the most.
    """

    host: str
    fence: int
    released: bool
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
        totals: Work of all instances of the sender's domain, for those of other ones.
        piece: The engines that the totals cover; the others among these are idle.
        cached: Parts that engines keep, as far as the sender has just learned.
        changing: Engines that are changing their stage, as the sender has heard.
        suspicions: Requests under which servers have ended.
        holder: Who does the duties of one holder, as the sender has heard.
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
    cached: tuple[CachedPart, ...] = ()
    demands: tuple[Demand, ...] = ()
    totals: tuple[Load, ...] = ()
    changing: tuple[Changing, ...] = ()
    piece: Piece = Piece()
    suspicions: tuple[Suspicion, ...] = ()
    holder: Holder | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A datagram that is no beacon of this version."""

    reason: str


def encode(beacon: Beacon) -> bytes:
    """Return the datagram of a beacon."""
    engines = _Engines()
    loads = [_load_row(load, engines) for load in beacon.loads]
    cached = [
        [engines.number(part.engine), part.key, part.tokens] for part in beacon.cached
    ]
    totals = [_load_row(load, engines) for load in beacon.totals]
    changing = [
        [engines.number(item.engine), item.stage.value, item.left_ms]
        for item in beacon.changing
    ]
    suspicions = [_suspicion_row(item, engines) for item in beacon.suspicions]
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
        [[engine.server_id, engine.started_ms] for engine in engines.numbered],
        loads,
        cached,
        [[d.service, d.reading, d.writing, d.rate] for d in beacon.demands],
        totals,
        changing,
        [beacon.piece.number, beacon.piece.count],
        suspicions,
        _holder_row(beacon.holder),
    ]
    return cbor2.dumps(rows)


class _Engines:
    """Numbers the engines of a beacon, most of which it names more than once.

    Attributes:
        numbered: The engines in the order of their numbers.
    """

    def __init__(self) -> None:
        self.numbered: dict[servers.Incarnation, int] = {}

    def number(self, engine: servers.Incarnation) -> int:
        """Return the number of an engine."""
        return self.numbered.setdefault(engine, len(self.numbered))


def _load_row(load: Load, engines: _Engines) -> list[typing.Any]:
    number = engines.number(load.engine)
    return [number, list(load.reading), load.writing, load.held]


def _load(row: typing.Any, engines: abc.Sequence[servers.Incarnation]) -> Load:
    engine, reading, writing, held = row
    number, writing, held = fields.counts((engine, writing, held))
    return Load(engines[number], fields.counts(reading), writing, held)


def _engine(row: typing.Any) -> servers.Incarnation:
    server_id, born = row
    return servers.shared_incarnation(
        fields.text(server_id), None if born is None else fields.count(born)
    )


def _cached_part(
    row: typing.Any, engines: abc.Sequence[servers.Incarnation]
) -> CachedPart:
    number, key, tokens = fields.counts(row)
    return CachedPart(engines[number], key, tokens)


def decode(datagram: bytes) -> Beacon | Malformed:
    """Return the beacon of a datagram; anybody may have sent it."""
    try:
        rows = cbor2.loads(datagram)
        if not isinstance(rows, list) or len(rows) != _FIELDS or rows[0] != _VERSION:
            return Malformed("not a beacon of this version")
        engines = [_engine(row) for row in rows[9]]
        return Beacon(
            fields.text(rows[1]),
            fields.text(rows[2]),
            fields.text(rows[3]),
            fields.count(rows[4]),
            fields.count(rows[5]),
            bool(rows[6]),
            tuple(Reader(fields.text(row[0]), fields.count(row[1])) for row in rows[7]),
            tuple(Member(fields.text(row[0]), fields.text(row[1])) for row in rows[8]),
            tuple(_load(row, engines) for row in rows[10]),
            tuple(_cached_part(row, engines) for row in rows[11]),
            tuple(
                Demand(fields.text(row[0]), *fields.counts(row[1:4]))
                for row in rows[12]
            ),
            tuple(_load(row, engines) for row in rows[13]),
            tuple(
                Changing(
                    engines[fields.count(row[0])],
                    servers.Stage(row[1]),
                    fields.count(row[2]),
                )
                for row in rows[14]
            ),
            _piece(rows[15]),
            tuple(_suspicion(row, engines) for row in rows[16]),
            _holder(rows[17]),
        )
    except fields.UNREADABLE as error:
        return Malformed(repr(error))


def _suspicion_row(suspicion: Suspicion, engines: _Engines) -> list[typing.Any]:
    return [
        suspicion.digest,
        engines.number(suspicion.server),
        suspicion.cleared,
        suspicion.age_ms,
        suspicion.lasted_ms,
        suspicion.server_lives,
    ]


def _suspicion(
    row: typing.Any, engines: abc.Sequence[servers.Incarnation]
) -> Suspicion:
    return Suspicion(
        fields.count(row[0]),
        engines[fields.count(row[1])],
        bool(row[2]),
        fields.count(row[3]),
        fields.count(row[4]),
        bool(row[5]),
    )


def _holder_row(holder: Holder | None) -> list[typing.Any] | None:
    if holder is None:
        return None
    return [holder.host, holder.fence, holder.released, holder.age_ms]


def _holder(row: typing.Any) -> Holder | None:
    if row is None:
        return None
    return Holder(
        fields.text(row[0]), fields.count(row[1]), bool(row[2]), fields.count(row[3])
    )


def _piece(row: typing.Any) -> Piece:
    piece = Piece(*fields.counts(row))
    if not piece.number < piece.count:
        raise ValueError(f"not a piece of several: {row!r}")
    return piece
