"""Decodes the entries of servers in the platform's store.

Servers write their own entries, but others may write to the store too. An entry that
deviates from the platform's specification is rejected as a whole: if it were used in
part, its address could be that of any process. Every field is checked. Errors are
returned rather than raised, because an unforeseen exception would end the watch and
with it the updates about all other servers.
"""

import dataclasses
import datetime
import typing

from pimentolatch import bounded_json, settings
from pimentolatch.routes import servers

__all__ = ["SERVER_KIND", "InvalidEntry", "decode"]

SERVER_KIND = "servers"
_STATES = {"ready": False, "draining": True}
# Longest accepted name, address or version; real ones have about ten characters.
_MAX_TEXT_LENGTH = 200
# Upper bounds of integers. Real servers have tens to thousands of slots and warm up
# in less than an hour.
_MAX_SLOTS = 1_000_000
_MAX_COLD_MS = 3_600_000
# Peers reject the whole beacon for a larger number.
_MAX_NUMBER = 2**53 - 1


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidEntry:
    """An entry that does not describe a usable server."""

    reason: str


class _WrongFieldError(Exception):
    """A field is missing or violates the platform's specification."""


def decode(
    name: object, spec: object, *, created_revision: int = 0, revision: int = 0
) -> servers.Server | InvalidEntry:
    """Decode an entry; returns `InvalidEntry` if any field is invalid.

    Args:
        name: Name of the entry.
        spec: Its content.
        created_revision: Revision of the store at its creation.
        revision: Revision of the store at its last change.
    """
    if isinstance(spec, bounded_json.Unreadable):
        return InvalidEntry(spec.reason)
    if not isinstance(spec, dict):
        return InvalidEntry(f"not a JSON object but {type(spec).__name__}")
    try:
        server = _server(_name(name), spec)
    except _WrongFieldError as error:
        return InvalidEntry(str(error))
    return dataclasses.replace(
        server, created_revision=created_revision, revision=revision
    )


def _server(name: str, spec: dict[typing.Any, typing.Any]) -> servers.Server:
    state = _text(spec, "state")
    if state not in _STATES:
        raise _WrongFieldError(f"state {state!r} is unknown")
    return servers.Server(
        server_id=name,
        service=_text(spec, "service"),
        address=_address(_text(spec, "address")),
        failure_domain=_text(spec, "zone"),
        draining=_STATES[state],
        stage=_stage(spec.get("stage")),
        slots=_integer(spec, "slots", 1, _MAX_SLOTS),
        remaining_warm_up=datetime.timedelta(milliseconds=_milliseconds(spec)),
        # Absent if servers never restart under the same id.
        started_ms=_integer(spec, "born", 0, _MAX_NUMBER) if "born" in spec else None,
        spot=spec.get("spot") is True,
        version=_text(spec, "version"),
        check_in=_integer(spec, "sequence", 0, _MAX_NUMBER),
    )


def _name(value: object) -> str:
    name = _checked_text("name", value)
    # Requests name their server in a header, whose value can't begin or end so.
    if name != name.strip():
        raise _WrongFieldError(f"name {name!r:.60} begins or ends with a space")
    return name


def _stage(value: object) -> servers.Stage | None:
    """Return the stage of an engine; None for other servers."""
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
        raise _WrongFieldError(f"address {text!r:.60} is not IP:PORT") from None


def _milliseconds(spec: dict[typing.Any, typing.Any]) -> float:
    value = spec.get("cold_remaining_ms")
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise _WrongFieldError(f"cold_remaining_ms {value!r:.60} is not a number")
    # Compared before the conversion, which fails for very large integers.
    if not 0 <= value <= _MAX_COLD_MS:
        raise _WrongFieldError(f"cold_remaining_ms {value!r:.60} is out of bounds")
    return float(value)


def _integer(
    spec: dict[typing.Any, typing.Any], field: str, minimum: int, maximum: int
) -> int:
    value = spec.get(field)
    if not isinstance(value, int) or isinstance(value, bool):
        raise _WrongFieldError(f"{field} {value!r:.60} is not a whole number")
    if not minimum <= value <= maximum:
        raise _WrongFieldError(f"{field} {value!r:.60} is out of bounds")
    return value


def _text(spec: dict[typing.Any, typing.Any], field: str) -> str:
    return _checked_text(field, spec.get(field))


def _checked_text(field: str, value: object) -> str:
    """Return a string that is safe to forward, to log and to use in a header."""
    if not isinstance(value, str) or not 0 < len(value) <= _MAX_TEXT_LENGTH:
        raise _WrongFieldError(f"{field} {value!r:.60} is not a short string")
    if not (value.isascii() and value.isprintable()):
        raise _WrongFieldError(f"{field} {value!r:.60} is not printable ASCII")
    return value
