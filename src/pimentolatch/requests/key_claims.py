"""Claims on client-supplied idempotency keys, in the platform's store.

A claim binds a key to one instance before the call is sent, so that a retry through
any other instance finds it and never runs the call again. Claims are grouped in
*pages*: the key's hash selects the page, and conditional updates of the page resolve
races. One object per key would need a third write to delete it; a page drops expired
claims in writes that happen anyway, and the number of objects stays bounded.

A claim holds the answer, or the owner that can still provide it, for
`ANSWER_RETENTION`, and then only the record that the key was used, until
`CLAIM_RETENTION`. Only after that may the key run again, so that is the documented
limit for late retries. It is far above the longest deadline (an hour), after which an
owner sends nothing.
"""

import base64
import dataclasses
import datetime
import random
import typing
from collections import abc

from pimentolatch import call_budget, clock, settings, store
from pimentolatch.backend import outcomes
from pimentolatch.requests import identity

__all__ = [
    "Claim",
    "ClaimPages",
    "Claimed",
    "Owner",
    "State",
    "ClaimFailed",
    "AlreadyClaimed",
    "page_of",
]

KIND = "claims"
ANSWER_RETENTION = datetime.timedelta(minutes=15)
CLAIM_RETENTION = datetime.timedelta(hours=24)
# Keeps a page of answers far below the platform's object limit of one megabyte.
MAX_ANSWER_BYTES = 2_000
MAX_CLAIMS_PER_PAGE = 3_000
# A million pages: at 75 claimed calls a second, half of what the store's write limit
# allows, a page holds about 6 claims of the last day. Each claim reads and writes its
# page twice, so larger pages would use up an instance's bandwidth for control traffic.
_PAGE_DIGITS = 5
_MAX_ATTEMPTS = 4
_BUDGET_SHARE = 0.5
_CALLS_PER_CHANGE = 2
_RETRY_PAUSE = datetime.timedelta(milliseconds=100)

State = typing.Literal["held", "answered", "unknown"]


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """Incarnation of an instance that runs a call, and its address for callers."""

    incarnation: str
    address: settings.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Record that a key was used, and by which request.

    Attributes:
        name: Hash of the caller and the key.
        fingerprint: Hash of the request that was sent with the key.
        claim_id: Unique id, by which a write is recognized after its reply was lost.
        owner: Incarnation that runs the call; None after `ANSWER_RETENTION`.
        claimed_at: Wall time; clock skew of minutes between instances is harmless.
        answer: The service's answer, if it is small enough and still retained.
    """

    name: str
    fingerprint: str
    claim_id: str
    owner: Owner | None
    claimed_at: datetime.datetime
    state: State = "held"
    answer: outcomes.Response | None = None

    def to_json(self) -> dict[str, typing.Any]:
        """Return the value to store."""
        owner = self.owner
        value: dict[str, typing.Any] = {
            "name": self.name,
            "fingerprint": self.fingerprint,
            "id": self.claim_id,
            "at": int(self.claimed_at.timestamp()),
            "state": self.state,
        }
        if owner is not None:
            value["owner"] = owner.incarnation
            value["host"], value["port"] = owner.address.host, owner.address.port
        if self.answer is not None:
            body = base64.b64encode(self.answer.body).decode()
            value["answer"] = [self.answer.status, self.answer.content_type, body]
        return value

    @classmethod
    def from_json(cls, value: dict[str, typing.Any]) -> "Claim":
        """Return the claim decoded from a stored value."""
        owner = answer = None
        if "owner" in value:
            address = settings.Address(host=value["host"], port=value["port"])
            owner = Owner(value["owner"], address)
        if "answer" in value:
            status, content_type, body = value["answer"]
            answer = outcomes.Response(status, base64.b64decode(body), content_type)
        return cls(
            value["name"],
            value["fingerprint"],
            value["id"],
            owner,
            datetime.datetime.fromtimestamp(value["at"], datetime.UTC),
            value["state"],
            answer,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The claim is stored; its owner may send the call."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """The key was claimed before, possibly by another instance."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFailed:
    """The key could not be claimed, so the call must not be sent."""

    reason: str
    retry_after: datetime.timedelta | None = None


def claims_budget(calls_per_second: float, time: clock.Clock) -> call_budget.CallBudget:
    """Return the part of an instance's platform call budget that claims may use."""
    return call_budget.CallBudget(
        _BUDGET_SHARE * calls_per_second / _CALLS_PER_CHANGE, time
    )


_Claims = tuple[Claim, ...]
_Change = typing.Callable[[_Claims], _Claims]


class ClaimPages:
    """Reads and updates the claims in the store.

    Args:
        objects: The platform's store.
        owner: This instance.
        time: Clock for the age of claims and for pauses.
        budget: Rate limit of page updates, each of two calls. Without a limit of
            their own, a burst of keyed calls would use up the whole call budget and
            delay leases and orders. None sets no limit, for benchmarks.
    """

    def __init__(
        self,
        objects: store.Store,
        owner: Owner,
        time: clock.Clock,
        budget: call_budget.CallBudget | None = None,
    ) -> None:
        self._store = objects
        self._owner = owner
        self._clock = time
        self._budget = budget
        # Own claims whose call was not sent and never will be; see `release`.
        self._void: dict[str, datetime.timedelta] = {}

    async def claim(
        self, name: str, fingerprint: str
    ) -> Claimed | AlreadyClaimed | ClaimFailed:
        """Bind a key to this instance, unless it was used before.

        If the reply to the write is lost, the page is read back and searched for the
        claim's id. A delayed copy of the write names an old page version and has no
        effect, or takes effect under an id recorded as void; in both cases nothing is
        sent twice.
        """
        claim = Claim(
            name, fingerprint, identity.new_id(), self._owner, self._clock.now()
        )
        page = await self._update(name, lambda claims: self._add(claims, claim))
        if isinstance(page, store.Unavailable):
            if page.effect_unknown:
                self._record_void(claim.claim_id)
            return ClaimFailed(page.reason, page.retry_after)
        current = _find(page, name)
        if current is None:
            return ClaimFailed("the claims page of this key is full; retry later")
        if current.claim_id == claim.claim_id:
            return Claimed(current)
        return AlreadyClaimed(current)

    async def settle(
        self, claim: Claim, state: State, answer: outcomes.Response | None
    ) -> bool:
        """Record the outcome of a claim's call; best effort.

        Until it is recorded, retries are forwarded to the owner, which knows the
        outcome. The record serves retries after the owner has terminated.
        """
        if answer is not None and len(answer.body) > MAX_ANSWER_BYTES:
            answer = None
        settled = dataclasses.replace(claim, state=state, answer=answer)
        page = await self._update(
            claim.name,
            lambda claims: tuple(
                settled if c.claim_id == claim.claim_id else c for c in claims
            ),
        )
        return not isinstance(page, store.Unavailable)

    async def release(self, claim: Claim) -> None:
        """Remove the claim of a call that was certainly not sent.

        The claim's id stays void here even if the store does not confirm the removal,
        so this instance may replace the claim with a new one. That write increments
        the page's version, so a delayed copy of the release can't remove the newer
        claim.
        """
        self._record_void(claim.claim_id)
        await self._update(
            claim.name,
            lambda claims: tuple(c for c in claims if c.claim_id != claim.claim_id),
        )

    def is_void(self, claim: Claim) -> bool:
        """Return whether the claim is this instance's own and was released."""
        return claim.claim_id in self._void

    def _add(self, claims: _Claims, claim: Claim) -> _Claims:
        current = _find(claims, claim.name)
        if current is not None and not self.is_void(current):
            return claims
        others = tuple(c for c in claims if c.name != claim.name)
        return claims if len(others) >= MAX_CLAIMS_PER_PAGE else (*others, claim)

    async def _update(self, name: str, change: _Change) -> _Claims | store.Unavailable:
        """Apply a change to a page and return the resulting claims.

        After a write with unknown outcome the page is read again, which shows whether
        the write took effect. Only the last attempt can remain unknown.
        """
        if self._budget is not None and not await self._budget.take():
            return store.Unavailable(
                "claims' part of the call budget is used up", False, _RETRY_PAUSE
            )
        page_name = page_of(name)
        failure = store.Unavailable(
            "the claims page was changed concurrently in every attempt", False
        )
        unknown = False
        for _ in range(_MAX_ATTEMPTS):
            found = await self._store.get(KIND, page_name)
            if isinstance(found, store.Unavailable):
                failure = found
                break
            version, before = self._parse(found)
            after = change(before)
            if after == before:
                return after
            value = {"claims": [claim.to_json() for claim in after]}
            outcome = await self._store.put(KIND, page_name, value, if_version=version)
            if isinstance(outcome, store.Written):
                return after
            if isinstance(outcome, store.Unavailable):
                failure = outcome
                unknown |= outcome.effect_unknown
                if not outcome.effect_unknown:
                    break
                await self._pause()
        return dataclasses.replace(failure, effect_unknown=unknown)

    def _parse(self, found: store.Found | store.Absent) -> tuple[int, _Claims]:
        if isinstance(found, store.Absent):
            return 0, ()
        stored = (Claim.from_json(value) for value in found.value["claims"])
        return found.version, tuple(self._unexpired(stored))

    def _unexpired(self, claims: abc.Iterable[Claim]) -> abc.Iterator[Claim]:
        now = self._clock.now()
        for claim in claims:
            age = now - claim.claimed_at
            if age < ANSWER_RETENTION:
                yield claim
            elif age < CLAIM_RETENTION:
                yield dataclasses.replace(claim, owner=None, answer=None)

    def _record_void(self, claim_id: str) -> None:
        now = self._clock.monotonic()
        self._void[claim_id] = now
        while self._void:
            oldest = next(iter(self._void))
            if now - self._void[oldest] < ANSWER_RETENTION:
                return
            del self._void[oldest]

    async def _pause(self) -> None:
        await self._clock.sleep(_RETRY_PAUSE * random.uniform(0.5, 1.5))


def page_of(name: str) -> str:
    """Return the name of the page that holds a claim."""
    return name[:_PAGE_DIGITS]


def _find(claims: _Claims, name: str) -> Claim | None:
    return next((claim for claim in claims if claim.name == name), None)
