"""Keeps requests under which servers have ended from the others, with the peers."""

import datetime
import math
import typing
from collections import abc

import logbook

from pimentolatch import clock
from pimentolatch.decisions import crash_evidence, crash_news, crash_suspects
from pimentolatch.gateway import inbound
from pimentolatch.protocol import beacons
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["Quarantine"]

_log = logbook.Logger("quarantine")
# Pairs in one beacon, some twenty bytes each.
_MAX_PAIRS = 24
# Requests in or close to quarantine of which one beacon tells besides, in turn.
_MAX_SERIOUS = 2
# How often each pair is told: datagrams get lost.
_SEND_COUNT = 3

_MILLISECOND = datetime.timedelta(milliseconds=1)
_REVIEW_INTERVAL = datetime.timedelta(seconds=1)


class Quarantine:
    """What one instance makes of the ends of servers, and tells its peers of them.

    Args:
        policy: When a request is kept from servers.
        time: Clock of this instance.

    Attributes:
        partly_heard: Not everybody hears everybody, so what peers tell is passed on.
    """

    def __init__(self, policy: crash_suspects.Policy, time: clock.Clock) -> None:
        self._suspects = crash_suspects.CrashSuspects(policy)
        self._clock = time
        self._near = crash_news.CrashNews(_SEND_COUNT)
        self._far = crash_news.CrashNews(_SEND_COUNT)
        self._turn = 0
        self._logged: set[digests.RequestDigest] = set()
        self.partial_mesh = False

    @property
    def size(self) -> int:
        """Requests that are kept from servers now."""
        return len(self._suspects.quarantined(self._clock.monotonic()))

    def apply(self, policy: crash_suspects.Policy) -> None:
        """Put another policy in force; what is known stays known."""
        self._suspects.policy = policy

    def verdict(self, asked: inbound.Inbound) -> crash_suspects.Verdict | None:
        """Return whether a request is kept from servers; None if it may run."""
        return self._suspects.verdict(asked.digest, self._clock.monotonic())

    def is_suspect(self, asked: inbound.Inbound) -> bool:
        """Tell whether servers have ended under a request."""
        return self._suspects.crashes(asked.digest) > 0

    def avoided(
        self, asked: inbound.Inbound, candidates: typing.Iterable[servers.Server]
    ) -> frozenset[servers.Incarnation]:
        """Return the servers that a request leaves to others while it is a suspect."""
        crashes = self._suspects.crashes(asked.digest)
        if not crashes:
            return frozenset()
        found = {server.incarnation for server in candidates}
        return frozenset(found) - crash_suspects.own_part(asked.digest, crashes, found)

    def record_crash(
        self,
        asked: inbound.Inbound,
        server: servers.Server,
        begun: datetime.timedelta,
    ) -> None:
        """Note that a server's connection ended while it ran a request.

        Args:
            asked: The request.
            server: The server.
            begun: When the request was sent there. One that was sent to a server which
                had ended already, over a kept connection, has not ended it.
        """
        if self._suspects.has_ended(server.incarnation, begun):
            return
        now = self._clock.monotonic()
        pair = crash_evidence.Suspicion(
            asked.digest, server.incarnation, False, now, now - begun
        )
        known = self._suspects.add(pair, now)
        if known is not None:
            self._enqueue([known])

    def record_response(
        self, server: servers.Server, since: datetime.timedelta
    ) -> None:
        """Note that a server has answered an exchange that began at a moment."""
        self._enqueue(self._suspects.answered(server.incarnation, since))

    def record_completion(self, asked: inbound.Inbound) -> None:
        """Note that a server has run a request to its end, with success."""
        self._enqueue(self._suspects.completed(asked.digest))

    def take_near(self) -> tuple[beacons.Suspicion, ...]:
        """Return what near peers are to be told."""
        news = self._near.take(_MAX_PAIRS, self._suspects.crashes)
        return self._rows(news + self._next_serious())

    def take_far(self) -> tuple[beacons.Suspicion, ...]:
        """Return what peers of other failure domains are to be told."""
        news = self._far.take(_MAX_PAIRS, self._suspects.crashes)
        return self._rows(news + self._next_serious())

    def receive(self, rows: typing.Iterable[beacons.Suspicion]) -> None:
        """Take what a peer tells."""
        now = self._clock.monotonic()
        pairs = [
            crash_evidence.Suspicion(
                row.digest,
                row.server,
                row.cleared,
                now - row.age_ms * _MILLISECOND,
                row.lasted_ms * _MILLISECOND,
                row.server_lives,
            )
            for row in rows
        ]
        fresh = self._suspects.merge(pairs, now)
        # A peer that missed a clearing is told of it in any fleet.
        if not self.partial_mesh:
            fresh = [pair for pair in fresh if pair not in pairs]
        self._enqueue(fresh)

    async def review(self) -> None:
        """Drop what has expired and log what has changed, for ever."""
        while True:
            await self._clock.sleep(_REVIEW_INTERVAL)
            self.review_once()

    def review_once(self) -> None:
        """Drop what has expired and log what has changed."""
        now = self._clock.monotonic()
        self._suspects.forget_old(now)
        self._log_changes(self._suspects.quarantined(now))

    def _enqueue(self, pairs: typing.Iterable[crash_evidence.Suspicion]) -> None:
        for pair in pairs:
            self._near.add(pair)
            self._far.add(pair)

    def _next_serious(self) -> list[crash_evidence.Suspicion]:
        """Return some requests with all their pairs, others each time."""
        serious = self._suspects.serious()
        if not serious:
            return []
        self._turn += _MAX_SERIOUS
        chosen = {(self._turn + n) % len(serious) for n in range(_MAX_SERIOUS)}
        return [pair for number in chosen for pair in serious[number]]

    def _rows(
        self, pairs: typing.Iterable[crash_evidence.Suspicion]
    ) -> tuple[beacons.Suspicion, ...]:
        now = self._clock.monotonic()
        # Rounded up: an age that shrank on each way would never expire.
        return tuple(
            beacons.Suspicion(
                pair.digest,
                pair.server,
                pair.cleared,
                max(0, math.ceil((now - pair.at) / _MILLISECOND)),
                math.ceil(pair.lasted / _MILLISECOND),
                pair.server_lives,
            )
            for pair in pairs
        )

    def _log_changes(
        self, found: abc.Mapping[digests.RequestDigest, crash_suspects.Verdict]
    ) -> None:
        for digest in self._logged - found.keys():
            _log.warn("quarantine ended", digest=digests.digest_text(digest))
        for digest in found.keys() - self._logged:
            verdict = found[digest]
            _log.warn(
                "request quarantined",
                digest=digests.digest_text(digest),
                servers=[server.server_id for server in verdict.ended],
                for_s=round(verdict.left.total_seconds()),
            )
        self._logged = set(found)
