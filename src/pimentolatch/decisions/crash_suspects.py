"""Tells requests that end the servers that run them from those that run beside them.

Load pattern: a request ends each server that begins to run it and comes back every
second or two, under another id and at any instance. A dozen other requests lose their
server with it each time. Forgotten between attempts, it ends servers for as long as it
comes back. Counted alone, the requests beside it come into the same suspicion: sent
again at once they meet it on the next server too.

An instance sees only that its connection ended while a server ran a request, and that
is also how a cut link looks. So a suspicion is a pair of a request's digest and a
server's incarnation. Pairs are a set, which instances can merge in any order without
counting a crash twice. A pair is cleared, for good, when that incarnation answers an
exchange that began later, or when the request runs to its end anywhere: with success,
since a failure may be answered before it begins, and not for a prompt that was only
prefilled. A request with three pairs left is in quarantine if it is the likely cause of
these ends (`crash_evidence`).

Until then a suspect uses only a part of the servers, drawn by its digest and the number
of its crashes. Two suspects of one crash seldom draw the same part twice, so the ones
that are innocent run to their end away from the one that is not.
"""

import dataclasses
import datetime
import math
from collections import abc

from pimentolatch.decisions import crash_evidence, subset
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["CrashSuspects", "Policy", "Verdict", "suspect_subset"]

# A suspect that does not come back within this is forgotten.
_SUSPECT_LIFETIME = datetime.timedelta(minutes=10)
# Digests that are remembered; 600 bytes each.
MAX_DIGESTS = 4000
# Share of them that is dropped at once when there are too many.
_EVICTED_SHARE = 0.1
# Crashes from which on a request is told of again and again, since an instance that
# has just started, or was cut off, has not heard of it.
_REPEATED = 2
# News of servers' ends reach a fleet of hundreds within two seconds and most of it in
# half of that. Until then a request that seems guilty is held off, not judged.
_DISSEMINATION_TIME = datetime.timedelta(milliseconds=1500)
# Each end after a quarantine makes the next one so many times longer.
_QUARANTINE_GROWTH = 6
# Share of the servers that a suspect may use.
_SUBSET_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """When a request is kept from all servers.

    Attributes:
        crashes: Servers that must have ended under it, two or more.
        first: How long it is kept from servers when it has just been found guilty.
        quarantine: The same after further servers have ended under it.
        exempt: Digests that are never kept from servers.
    """

    crashes: int = 3
    initial_quarantine: datetime.timedelta = datetime.timedelta(minutes=10)
    max_quarantine: datetime.timedelta = datetime.timedelta(days=1)
    exempt: frozenset[digests.RequestDigest] = frozenset()

    def duration(self, ends: int) -> datetime.timedelta:
        """Return how long a request is kept from servers after its last end.

        An innocent request with three ends by coincidence is found out when it may run
        again. One that ends a server each time must soon stop to do so.
        """
        further = ends - self.crashes
        if further >= crash_evidence.MAX_AMBIGUOUS_CRASHES:
            return self.max_quarantine
        return min(
            self.max_quarantine,
            self.initial_quarantine * math.pow(_QUARANTINE_GROWTH, further),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """A request is kept from servers.

    Attributes:
        ended: Servers that ended under it.
        left: How much longer it is kept from servers.
        settled: It is in quarantine; else what peers have seen may clear it yet.
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
    """The requests under which servers have ended lately, over all instances.

    Args:
        policy: When a request is kept from servers.
    """

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self._suspects: dict[digests.RequestDigest, _Suspect] = {}
        self._by_server: dict[servers.Incarnation, set[digests.RequestDigest]] = {}
        # The few with more than one pair, which alone can be near quarantine.
        self._repeated: set[digests.RequestDigest] = set()

    def add(
        self, received: crash_evidence.SuspectedCrash, now: datetime.timedelta
    ) -> crash_evidence.SuspectedCrash | None:
        """Take a suspicion, seen here or told by a peer.

        Returns:
            What is known now if it differs from what was heard or known before, to be
            told to peers; None if nobody needs to hear of it.
        """
        suspect = self._suspects.setdefault(received.digest, _Suspect())
        known = suspect.crashes.get(received.server)
        if known is not None and (known.cleared or not received.cleared):
            # A peer that missed the clearing is told of it again.
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
        """Tell whether a server seems to have ended before a moment."""
        return any(crash.at < before for crash in self._uncleared_crashes_of(server))

    def merge(
        self,
        reports: abc.Iterable[crash_evidence.SuspectedCrash],
        now: datetime.timedelta,
    ) -> list[crash_evidence.SuspectedCrash]:
        """Take what a peer tells; returns what is to be told to others.

        All pairs of a request that is in quarantine come together. What has expired
        by the clock of this instance is dropped again, or it would be told to and fro
        for ever.
        """
        taken = [self.add(received, now) for received in reports]
        found = [known for known in taken if known is not None]
        self._remove_expired({known.digest for known in found}, now)
        return [known for known in found if known.digest in self._suspects]

    def crash_count(self, digest: digests.RequestDigest) -> int:
        """Return under how many servers' ends a request is suspected."""
        suspect = self._suspects.get(digest)
        return 0 if suspect is None else len(suspect.uncleared())

    def verdict(
        self, digest: digests.RequestDigest, now: datetime.timedelta
    ) -> Verdict | None:
        """Return whether a request is in quarantine; None if it may run."""
        suspect = self._suspects.get(digest)
        if suspect is None or digest in self.policy.exempt:
            return None
        uncleared = suspect.uncleared()
        if len(uncleared) < self.policy.crashes:
            return None
        elapsed = now - max(crash.at for crash in uncleared)
        names = tuple(crash.server for crash in uncleared)
        if elapsed < _DISSEMINATION_TIME:
            return Verdict(names, _DISSEMINATION_TIME - elapsed, confirmed=False)
        left = self.policy.duration(len(uncleared)) - elapsed
        if left <= datetime.timedelta():
            return None
        if not crash_evidence.is_likely_cause(uncleared, self, self.policy.crashes):
            return None
        return Verdict(names, left, confirmed=True)

    def completed(
        self, digest: digests.RequestDigest
    ) -> list[crash_evidence.SuspectedCrash]:
        """Note that a request ran to its end; returns what that clears."""
        suspect = self._suspects.get(digest)
        return [] if suspect is None else self._clear(suspect.uncleared())

    def answered(
        self, server: servers.Incarnation, since: datetime.timedelta
    ) -> list[crash_evidence.SuspectedCrash]:
        """Note that a server answered an exchange; returns what that clears.

        Args:
            server: The incarnation that answered.
            since: When the exchange began; ends that were seen later stand, since an
                answer may have been on its way already.
        """
        found = [
            crash for crash in self._uncleared_crashes_of(server) if crash.at < since
        ]
        return self._clear(found, server_alive=True)

    def crashes_of_request(
        self, digest: digests.RequestDigest
    ) -> list[crash_evidence.SuspectedCrash]:
        """Return the pairs of a request that are not cleared."""
        suspect = self._suspects.get(digest)
        return [] if suspect is None else suspect.uncleared()

    def crashes_of_server(
        self, server: servers.Incarnation
    ) -> list[crash_evidence.SuspectedCrash]:
        """Return the pairs of all requests that a server's end broke off."""
        crashes = (
            self._suspects[digest].crashes[server]
            for digest in self._by_server.get(server, ())
        )
        return [crash for crash in crashes if not crash.server_alive]

    def crashed_servers(self) -> abc.Iterable[servers.Incarnation]:
        """Return the servers under whose ends any request is or was suspected."""
        return self._by_server.keys()

    def repeated_crashes(self) -> list[list[crash_evidence.SuspectedCrash]]:
        """Return the pairs of each request that is in or close to quarantine."""
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
        """Drop what has expired."""
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
        """Return the pairs of a server that are not cleared."""
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
        """Keep the memory bounded; the oldest of the least suspected leave first.

        Otherwise whoever sends many requests that break off could have one forgotten
        that has ended servers.
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
    """Return the servers that a suspect may use, alike at every instance.

    Args:
        digest: The suspect.
        crashes: Under how many servers' ends it is suspected; another part each time.
        candidates: Servers that take requests.
    """
    key = f"{digests.digest_text(digest)}/{crashes}"
    ranked = sorted(candidates, key=lambda server: subset.rank(key, server.server_id))
    return frozenset(ranked[: math.ceil(_SUBSET_SHARE * len(ranked))])
