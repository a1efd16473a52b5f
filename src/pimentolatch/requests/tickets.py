"""Tickets: idempotency keys that name the instance which answers for them.

A caller fetches tickets beforehand and sends one as the idempotency key of a call. The
ticket names the incarnation that handed it out, which alone may run the call and keeps
its result; any other instance passes the call on to it. Nothing is written to the
platform's store, so tickets carry any number of calls and work while the store is out.
The price is one hop, and "outcome unknown" for retries after the owner has gone.

A ticket is signed with a secret that the instances share through the store. Without a
signature a caller could name any address, and instances would send requests there.
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
    """A ticket's content.

    Attributes:
        number: Counts the tickets of the owner's incarnation.
        issued_at: On the owner's monotonic clock, which only the owner compares, so
            that no two clocks have to agree.
    """

    owner: key_claims.Owner
    caller: str
    number: int
    issued_at: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidTicket:
    """The text is no ticket of this fleet."""


@dataclasses.dataclass(frozen=True, slots=True)
class SecretUnavailable:
    """The store has not yet told the secret to this instance."""

    reason: str


class TicketIssuer:
    """Hands out tickets and reads them.

    Args:
        objects: The platform's store; asked only until the secret is known.
        owner: This instance.
        time: Clock of the tickets' ages.
        lifetime: How long a ticket and its result can be used.
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
        """Return the numbers of the tickets that can still be used."""
        oldest = self._clock.monotonic() - self._lifetime
        usable = (number for at, number in self._issues if at > oldest)
        return range(next(usable, self._next_number), self._next_number)

    def is_expired(self, ticket: Ticket) -> bool:
        """Tell whether a ticket of this instance can be used no longer."""
        return self._clock.monotonic() - ticket.issued_at >= self._lifetime

    async def verify(self, text: str) -> Ticket | InvalidTicket | SecretUnavailable:
        """Check a ticket's signature and return its content."""
        secret = await self._shared_secret()
        if isinstance(secret, SecretUnavailable):
            return secret
        return _decode(text, secret)

    async def _shared_secret(self) -> bytes | SecretUnavailable:
        if self._secret is None:
            found = await self._store.get(KIND, NAME)
            if isinstance(found, store.Absent):
                value = {"secret": secrets.token_hex(_SECRET_BYTES)}
                # Whoever loses the race, or its reply, reads what stands there.
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
    # Signed by an instance of this fleet, so the content is as `_text` wrote it.
    fields: typing.Any = cbor2.loads(content)
    incarnation, host, port, caller, number, issued_ms = fields
    return Ticket(
        key_claims.Owner(incarnation, settings.Address(host=host, port=port)),
        caller,
        number,
        datetime.timedelta(milliseconds=issued_ms),
    )
