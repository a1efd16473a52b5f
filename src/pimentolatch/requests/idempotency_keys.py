"""Table of the idempotency keys that this instance owns.

A retry that arrives while the first attempt runs waits for its result; a later retry
gets the stored result. Memory is bounded: past a number of bytes the oldest results
are evicted. The record that a key was used is retained until no retry may use the key
any more, because dropping it would let a retry run the call a second time.
"""

import asyncio
import collections
import dataclasses
import datetime
import hashlib

from pimentolatch import clock, results
from pimentolatch.backend import outcomes

__all__ = [
    "NewKey",
    "Entry",
    "TableFull",
    "KeyLimits",
    "KeyTable",
    "Mismatch",
    "Outcome",
    "KnownKey",
    "fingerprint",
    "key_name",
    "result_expired",
    "ticket_name",
]

_TICKET = "ticket/"
Outcome = outcomes.Response | results.Refusal


def result_expired(execution: results.Execution) -> results.Refusal:
    """Return the refusal of a retry whose result is no longer retained."""
    return results.Refusal(
        results.ResultCode.RESULT_EXPIRED,
        "the result of this key has expired; the call is not run again",
        execution,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class KeyLimits:
    """Limits of the table.

    Attributes:
        lifetime: How long a used key is retained, and so may be retried.
        max_entries: Number of keys; past it calls with new keys are refused, not run.
        max_result_bytes: Memory for results; past it the oldest are evicted.
    """

    lifetime: datetime.timedelta = datetime.timedelta(minutes=15)
    max_entries: int = 50_000
    max_result_bytes: int = 16_000_000


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """A used key.

    Attributes:
        dispatched: Whether the first byte may have been sent; set before sending.
        abandoned: Whether the caller was answered "not run", after which nothing may
            be sent. Never set once `dispatched` is.
        result: Future of the outcome, shared by all attempts with the key.
    """

    name: str
    fingerprint: str
    started_at: datetime.timedelta
    result: asyncio.Future[Outcome]
    dispatched: bool = False
    abandoned: bool = False
    result_bytes: int = 0

    def start_dispatch(self) -> bool:
        """Mark the call as dispatched; return False if it was abandoned.

        Must be called directly before sending, with no await in between. The caller
        gets "not run" at its deadline only if the call was not marked before, and
        nothing is sent afterwards, so no interleaving makes that answer false.
        """
        if not self.abandoned:
            self.dispatched = True
        return self.dispatched

    def revert_dispatch(self) -> None:
        """Clear the mark, after the call was certainly not run."""
        self.dispatched = False

    def abandon(self) -> bool:
        """Forbid sending; return False if the call may already have been sent."""
        if not self.dispatched:
            self.abandoned = True
        return self.abandoned


@dataclasses.dataclass(frozen=True, slots=True)
class NewKey:
    """The key is new here; the receiver runs the call and completes the entry."""

    entry: Entry


@dataclasses.dataclass(frozen=True, slots=True)
class KnownKey:
    """The call of the key runs or has run; the entry gets or has its outcome."""

    entry: Entry


@dataclasses.dataclass(frozen=True, slots=True)
class Mismatch:
    """The key was used with a different request before."""


@dataclasses.dataclass(frozen=True, slots=True)
class TableFull:
    """The table is full, so the call must not run."""


class KeyTable:
    """The keys that this instance owns, in order of first use."""

    def __init__(self, time: clock.Clock, limits: KeyLimits | None = None) -> None:
        self._clock = time
        self._limits = limits or KeyLimits()
        self._entries: collections.OrderedDict[str, Entry] = collections.OrderedDict()
        self._with_response: collections.deque[Entry] = collections.deque()
        self._bytes = 0

    @property
    def lifetime(self) -> datetime.timedelta:
        """How long a used key is retained."""
        return self._limits.lifetime

    def __len__(self) -> int:
        return len(self._entries)

    def begin(
        self, name: str, request_fingerprint: str
    ) -> NewKey | KnownKey | Mismatch | TableFull:
        """Look up a key, and record it as used if it is new."""
        self._evict_expired()
        entry = self._entries.get(name)
        if entry is not None:
            same = entry.fingerprint == request_fingerprint
            return KnownKey(entry) if same else Mismatch()
        if len(self._entries) >= self._limits.max_entries:
            return TableFull()
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        entry = Entry(name, request_fingerprint, self._clock.monotonic(), future)
        self._entries[name] = entry
        return NewKey(entry)

    def ticket_uses(self) -> tuple[frozenset[int], frozenset[int]]:
        """Return the numbers of tickets answered, and of those that may have run."""
        answered: set[int] = set()
        unknown: set[int] = set()
        for name, entry in self._entries.items():
            if not name.startswith(_TICKET):
                continue
            number = int(name.removeprefix(_TICKET))
            (answered if _has_run(entry.result) else unknown).add(number)
        return frozenset(answered), frozenset(unknown)

    def complete(self, entry: Entry, outcome: Outcome) -> None:
        """Complete an entry whose call ran or may have run, and retain its outcome."""
        if not entry.result.done():
            entry.result.set_result(outcome)
        if isinstance(outcome, outcomes.Response):
            entry.result_bytes = len(outcome.body)
            self._bytes += entry.result_bytes
            self._with_response.append(entry)
            self._evict_results()

    def discard(self, entry: Entry, outcome: Outcome) -> None:
        """Complete and drop the entry of a call that this instance never runs."""
        if self._entries.get(entry.name) is entry:
            del self._entries[entry.name]
        if not entry.result.done():
            entry.result.set_result(outcome)

    def _evict_expired(self) -> None:
        oldest = self._clock.monotonic() - self._limits.lifetime
        while self._entries:
            entry = next(iter(self._entries.values()))
            if entry.started_at >= oldest or not entry.result.done():
                return
            del self._entries[entry.name]
            self._bytes -= entry.result_bytes
            entry.result_bytes = 0

    def _evict_results(self) -> None:
        while self._bytes > self._limits.max_result_bytes:
            entry = self._with_response.popleft()
            self._bytes -= entry.result_bytes
            entry.result_bytes = 0
            entry.result = asyncio.get_running_loop().create_future()
            entry.result.set_result(result_expired(results.Execution.RAN))


def _has_run(result: asyncio.Future[Outcome]) -> bool:
    if not result.done():
        return False
    outcome = result.result()
    if isinstance(outcome, outcomes.Response):
        return True
    return outcome.execution is results.Execution.RAN


def ticket_name(number: int) -> str:
    """Return the table name of one of this instance's own tickets."""
    return f"{_TICKET}{number}"


def key_name(caller: str, key: str) -> str:
    """Return the hashed name of a caller's key; keys of different callers differ."""
    return hashlib.sha256(f"{caller}\0{key}".encode()).hexdigest()


def fingerprint(service: str, operation: str, body: bytes) -> str:
    """Return a hash that distinguishes requests with the same key."""
    head = f"{service}\0{operation}\0".encode()
    return hashlib.sha256(head + body).hexdigest()[:32]
