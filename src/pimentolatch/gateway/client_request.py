"""A client's complete request on a route, and the response that is written to it."""

import dataclasses
import datetime
import enum
import json
import typing
from collections import abc

from pimentolatch import results
from pimentolatch.decisions import access, answer_time, rendezvous, urgency
from pimentolatch.entry import bounded_http
from pimentolatch.platform import http_headers
from pimentolatch.protocol import forwarding
from pimentolatch.requests import digests
from pimentolatch.routes import route_table

__all__ = [
    "CLIENT_CLOSED",
    "CLIENT_LEFT",
    "CUT_AT_LIMIT",
    "CUT_OFF",
    "PASSED_ON",
    "ClientRequest",
    "ClientResponse",
    "Fields",
    "LimitSource",
    "TimeLimit",
]

Scope = typing.MutableMapping[str, typing.Any]
Send = typing.Callable[[typing.MutableMapping[str, typing.Any]], abc.Awaitable[None]]
# Outcome of a server's response that was forwarded completely.
PASSED_ON = "passed on"
# Outcome of streams that their time limit ended.
CUT_AT_LIMIT = "deadline passed in the stream"
# Outcomes of requests whose client ended the connection, or its sending side only.
CLIENT_LEFT = "client left"
CLIENT_CLOSED = "client closed its sending side"
# Outcome of requests that this instance did not complete before it stopped.
CUT_OFF = "cut off by the stop of this instance"
Fields = abc.Sequence[tuple[bytes, bytes]]
_BODILESS = (204, 304)


class LimitSource(enum.Enum):
    """Who set the time limit of a request."""

    CLIENT = "client"
    ROUTE = "route"
    STOP = "stop"


@dataclasses.dataclass(frozen=True, slots=True)
class TimeLimit:
    """Time limit of a request.

    Attributes:
        duration: Longest time from the request's header to the end of its response.
        answer_within: Time within which the last answer is written; see `answer_time`.
        source: Whose limit it is: the shortest counts.
        version: Version of the configuration that the request was read with.
    """

    duration: datetime.timedelta
    answer_within: datetime.timedelta
    source: LimitSource
    version: int

    @classmethod
    def shorter_of(
        cls,
        route_timeout: datetime.timedelta,
        client_limit: datetime.timedelta | None,
        version: int,
    ) -> typing.Self:
        """Return the limit that a route and a client, if it named one, set together."""
        answer_within = route_timeout - answer_time.SHORTEST_RESERVE
        if client_limit is not None:
            client_end = client_limit - answer_time.reserve(client_limit)
            answer_within = min(answer_within, client_end)
        if client_limit is None or route_timeout <= client_limit:
            return cls(route_timeout, answer_within, LimitSource.ROUTE, version)
        return cls(client_limit, answer_within, LimitSource.CLIENT, version)

    def ended_within(self, left: datetime.timedelta) -> "TimeLimit":
        """Return the limit of a request at an instance that stops after this time."""
        if left >= self.duration:
            return self
        answer_within = min(self.answer_within, left - answer_time.SHORTEST_RESERVE)
        return TimeLimit(left, answer_within, LimitSource.STOP, self.version)


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request as the client sent it.

    Attributes:
        target: Path and query, byte for byte.
        fields: The header, byte for byte, without the customer's key.
        arrived_at: When its header was read.
        time_limit: Within which its response is due, from `arrived_at` on.
        digest: Identifies the request; the same for each attempt of the client.
        part_digests: Identify the parts of its prompt that other requests may share.
        access: Customer and priority of the request.
        forwarded: Set if a peer without a path to the servers has forwarded it.
    """

    method: str
    target: bytes
    fields: Fields
    body: bytes
    head: http_headers.ClientHeaders
    route: route_table.Route
    service: route_table.Service
    arrived_at: datetime.timedelta
    time_limit: TimeLimit
    digest: digests.RequestDigest
    access: access.Access
    part_digests: tuple[digests.RequestDigest, ...] = ()
    forwarded: forwarding.ForwardOptions | None = None

    @property
    def deadline(self) -> datetime.timedelta:
        """When its response is due."""
        return self.arrived_at + self.time_limit.duration

    @property
    def answer_due(self) -> datetime.timedelta:
        """When its last answer is written, if nothing has been written before."""
        return self.arrived_at + self.time_limit.answer_within

    @property
    def jitter(self) -> float:
        """Uniform random number from 0 to 1, the same on all instances."""
        return rendezvous.fraction(self.request_id, "lot")

    @property
    def rank(self) -> int:
        """Priority of the request; 0 is served first."""
        return self.access.rank

    @property
    def route_rank(self) -> int | None:
        """See `access.Access.route_rank`."""
        return self.access.route_rank

    @property
    def order(self) -> int:
        """Place of the request among those that wait; the lowest are served first."""
        return urgency.on_time_level(self.rank, self.route_rank)

    @property
    def customer_name(self) -> str | None:
        """Name of the customer; None if the request has no customer's key."""
        customer = self.access.customer
        return None if customer is None else customer.name

    @property
    def request_id(self) -> str:
        """The client's identifier of this attempt."""
        return self.head.request_id

    @property
    def origin_id(self) -> str:
        """See `http_headers.ClientHeaders.origin_id`."""
        return self.head.origin_id


class ClientResponse:
    """Writes one response to a client.

    Attributes:
        status: Status that was written; 0 before.
        finished: Whether nothing more can be written.
        outcome: Outcome of the request, for the log.
        aborted: Whether this instance closed the connection within the response.
        dispatched: Whether a server may have received the request.
        events: Number of events of a stream that were written.
        is_last_dispatch: Whether the request goes to no further server.
    """

    def __init__(self, scope: Scope, send: Send) -> None:
        self._scope = scope
        self._send = send
        self.status = 0
        self.finished = False
        self.outcome = PASSED_ON
        self.aborted = False
        self.dispatched = False
        self.events = 0
        self.is_last_dispatch = False

    @property
    def started(self) -> bool:
        """Whether the status has been written."""
        return self.status != 0

    @property
    def passed_on(self) -> bool:
        """Whether a server's response was forwarded to its end."""
        return self.finished and self.outcome == PASSED_ON

    async def start(self, status: int, fields: Fields) -> None:
        """Write status and header of a response whose body follows in chunks."""
        self.status = status
        await self._send(
            {"type": "http.response.start", "status": status, "headers": list(fields)}
        )

    async def write(self, data: bytes) -> None:
        """Write a chunk of the body."""
        message = {"type": "http.response.body", "body": data, "more_body": True}
        await self._send(message)

    async def finish(self, data: bytes = b"") -> None:
        """Write the end of the body."""
        self.finished = True
        await self._send({"type": "http.response.body", "body": data})

    async def send_full(self, status: int, fields: Fields, body: bytes) -> None:
        """Write a response whose body is complete."""
        length = [(b"content-length", b"%d" % len(body))]
        if status in _BODILESS or self._scope["method"] == "HEAD":
            # A length would tell that of another body, or be malformed.
            length = []
        await self.start(status, [*fields, *length])
        await self.finish(body)

    async def pass_on_refusal(
        self, code: results.ResultCode, status: int, fields: Fields, body: bytes
    ) -> None:
        """Write the refusal of a peer as the response."""
        self.outcome = code.name.lower()
        await self.send_full(status, fields, body)

    async def refuse(self, refusal: results.Refusal) -> None:
        """Write a refusal of this instance as the response."""
        self.outcome = refusal.code.name.lower()
        body = json.dumps(refusal.to_json()).encode()
        fields = [
            (b"content-type", b"application/json"),
            (results.RESULT_HEADER.encode(), b"%d" % int(refusal.code)),
        ]
        if refusal.retry_after is not None:
            seconds = refusal.retry_after.total_seconds()
            fields.append((b"retry-after", f"{seconds:.3f}".encode()))
        await self.send_full(refusal.http_status, fields, body)

    def abort(self, reason: str) -> None:
        """Close the connection, so that a partial response does not look complete."""
        self.outcome = reason
        self.aborted = True
        self.finished = True
        self._scope["extensions"][bounded_http.CLOSE_EXTENSION]["call"]()

    def cut_off(self) -> None:
        """Record that this instance stops without completing the response."""
        self.outcome = CUT_OFF
        self.aborted = True
        self.finished = True
