"""Reads callers' requests, bounded in size and time, and checks them."""

import asyncio
import dataclasses
import datetime
import json
import typing

import pydantic
from starlette import requests

from pimentolatch import results, validation

__all__ = [
    "CompletionBody",
    "ReadLimits",
    "TicketsBody",
    "check_json",
    "deadline_of",
    "idempotency_key_of",
    "priority_of",
    "read_body",
]

MAX_REQUEST_TIMEOUT = datetime.timedelta(hours=1)
TICKETS_LIMIT = 1000
_TIMEOUT_HEADER = "x-request-timeout-ms"
_KEY_HEADER = "idempotency-key"
_KEY_LENGTH_LIMIT = 300
_DEFAULT_URGENCY = 3
_LEAST_URGENCY = 7

ModelT = typing.TypeVar("ModelT", bound=validation.CheckedModel)


class CompletionBody(validation.CheckedModel):
    """The body of `POST /v1/completions`.

    Fields that other servers of this path know and that have no effect here are
    ignored, since callers' clients send them unasked.
    """

    model_config = pydantic.ConfigDict(frozen=True, extra="ignore")

    model: str = pydantic.Field(min_length=1, max_length=63)
    prompt: str = pydantic.Field(min_length=1)
    max_tokens: int = pydantic.Field(default=256, ge=1, le=131_072)
    stream: bool = False


class TicketsBody(validation.CheckedModel):
    """The body of `POST /v1/tickets`."""

    count: int = pydantic.Field(default=1, ge=1, le=TICKETS_LIMIT)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLimits:
    """Bounds on reading a body."""

    size: int
    duration: datetime.timedelta


async def read_body(
    request: requests.Request, limits: ReadLimits
) -> bytes | results.Refusal:
    """Read a body.

    A caller that sends slowly or without end would hold memory and a connection for
    as long as it likes; past either bound the request is refused.
    """
    announced = request.headers.get("content-length", "0")
    if announced.isdigit() and int(announced) > limits.size:
        return _too_large(limits)
    body = bytearray()
    try:
        async with asyncio.timeout(limits.duration.total_seconds()):
            async for chunk in request.stream():
                body += chunk
                if len(body) > limits.size:
                    return _too_large(limits)
    except TimeoutError:
        seconds = limits.duration.total_seconds()
        return results.Refusal(
            results.ResultCode.BODY_TOO_SLOW,
            f"the body took more than {seconds:g} s to arrive",
            results.Execution.NOT_RUN,
        )
    except requests.ClientDisconnect:
        return results.invalid("the caller closed the connection")
    return bytes(body)


def _too_large(limits: ReadLimits) -> results.Refusal:
    return results.Refusal(
        results.ResultCode.BODY_TOO_LARGE,
        f"the body is over {limits.size} bytes",
        results.Execution.NOT_RUN,
    )


def deadline_of(
    headers: typing.Mapping[str, str],
    now: datetime.timedelta,
    default: datetime.timedelta,
) -> datetime.timedelta | results.Refusal:
    """Return the deadline on the monotonic clock that a request's headers ask for."""
    text = headers.get(_TIMEOUT_HEADER)
    if text is None:
        return now + default
    if not text.isascii() or not text.isdigit() or len(text) > 9 or int(text) == 0:
        return results.invalid(
            f"{_TIMEOUT_HEADER}: found {text[:40]!r}; must be a whole number of "
            "milliseconds above 0"
        )
    return now + min(datetime.timedelta(milliseconds=int(text)), MAX_REQUEST_TIMEOUT)


def check_json(model: type[ModelT], raw: bytes) -> ModelT | results.Refusal:
    """Parse a body and check it against a model."""
    try:
        value = json.loads(raw)
    except (ValueError, RecursionError):
        return results.invalid("the body must be a JSON object")
    checked = validation.check_value(model, value)
    if isinstance(checked, validation.Problems):
        return results.invalid(str(checked))
    return checked


def idempotency_key_of(
    headers: typing.Mapping[str, str],
) -> str | None | results.Refusal:
    """Return the idempotency key, with or without the quotes of a structured field."""
    text = headers.get(_KEY_HEADER)
    if text is None:
        return None
    if len(text) > 1 and text[0] == text[-1] == '"':
        text = text[1:-1]
    if not text.isascii() or not text.isprintable() or not len(text) > 0:
        return results.invalid(f"{_KEY_HEADER}: must be printable ASCII and not empty")
    if len(text) > _KEY_LENGTH_LIMIT:
        return results.invalid(
            f"{_KEY_HEADER}: is over {_KEY_LENGTH_LIMIT} characters long"
        )
    return text


def priority_of(headers: typing.Mapping[str, str]) -> int:
    """Return the priority that the `Priority` header's urgency asks for.

    The header is that of RFC 9218: `u=0` is most urgent, `u=7` least, 3 the default.
    A receiver ignores what it can't read, so this never fails.
    """
    for parameter in headers.get("priority", "").split(","):
        name, _, value = parameter.strip().partition("=")
        if name == "u" and value in tuple("01234567"):
            return _LEAST_URGENCY - int(value)
    return _LEAST_URGENCY - _DEFAULT_URGENCY
