"""Snapshots of the configuration and the servers, for peers that are out of date."""

import dataclasses
import datetime
import typing

import cbor2

from pimentolatch import settings
from pimentolatch.protocol import fields
from pimentolatch.routes import servers

__all__ = [
    "Configuration",
    "Malformed",
    "Servers",
    "decode_configuration",
    "decode_servers",
    "encode_configuration",
    "encode_servers",
]

_MS = datetime.timedelta(milliseconds=1)
_DECODE_ERRORS = (
    cbor2.CBORError,
    AttributeError,
    LookupError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The operator's configuration as stored; None before one is known."""

    spec: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Servers:
    """The servers that the sender knows.

    Attributes:
        revision: Revision of the store up to which they are known.
        listed: The servers.
        expired: Remaining grace period of servers whose entries the store lacks.
        passed_over: Reasons why rows of a received list were left out.
    """

    revision: int
    listed: tuple[servers.Server, ...]
    expired: dict[str, datetime.timedelta]
    passed_over: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """Bytes that are not a snapshot."""

    reason: str


def encode_configuration(snapshot: Configuration) -> bytes:
    """Return the encoded body of a configuration."""
    return cbor2.dumps(snapshot.spec)


def decode_configuration(body: bytes) -> Configuration | Malformed:
    """Return the configuration of a body; its content is not validated."""
    try:
        return Configuration(cbor2.loads(body))
    except _DECODE_ERRORS as error:
        return Malformed(repr(error))


def encode_servers(snapshot: Servers, *, versions: bool = True) -> bytes:
    """Return the encoded body of a list of servers.

    Args:
        snapshot: The list.
        versions: Whether the rows have the servers' software versions. Instances of
            earlier releases reject rows with a further field.
    """
    expired = {name: span / _MS for name, span in snapshot.expired.items()}
    rows = [_server_row(server, versions) for server in snapshot.listed]
    return cbor2.dumps([snapshot.revision, rows, expired])


def decode_servers(body: bytes) -> Servers | Malformed:
    """Return the list of servers of a body."""
    try:
        revision, rows, expired = cbor2.loads(body)
        found = [_server_or_reason(row) for row in rows]
        return Servers(
            int(revision),
            tuple(item for item in found if isinstance(item, servers.Server)),
            {str(name): float(span) * _MS for name, span in expired.items()},
            tuple(item for item in found if isinstance(item, str)),
        )
    except _DECODE_ERRORS as error:
        return Malformed(repr(error))


def _server_row(server: servers.Server, versions: bool) -> list[typing.Any]:
    row = [
        server.server_id,
        server.started_ms,
        server.service,
        f"{server.address.host}:{server.address.port}",
        server.failure_domain,
        server.draining,
        None if server.stage is None else server.stage.value,
        server.slots,
        server.remaining_warm_up / _MS,
        server.spot,
    ]
    return [*row, server.version] if versions else row


def _server_or_reason(row: typing.Any) -> servers.Server | str:
    """Decode a row; returns the reason if it describes no server."""
    try:
        return _server(row)
    except _DECODE_ERRORS as error:
        return f"{error!r:.200}"


def _server(row: typing.Any) -> servers.Server:
    (
        name,
        started_ms,
        service,
        address,
        domain,
        draining,
        stage,
        slots,
        warm_up,
        spot,
        *version,
    ) = row
    return servers.Server(
        server_id=_text(name),
        service=_text(service),
        address=settings.Address.from_text(address),
        failure_domain=_text(domain),
        draining=bool(draining),
        stage=None if stage is None else servers.Stage(stage),
        slots=fields.count(slots),
        remaining_warm_up=float(warm_up) * _MS,
        started_ms=None if started_ms is None else fields.count(started_ms),
        spot=bool(spot),
        version=_text(*version) if version else "",
    )


def _text(value: typing.Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"must be a string: {value!r:.60}")
    return value
