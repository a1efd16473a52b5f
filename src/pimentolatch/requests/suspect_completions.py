"""Remembers completions under which engines have ended, beyond one attempt."""

import collections
import datetime
import math
from collections import abc

from pimentolatch import clock
from pimentolatch.decisions import crash_evidence, crash_news, crash_suspects
from pimentolatch.protocol import messages
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["SuspectCompletions"]

# Ends that are seen within this time are the end of one process: an engine takes longer
# to start again, and its callers notice at different moments.
_SAME_CRASH = datetime.timedelta(seconds=1)
# Ends of one engine that are remembered. One that ends more often than this within a
# day is hardly ended by completions.
_MAX_CRASHES = 64
# Ends that an instance which has just started is told at once.
_MAX_NOTICES = 1000
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
        self._crashes: dict[str, collections.deque[tuple[int, datetime.timedelta]]] = {}
        self._own_domain = crash_news.CrashNews()
        self._other_domains = crash_news.CrashNews()
        self._notify: abc.Callable[[], None] | None = None

    def on_update(self, notify: abc.Callable[[], None]) -> None:
        """Have something called whenever there is something to tell."""
        self._notify = notify

    def verdict(self, digest: digests.RequestDigest) -> crash_suspects.Verdict | None:
        """Return whether a completion is kept from engines; None if it may run."""
        return self._suspects.verdict(digest, self._clock.monotonic())

    def record_crash(
        self, digest: digests.RequestDigest, engine: str, sent_at: datetime.timedelta
    ) -> None:
        """Note that an engine's connection ended while it ran a completion.

        Args:
            digest: The completion.
            engine: The engine's name.
            sent_at: When the completion was sent there.
        """
        now = self._clock.monotonic()
        crash = self._crash_of(engine, now)
        pair = crash_evidence.Suspicion(digest, crash, False, now, now - sent_at)
        known = self._suspects.add(pair, now)
        if known is not None:
            self._publish([known])

    def record_completion(self, digest: digests.RequestDigest) -> None:
        """Note that an engine has run a completion to its end."""
        self._publish(self._suspects.completed(digest))

    def take(self, told: abc.Iterable[messages.EngineEnd], *, near: bool) -> None:
        """Take what a peer tells.

        Args:
            told: The ends.
            near: The peer is of the own failure domain, all of which it tells itself.
        """
        now = self._clock.monotonic()
        pairs = [self._from_message(end, now) for end in told]
        fresh = self._suspects.merge(pairs, now)
        self._publish(fresh, near=not near)

    def take_near(self, most: int) -> tuple[messages.EngineEnd, ...]:
        """Return what peers of the own failure domain are to be told."""
        return self._to_messages(self._own_domain.take(most, self._suspects.crashes))

    def take_far(self, most: int) -> tuple[messages.EngineEnd, ...]:
        """Return what peers of other failure domains are to be told."""
        return self._to_messages(self._other_domains.take(most, self._suspects.crashes))

    def serious(self) -> tuple[messages.EngineEnd, ...]:
        """Return the ends that an instance which has just started has to know.

        Of very many, those of the completions with the most ends: a notice that is
        larger than a frame would end the link.
        """
        self._suspects.forget_old(self._clock.monotonic())
        found = sorted(self._suspects.serious(), key=len, reverse=True)
        pairs = [pair for pairs in found for pair in pairs]
        return self._to_messages(pairs[:_MAX_NOTICES])

    def _publish(
        self, pairs: abc.Collection[crash_evidence.Suspicion], *, near: bool = True
    ) -> None:
        for pair in pairs:
            self._other_domains.add(pair)
            if near:
                self._own_domain.add(pair)
        if pairs and self._notify is not None:
            self._notify()

    def _from_message(
        self, end: messages.EngineEnd, now: datetime.timedelta
    ) -> crash_evidence.Suspicion:
        at = now - end.age_ms * _MILLISECOND
        crash = self._crash_of(end.engine, at)
        lasted = end.lasted_ms * _MILLISECOND
        return crash_evidence.Suspicion(end.digest, crash, end.cleared, at, lasted)

    def _crash_of(self, engine: str, at: datetime.timedelta) -> servers.Incarnation:
        """Return the end of an engine at a moment, numbered anew if it is not known."""
        crashes = self._crashes.setdefault(
            engine, collections.deque(maxlen=_MAX_CRASHES)
        )
        for number, known in crashes:
            if abs(at - known) <= _SAME_CRASH:
                return servers.Incarnation(engine, number)
        number = crashes[-1][0] + 1 if crashes else 0
        crashes.append((number, at))
        return servers.Incarnation(engine, number)

    def _to_messages(
        self, pairs: abc.Iterable[crash_evidence.Suspicion]
    ) -> tuple[messages.EngineEnd, ...]:
        now = self._clock.monotonic()
        return tuple(
            messages.EngineEnd(
                pair.digest,
                pair.server.server_id,
                pair.cleared,
                max(0, math.ceil((now - pair.at) / _MILLISECOND)),
                math.ceil(pair.lasted / _MILLISECOND),
            )
            for pair in pairs
        )
