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

A crash counts once it has been open to clearing by other instances for a second, so
that the loss of many servers at once blames no part. Of two parts with the same crashes
the one that has completed lately is not the cause.

Grounds: four crashes, one more than for a request, since many requests share a part. A
server crashes soon after its first token, and most streams last longer than half a
second, so half a second of events clears most parts of the streams beside it.
"""

import datetime

from pimentolatch.decisions import crash_evidence, crash_suspects
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["PROVEN_AFTER", "PartSuspects"]

# A request that has received events for this long did not crash its server.
PROVEN_AFTER = datetime.timedelta(milliseconds=500)
# Crashes needed beyond those for a request.
_FURTHER_CRASHES = 1
# Time in which other instances can clear a suspected crash before it counts.
_SETTLE_TIME = datetime.timedelta(seconds=1)
# A part that completed this recently is not blamed for what another part explains.
_COMPLETION_LIFETIME = datetime.timedelta(minutes=1)
# Crashes from which on a part explains those of others.
_MIN_EXPLAINING = 2


class PartSuspects(crash_suspects.CrashSuspects):
    """Parts of prompts with recent suspected crashes, over all instances.

    Args:
        policy: When and for how long a request is quarantined.
    """

    def __init__(self, policy: crash_suspects.Policy) -> None:
        super().__init__(policy)
        self._completed_at: dict[digests.RequestDigest, datetime.timedelta] = {}

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
        names = {crash.server for crash in settled}
        if self._was_completed(digest, now):
            names -= self._explained_by_others(digest, now)
        if len(names) < self.policy.crashes:
            return None
        return crash_suspects.Verdict(tuple(names), left, confirmed=True)

    def record_completion(
        self, digest: digests.RequestDigest, now: datetime.timedelta
    ) -> list[crash_evidence.SuspectedCrash]:
        """Record that a request with a part completed; returns the cleared crashes."""
        self._completed_at.pop(digest, None)
        self._completed_at[digest] = now
        if len(self._completed_at) > crash_suspects.MAX_DIGESTS:
            del self._completed_at[next(iter(self._completed_at))]
        return self.completed(digest)

    def _settled(
        self, digest: digests.RequestDigest, now: datetime.timedelta
    ) -> list[crash_evidence.SuspectedCrash]:
        return [
            crash
            for crash in self.crashes_of_request(digest)
            if now - crash.at >= _SETTLE_TIME
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
