"""Keeps requests under which servers have ended from the others, with the peers."""

import datetime
import math
import typing
from collections import abc

import logbook

from pimentolatch import clock
from pimentolatch.decisions import crash_evidence, crash_notices, crash_suspects
from pimentolatch.gateway import inbound
from pimentolatch.protocol import beacons
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["Quarantine"]

_log = logbook.Logger("quarantine")
# Pairs in one beacon, some twenty bytes each.
_TOLD = 24
# Requests in or close to quarantine of which one beacon tells besides, in turn.
_SERIOUS_TOLD = 2
# How often each pair is told: datagrams get lost.
_TIMES_TOLD = 3

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
        self._near = crash_notices.CrashNoticeQueue(_TIMES_TOLD)
        self._far = crash_notices.CrashNoticeQueue(_TIMES_TOLD)
        self._turn = 0
        self._logged: set[digests.RequestDigest] = set()
        self.partly_heard = False

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
        return self._suspects.crash_count(asked.digest) > 0

    def avoided(
        self, asked: inbound.Inbound, candidates: typing.Iterable[servers.Server]
    ) -> frozenset[servers.Incarnation]:
        """Return the servers that a request leaves to others while it is a suspect."""
        crashes = self._suspects.crash_count(asked.digest)
        if not crashes:
            return frozenset()
        found = {server.incarnation for server in candidates}
        return frozenset(found) - crash_suspects.suspect_subset(
            asked.digest, crashes, found
        )

    def server_ended(
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
        if self._suspects.has_crashed(server.incarnation, begun):
            return
        now = self._clock.monotonic()
        pair = crash_evidence.SuspectedCrash(
            asked.digest, server.incarnation, False, now, now - begun
        )
        known = self._suspects.add(pair, now)
        if known is not None:
            self._tell([known])

    def answered(self, server: servers.Server, since: datetime.timedelta) -> None:
        """Note that a server has answered an exchange that began at a moment."""
        self._tell(self._suspects.answered(server.incarnation, since))

    def completed(self, asked: inbound.Inbound) -> None:
        """Note that a server has run a request to its end, with success."""
        self._tell(self._suspects.completed(asked.digest))

    def take_near(self) -> tuple[beacons.Suspicion, ...]:
        """Return what near peers are to be told."""
        news = self._near.take(_TOLD, self._suspects.crash_count)
        return self._rows(news + self._in_turn())

    def take_far(self) -> tuple[beacons.Suspicion, ...]:
        """Return what peers of other failure domains are to be told."""
        news = self._far.take(_TOLD, self._suspects.crash_count)
        return self._rows(news + self._in_turn())

    def take(self, told: typing.Iterable[beacons.Suspicion]) -> None:
        """Take what a peer tells."""
        now = self._clock.monotonic()
        pairs = [
            crash_evidence.SuspectedCrash(
                row.digest,
                row.server,
                row.cleared,
                now - row.age_ms * _MILLISECOND,
                row.lasted_ms * _MILLISECOND,
                row.server_lives,
            )
            for row in told
        ]
        fresh = self._suspects.merge(pairs, now)
        # A peer that missed a clearing is told of it in any fleet.
        if not self.partly_heard:
            fresh = [pair for pair in fresh if pair not in pairs]
        self._tell(fresh)

    async def review(self) -> None:
        """Drop what has expired and log what has changed, for ever."""
        while True:
            await self._clock.sleep(_REVIEW_INTERVAL)
            self.review_once()

    def review_once(self) -> None:
        """Drop what has expired and log what has changed."""
        now = self._clock.monotonic()
        self._suspects.remove_expired(now)
        self._log_changes(self._suspects.quarantined(now))

    def _tell(self, pairs: typing.Iterable[crash_evidence.SuspectedCrash]) -> None:
        for pair in pairs:
            self._near.add(pair)
            self._far.add(pair)

    def _in_turn(self) -> list[crash_evidence.SuspectedCrash]:
        """Return some requests with all their pairs, others each time."""
        serious = self._suspects.repeated_crashes()
        if not serious:
            return []
        self._turn += _SERIOUS_TOLD
        chosen = {(self._turn + n) % len(serious) for n in range(_SERIOUS_TOLD)}
        return [pair for number in chosen for pair in serious[number]]

    def _rows(
        self, pairs: typing.Iterable[crash_evidence.SuspectedCrash]
    ) -> tuple[beacons.Suspicion, ...]:
        now = self._clock.monotonic()
        # Rounded up: an age that shrank on each way would never expire.
        return tuple(
            beacons.Suspicion(
                pair.digest,
                pair.server,
                pair.cleared,
                max(0, math.ceil((now - pair.at) / _MILLISECOND)),
                math.ceil(pair.ran_for / _MILLISECOND),
                pair.server_alive,
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
                servers=[server.server_id for server in verdict.crashed_servers],
                for_s=round(verdict.remaining.total_seconds()),
            )
        self._logged = set(found)
