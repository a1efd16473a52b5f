"""Reads and validates callers' requests, with bounds on size and time."""

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
    "BodyLimits",
    "TicketsBody",
    "parse_json",
    "parse_deadline",
    "parse_idempotency_key",
    "parse_priority",
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

    Unknown fields are ignored: client libraries send parameters of other servers of
    this API by default.
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
class BodyLimits:
    """Bounds on reading a request body.

    Attributes:
        size: Largest body, in bytes.
        duration: Longest time the body may take to arrive.
    """

    size: int
    duration: datetime.timedelta


async def read_body(
    request: requests.Request, limits: BodyLimits
) -> bytes | results.Refusal:
    """Read a request body.

    A body over either bound is refused: a slow or endless body would otherwise hold
    memory and a connection indefinitely.
    """
    declared_length = request.headers.get("content-length", "0")
    if declared_length.isdigit() and int(declared_length) > limits.size:
        return _too_large(limits)
    parts: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(limits.duration.total_seconds()):
            async for chunk in request.stream():
                parts.append(chunk)
                size += len(chunk)
                if size > limits.size:
                    return _too_large(limits)
    except TimeoutError:
        seconds = limits.duration.total_seconds()
        return results.Refusal(
            results.ResultCode.BODY_TOO_SLOW,
            f"request body did not arrive within {seconds:g} s",
            results.Execution.NOT_RUN,
        )
    except requests.ClientDisconnect:
        return results.invalid("connection closed before the end of the request body")
    return b"".join(parts)


def _too_large(limits: BodyLimits) -> results.Refusal:
    return results.Refusal(
        results.ResultCode.BODY_TOO_LARGE,
        f"request body is larger than the limit of {limits.size} bytes",
        results.Execution.NOT_RUN,
    )


def parse_deadline(
    headers: typing.Mapping[str, str],
    now: datetime.timedelta,
    default: datetime.timedelta,
) -> datetime.timedelta | results.Refusal:
    """Return a request's deadline on the monotonic clock.

    Args:
        headers: Headers of the request; the timeout header is optional.
        now: Time on the monotonic clock.
        default: Timeout of a request without the header.
    """
    text = headers.get(_TIMEOUT_HEADER)
    if text is None:
        return now + default
    if not text.isascii() or not text.isdigit() or len(text) > 9 or int(text) == 0:
        return results.invalid(
            f"{_TIMEOUT_HEADER}: found {text[:40]!r}; must be a whole number of "
            "milliseconds above 0"
        )
    return now + min(datetime.timedelta(milliseconds=int(text)), MAX_REQUEST_TIMEOUT)


def parse_json(model: type[ModelT], raw: bytes) -> ModelT | results.Refusal:
    """Parse a JSON body and validate it against a model."""
    try:
        value = json.loads(raw)
    except (ValueError, RecursionError):
        return results.invalid(
            "request body is not valid JSON or is nested too deeply; send a JSON object"
        )
    checked = validation.check_value(model, value)
    if isinstance(checked, validation.Problems):
        return results.invalid(str(checked))
    return checked


def parse_idempotency_key(
    headers: typing.Mapping[str, str],
) -> str | None | results.Refusal:
    """Return the idempotency key, or None if the request has none.

    The key may be quoted as a structured field string; the quotes are removed.
    """
    text = headers.get(_KEY_HEADER)
    if text is None:
        return None
    if len(text) > 1 and text[0] == text[-1] == '"':
        text = text[1:-1]
    if not text.isascii() or not text.isprintable() or not len(text) > 0:
        return results.invalid(f"{_KEY_HEADER}: must be printable ASCII and not empty")
    if len(text) > _KEY_LENGTH_LIMIT:
        return results.invalid(
            f"{_KEY_HEADER}: longer than the limit of {_KEY_LENGTH_LIMIT} characters"
        )
    return text


def parse_priority(headers: typing.Mapping[str, str]) -> int:
    """Return a request's priority, from 0 (lowest) to 7, by its `Priority` header.

    The header is that of RFC 9218: urgency `u=0` is the most urgent, `u=7` the least
    and `u=3` the default. The RFC has receivers ignore malformed parameters, so this
    never fails.
    """
    for parameter in headers.get("priority", "").split(","):
        name, _, value = parameter.strip().partition("=")
        if name == "u" and value in tuple("01234567"):
            return _LEAST_URGENCY - int(value)
    return _LEAST_URGENCY - _DEFAULT_URGENCY
