"""Datagrams by which instances gossip their state and outstanding work.

A count of outstanding work is useful for a fraction of a second, so a lost one is not
sent again: the next beacon replaces it. Datagrams therefore suit it better than the TCP
links of `messages`, which would have to be opened, probed and closed at every network
partition.
"""

import dataclasses
import typing
from collections import abc

import cbor2

from pimentolatch.protocol import fields
from pimentolatch.routes import servers

__all__ = [
    "Beacon",
    "CachedPrefix",
    "CrashReport",
    "Demand",
    "Leader",
    "Load",
    "Malformed",
    "Member",
    "Reader",
    "ServerLimit",
    "StageChange",
    "TotalsChunk",
    "decode",
    "encode",
]

_VERSION = 12
_FIELDS = 19


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of one engine that the sender, or all instances of its domain, caused.

    Attributes:
        prefill_tokens: Prompt tokens that are not prefilled yet, by urgency.
        streams: Number of running streams.
        kv_tokens: Tokens that these streams have in the KV cache.
    """

    engine: servers.Incarnation
    prefill_tokens: tuple[int, ...]
    streams: int
    kv_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CachedPrefix:
    """A part of prompts that an engine has in its prefix cache.

    Attributes:
        key: `prompts.part_key` of the part's name.
        tokens: Length of the part.
    """

    engine: servers.Incarnation
    key: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TotalsChunk:
    """The engines that the totals of a beacon cover, as one of `count` hash buckets."""

    number: int = 0
    count: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class StageChange:
    """An engine that is changing its stage.

    Attributes:
        remaining_ms: Time until the change has ended at the latest.
    """

    engine: servers.Incarnation
    stage: servers.Stage
    remaining_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand of clients on a service at the sender, in tokens a second.

    Attributes:
        prefill: Prompt tokens to prefill.
        decode: Tokens to decode.
        prefill_rate: Prompt tokens a second that one engine prefills, as learned.
    """

    service: str
    prefill: int
    decode: int
    prefill_rate: int


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An instance that the sender knows.

    Attributes:
        host: Its host.
        failure_domain: Its failure domain; empty if not known.
        age_ms: Maximum time since an instance heard it.
    """

    host: str
    failure_domain: str
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Reader:
    """An instance of the sender's domain that can watch the platform's store.

    Attributes:
        age_ms: Time since it reported so.
    """

    instance: str
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A server's connection closed while the server ran a request.

    Attributes:
        digest: `digests.request_digest` of the request.
        cleared: Whether the server proved alive or the request has completed since.
        age_ms: Maximum time since the connection closed.
        ran_for_ms: Time for which the server had run the request; 0 if not known.
        server_alive: Whether the server has responded since, so that it did not crash.
    """

    digest: int
    server: servers.Incarnation
    cleared: bool
    age_ms: int
    ran_for_ms: int = 0
    server_alive: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimit:
    """The limit that a server named in its answers.

    Attributes:
        millihertz: Requests that it accepts in 1,000 s; None if it names no limit any
            more.
        age_ms: Maximum time since the latest answer that says so.
    """

    server: servers.Incarnation
    millihertz: int | None
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Leader:
    """The current or last leader.

    Attributes:
        fence: Fencing token of its leadership; a later leader has a higher one.
        released: Whether it has released the lease and sends no more orders under it.
        age_ms: Maximum time since it announced this.
    """

    host: str
    fence: int
    released: bool
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Beacon:
    """State that an instance sends to its peers several times a second.

    Attributes:
        instance: Name of the sender.
        failure_domain: Failure domain of the sender.
        incarnation: Unique for each start of the sender.
        configuration: Version of the configuration in force at the sender.
        servers: Revision of the store up to which the sender knows the servers.
        stopping: Whether the sender is shutting down.
        readers: Candidates to watch the store for the sender's domain, first by name.
        members: Some of the instances that the sender knows.
        loads: Engine loads that the sender caused.
        cached: Parts that the sender just learned to be in engines' prefix caches.
        demands: Demand of the sender's clients, by service.
        totals: Engine loads that all instances of the sender's domain caused, for
            instances of other domains.
        stage_changes: Engines that are changing their stage, as known to the sender.
        chunk: The engines that the totals cover; those of them not listed are idle.
        crash_reports: Requests during which servers crashed.
        leader: The newest leader that the sender knows.
        server_limits: Some of the limits that servers have named lately.
    """

    instance: str
    failure_domain: str
    incarnation: str
    configuration: int
    servers: int
    stopping: bool
    readers: tuple[Reader, ...]
    members: tuple[Member, ...]
    loads: tuple[Load, ...] = ()
    cached: tuple[CachedPrefix, ...] = ()
    demands: tuple[Demand, ...] = ()
    totals: tuple[Load, ...] = ()
    stage_changes: tuple[StageChange, ...] = ()
    chunk: TotalsChunk = TotalsChunk()
    crash_reports: tuple[CrashReport, ...] = ()
    leader: Leader | None = None
    server_limits: tuple[ServerLimit, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A datagram that is not a beacon of this version."""

    reason: str


def encode(beacon: Beacon) -> bytes:
    """Return the datagram of a beacon."""
    engines = _EngineNumbering()
    loads = [_load_row(load, engines) for load in beacon.loads]
    cached = [
        [engines.number(part.engine), part.key, part.tokens] for part in beacon.cached
    ]
    totals = [_load_row(load, engines) for load in beacon.totals]
    stage_changes = [
        [engines.number(item.engine), item.stage.value, item.remaining_ms]
        for item in beacon.stage_changes
    ]
    crash_reports = [_crash_report_row(item, engines) for item in beacon.crash_reports]
    server_limits = [
        [engines.number(item.server), item.millihertz, item.age_ms]
        for item in beacon.server_limits
    ]
    rows: list[typing.Any] = [
        _VERSION,
        beacon.instance,
        beacon.failure_domain,
        beacon.incarnation,
        beacon.configuration,
        beacon.servers,
        beacon.stopping,
        [[reader.instance, reader.age_ms] for reader in beacon.readers],
        [[m.host, m.failure_domain, m.age_ms] for m in beacon.members],
        [[engine.server_id, engine.started_ms] for engine in engines.numbered],
        loads,
        cached,
        [[d.service, d.prefill, d.decode, d.prefill_rate] for d in beacon.demands],
        totals,
        stage_changes,
        [beacon.chunk.number, beacon.chunk.count],
        crash_reports,
        _leader_row(beacon.leader),
        server_limits,
    ]
    return cbor2.dumps(rows)


class _EngineNumbering:
    """Numbers the engines of a beacon, since it refers to most of them repeatedly.

    Attributes:
        numbered: The engines in the order of their numbers.
    """

    def __init__(self) -> None:
        self.numbered: dict[servers.Incarnation, int] = {}

    def number(self, engine: servers.Incarnation) -> int:
        """Return the number of an engine."""
        return self.numbered.setdefault(engine, len(self.numbered))


def _member(row: typing.Any) -> Member:
    host, failure_domain, age_ms = row
    return Member(fields.text(host), fields.text(failure_domain), fields.count(age_ms))


def _load_row(load: Load, engines: _EngineNumbering) -> list[typing.Any]:
    number = engines.number(load.engine)
    return [number, list(load.prefill_tokens), load.streams, load.kv_tokens]


def _load(row: typing.Any, engines: abc.Sequence[servers.Incarnation]) -> Load:
    engine, prefill_tokens, streams, kv_tokens = row
    number, streams, kv_tokens = fields.counts((engine, streams, kv_tokens))
    return Load(engines[number], fields.counts(prefill_tokens), streams, kv_tokens)


def _engine(row: typing.Any) -> servers.Incarnation:
    server_id, started_ms = row
    return servers.shared_incarnation(
        fields.text(server_id), None if started_ms is None else fields.count(started_ms)
    )


def _cached_prefix(
    row: typing.Any, engines: abc.Sequence[servers.Incarnation]
) -> CachedPrefix:
    number, key, tokens = fields.counts(row)
    return CachedPrefix(engines[number], key, tokens)


def decode(datagram: bytes) -> Beacon | Malformed:
    """Return the beacon of a datagram, which is untrusted."""
    try:
        rows = cbor2.loads(datagram)
        if not isinstance(rows, list) or len(rows) != _FIELDS or rows[0] != _VERSION:
            return Malformed("not a beacon of this protocol version")
        engines = [_engine(row) for row in rows[9]]
        return Beacon(
            fields.text(rows[1]),
            fields.text(rows[2]),
            fields.text(rows[3]),
            fields.count(rows[4]),
            fields.count(rows[5]),
            bool(rows[6]),
            tuple(Reader(fields.text(row[0]), fields.count(row[1])) for row in rows[7]),
            tuple(_member(row) for row in rows[8]),
            tuple(_load(row, engines) for row in rows[10]),
            tuple(_cached_prefix(row, engines) for row in rows[11]),
            tuple(
                Demand(fields.text(row[0]), *fields.counts(row[1:4]))
                for row in rows[12]
            ),
            tuple(_load(row, engines) for row in rows[13]),
            tuple(
                StageChange(
                    engines[fields.count(row[0])],
                    servers.Stage(row[1]),
                    fields.count(row[2]),
                )
                for row in rows[14]
            ),
            _chunk(rows[15]),
            tuple(_crash_report(row, engines) for row in rows[16]),
            _leader(rows[17]),
            tuple(_server_limit(row, engines) for row in rows[18]),
        )
    except fields.DECODE_ERRORS as error:
        return Malformed(repr(error))


def _crash_report_row(
    report: CrashReport, engines: _EngineNumbering
) -> list[typing.Any]:
    return [
        report.digest,
        engines.number(report.server),
        report.cleared,
        report.age_ms,
        report.ran_for_ms,
        report.server_alive,
    ]


def _crash_report(
    row: typing.Any, engines: abc.Sequence[servers.Incarnation]
) -> CrashReport:
    return CrashReport(
        fields.count(row[0]),
        engines[fields.count(row[1])],
        bool(row[2]),
        fields.count(row[3]),
        fields.count(row[4]),
        bool(row[5]),
    )


def _server_limit(
    row: typing.Any, engines: abc.Sequence[servers.Incarnation]
) -> ServerLimit:
    number, millihertz, age_ms = row
    return ServerLimit(
        engines[fields.count(number)],
        None if millihertz is None else fields.count(millihertz),
        fields.count(age_ms),
    )


def _leader_row(leader: Leader | None) -> list[typing.Any] | None:
    if leader is None:
        return None
    return [leader.host, leader.fence, leader.released, leader.age_ms]


def _leader(row: typing.Any) -> Leader | None:
    if row is None:
        return None
    return Leader(
        fields.text(row[0]), fields.count(row[1]), bool(row[2]), fields.count(row[3])
    )


def _chunk(row: typing.Any) -> TotalsChunk:
    chunk = TotalsChunk(*fields.counts(row))
    if not chunk.number < chunk.count:
        raise ValueError(f"chunk number must be below the count: {row!r}")
    return chunk
