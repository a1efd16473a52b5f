"""Reads the entries of servers in the platform's store.

Servers write about themselves, and others may write beside them. An entry that is not
wholly what the platform's page says names no server: taken half, its address may be
anybody's. So every field is checked, and what is wrong is returned, not raised: a
raised error of a kind that nobody foresaw would end the watch, and with it all news of
every other server.
"""

import dataclasses
import datetime
import typing

from pimentolatch import settings
from pimentolatch.routes import servers

__all__ = ["SERVER_KIND", "InvalidEntry", "decode"]

SERVER_KIND = "servers"
_STATES = {"ready": False, "draining": True}
# Longest name, address or version that is taken; real ones have some ten characters.
_MAX_TEXT_LENGTH = 200
# Bounds of whole numbers. A server has tens to thousands of slots; an hour of slowness
# after a start is past any real one.
_MAX_SLOTS = 1_000_000
_MAX_COLD_MS = 3_600_000
_MAX_NUMBER = 2**63


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidEntry:
    """An entry that names no server to use."""

    reason: str


class _WrongFieldError(Exception):
    """A field is missing or holds something else than the platform says."""


def decode(name: object, spec: object) -> servers.Server | InvalidEntry:
    """Return the server that an entry describes."""
    if not isinstance(spec, dict):
        return InvalidEntry(f"not a table but {type(spec).__name__}")
    try:
        return _server(_checked_text("name", name), spec)
    except _WrongFieldError as error:
        return InvalidEntry(str(error))


def _server(name: str, spec: dict[typing.Any, typing.Any]) -> servers.Server:
    # Not used here, but an entry without them is not a server's own.
    _text(spec, "version")
    _integer(spec, "sequence", 0, _MAX_NUMBER)
    state = _text(spec, "state")
    if state not in _STATES:
        raise _WrongFieldError(f"state {state!r} is unknown")
    return servers.Server(
        server_id=name,
        service=_text(spec, "service"),
        address=_address(_text(spec, "address")),
        failure_domain=_text(spec, "zone"),
        leaving=_STATES[state],
        stage=_stage(spec.get("stage")),
        slots=_integer(spec, "slots", 1, _MAX_SLOTS),
        cold=datetime.timedelta(milliseconds=_milliseconds(spec)),
        # Absent where servers never start again under their id.
        born=_integer(spec, "born", 0, _MAX_NUMBER) if "born" in spec else None,
        spot=spec.get("spot") is True,
    )


def _stage(value: object) -> servers.Stage | None:
    """Return an engine's stage; other servers have none."""
    if value is None:
        return None
    for stage in servers.Stage:
        if value == stage.value:
            return stage
    raise _WrongFieldError(f"stage {value!r:.60} is unknown")


def _address(text: str) -> settings.Address:
    try:
        return settings.Address.from_text(text)
    except ValueError:
        raise _WrongFieldError(f"address {text!r:.60} is no IP:PORT") from None


def _milliseconds(spec: dict[typing.Any, typing.Any]) -> float:
    value = spec.get("cold_remaining_ms")
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise _WrongFieldError(f"cold_remaining_ms {value!r:.60} is no number")
    # Comparing, unlike converting, can take whole numbers of any size.
    if not 0 <= value <= _MAX_COLD_MS:
        raise _WrongFieldError(f"cold_remaining_ms {value!r:.60} is no span of time")
    return float(value)


def _integer(
    spec: dict[typing.Any, typing.Any], field: str, minimum: int, maximum: int
) -> int:
    value = spec.get(field)
    if not isinstance(value, int) or isinstance(value, bool):
        raise _WrongFieldError(f"{field} {value!r:.60} is no whole number")
    if not minimum <= value <= maximum:
        raise _WrongFieldError(f"{field} {value!r:.60} is out of bounds")
    return value


def _text(spec: dict[typing.Any, typing.Any], field: str) -> str:
    return _checked_text(field, spec.get(field))


def _checked_text(field: str, value: object) -> str:
    """Return a text that can be passed on, logged and put into a header."""
    if not isinstance(value, str) or not 0 < len(value) <= _MAX_TEXT_LENGTH:
        raise _WrongFieldError(f"{field} {value!r:.60} is no short text")
    if not (value.isascii() and value.isprintable()):
        raise _WrongFieldError(f"{field} {value!r:.60} is no plain text")
    return value
