"""Finds parts of prompts that crash the servers that answer them.

Load pattern: a few requests a second share a part of their prompts that crashes each
server which begins to answer it. No two of them are alike, so the evidence by request
(`crash_suspects`) never adds up, and they crash servers for as long as they come. Each
crash breaks off a dozen sound streams, which share other parts with them: the first
part of a route's prompts is in all of them.

The evidence is kept by part as well: a suspected crash for each part of a request that
lost its server, except for the last part, which belongs to the request alone. It is
cleared when any request with the part completes anywhere, or when one had received
events for a while at that server: it had answered the part without a crash. So a part
in use is cleared many times a second, and one that crashes every server never is.

A crash counts once it has been open to clearing by other instances for as long as a
clearing takes to reach them. Crashes within a quarter of a second count as one, so that
the loss of many servers at once blames no part. Of two parts with the same crashes the
one that has completed lately is not the cause.

After an outage of all servers a part in use may have been blamed, and while all its
requests are refused none can clear it. So one instance lets a single request through
from time to time, less and less often. If it completes, the part is cleared.

Grounds: four crashes, one more than for a request, since many requests share a part. A
server crashes soon after its first token, and most streams last longer than half a
second, so half a second of events clears most parts of the streams beside it. A trial
that fails costs a server, so the first comes after the servers of an outage are back
and the others four times as late each time.
"""

import dataclasses
import datetime

from pimentolatch.decisions import crash_evidence, crash_suspects
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["PROVEN_AFTER", "PartSuspects"]

# A request that has received events for this long did not crash its server.
PROVEN_AFTER = datetime.timedelta(milliseconds=500)
# Crashes needed beyond those for a request.
_FURTHER_CRASHES = 1
# Crashes this close together may have one cause, such as the loss of a rack.
_COMMON_CAUSE_WINDOW = datetime.timedelta(milliseconds=250)
# Time from the last crash to the first trial, and the factor of the next ones.
_FIRST_TRIAL_AFTER = datetime.timedelta(seconds=45)
_TRIAL_GROWTH = 4
# A part that completed this recently is not blamed for what another part explains.
_COMPLETION_LIFETIME = datetime.timedelta(minutes=1)
# Crashes from which on a part explains those of others.
_MIN_EXPLAINING = 2


@dataclasses.dataclass(slots=True)
class _Trials:
    """Requests with a quarantined part that were let through.

    Attributes:
        request: The request on trial; None if its server has crashed.
        next_after: Time from the last crash or trial to the next one.
        last_at: When the last one was let through; None before the first.
    """

    request: digests.RequestDigest | None = None
    next_after: datetime.timedelta = _FIRST_TRIAL_AFTER
    last_at: datetime.timedelta | None = None


class PartSuspects(crash_suspects.CrashSuspects):
    """Parts of prompts with recent suspected crashes, over all instances.

    Args:
        policy: When and for how long a request is quarantined.
    """

    def __init__(self, policy: crash_suspects.Policy) -> None:
        super().__init__(policy)
        self._completed_at: dict[digests.RequestDigest, datetime.timedelta] = {}
        self._trials: dict[digests.RequestDigest, _Trials] = {}

    @property
    def policy(self) -> crash_suspects.Policy:
        """When and for how long a part is quarantined."""
        return self._policy

    @policy.setter
    def policy(self, policy: crash_suspects.Policy) -> None:
        self._policy = policy.stricter(_FURTHER_CRASHES)

    def verdict(
        self, digest: digests.RequestDigest, now: datetime.timedelta
    ) -> crash_suspects.Verdict | None:
        """Return why and how long requests with a part are blocked; None if not."""
        if self.crash_count(digest) < self.policy.crashes:
            return None
        if digest in self.policy.exempt:
            return None
        settled = self._settled(digest, now)
        if len(settled) < self.policy.crashes:
            return None
        last = max(crash.at for crash in settled)
        left = self.policy.duration(len(settled)) - (now - last)
        if left <= datetime.timedelta():
            return None
        unexplained = settled
        if self._was_completed(digest, now):
            explained = self._explained_by_others(digest, now)
            unexplained = [crash for crash in settled if crash.server not in explained]
        if _count_separate(unexplained) < self.policy.crashes:
            return None
        names = tuple(crash.server for crash in unexplained)
        return crash_suspects.Verdict(names, left, confirmed=True)

    def is_on_trial(
        self,
        digest: digests.RequestDigest,
        request: digests.RequestDigest,
        now: datetime.timedelta,
    ) -> bool:
        """Tell whether a request with a quarantined part may run as a trial.

        To be asked at one instance of the fleet only.
        """
        trials = self._trials.setdefault(digest, _Trials())
        if trials.request == request:
            return True
        since = trials.last_at
        if since is None:
            since = max(crash.at for crash in self.crashes_of_request(digest))
        if now - since < trials.next_after:
            return False
        trials.request = request
        trials.last_at = now
        trials.next_after *= _TRIAL_GROWTH
        return True

    def end_trial(self, digest: digests.RequestDigest) -> None:
        """Record that the server of a request on trial has crashed."""
        if digest in self._trials:
            self._trials[digest].request = None

    def record_completion(
        self, digest: digests.RequestDigest, now: datetime.timedelta
    ) -> list[crash_evidence.SuspectedCrash]:
        """Record that a request with a part completed; returns the cleared crashes."""
        self._completed_at.pop(digest, None)
        self._completed_at[digest] = now
        if len(self._completed_at) > crash_suspects.MAX_DIGESTS:
            del self._completed_at[next(iter(self._completed_at))]
        self._trials.pop(digest, None)
        return self.completed(digest)

    def remove_expired(self, now: datetime.timedelta) -> None:
        """Remove expired records."""
        super().remove_expired(now)
        for digest in [d for d in self._trials if not self.crash_count(d)]:
            del self._trials[digest]

    def _settled(
        self, digest: digests.RequestDigest, now: datetime.timedelta
    ) -> list[crash_evidence.SuspectedCrash]:
        return [
            crash
            for crash in self.crashes_of_request(digest)
            if now - crash.at >= crash_suspects.DISSEMINATION_TIME
        ]

    def _was_completed(
        self, digest: digests.RequestDigest, now: datetime.timedelta
    ) -> bool:
        at = self._completed_at.get(digest)
        return at is not None and now - at <= _COMPLETION_LIFETIME

    def _explained_by_others(
        self, digest: digests.RequestDigest, now: datetime.timedelta
    ) -> set[servers.Incarnation]:
        """Return the servers that parts which have not completed lately crashed."""
        beside = {
            other.digest
            for crash in self.crashes_of_request(digest)
            for other in self.crashes_of_server(crash.server)
            if other.digest != digest and not self._was_completed(other.digest, now)
        }
        found = [self._settled(other, now) for other in beside]
        return {
            crash.server
            for crashes in found
            if len(crashes) >= _MIN_EXPLAINING
            for crash in crashes
        }


def _count_separate(crashes: list[crash_evidence.SuspectedCrash]) -> int:
    """Count crashes, those close together as one."""
    count = 0
    last = None
    for at in sorted(crash.at for crash in crashes):
        if last is None or at - last >= _COMMON_CAUSE_WINDOW:
            count += 1
            last = at
    return count
