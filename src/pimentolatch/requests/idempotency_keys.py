"""What this instance remembers of the idempotency keys it answers for.

A retry that arrives here while the first attempt runs waits for its result; one that
arrives later is given the result again. Memory is bounded: results are dropped, oldest
first, past a number of bytes, but the fact that a key was used stays until no retry
may use it any more, because forgetting it would let a retry run a second time.
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
    """Return the refusal of a retry whose result is no longer kept."""
    return results.Refusal(
        results.ResultCode.RESULT_EXPIRED,
        "the result of this key is no longer kept; the call is not run again",
        execution,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class KeyLimits:
    """Bounds of the table.

    Attributes:
        lifetime: How long a used key is remembered; a retry may use it no longer.
        entries: Keys remembered at once; past it new ones are refused before they run.
        result_bytes: Memory for results; past it the oldest are dropped.
    """

    lifetime: datetime.timedelta = datetime.timedelta(minutes=15)
    max_entries: int = 50_000
    max_result_bytes: int = 16_000_000


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """A used key.

    Attributes:
        dispatched: Whether the first byte may have left; set just before sending.
        abandoned: Whether the caller was told "not run", after which nothing may be
            sent. Never set once `dispatched` is.
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
        """Ask to send, with nothing awaited in between; False if it was given up.

        The caller is told "not run" at its deadline only if this was not asked
        before, and nothing is sent after that: no interleaving makes the answer
        false.
        """
        if not self.abandoned:
            self.dispatched = True
        return self.dispatched

    def revert_dispatch(self) -> None:
        """Note that what was to be sent certainly was not."""
        self.dispatched = False

    def abandon(self) -> bool:
        """Forbid sending; False if the call may already be on its way."""
        if not self.dispatched:
            self.abandoned = True
        return self.abandoned


@dataclasses.dataclass(frozen=True, slots=True)
class NewKey:
    """The key is new here; whoever got this runs the call and settles the entry."""

    entry: Entry


@dataclasses.dataclass(frozen=True, slots=True)
class KnownKey:
    """The key is being run or was run; its outcome is or will be in the entry."""

    entry: Entry


@dataclasses.dataclass(frozen=True, slots=True)
class Mismatch:
    """The key came with another request before."""


@dataclasses.dataclass(frozen=True, slots=True)
class TableFull:
    """No more keys can be remembered, so the call must not run."""


class KeyTable:
    """The keys this instance answers for, in order of their first use."""

    def __init__(self, time: clock.Clock, limits: KeyLimits | None = None) -> None:
        self._clock = time
        self._limits = limits or KeyLimits()
        self._entries: collections.OrderedDict[str, Entry] = collections.OrderedDict()
        self._with_response: collections.deque[Entry] = collections.deque()
        self._bytes = 0

    @property
    def lifetime(self) -> datetime.timedelta:
        """How long a used key is remembered."""
        return self._limits.lifetime

    def __len__(self) -> int:
        return len(self._entries)

    def begin(
        self, name: str, request_fingerprint: str
    ) -> NewKey | KnownKey | Mismatch | TableFull:
        """Look a key up, and remember it as used if it is new."""
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
        """Return the numbers of tickets that were answered, and that may have run."""
        answered: set[int] = set()
        unknown: set[int] = set()
        for name, entry in self._entries.items():
            if not name.startswith(_TICKET):
                continue
            number = int(name.removeprefix(_TICKET))
            (answered if _has_run(entry.result) else unknown).add(number)
        return frozenset(answered), frozenset(unknown)

    def complete(self, entry: Entry, outcome: Outcome) -> None:
        """Settle an entry whose call ran, or may have, and keep its outcome."""
        if not entry.result.done():
            entry.result.set_result(outcome)
        if isinstance(outcome, outcomes.Response):
            entry.result_bytes = len(outcome.body)
            self._bytes += entry.result_bytes
            self._with_response.append(entry)
            self._evict_results()

    def discard(self, entry: Entry, outcome: Outcome) -> None:
        """Settle an entry whose call this instance has not run and will not run."""
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
    """Return the name of one of this instance's own tickets."""
    return f"{_TICKET}{number}"


def key_name(caller: str, key: str) -> str:
    """Return the name of a caller's key; callers can't meet in one another's keys."""
    return hashlib.sha256(f"{caller}\0{key}".encode()).hexdigest()


def fingerprint(service: str, operation: str, body: bytes) -> str:
    """Return what tells one request from another under the same key."""
    head = f"{service}\0{operation}\0".encode()
    return hashlib.sha256(head + body).hexdigest()[:32]
