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

from pimentolatch.decisions import crash_evidence, rendezvous
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["CrashSuspects", "Policy", "Verdict", "own_part"]

# A suspect that does not come back within this is forgotten.
_SUSPECT_LIFETIME = datetime.timedelta(minutes=10)
# Digests that are remembered; 600 bytes each.
MOST_DIGESTS = 4000
# Share of them that is dropped at once when there are too many.
_DROPPED_SHARE = 0.1
# Crashes from which on a request is told of again and again, since an instance that
# has just started, or was cut off, has not heard of it.
_SERIOUS = 2
# News of servers' ends reach a fleet of hundreds within two seconds and most of it in
# half of that. Until then a request that seems guilty is held off, not judged.
_SETTLING = datetime.timedelta(milliseconds=1500)
# Each end after a quarantine makes the next one so many times longer.
_GROWTH = 6
# Share of the servers that a suspect may use.
_OWN_SHARE = 0.25


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
    first: datetime.timedelta = datetime.timedelta(minutes=10)
    quarantine: datetime.timedelta = datetime.timedelta(days=1)
    exempt: frozenset[digests.RequestDigest] = frozenset()

    def duration(self, ends: int) -> datetime.timedelta:
        """Return how long a request is kept from servers after its last end.

        An innocent request with three ends by coincidence is found out when it may run
        again. One that ends a server each time must soon stop to do so.
        """
        further = ends - self.crashes
        if further >= crash_evidence.MOST_DOUBTED:
            return self.quarantine
        return min(self.quarantine, self.first * math.pow(_GROWTH, further))


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """A request is kept from servers.

    Attributes:
        ended: Servers that ended under it.
        left: How much longer it is kept from servers.
        settled: It is in quarantine; else what peers have seen may clear it yet.
    """

    ended: tuple[servers.Incarnation, ...]
    left: datetime.timedelta
    settled: bool


@dataclasses.dataclass(slots=True)
class _Suspect:
    crashes: dict[servers.Incarnation, crash_evidence.Suspicion] = dataclasses.field(
        default_factory=dict
    )

    def ended(self) -> list[crash_evidence.Suspicion]:
        return [crash for crash in self.crashes.values() if not crash.cleared]

    def last(self) -> datetime.timedelta:
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
        self, heard: crash_evidence.Suspicion, now: datetime.timedelta
    ) -> crash_evidence.Suspicion | None:
        """Take a suspicion, seen here or told by a peer.

        Returns:
            What is known now if it differs from what was heard or known before, to be
            told to peers; None if nobody needs to hear of it.
        """
        suspect = self._suspects.setdefault(heard.digest, _Suspect())
        known = suspect.crashes.get(heard.server)
        if known is not None and (known.cleared or not heard.cleared):
            # A peer that missed the clearing is told of it again.
            return known if known.cleared and not heard.cleared else None
        suspect.crashes[heard.server] = heard
        self._by_server.setdefault(heard.server, set()).add(heard.digest)
        if len(suspect.crashes) >= _SERIOUS:
            self._repeated.add(heard.digest)
        self._bound(now)
        return heard

    def has_ended(
        self, server: servers.Incarnation, before: datetime.timedelta
    ) -> bool:
        """Tell whether a server seems to have ended before a moment."""
        return any(crash.at < before for crash in self._ends_of(server))

    def merge(
        self, told: abc.Iterable[crash_evidence.Suspicion], now: datetime.timedelta
    ) -> list[crash_evidence.Suspicion]:
        """Take what a peer tells; returns what is to be told to others.

        All pairs of a request that is in quarantine come together. What has expired
        by the clock of this instance is dropped again, or it would be told to and fro
        for ever.
        """
        taken = [self.add(heard, now) for heard in told]
        found = [known for known in taken if known is not None]
        self._forget_expired({known.digest for known in found}, now)
        return [known for known in found if known.digest in self._suspects]

    def crashes(self, digest: digests.RequestDigest) -> int:
        """Return under how many servers' ends a request is suspected."""
        suspect = self._suspects.get(digest)
        return 0 if suspect is None else len(suspect.ended())

    def verdict(
        self, digest: digests.RequestDigest, now: datetime.timedelta
    ) -> Verdict | None:
        """Return whether a request is in quarantine; None if it may run."""
        suspect = self._suspects.get(digest)
        if suspect is None or digest in self.policy.exempt:
            return None
        ended = suspect.ended()
        if len(ended) < self.policy.crashes:
            return None
        passed = now - max(crash.at for crash in ended)
        names = tuple(crash.server for crash in ended)
        if passed < _SETTLING:
            return Verdict(names, _SETTLING - passed, settled=False)
        left = self.policy.duration(len(ended)) - passed
        if left <= datetime.timedelta():
            return None
        if not crash_evidence.is_cause(ended, self, self.policy.crashes):
            return None
        return Verdict(names, left, settled=True)

    def completed(
        self, digest: digests.RequestDigest
    ) -> list[crash_evidence.Suspicion]:
        """Note that a request ran to its end; returns what that clears."""
        suspect = self._suspects.get(digest)
        return [] if suspect is None else self._clear(suspect.ended())

    def answered(
        self, server: servers.Incarnation, since: datetime.timedelta
    ) -> list[crash_evidence.Suspicion]:
        """Note that a server answered an exchange; returns what that clears.

        Args:
            server: The incarnation that answered.
            since: When the exchange began; ends that were seen later stand, since an
                answer may have been on its way already.
        """
        found = [crash for crash in self._ends_of(server) if crash.at < since]
        return self._clear(found, server_lives=True)

    def ended_under(
        self, digest: digests.RequestDigest
    ) -> list[crash_evidence.Suspicion]:
        """Return the pairs of a request that are not cleared."""
        suspect = self._suspects.get(digest)
        return [] if suspect is None else suspect.ended()

    def victims(self, server: servers.Incarnation) -> list[crash_evidence.Suspicion]:
        """Return the pairs of all requests that a server's end broke off."""
        pairs = (
            self._suspects[digest].crashes[server]
            for digest in self._by_server.get(server, ())
        )
        return [pair for pair in pairs if not pair.server_lives]

    def ended_servers(self) -> abc.Iterable[servers.Incarnation]:
        """Return the servers under whose ends any request is or was suspected."""
        return self._by_server.keys()

    def serious(self) -> list[list[crash_evidence.Suspicion]]:
        """Return the pairs of each request that is in or close to quarantine."""
        found = (self._suspects[digest].ended() for digest in self._repeated)
        return [ended for ended in found if len(ended) >= _SERIOUS]

    def quarantined(
        self, now: datetime.timedelta
    ) -> dict[digests.RequestDigest, Verdict]:
        """Return the requests that are in quarantine."""
        found = {digest: self.verdict(digest, now) for digest in self._repeated}
        return {
            digest: verdict
            for digest, verdict in found.items()
            if verdict is not None and verdict.settled
        }

    def forget_old(self, now: datetime.timedelta) -> None:
        """Drop what has expired."""
        self._forget_expired(list(self._suspects), now)

    def _forget_expired(
        self, among: abc.Iterable[digests.RequestDigest], now: datetime.timedelta
    ) -> None:
        for digest in among:
            suspect = self._suspects.get(digest)
            if suspect is None:
                continue
            if now - suspect.last() > self._lifetime(len(suspect.ended())):
                self._drop(digest)

    def _ends_of(self, server: servers.Incarnation) -> list[crash_evidence.Suspicion]:
        """Return the pairs of a server that are not cleared."""
        pairs = (
            self._suspects[digest].crashes[server]
            for digest in self._by_server.get(server, ())
        )
        return [pair for pair in pairs if not pair.cleared]

    def _lifetime(self, crashes: int) -> datetime.timedelta:
        if crashes >= self.policy.crashes:
            return self.policy.quarantine
        return _SUSPECT_LIFETIME

    def _clear(
        self,
        crashes: abc.Iterable[crash_evidence.Suspicion],
        *,
        server_lives: bool = False,
    ) -> list[crash_evidence.Suspicion]:
        cleared = [
            dataclasses.replace(crash, cleared=True, server_lives=server_lives)
            for crash in crashes
        ]
        for crash in cleared:
            self._suspects[crash.digest].crashes[crash.server] = crash
        return cleared

    def _bound(self, now: datetime.timedelta) -> None:
        """Keep the memory bounded; the oldest of the least suspected leave first.

        Otherwise whoever sends many requests that break off could have one forgotten
        that has ended servers.
        """
        if len(self._suspects) <= MOST_DIGESTS:
            return
        self.forget_old(now)
        suspects = self._suspects

        def weight(digest: digests.RequestDigest) -> tuple[int, datetime.timedelta]:
            return len(suspects[digest].ended()), suspects[digest].last()

        over = len(suspects) - math.floor(MOST_DIGESTS * (1 - _DROPPED_SHARE))
        for digest in sorted(suspects, key=weight)[: max(0, over)]:
            self._drop(digest)

    def _drop(self, digest: digests.RequestDigest) -> None:
        self._repeated.discard(digest)
        for server in self._suspects.pop(digest).crashes:
            digests_there = self._by_server[server]
            digests_there.discard(digest)
            if not digests_there:
                del self._by_server[server]


def own_part(
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
    lot = f"{digests.digest_text(digest)}/{crashes}"
    ranked = sorted(
        candidates, key=lambda server: rendezvous.rank(lot, server.server_id)
    )
    return frozenset(ranked[: math.ceil(_OWN_SHARE * len(ranked))])
