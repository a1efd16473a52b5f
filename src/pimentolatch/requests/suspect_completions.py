"""Tracks completions that are suspected of crashing engines, across attempts."""

import collections
import datetime
import math
from collections import abc

from pimentolatch import clock
from pimentolatch.decisions import crash_evidence, crash_notices, crash_suspects
from pimentolatch.protocol import messages
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["SuspectCompletions"]

# Reports within this time are of the same crash: an engine takes longer to restart, and
# its callers notice the crash at different moments.
_SAME_CRASH = datetime.timedelta(seconds=1)
# Crashes retained per engine. One that crashes more often than this within a day is
# unlikely to be crashed by completions.
_MAX_CRASHES = 64
# Limit on the crashes sent to an instance that has just started.
_MAX_NOTICES = 1000
_MILLISECOND = datetime.timedelta(milliseconds=1)


class SuspectCompletions:
    """The suspected crashes that one instance knows of.

    Engines of the fleet document have no incarnations, so each instance numbers their
    crashes itself, and reports to peers when they occurred.

    Args:
        time: Clock of this instance.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._suspects = crash_suspects.CrashSuspects(crash_suspects.Policy())
        self._clock = time
        self._crashes: dict[str, collections.deque[tuple[int, datetime.timedelta]]] = {}
        self._own_domain = crash_notices.CrashNoticeQueue()
        self._other_domains = crash_notices.CrashNoticeQueue()
        self._notify: abc.Callable[[], None] | None = None

    def on_update(self, notify: abc.Callable[[], None]) -> None:
        """Set a function to be called whenever there is something to send."""
        self._notify = notify

    def verdict(self, digest: digests.RequestDigest) -> crash_suspects.Verdict | None:
        """Return the verdict on a quarantined completion; None if it may run."""
        return self._suspects.verdict(digest, self._clock.monotonic())

    def record_crash(
        self, digest: digests.RequestDigest, engine: str, sent_at: datetime.timedelta
    ) -> None:
        """Record that an engine's connection was lost while it ran a completion.

        Args:
            digest: The completion.
            engine: The engine's name.
            sent_at: When the completion was sent there.
        """
        now = self._clock.monotonic()
        crash = self._crash_of(engine, now)
        pair = crash_evidence.SuspectedCrash(digest, crash, False, now, now - sent_at)
        merged = self._suspects.add(pair, now)
        if merged is not None:
            self._publish([merged])

    def record_completion(self, digest: digests.RequestDigest) -> None:
        """Record that an engine has finished a completion."""
        self._publish(self._suspects.completed(digest))

    def receive(
        self, crashes: abc.Iterable[messages.EngineCrash], *, near: bool
    ) -> None:
        """Receive crash reports from a peer.

        Args:
            crashes: The reported crashes.
            near: Whether the peer is in the own failure domain; it sends its reports
                to all instances there itself.
        """
        now = self._clock.monotonic()
        pairs = [self._from_message(crash, now) for crash in crashes]
        new = self._suspects.merge(pairs, now)
        self._publish(new, near=not near)

    def take_near(self, most: int) -> tuple[messages.EngineCrash, ...]:
        """Dequeue up to `most` reports for peers in the own failure domain."""
        return self._to_messages(
            self._own_domain.take(most, self._suspects.crash_count)
        )

    def take_far(self, most: int) -> tuple[messages.EngineCrash, ...]:
        """Dequeue up to `most` reports for peers in other failure domains."""
        return self._to_messages(
            self._other_domains.take(most, self._suspects.crash_count)
        )

    def repeated_crashes(self) -> tuple[messages.EngineCrash, ...]:
        """Return the crashes that an instance needs to know when it starts.

        If there are too many, those of the completions with the most crashes are
        returned: a message larger than a frame would close the link.
        """
        self._suspects.remove_expired(self._clock.monotonic())
        found = sorted(self._suspects.repeated_crashes(), key=len, reverse=True)
        pairs = [pair for pairs in found for pair in pairs]
        return self._to_messages(pairs[:_MAX_NOTICES])

    def _publish(
        self, pairs: abc.Collection[crash_evidence.SuspectedCrash], *, near: bool = True
    ) -> None:
        for pair in pairs:
            self._other_domains.add(pair)
            if near:
                self._own_domain.add(pair)
        if pairs and self._notify is not None:
            self._notify()

    def _from_message(
        self, reported: messages.EngineCrash, now: datetime.timedelta
    ) -> crash_evidence.SuspectedCrash:
        at = now - reported.age_ms * _MILLISECOND
        crash = self._crash_of(reported.engine, at)
        ran_for = reported.ran_for_ms * _MILLISECOND
        return crash_evidence.SuspectedCrash(
            reported.digest, crash, reported.cleared, at, ran_for
        )

    def _crash_of(self, engine: str, at: datetime.timedelta) -> servers.Incarnation:
        """Return the crash of an engine at a time, with a new number if it is new."""
        crashes = self._crashes.setdefault(
            engine, collections.deque(maxlen=_MAX_CRASHES)
        )
        for number, crashed_at in crashes:
            if abs(at - crashed_at) <= _SAME_CRASH:
                return servers.Incarnation(engine, number)
        number = crashes[-1][0] + 1 if crashes else 0
        crashes.append((number, at))
        return servers.Incarnation(engine, number)

    def _to_messages(
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
