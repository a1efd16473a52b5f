"""Encodes messages as CBOR, and decodes and validates received frames.

A frame is an array of messages; a message is its type's number and then its fields in
order. Field names are not sent: with 40 links and a heartbeat a second they would make
up most of the bytes.
"""

import dataclasses
import types
import typing
from collections import abc

import cbor2

from pimentolatch.protocol import messages

__all__ = ["FRAME_LIMIT_BYTES", "PROTOCOL_VERSION", "Malformed", "decode", "encode"]

PROTOCOL_VERSION = 1
# The limit exceeds the largest compressed part of a document, and is so low that 41
# peers that all send a frame of this size at once stay far below 128 MB.
FRAME_LIMIT_BYTES = 512_000
_TEXT_LIMIT = 400_000
_SEQUENCE_LIMIT = 20_000
_INTEGER_LIMIT = 2**53

_NUMBERS: dict[type, int] = {
    messages.Hello: 1,
    messages.Heartbeat: 2,
    messages.LivenessReport: 3,
    messages.Farewell: 4,
    messages.LeaderNotice: 5,
    messages.RelayedAcknowledgements: 6,
    messages.WantViews: 7,
    messages.DomainViews: 8,
    messages.WantHead: 9,
    messages.ConfigurationHead: 10,
    messages.WantParts: 11,
    messages.Part: 12,
    messages.PartMissing: 13,
    messages.WorkDelta: 14,
    messages.LeavingNotice: 15,
    messages.CrashNotice: 16,
}
_TYPES = {number: kind for kind, number in _NUMBERS.items()}

FieldDecoder = abc.Callable[[typing.Any], typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A frame that does not follow the protocol."""

    reason: str


class _FieldError(ValueError):
    pass


def encode(batch: abc.Iterable[messages.Message]) -> bytes:
    """Return a frame with the messages in order."""
    return cbor2.dumps([[_NUMBERS[type(item)], *_fields(item)] for item in batch])


def decode(frame: bytes) -> tuple[messages.Message, ...] | Malformed:
    """Return the messages of a frame, or the reason why it is malformed."""
    if len(frame) > FRAME_LIMIT_BYTES:
        return Malformed(f"frame has {len(frame)} bytes, over the limit")
    # cbor2 parses the untrusted frame before any check here, so hostile nesting and
    # lengths can raise any of these errors.
    try:
        raw = cbor2.loads(frame)
        return tuple(_message(item) for item in _array(raw))
    except _FieldError as error:
        return Malformed(str(error))
    except (
        cbor2.CBORError,
        ValueError,
        TypeError,
        OverflowError,
        RecursionError,
        MemoryError,
    ) as error:
        return Malformed(type(error).__name__)


def _fields(item: typing.Any) -> list[typing.Any]:
    return [_to_plain(getattr(item, name)) for name, _ in _field_decoders(type(item))]


def _to_plain(value: typing.Any) -> typing.Any:
    if isinstance(value, tuple):
        return [_to_plain(item) for item in value]
    if dataclasses.is_dataclass(value):
        return _fields(value)
    return value


def _message(raw: typing.Any) -> messages.Message:
    items = _array(raw)
    number = items[0] if items else None
    if type(number) is not int or number not in _TYPES:
        raise _FieldError("unknown message type")
    return typing.cast(messages.Message, _decode_record(_TYPES[number], items[1:]))


def _decode_record(kind: type, raw: list[typing.Any]) -> typing.Any:
    decoders = _field_decoders(kind)
    if len(raw) != len(decoders):
        raise _FieldError(f"{kind.__name__}: unexpected number of fields: {len(raw)}")
    values = []
    for (name, decoder), value in zip(decoders, raw, strict=True):
        try:
            values.append(decoder(value))
        except _FieldError as error:
            raise _FieldError(f"{kind.__name__}.{name}: {error}") from None
    return kind(*values)


def _array(raw: typing.Any) -> list[typing.Any]:
    if not isinstance(raw, list) or len(raw) > _SEQUENCE_LIMIT:
        raise _FieldError("must be an array within the length limit")
    return raw


def _integer(raw: typing.Any) -> int:
    if type(raw) is not int or not 0 <= raw < _INTEGER_LIMIT:
        raise _FieldError("must be an integer from 0 and within the limit")
    return raw


def _number(raw: typing.Any) -> float:
    if type(raw) not in (int, float) or not 0 <= raw < _INTEGER_LIMIT:
        raise _FieldError("must be a number from 0 and within the limit")
    return float(raw)


def _boolean(raw: typing.Any) -> bool:
    if type(raw) is not bool:
        raise _FieldError("must be true or false")
    return raw


def _text(raw: typing.Any) -> str:
    if type(raw) is not str or len(raw) > _TEXT_LIMIT:
        raise _FieldError("must be text within the length limit")
    return raw


def _bytes(raw: typing.Any) -> bytes:
    if type(raw) is not bytes:
        raise _FieldError("must be bytes")
    return raw


_SCALARS: dict[type, FieldDecoder] = {
    int: _integer,
    float: _number,
    bool: _boolean,
    str: _text,
    bytes: _bytes,
}
_FIELD_DECODERS: dict[type, tuple[tuple[str, FieldDecoder], ...]] = {}


def _field_decoders(kind: type) -> tuple[tuple[str, FieldDecoder], ...]:
    if kind not in _FIELD_DECODERS:
        hints = typing.get_type_hints(kind)
        _FIELD_DECODERS[kind] = tuple(
            (name, _decoder_for(hint)) for name, hint in hints.items()
        )
    return _FIELD_DECODERS[kind]


def _decoder_for(hint: typing.Any) -> FieldDecoder:
    if isinstance(hint, types.GenericAlias):
        item = _decoder_for(hint.__args__[0])
        return lambda raw: tuple(item(value) for value in _array(raw))
    if hint in _SCALARS:
        return _SCALARS[hint]
    return lambda raw: _decode_record(hint, _array(raw))
