"""Finds requests that crash the servers that run them and quarantines them.

Load pattern: a request crashes each server that begins to run it and is retried every
second or two, under another id and at any instance. Each time, a dozen other requests
lose their server as well. If attempts were not correlated, the request would crash
servers for as long as it is retried. Counting crashes alone would also suspect the
requests beside it: retried at once, they meet it on the next server too.

An instance sees only that its connection was lost while a server ran a request, which a
network fault causes as well. So the record is a suspected crash, identified by the
request's digest and the server's incarnation. These records form a set, which instances
can merge in any order without counting a crash twice. A record is cleared permanently
when that incarnation answers an exchange that began later, or when the request
completes anywhere. Only success counts, since a failure may be returned before the
request runs, and a prompt that was only prefilled doesn't count. A request with three
uncleared crashes is quarantined if it is their likely cause (`crash_evidence`).

Until then a suspect uses only a subset of the servers, drawn by its digest and its
number of crashes. Two suspects of one crash seldom draw the same subset twice, so the
innocent ones complete away from the one that is not.
"""

import dataclasses
import datetime
import math
from collections import abc

from pimentolatch.decisions import crash_evidence, rendezvous
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["DISSEMINATION_TIME", "CrashSuspects", "Policy", "Verdict", "suspect_subset"]

# Records of a suspect that is not retried within this time expire.
_SUSPECT_LIFETIME = datetime.timedelta(minutes=10)
# Bound on the digests in memory; each takes 600 bytes.
MAX_DIGESTS = 4000
# Share of them that is evicted at once when the bound is exceeded.
_EVICTED_SHARE = 0.1
# Crashes from which on a request is reported to peers repeatedly, since an instance
# that has just started, or was cut off, has missed the first report.
_REPEATED = 2
# Crash notices reach a fleet of hundreds within 2 s, most of it within 1 s. Until then
# a suspected request is blocked, but not quarantined.
DISSEMINATION_TIME = datetime.timedelta(milliseconds=1500)
# Each crash after a quarantine makes the next one longer by this factor.
_QUARANTINE_GROWTH = 6
# Share of the servers that a suspect may use.
_SUBSET_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """When and for how long a request is quarantined.

    Attributes:
        crashes: Crashes from which on a request can be quarantined, two or more.
        initial_quarantine: Duration of the first quarantine.
        max_quarantine: Longest duration, reached after further crashes.
        exempt: Digests that are never quarantined.
    """

    crashes: int = 3
    initial_quarantine: datetime.timedelta = datetime.timedelta(minutes=10)
    max_quarantine: datetime.timedelta = datetime.timedelta(days=1)
    exempt: frozenset[digests.RequestDigest] = frozenset()

    def stricter(self, further: int) -> "Policy":
        """Return the policy that asks for some more crashes."""
        return dataclasses.replace(self, crashes=self.crashes + further)

    def duration(self, crashes: int) -> datetime.timedelta:
        """Return the duration of a quarantine, counted from the request's last crash.

        An innocent request with three coincident crashes is cleared when it may run
        again. A request that crashes a server each time must soon be stopped, so the
        duration grows with each further crash.
        """
        further = crashes - self.crashes
        if further >= crash_evidence.MAX_AMBIGUOUS_CRASHES:
            return self.max_quarantine
        return min(
            self.max_quarantine,
            self.initial_quarantine * math.pow(_QUARANTINE_GROWTH, further),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """A request that may not run for now.

    Attributes:
        crashed_servers: Servers that crashed while they ran it.
        remaining: How much longer it is blocked.
        confirmed: It is in quarantine; otherwise reports from peers may still clear it.
    """

    crashed_servers: tuple[servers.Incarnation, ...]
    remaining: datetime.timedelta
    confirmed: bool


@dataclasses.dataclass(slots=True)
class _Suspect:
    crashes: dict[servers.Incarnation, crash_evidence.SuspectedCrash] = (
        dataclasses.field(default_factory=dict)
    )

    def uncleared(self) -> list[crash_evidence.SuspectedCrash]:
        return [crash for crash in self.crashes.values() if not crash.cleared]

    def last_crash_at(self) -> datetime.timedelta:
        return max(crash.at for crash in self.crashes.values())


class CrashSuspects:
    """Requests with recent suspected crashes, over all instances.

    Args:
        policy: When and for how long a request is quarantined.
    """

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self._suspects: dict[digests.RequestDigest, _Suspect] = {}
        self._by_server: dict[servers.Incarnation, set[digests.RequestDigest]] = {}
        # The few with more than one crash; only these can be close to quarantine.
        self._repeated: set[digests.RequestDigest] = set()

    def add(
        self, received: crash_evidence.SuspectedCrash, now: datetime.timedelta
    ) -> crash_evidence.SuspectedCrash | None:
        """Record a suspected crash, seen here or reported by a peer.

        Returns:
            The record to send to peers if it is new to this instance or to the sender;
            None if no peer needs it.
        """
        suspect = self._suspects.setdefault(received.digest, _Suspect())
        known = suspect.crashes.get(received.server)
        if known is not None and (known.cleared or not received.cleared):
            # The peer missed the clearing, so it is sent again.
            return known if known.cleared and not received.cleared else None
        suspect.crashes[received.server] = received
        self._by_server.setdefault(received.server, set()).add(received.digest)
        if len(suspect.crashes) >= _REPEATED:
            self._repeated.add(received.digest)
        self._limit_memory(now)
        return received

    def has_crashed(
        self, server: servers.Incarnation, before: datetime.timedelta
    ) -> bool:
        """Tell whether a server has an uncleared crash before a moment."""
        return any(crash.at < before for crash in self._uncleared_crashes_of(server))

    def merge(
        self,
        reports: abc.Iterable[crash_evidence.SuspectedCrash],
        now: datetime.timedelta,
    ) -> list[crash_evidence.SuspectedCrash]:
        """Merge a peer's reports; returns the records to pass on.

        All crashes of a quarantined request arrive together. Records that have expired
        by this instance's clock are removed again; otherwise peers would pass them back
        and forth forever.
        """
        taken = [self.add(received, now) for received in reports]
        found = [known for known in taken if known is not None]
        self._remove_expired({known.digest for known in found}, now)
        return [known for known in found if known.digest in self._suspects]

    def crash_count(self, digest: digests.RequestDigest) -> int:
        """Return the number of uncleared crashes of a request."""
        suspect = self._suspects.get(digest)
        return 0 if suspect is None else len(suspect.uncleared())

    def verdict(
        self, digest: digests.RequestDigest, now: datetime.timedelta
    ) -> Verdict | None:
        """Return why and how long a request is blocked; None if it may run."""
        suspect = self._suspects.get(digest)
        if suspect is None or digest in self.policy.exempt:
            return None
        uncleared = suspect.uncleared()
        if len(uncleared) < self.policy.crashes:
            return None
        elapsed = now - max(crash.at for crash in uncleared)
        names = tuple(crash.server for crash in uncleared)
        if elapsed < DISSEMINATION_TIME:
            return Verdict(names, DISSEMINATION_TIME - elapsed, confirmed=False)
        left = self.policy.duration(len(uncleared)) - elapsed
        if left <= datetime.timedelta():
            return None
        if not crash_evidence.is_likely_cause(uncleared, self, self.policy.crashes):
            return None
        return Verdict(names, left, confirmed=True)

    def completed(
        self, digest: digests.RequestDigest
    ) -> list[crash_evidence.SuspectedCrash]:
        """Record that a request completed; returns the crashes that this clears."""
        suspect = self._suspects.get(digest)
        return [] if suspect is None else self._clear(suspect.uncleared())

    def answered(
        self, server: servers.Incarnation, since: datetime.timedelta
    ) -> list[crash_evidence.SuspectedCrash]:
        """Record that a server answered an exchange; returns the cleared crashes.

        Args:
            server: The incarnation that answered.
            since: When the exchange began. Crashes seen later stand, since the
                answer may already have been in transit.
        """
        found = [
            crash for crash in self._uncleared_crashes_of(server) if crash.at < since
        ]
        return self._clear(found, server_alive=True)

    def crashes_of_request(
        self, digest: digests.RequestDigest
    ) -> list[crash_evidence.SuspectedCrash]:
        """Return the suspected crashes of a request that are not cleared."""
        suspect = self._suspects.get(digest)
        return [] if suspect is None else suspect.uncleared()

    def crashes_of_server(
        self, server: servers.Incarnation
    ) -> list[crash_evidence.SuspectedCrash]:
        """Return the suspected crashes of all requests that a server ran."""
        crashes = (
            self._suspects[digest].crashes[server]
            for digest in self._by_server.get(server, ())
        )
        return [crash for crash in crashes if not crash.server_alive]

    def crashed_servers(self) -> abc.Iterable[servers.Incarnation]:
        """Return the servers with a suspected crash, cleared or not."""
        return self._by_server.keys()

    def repeated_crashes(self) -> list[list[crash_evidence.SuspectedCrash]]:
        """Return the crashes of each request that is in or close to quarantine."""
        found = (self._suspects[digest].uncleared() for digest in self._repeated)
        return [uncleared for uncleared in found if len(uncleared) >= _REPEATED]

    def quarantined(
        self, now: datetime.timedelta
    ) -> dict[digests.RequestDigest, Verdict]:
        """Return the requests that are in quarantine."""
        found = {digest: self.verdict(digest, now) for digest in self._repeated}
        return {
            digest: verdict
            for digest, verdict in found.items()
            if verdict is not None and verdict.confirmed
        }

    def remove_expired(self, now: datetime.timedelta) -> None:
        """Remove expired records."""
        self._remove_expired(list(self._suspects), now)

    def _remove_expired(
        self, among: abc.Iterable[digests.RequestDigest], now: datetime.timedelta
    ) -> None:
        for digest in among:
            suspect = self._suspects.get(digest)
            if suspect is None:
                continue
            if now - suspect.last_crash_at() > self._lifetime(len(suspect.uncleared())):
                self._remove(digest)

    def _uncleared_crashes_of(
        self, server: servers.Incarnation
    ) -> list[crash_evidence.SuspectedCrash]:
        """Return the suspected crashes of a server that are not cleared."""
        crashes = (
            self._suspects[digest].crashes[server]
            for digest in self._by_server.get(server, ())
        )
        return [crash for crash in crashes if not crash.cleared]

    def _lifetime(self, crashes: int) -> datetime.timedelta:
        if crashes >= self.policy.crashes:
            return self.policy.max_quarantine
        return _SUSPECT_LIFETIME

    def _clear(
        self,
        crashes: abc.Iterable[crash_evidence.SuspectedCrash],
        *,
        server_alive: bool = False,
    ) -> list[crash_evidence.SuspectedCrash]:
        cleared = [
            dataclasses.replace(crash, cleared=True, server_alive=server_alive)
            for crash in crashes
        ]
        for crash in cleared:
            self._suspects[crash.digest].crashes[crash.server] = crash
        return cleared

    def _limit_memory(self, now: datetime.timedelta) -> None:
        """Evict requests above the bound, the fewest and oldest crashes first.

        Evicting by age alone would let a sender of many interrupted requests push out
        the record of one that crashes servers.
        """
        if len(self._suspects) <= MAX_DIGESTS:
            return
        self.remove_expired(now)
        suspects = self._suspects

        def weight(digest: digests.RequestDigest) -> tuple[int, datetime.timedelta]:
            return len(suspects[digest].uncleared()), suspects[digest].last_crash_at()

        excess = len(suspects) - math.floor(MAX_DIGESTS * (1 - _EVICTED_SHARE))
        for digest in sorted(suspects, key=weight)[: max(0, excess)]:
            self._remove(digest)

    def _remove(self, digest: digests.RequestDigest) -> None:
        self._repeated.discard(digest)
        for server in self._suspects.pop(digest).crashes:
            remaining_digests = self._by_server[server]
            remaining_digests.discard(digest)
            if not remaining_digests:
                del self._by_server[server]


def suspect_subset(
    digest: digests.RequestDigest,
    crashes: int,
    candidates: abc.Collection[servers.Incarnation],
) -> frozenset[servers.Incarnation]:
    """Return the servers that a suspect may use, the same at every instance.

    Args:
        digest: The suspect.
        crashes: Its number of crashes; each number gives another subset.
        candidates: Servers that take requests.
    """
    key = f"{digests.digest_text(digest)}/{crashes}"
    ranked = sorted(
        candidates, key=lambda server: rendezvous.rank(key, server.server_id)
    )
    return frozenset(ranked[: math.ceil(_SUBSET_SHARE * len(ranked))])
