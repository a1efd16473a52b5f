"""Claims of callers' own idempotency keys, in the platform's store.

A claim binds a key to one instance before the call is sent, so that a retry through
any other instance finds it and never runs the call again. Claims are kept in *pages*:
a key's hash names its page, and a conditional update of the page decides every race.
An object for each key would need a third write to remove it; a page drops its expired
claims in the writes that it gets anyhow, and the number of objects stays bounded.

A claim lives in two stages. With its answer, or with the owner that can still give it,
for `ANSWER_KEPT`; then as a bare record that the key was used, for `CLAIM_KEPT`. Only
after that may the key run again, so that is the stated bound for late retries. It is
far above the longest deadline (an hour), after which an owner sends nothing.
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
# Small enough that a page of them is far below the platform's limit of a megabyte.
MAX_ANSWER_BYTES = 2_000
MAX_CLAIMS_PER_PAGE = 3_000
# A million pages: at 75 claimed calls a second, half of what the store's writes allow,
# a page then holds some 6 claims of the last day. Each claim reads and writes its page
# twice, so larger pages would take the bytes that an instance has for control.
_PAGE_DIGITS = 5
_MAX_ATTEMPTS = 4
_BUDGET_SHARE = 0.5
_CALLS_PER_CHANGE = 2
_RETRY_PAUSE = datetime.timedelta(milliseconds=100)

State = typing.Literal["held", "answered", "unknown"]


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """The incarnation of an instance that runs a call, and where callers reach it."""

    incarnation: str
    address: settings.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A used key.

    Attributes:
        name: Hash of the caller and its key.
        fingerprint: Hash of the request that came with the key.
        claim_id: Names this claim, so that a write whose reply was lost is known again.
        owner: Who runs the call; None once only the record of its use is kept.
        claimed_at: Wall time; instances' clocks may differ by minutes without harm.
        answer: The service's answer, if it is small and still kept.
    """

    name: str
    fingerprint: str
    claim_id: str
    owner: Owner | None
    claimed_at: datetime.datetime
    state: State = "held"
    answer: outcomes.Response | None = None

    def to_json(self) -> dict[str, typing.Any]:
        """Return the value that is stored."""
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
        """Return the claim that a stored value describes."""
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
    """The claim is in the store; its owner may send the call."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """The key was used before."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFailed:
    """The key is not bound, so the call must not be sent."""

    reason: str
    retry_after: datetime.timedelta | None = None


def claims_budget(calls_per_second: float, time: clock.Clock) -> call_budget.CallBudget:
    """Return the share of an instance's calls of the platform that claims may take."""
    return call_budget.CallBudget(
        _BUDGET_SHARE * calls_per_second / _CALLS_PER_CHANGE, time
    )


_Claims = tuple[Claim, ...]
_Change = typing.Callable[[_Claims], _Claims]


class ClaimPages:
    """The claims in the store.

    Args:
        objects: The platform's store.
        owner: This instance.
        time: Clock of the claims' ages and of pauses.
        share: Changes of pages that this instance may make, each of two calls.
            Without a share of their own, keyed calls in a burst would take the
            whole budget of calls, and leases and orders would wait for it. None
            sets no bound, for measurements.
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
        # Claims of ours that were never sent and never will be; see `release`.
        self._void: dict[str, datetime.timedelta] = {}

    async def claim(
        self, name: str, fingerprint: str
    ) -> Claimed | AlreadyClaimed | ClaimFailed:
        """Bind a key to this instance, unless it was used before.

        A reply that is lost after the write took effect is settled by reading the
        page back and looking for the claim's own id. A copy of the write that arrives
        even later names an old version of the page and has no effect, or takes effect
        under an id that is void; either way nothing is sent twice.
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
            return ClaimFailed("the page of claims is full")
        if current.claim_id == claim.claim_id:
            return Claimed(current)
        return AlreadyClaimed(current)

    async def settle(
        self, claim: Claim, state: State, answer: outcomes.Response | None
    ) -> bool:
        """Record how a claim's call ended; best effort.

        Until it is recorded, retries are passed to the owner, which knows. The record
        is for retries after the owner has gone.
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
        """Give a key back whose call was certainly not sent.

        If the store does not confirm it, the claim's id stays void here: this
        instance may claim the key anew over it. That write moves the page's version
        on, so that a late copy of the release can't remove the newer claim.
        """
        self._record_void(claim.claim_id)
        await self._update(
            claim.name,
            lambda claims: tuple(c for c in claims if c.claim_id != claim.claim_id),
        )

    def is_void(self, claim: Claim) -> bool:
        """Tell whether this instance made the claim and will never send its call."""
        return claim.claim_id in self._void

    def _add(self, claims: _Claims, claim: Claim) -> _Claims:
        current = _find(claims, claim.name)
        if current is not None and not self.is_void(current):
            return claims
        others = tuple(c for c in claims if c.name != claim.name)
        return claims if len(others) >= MAX_CLAIMS_PER_PAGE else (*others, claim)

    async def _update(self, name: str, change: _Change) -> _Claims | store.Unavailable:
        """Change a page, and return it as it then stands.

        A write whose outcome is unknown is followed by reading the page again, which
        shows whether it took effect; only the last one may stay unknown.
        """
        if self._budget is not None and not await self._budget.take():
            return store.Unavailable(
                "claims' share of the call budget", False, _RETRY_PAUSE
            )
        page_name = page_of(name)
        failure = store.Unavailable("the page changed too often", False)
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
    """Return the name of the page that a claim stands on."""
    return name[:_PAGE_DIGITS]


def _find(claims: _Claims, name: str) -> Claim | None:
    return next((claim for claim in claims if claim.name == name), None)
