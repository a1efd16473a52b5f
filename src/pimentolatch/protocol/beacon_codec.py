"""Encodes and decodes beacons as CBOR datagrams."""

import dataclasses
import typing
from collections import abc

import cbor2

from pimentolatch.protocol import beacons, fields
from pimentolatch.routes import servers

__all__ = ["Malformed", "decode", "encode"]

_VERSION = 12
_FIELDS = 19
# Fields that are sent only if one of them is not empty, so that instances of the
# release without them understand all other beacons.
_RARE_FIELDS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A datagram that is not a beacon of this version."""

    reason: str


def encode(beacon: beacons.Beacon) -> bytes:
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
    part_reports = [_crash_report_row(item, engines) for item in beacon.part_reports]
    demands = [_demand_row(item, engines) for item in beacon.demands]
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
        [_reader_row(reader) for reader in beacon.readers],
        [[m.host, m.failure_domain, m.age_ms] for m in beacon.members],
        [[engine.server_id, engine.started_ms] for engine in engines.numbered],
        loads,
        cached,
        demands,
        totals,
        stage_changes,
        [beacon.chunk.number, beacon.chunk.count],
        crash_reports,
        _leader_row(beacon.leader),
        server_limits,
    ]
    if beacon.cut_off_services or part_reports:
        rows += [list(beacon.cut_off_services), part_reports]
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


def _reader_row(reader: beacons.Reader) -> list[typing.Any]:
    """Return the row of a reader; earlier releases ignore all but two columns."""
    row: list[typing.Any] = [reader.instance, reader.age_ms]
    if reader.servers_age_ms is None or reader.configuration_age_ms is None:
        return row
    return [*row, reader.servers_age_ms, reader.configuration_age_ms]


def _reader(row: typing.Any) -> beacons.Reader:
    return beacons.Reader(
        fields.text(row[0]), fields.count(row[1]), *fields.counts(row[2:4])
    )


def _member(row: typing.Any) -> beacons.Member:
    host, failure_domain, age_ms = row
    return beacons.Member(
        fields.text(host), fields.text(failure_domain), fields.count(age_ms)
    )


def _load_row(load: beacons.Load, engines: _EngineNumbering) -> list[typing.Any]:
    number = engines.number(load.engine)
    return [number, list(load.prefill_tokens), load.streams, load.kv_tokens]


def _load(row: typing.Any, engines: abc.Sequence[servers.Incarnation]) -> beacons.Load:
    engine, prefill_tokens, streams, kv_tokens = row
    number, streams, kv_tokens = fields.counts((engine, streams, kv_tokens))
    return beacons.Load(
        engines[number], fields.counts(prefill_tokens), streams, kv_tokens
    )


def _demand_row(demand: beacons.Demand, engines: _EngineNumbering) -> list[typing.Any]:
    """Return the row of a demand.

    Instances of releases without speeds and silent servers, or without leaving and
    unconfirmed ones, ignore the columns that they do not know.
    """
    row: list[typing.Any] = [
        demand.service,
        demand.prefill,
        demand.decode,
        demand.prefill_rate,
    ]
    doubted = (demand.leaving, demand.unconfirmed)
    if not demand.speeds and not demand.silent and not any(doubted):
        return row
    speeds = [
        [
            engines.number(item.server),
            item.prefill_rate,
            item.event_gap_us,
            item.samples,
        ]
        for item in demand.speeds
    ]
    silent = [[engines.number(item.server), item.age_ms] for item in demand.silent]
    row += [speeds, silent]
    if any(doubted):
        row += [[engines.number(server) for server in found] for found in doubted]
    return row


def _demand(
    row: typing.Any, engines: abc.Sequence[servers.Incarnation]
) -> beacons.Demand:
    prefill, decode, prefill_rate = fields.counts(row[1:4])
    speeds, silent = row[4:6] or ((), ())
    leaving, unconfirmed = row[6:8] or ((), ())
    return beacons.Demand(
        fields.text(row[0]),
        prefill,
        decode,
        prefill_rate,
        tuple(_server_speed(item, engines) for item in speeds),
        tuple(_silent_server(item, engines) for item in silent),
        tuple(engines[number] for number in fields.counts(leaving)),
        tuple(engines[number] for number in fields.counts(unconfirmed)),
    )


def _server_speed(
    row: typing.Any, engines: abc.Sequence[servers.Incarnation]
) -> beacons.ServerSpeed:
    number, prefill_rate, event_gap_us, samples = fields.counts(row)
    return beacons.ServerSpeed(engines[number], prefill_rate, event_gap_us, samples)


def _silent_server(
    row: typing.Any, engines: abc.Sequence[servers.Incarnation]
) -> beacons.SilentServer:
    number, age_ms = fields.counts(row)
    return beacons.SilentServer(engines[number], age_ms)


def _engine(row: typing.Any) -> servers.Incarnation:
    server_id, started_ms = row
    return servers.shared_incarnation(
        fields.text(server_id), None if started_ms is None else fields.count(started_ms)
    )


def _cached_prefix(
    row: typing.Any, engines: abc.Sequence[servers.Incarnation]
) -> beacons.CachedPrefix:
    number, key, tokens = fields.counts(row)
    return beacons.CachedPrefix(engines[number], key, tokens)


def decode(datagram: bytes) -> beacons.Beacon | Malformed:
    """Return the beacon of a datagram, which is untrusted."""
    try:
        rows = cbor2.loads(datagram)
        if not _is_beacon(rows):
            return Malformed("not a beacon of this protocol version")
        engines = [_engine(row) for row in rows[9]]
        rare = rows[_FIELDS:] or [()] * _RARE_FIELDS
        return beacons.Beacon(
            fields.text(rows[1]),
            fields.text(rows[2]),
            fields.text(rows[3]),
            fields.count(rows[4]),
            fields.count(rows[5]),
            bool(rows[6]),
            tuple(_reader(row) for row in rows[7]),
            tuple(_member(row) for row in rows[8]),
            tuple(_load(row, engines) for row in rows[10]),
            tuple(_cached_prefix(row, engines) for row in rows[11]),
            tuple(_demand(row, engines) for row in rows[12]),
            tuple(_load(row, engines) for row in rows[13]),
            tuple(
                beacons.StageChange(
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
            tuple(fields.text(name) for name in rare[0]),
            tuple(_crash_report(row, engines) for row in rare[1]),
        )
    except fields.DECODE_ERRORS as error:
        return Malformed(repr(error))


def _is_beacon(rows: typing.Any) -> bool:
    return (
        isinstance(rows, list)
        and len(rows) in (_FIELDS, _FIELDS + _RARE_FIELDS)
        and rows[0] == _VERSION
    )


def _crash_report_row(
    report: beacons.CrashReport, engines: _EngineNumbering
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
) -> beacons.CrashReport:
    return beacons.CrashReport(
        fields.count(row[0]),
        engines[fields.count(row[1])],
        bool(row[2]),
        fields.count(row[3]),
        fields.count(row[4]),
        bool(row[5]),
    )


def _server_limit(
    row: typing.Any, engines: abc.Sequence[servers.Incarnation]
) -> beacons.ServerLimit:
    number, millihertz, age_ms = row
    return beacons.ServerLimit(
        engines[fields.count(number)],
        None if millihertz is None else fields.count(millihertz),
        fields.count(age_ms),
    )


def _leader_row(leader: beacons.Leader | None) -> list[typing.Any] | None:
    if leader is None:
        return None
    return [leader.host, leader.fence, leader.released, leader.age_ms]


def _leader(row: typing.Any) -> beacons.Leader | None:
    if row is None:
        return None
    return beacons.Leader(
        fields.text(row[0]), fields.count(row[1]), bool(row[2]), fields.count(row[3])
    )


def _chunk(row: typing.Any) -> beacons.TotalsChunk:
    chunk = beacons.TotalsChunk(*fields.counts(row))
    if not chunk.number < chunk.count:
        raise ValueError(f"chunk number must be below the count: {row!r}")
    return chunk
