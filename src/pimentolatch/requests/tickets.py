"""Tickets: idempotency keys that contain the instance that owns them.

A caller requests tickets in advance and sends one as the idempotency key of a call. The
ticket names the incarnation that issued it, which alone may run the call and retains
its result; any other instance forwards the call to it. Nothing is written to the
platform's store, so its write limit does not apply to tickets, and they work while the
store is unavailable. The cost is one hop, and "outcome unknown" for retries after the
owner has terminated.

Tickets are signed with a secret that the instances share through the store. Without a
signature a caller could make instances send requests to any address.
"""

import base64
import binascii
import collections
import dataclasses
import datetime
import hashlib
import hmac
import secrets
import typing

import cbor2

from pimentolatch import clock, settings, store
from pimentolatch.requests import key_claims

__all__ = ["InvalidTicket", "SecretUnavailable", "PREFIX", "Ticket", "TicketIssuer"]

PREFIX = "ticket."
KIND = "ticket-secrets"
NAME = "current"
_SECRET_BYTES = 32
_SIGNATURE_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """The content of a ticket.

    Attributes:
        number: Sequence number within the owner's incarnation.
        issued_at: Time on the owner's monotonic clock. Only the owner compares it, so
            clocks need not be synchronized.
    """

    owner: key_claims.Owner
    caller: str
    number: int
    issued_at: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidTicket:
    """The text is not a ticket issued by this fleet."""


@dataclasses.dataclass(frozen=True, slots=True)
class SecretUnavailable:
    """The signing secret could not be read from the store."""

    reason: str


class TicketIssuer:
    """Issues and verifies tickets.

    Args:
        objects: The platform's store; read only until the secret is known.
        owner: This instance.
        time: Clock for the age of tickets.
        lifetime: How long a ticket is valid and its result is retained.
    """

    def __init__(
        self,
        objects: store.Store,
        owner: key_claims.Owner,
        time: clock.Clock,
        lifetime: datetime.timedelta,
    ) -> None:
        self._store = objects
        self._owner = owner
        self._clock = time
        self._lifetime = lifetime
        self._next_number = 1
        self._issues: collections.deque[tuple[datetime.timedelta, int]] = (
            collections.deque()
        )
        self._secret: bytes | None = None

    async def issue(self, caller: str, count: int) -> list[str] | SecretUnavailable:
        """Return new tickets for a caller."""
        secret = await self._shared_secret()
        if isinstance(secret, SecretUnavailable):
            return secret
        now = self._clock.monotonic()
        first, self._next_number = self._next_number, self._next_number + count
        self._issues.append((now, first))
        while now - self._issues[0][0] >= self._lifetime:
            self._issues.popleft()
        return [
            _encode(Ticket(self._owner, caller, number, now), secret)
            for number in range(first, self._next_number)
        ]

    def issued(self) -> range:
        """Return the numbers of the tickets that have not expired."""
        oldest = self._clock.monotonic() - self._lifetime
        usable = (number for at, number in self._issues if at > oldest)
        return range(next(usable, self._next_number), self._next_number)

    def is_expired(self, ticket: Ticket) -> bool:
        """Return whether a ticket of this instance has expired."""
        return self._clock.monotonic() - ticket.issued_at >= self._lifetime

    async def verify(self, text: str) -> Ticket | InvalidTicket | SecretUnavailable:
        """Verify a ticket's signature and return its content."""
        secret = await self._shared_secret()
        if isinstance(secret, SecretUnavailable):
            return secret
        return _decode(text, secret)

    async def _shared_secret(self) -> bytes | SecretUnavailable:
        if self._secret is None:
            found = await self._store.get(KIND, NAME)
            if isinstance(found, store.Absent):
                value = {"secret": secrets.token_hex(_SECRET_BYTES)}
                # If another instance won the race or the reply was lost, read it back.
                await self._store.put(KIND, NAME, value, if_version=0)
                found = await self._store.get(KIND, NAME)
            if not isinstance(found, store.Found):
                reason = "absent" if isinstance(found, store.Absent) else found.reason
                return SecretUnavailable(reason)
            self._secret = bytes.fromhex(found.value["secret"])
        return self._secret


def _signature(content: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, content, hashlib.sha256)[:_SIGNATURE_BYTES]


def _encode(ticket: Ticket, secret: bytes) -> str:
    fields = (
        ticket.owner.incarnation,
        ticket.owner.address.host,
        ticket.owner.address.port,
        ticket.caller,
        ticket.number,
        ticket.issued_at // datetime.timedelta(milliseconds=1),
    )
    content: bytes = cbor2.dumps(fields)
    signed = _signature(content, secret) + content
    return PREFIX + _base64(signed)


def _base64(signed: bytes) -> str:
    return base64.urlsafe_b64encode(signed).decode().rstrip("=")


def _decode(text: str, secret: bytes) -> Ticket | InvalidTicket:
    encoded = text.removeprefix(PREFIX)
    try:
        signed = base64.urlsafe_b64decode(encoded + "=" * (-len(encoded) % 4))
    except (binascii.Error, ValueError):
        return InvalidTicket()
    if _base64(signed) != encoded:
        return InvalidTicket()
    given, content = signed[:_SIGNATURE_BYTES], signed[_SIGNATURE_BYTES:]
    if not hmac.compare_digest(given, _signature(content, secret)):
        return InvalidTicket()
    # Signed by an instance of this fleet, so `_encode` wrote the content.
    fields: typing.Any = cbor2.loads(content)
    incarnation, host, port, caller, number, issued_ms = fields
    return Ticket(
        key_claims.Owner(incarnation, settings.Address(host=host, port=port)),
        caller,
        number,
        datetime.timedelta(milliseconds=issued_ms),
    )
