"""Remembers completions under which engines have ended, beyond one attempt."""

import collections
import datetime
import math
from collections import abc

from pimentolatch import clock
from pimentolatch.decisions import (
    crash_evidence,
    crash_notices,
    crash_suspects,
)
from pimentolatch.protocol import messages
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["SuspectCompletions"]

# Ends that are seen within this time are the end of one process: an engine takes longer
# to start again, and its callers notice at different moments.
_ONE_END = datetime.timedelta(seconds=1)
# Ends of one engine that are remembered. One that ends more often than this within a
# day is hardly ended by completions.
_MOST_ENDS = 64
# Ends that an instance which has just started is told at once.
_MOST_SERIOUS = 1000
_MILLISECOND = datetime.timedelta(milliseconds=1)


class SuspectCompletions:
    """What one instance knows of completions that end engines.

    Engines of the fleet document have no incarnations, so each instance numbers their
    ends, and tells peers when they were.

    Args:
        time: Clock of this instance.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._suspects = crash_suspects.CrashSuspects(crash_suspects.Policy())
        self._clock = time
        self._ends: dict[str, collections.deque[tuple[int, datetime.timedelta]]] = {}
        self._near = crash_notices.CrashNoticeQueue()
        self._far = crash_notices.CrashNoticeQueue()
        self._notify: abc.Callable[[], None] | None = None

    def on_news(self, notify: abc.Callable[[], None]) -> None:
        """Have something called whenever there is something to tell."""
        self._notify = notify

    def verdict(self, digest: digests.RequestDigest) -> crash_suspects.Verdict | None:
        """Return whether a completion is kept from engines; None if it may run."""
        return self._suspects.verdict(digest, self._clock.monotonic())

    def engine_ended(
        self, digest: digests.RequestDigest, engine: str, begun: datetime.timedelta
    ) -> None:
        """Note that an engine's connection ended while it ran a completion.

        Args:
            digest: The completion.
            engine: The engine's name.
            begun: When the completion was sent there.
        """
        now = self._clock.monotonic()
        ended = self._end_of(engine, now)
        pair = crash_evidence.SuspectedCrash(digest, ended, False, now, now - begun)
        known = self._suspects.add(pair, now)
        if known is not None:
            self._tell([known])

    def completed(self, digest: digests.RequestDigest) -> None:
        """Note that an engine has run a completion to its end."""
        self._tell(self._suspects.completed(digest))

    def take(self, told: abc.Iterable[messages.EngineCrash], *, near: bool) -> None:
        """Take what a peer tells.

        Args:
            told: The ends.
            near: The peer is of the own failure domain, all of which it tells itself.
        """
        now = self._clock.monotonic()
        pairs = [self._pair(end, now) for end in told]
        fresh = self._suspects.merge(pairs, now)
        self._tell(fresh, near=not near)

    def take_near(self, most: int) -> tuple[messages.EngineCrash, ...]:
        """Return what peers of the own failure domain are to be told."""
        return self._rows(self._near.take(most, self._suspects.crash_count))

    def take_far(self, most: int) -> tuple[messages.EngineCrash, ...]:
        """Return what peers of other failure domains are to be told."""
        return self._rows(self._far.take(most, self._suspects.crash_count))

    def serious(self) -> tuple[messages.EngineCrash, ...]:
        """Return the ends that an instance which has just started has to know.

        Of very many, those of the completions with the most ends: a notice that is
        larger than a frame would end the link.
        """
        self._suspects.remove_expired(self._clock.monotonic())
        found = sorted(self._suspects.repeated_crashes(), key=len, reverse=True)
        pairs = [pair for pairs in found for pair in pairs]
        return self._rows(pairs[:_MOST_SERIOUS])

    def _tell(
        self, pairs: abc.Collection[crash_evidence.SuspectedCrash], *, near: bool = True
    ) -> None:
        for pair in pairs:
            self._far.add(pair)
            if near:
                self._near.add(pair)
        if pairs and self._notify is not None:
            self._notify()

    def _pair(
        self, end: messages.EngineCrash, now: datetime.timedelta
    ) -> crash_evidence.SuspectedCrash:
        at = now - end.age_ms * _MILLISECOND
        ended = self._end_of(end.engine, at)
        lasted = end.ran_for_ms * _MILLISECOND
        return crash_evidence.SuspectedCrash(end.digest, ended, end.cleared, at, lasted)

    def _end_of(self, engine: str, at: datetime.timedelta) -> servers.Incarnation:
        """Return the end of an engine at a moment, numbered anew if it is not known."""
        ends = self._ends.setdefault(engine, collections.deque(maxlen=_MOST_ENDS))
        for number, known in ends:
            if abs(at - known) <= _ONE_END:
                return servers.Incarnation(engine, number)
        number = ends[-1][0] + 1 if ends else 0
        ends.append((number, at))
        return servers.Incarnation(engine, number)

    def _rows(
        self, pairs: abc.Iterable[crash_evidence.SuspectedCrash]
    ) -> tuple[messages.EngineCrash, ...]:
        now = self._clock.monotonic()
        return tuple(
            messages.EngineCrash(
                pair.digest,
                pair.server.server_id,
                pair.cleared,
                max(0, math.ceil((now - pair.at) / _MILLISECOND)),
                math.ceil(pair.ran_for / _MILLISECOND),
            )
            for pair in pairs
        )
