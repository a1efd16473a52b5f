"""Parses the header fields of HTTP requests and responses into typed values."""

import dataclasses
import datetime
import re
from collections import abc

from pimentolatch import settings
from pimentolatch.backend import channel
from pimentolatch.requests import prompts
from pimentolatch.routes import notices

__all__ = [
    "ResponseHeaders",
    "ClientHeaders",
    "DispatchOptions",
    "Resumption",
    "SETTINGS_VARIABLE",
    "forwarded_fields",
    "parse_response_headers",
    "parse_client_headers",
    "parse_retry_after",
    "request_fields",
    "request_id",
    "without_api_keys",
]

# Environment variable that contains the path of the settings file.
SETTINGS_VARIABLE = "PIMENTOLATCH_BOOT"

Fields = abc.Sequence[tuple[bytes, bytes]]

_REQUEST_ID = b"x-request-id"
_API_KEY = b"api-key"
_DEADLINE = b"x-deadline-ms"
_MODEL = b"x-model"
_TOKEN_COUNTS = b"x-token-counts"
_PROMPT_PARTS = b"x-prompt-prefix"
_LENGTH_HINT = b"x-length-hint"
_LAST_EVENT = b"last-event-id"
_RESUMES = b"resumes"
_EXPECTED_SERVER = b"x-expect-instance"
_CUSTOMER = b"x-tenant"
_URGENCY = b"x-request-urgency"
_STAGE = b"x-stage"
_KV_SOURCE = b"x-kv-source"
_KV_FETCH = b"kv-fetch"
_NOT_RUN = b"x-not-executed"
_SERVER_ID = b"x-instance-id"
_SEAL = b"x-response-seal"
_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
_LEAVING_VALUES = {b"1": True, b"0": False}
_UNAVAILABLE = 503
_PREFILL_ONLY = b"prefill"

# Characters of an invalid value that are quoted in the log.
_MAX_QUOTED = 60
# Far above all real prompts. Sums are reported to peers, which reject the whole beacon
# for a number that is too large.
_MAX_TOKENS = 1_000_000_000
# Decimal numbers up to the largest that is plausible; longer ones are not parsed.
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)

# Only instances may set these fields. A client that sets one could claim KV cache
# memory, another request's prompt, another priority or another customer's name.
_RESERVED_FIELDS = frozenset(
    {
        _DEADLINE,
        _EXPECTED_SERVER,
        _URGENCY,
        _STAGE,
        _KV_SOURCE,
        _KV_FETCH,
        _CUSTOMER,
        b"x-expect-version",
        b"x-pin-ms",
        b"x-kv-hold",
        b"x-kv-backup",
        b"x-instance-id",
        _NOT_RUN,
        _SEAL,
    }
)
# Hop-by-hop fields: they concern one connection, not the request.
_CONNECTION_FIELDS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class ClientHeaders:
    """Header of a client's request.

    Attributes:
        api_keys: All API keys in the header, including empty ones.
        time_left: How long the client will wait from now on; None if not given.
        last_event: Number of the last event that the client has received; 0 for none.
        resumes: Id of the request that brought the first event; empty if not given.
        prompt: Prompt and expected output of a model request; None for other requests.
    """

    host: str
    api_keys: tuple[bytes, ...] = dataclasses.field(repr=False)
    request_id: str
    time_left: datetime.timedelta | None
    last_event: int
    prompt: prompts.Prompt | None
    resumes: str = ""

    @property
    def origin_id(self) -> str:
        """Id of the request that began the stream.

        Empty if the client resumes a stream and does not name it.
        """
        return self.resumes if self.last_event else self.request_id


@dataclasses.dataclass(frozen=True, slots=True)
class Resumption:
    """Where a stream is resumed.

    Attributes:
        last_event: Number of the last event that the client has received.
        origin_id: Id of the request that brought its first event.
    """

    last_event: int
    origin_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchOptions:
    """Options for dispatching a request to a server, sent as header fields.

    Attributes:
        server_id: The only server that may run the request.
        time_left: Time after which the server stops processing the request.
        urgency: 0 is served first, 9 last; None leaves it to the server.
        prefill_only: Only prefill the prompt and hold its KV cache for another server.
        prefill_source: Server that has prefilled the prompt, and the handle of its KV
            cache.
        last_event: Resume after this event; None leaves the client's own field.
        kv_source: Server that has cached parts of the prompt, for a KV transfer.
        customer: Name of the customer who sent the request.
    """

    server_id: str
    time_left: datetime.timedelta
    urgency: int | None = None
    prefill_only: bool = False
    prefill_source: tuple[settings.Address, str] | None = None
    last_event: int | None = None
    kv_source: settings.Address | None = None
    customer: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHeaders:
    """Header of a server's response.

    Attributes:
        request_id: Id of the request; empty if the response contains none.
        not_run: Whether the server states that it did not run the request.
        sealed: Whether the response carries the server's proof of origin.
        encoded: Whether the body has a content encoding. Servers send none, so the body
            was changed on the way.
        notice: What the server states about itself.
        fields: Header fields to forward to the client.
        server_id: Id of the server; empty if the response does not tell it.
    """

    request_id: str
    not_run: bool
    sealed: bool
    encoded: bool
    notice: notices.Notice
    fields: tuple[tuple[bytes, bytes], ...]
    server_id: str = ""


def parse_client_headers(fields: Fields) -> ClientHeaders:
    """Parse the header of a client's request.

    Raises:
        ValueError: A required field is malformed.
    """
    found = {name.lower(): value for name, value in fields}
    time_left = found.get(_DEADLINE)
    return ClientHeaders(
        host=found.get(b"host", b"").decode("latin-1"),
        api_keys=tuple(v.strip() for name, v in fields if name.lower() == _API_KEY),
        request_id=found.get(_REQUEST_ID, b"").decode("latin-1"),
        time_left=None if time_left is None else _milliseconds(time_left),
        last_event=int(found.get(_LAST_EVENT, b"0") or b"0"),
        prompt=_prompt(found),
        resumes=found.get(_RESUMES, b"").decode("latin-1"),
    )


def request_id(fields: abc.Iterable[tuple[bytes, bytes]]) -> str:
    """Return the id of a client's request; empty if its header has none."""
    found = (value for name, value in fields if name.lower() == _REQUEST_ID)
    return next(found, b"").decode("latin-1")


def _milliseconds(value: bytes) -> datetime.timedelta:
    try:
        return datetime.timedelta(milliseconds=float(value))
    except OverflowError as error:
        raise ValueError(f"not a time: {value!r:.60}") from error


def _tokens(value: bytes) -> int:
    """Return a number of tokens; raises `ValueError` if it is out of bounds."""
    tokens = int(value)
    if not 0 <= tokens <= _MAX_TOKENS:
        raise ValueError(f"not a number of tokens: {value!r:.60}")
    return tokens


def _expected_tokens(hint: bytes) -> int:
    """Return the number of tokens that a client expects, which may be far off."""
    return int(min(max(float(hint), 0), _MAX_TOKENS))


def _prompt(found: dict[bytes, bytes]) -> prompts.Prompt | None:
    counts = found.get(_TOKEN_COUNTS)
    if counts is None:
        return None
    tokens, max_output = counts.split(b",")
    hint = found.get(_LENGTH_HINT)
    return prompts.Prompt(
        model=found.get(_MODEL, b"").decode("latin-1"),
        tokens=_tokens(tokens),
        max_output=_tokens(max_output),
        expected_output=(
            _tokens(max_output) if hint is None else _expected_tokens(hint)
        ),
        parts=_parts(found.get(_PROMPT_PARTS, b"")),
    )


def _parts(value: bytes) -> tuple[prompts.Part, ...]:
    parts = []
    for entry in value.split(b","):
        if entry.strip():
            name, tokens = entry.strip().split(b":")
            parts.append(prompts.Part(name.decode("latin-1"), _tokens(tokens)))
    return tuple(parts)


def without_api_keys(fields: Fields) -> Fields:
    """Return the header fields without API keys."""
    return [(name, value) for name, value in fields if name.lower() != _API_KEY]


def request_fields(
    fields: Fields, options: DispatchOptions
) -> list[tuple[bytes, bytes]]:
    """Return the header fields for the server, without the content length."""
    dropped = _CONNECTION_FIELDS | _RESERVED_FIELDS | _named_by_connection(fields)
    if options.last_event is not None:
        dropped |= {_LAST_EVENT}
    kept = [(name, value) for name, value in fields if name.lower() not in dropped]
    kept.append((_DEADLINE, b"%d" % _whole_ms(options.time_left)))
    kept.append((_EXPECTED_SERVER, options.server_id.encode("latin-1")))
    if options.customer is not None:
        kept.append((_CUSTOMER, options.customer.encode()))
    if options.urgency is not None:
        kept.append((_URGENCY, b"%d" % options.urgency))
    if options.prefill_only:
        kept.append((_STAGE, _PREFILL_ONLY))
    if options.prefill_source is not None:
        address, handle = options.prefill_source
        text = f"{address.host}:{address.port}/{handle}"
        kept.append((_KV_SOURCE, text.encode("latin-1")))
    if options.kv_source is not None:
        text = f"{options.kv_source.host}:{options.kv_source.port}"
        kept.append((_KV_FETCH, text.encode("latin-1")))
    if options.last_event is not None:
        kept.append((_LAST_EVENT, b"%d" % options.last_event))
    return kept


def forwarded_fields(
    fields: Fields,
    api_keys: abc.Iterable[bytes],
    time_left: datetime.timedelta,
    resumed: "Resumption | None",
) -> list[tuple[bytes, bytes]]:
    """Return the header fields of a request that is forwarded to a peer.

    Args:
        fields: Header fields of the client, with or without its API keys.
        api_keys: The client's API keys.
        time_left: How long the client will wait.
        resumed: Where to resume the stream; None leaves the client's own fields.
    """
    dropped = _CONNECTION_FIELDS | _RESERVED_FIELDS | _named_by_connection(fields)
    dropped |= {_API_KEY}
    if resumed is not None:
        dropped |= {_LAST_EVENT, _RESUMES}
    kept = [(name, value) for name, value in fields if name.lower() not in dropped]
    kept += [(_API_KEY, key) for key in api_keys]
    kept.append((_DEADLINE, b"%d" % _whole_ms(time_left)))
    if resumed is not None:
        kept.append((_LAST_EVENT, b"%d" % resumed.last_event))
        kept.append((_RESUMES, resumed.origin_id.encode("latin-1")))
    return kept


def _whole_ms(time_left: datetime.timedelta) -> int:
    return max(1, int(time_left / datetime.timedelta(milliseconds=1)))


def _named_by_connection(fields: Fields) -> frozenset[bytes]:
    named: set[bytes] = set()
    for name, value in fields:
        if name.lower() == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    # A client must not be able to have essential fields dropped.
    return frozenset(
        named - {_REQUEST_ID, _MODEL, _TOKEN_COUNTS, _PROMPT_PARTS, b"host"}
    )


def parse_response_headers(fields: Fields, status: int) -> ResponseHeaders:
    """Parse the header of a server's response.

    Args:
        fields: Header fields of the response.
        status: Status of the response, on which the meaning of some fields depends.
    """
    found = {name.lower(): value for name, value in fields}
    dropped = _CONNECTION_FIELDS | _named_by_connection(fields)
    dropped |= {_NOT_RUN, _SERVER_ID}
    return ResponseHeaders(
        request_id=found.get(_REQUEST_ID, b"").decode("latin-1"),
        not_run=_NOT_RUN in found,
        sealed=_SEAL in found,
        encoded=found.get(b"content-encoding", b"identity").lower() != b"identity",
        notice=_notice(fields, status),
        fields=tuple(
            (name, channel.writable(value))
            for name, value in fields
            if name.lower() not in dropped
        ),
        server_id=found.get(_SERVER_ID, b"").decode("latin-1"),
    )


def _notice(fields: Fields, status: int) -> notices.Notice:
    """Parse what a response states about its server."""
    leaving = _values(fields, _LEAVING)
    unreadable = []
    if not _LEAVING_VALUES.keys() >= set(leaving):
        unreadable.append(notices.Field.LEAVING)
    rests = []
    if status == _UNAVAILABLE:
        rests = [parse_retry_after(value) for value in _values(fields, _RETRY_AFTER)]
    if None in rests:
        unreadable.append(notices.Field.REST)
    return notices.Notice(
        _limit(fields),
        any(_LEAVING_VALUES.get(value, False) for value in leaving),
        max((rest for rest in rests if rest is not None), default=None),
        tuple(unreadable),
    )


def _values(fields: Fields, wanted: bytes) -> list[bytes]:
    return [value.strip() for name, value in fields if name.lower() == wanted]


def _limit(fields: Fields) -> notices.Limit:
    """Return the limit that a response names; the lowest if it names several."""
    values = _values(fields, _LIMIT)
    if not values:
        return notices.NoLimit()
    rates = [float(value) for value in values if _DECIMAL.fullmatch(value)]
    if len(rates) < len(values):
        return notices.UnreadableLimit(repr(values)[:_MAX_QUOTED])
    return notices.RateLimit.rounded(min(rates))


def parse_retry_after(value: bytes) -> datetime.timedelta | None:
    """Return the time that a Retry-After field names in seconds; None without meaning.

    A date, which HTTP allows as well, depends on two clocks and is not used.
    """
    if not _DECIMAL.fullmatch(value):
        return None
    return datetime.timedelta(seconds=float(value))
