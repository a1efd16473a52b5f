"""A client's request on a route, read whole, and the answer that is written to it."""

import dataclasses
import datetime
import json
import typing
from collections import abc

from pimentolatch import results
from pimentolatch.decisions import access
from pimentolatch.entry import guard
from pimentolatch.platform import heads
from pimentolatch.requests import digests
from pimentolatch.routes import table

__all__ = ["PASSED_ON", "ClientRequest", "ClientResponse", "Fields"]

Scope = typing.MutableMapping[str, typing.Any]
Send = typing.Callable[[typing.MutableMapping[str, typing.Any]], abc.Awaitable[None]]
# Outcome of an answer that a server gave and that was passed on whole.
PASSED_ON = "passed on"
Fields = abc.Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request as the client sent it.

    Attributes:
        target: Path and query, byte for byte.
        fields: The header, byte for byte, but for the customer's key.
        arrived: When its header was read.
        until: When its final answer is due: the client's deadline or the route's
            timeout, whichever comes first.
        digest: Names the request whichever attempt this is.
        access: Whose request it is, and how urgent.
    """

    method: str
    target: bytes
    fields: Fields
    body: bytes
    head: heads.ClientHead
    route: table.Route
    service: table.Service
    arrived_at: datetime.timedelta
    deadline: datetime.timedelta
    digest: digests.RequestDigest
    access: access.Access

    @property
    def rank(self) -> int:
        """How urgent it is, 0 first."""
        return self.access.rank

    @property
    def customer_name(self) -> str | None:
        """Whose request it is; None if it bears no key."""
        customer = self.access.customer
        return None if customer is None else customer.name

    @property
    def request_id(self) -> str:
        """The client's name of this attempt."""
        return self.head.request_id


class ClientResponse:
    """Writes one answer to a client.

    Attributes:
        status: Status that was written; 0 before.
        finished: Whether nothing more can be written.
        outcome: What was answered, for the log.
    """

    def __init__(self, scope: Scope, send: Send) -> None:
        self._scope = scope
        self._send = send
        self.status = 0
        self.finished = False
        self.outcome = PASSED_ON

    @property
    def started(self) -> bool:
        """Whether the status has been written."""
        return self.status != 0

    async def start(self, status: int, fields: Fields) -> None:
        """Write status and header of an answer whose body follows in pieces."""
        self.status = status
        await self._send(
            {"type": "http.response.start", "status": status, "headers": list(fields)}
        )

    async def write(self, data: bytes) -> None:
        """Write a piece of the body."""
        message = {"type": "http.response.body", "body": data, "more_body": True}
        await self._send(message)

    async def finish(self, data: bytes = b"") -> None:
        """Write the end of the body."""
        self.finished = True
        await self._send({"type": "http.response.body", "body": data})

    async def send_full(self, status: int, fields: Fields, body: bytes) -> None:
        """Write an answer whose body is known."""
        await self.start(status, [*fields, (b"content-length", b"%d" % len(body))])
        await self.finish(body)

    async def refuse(self, refusal: results.Refusal) -> None:
        """Write a final answer of our own."""
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
        """Close the connection, so that what was written does not look whole."""
        self.outcome = reason
        self.finished = True
        self._scope["extensions"][guard.CLOSE_EXTENSION]["call"]()
