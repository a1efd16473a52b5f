"""Quarantines requests that crash servers, on evidence shared with peers."""

import datetime
import math
import typing
from collections import abc

import logbook

from pimentolatch import clock
from pimentolatch.decisions import crash_evidence, crash_notices, crash_suspects
from pimentolatch.gateway import client_request
from pimentolatch.protocol import beacons
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["Quarantine"]

_log = logbook.Logger("quarantine")
# Suspected crashes (request, server) in one beacon, some twenty bytes each.
_MAX_PAIRS = 24
# Requests in or close to quarantine whose suspected crashes are added to each beacon,
# in rotation.
_MAX_REPEATED = 2
# How often each suspected crash is sent, since datagrams may be lost.
_SEND_COUNT = 3

_MILLISECOND = datetime.timedelta(milliseconds=1)
_REVIEW_INTERVAL = datetime.timedelta(seconds=1)


class Quarantine:
    """Collects evidence of crashes and decides which requests are quarantined.

    A quarantined request is not sent to any server.

    Args:
        policy: Rules by which a request is quarantined.
        time: Clock of this instance.

    Attributes:
        partial_view: Whether there are instances that exchange no beacons with each
            other, so that evidence from peers has to be forwarded.
    """

    def __init__(self, policy: crash_suspects.Policy, time: clock.Clock) -> None:
        self._suspects = crash_suspects.CrashSuspects(policy)
        self._clock = time
        self._near = crash_notices.CrashNoticeQueue(_SEND_COUNT)
        self._far = crash_notices.CrashNoticeQueue(_SEND_COUNT)
        self._turn = 0
        self._logged: set[digests.RequestDigest] = set()
        self.partial_view = False

    @property
    def size(self) -> int:
        """Number of requests in quarantine."""
        return len(self._suspects.quarantined(self._clock.monotonic()))

    def apply(self, policy: crash_suspects.Policy) -> None:
        """Replace the policy; the evidence stays."""
        self._suspects.policy = policy

    def verdict(
        self, request: client_request.ClientRequest
    ) -> crash_suspects.Verdict | None:
        """Return why a request is quarantined; None if it may run."""
        return self._suspects.verdict(request.digest, self._clock.monotonic())

    def is_suspect(self, request: client_request.ClientRequest) -> bool:
        """Tell whether servers have crashed while they ran a request."""
        return self._suspects.crash_count(request.digest) > 0

    def avoided(
        self,
        request: client_request.ClientRequest,
        candidates: typing.Iterable[servers.Server],
    ) -> frozenset[servers.Incarnation]:
        """Return the servers that are not to run a request while it is a suspect."""
        crashes = self._suspects.crash_count(request.digest)
        if not crashes:
            return frozenset()
        found = {server.incarnation for server in candidates}
        return frozenset(found) - crash_suspects.suspect_subset(
            request.digest, crashes, found
        )

    def record_crash(
        self,
        request: client_request.ClientRequest,
        server: servers.Server,
        begun: datetime.timedelta,
    ) -> None:
        """Record that a server's connection ended while it ran a request.

        Args:
            request: The request.
            server: The server.
            begun: When the request was sent. A request that was sent over a pooled
                connection to a server that had already crashed is not the cause.
        """
        if self._suspects.has_crashed(server.incarnation, begun):
            return
        now = self._clock.monotonic()
        pair = crash_evidence.SuspectedCrash(
            request.digest, server.incarnation, False, now, now - begun
        )
        known = self._suspects.add(pair, now)
        if known is not None:
            self._enqueue([known])

    def record_response(
        self, server: servers.Server, since: datetime.timedelta
    ) -> None:
        """Record that a server has answered an exchange that began at `since`."""
        self._enqueue(self._suspects.answered(server.incarnation, since))

    def record_completion(self, request: client_request.ClientRequest) -> None:
        """Record that a server has completed a request successfully."""
        self._enqueue(self._suspects.completed(request.digest))

    def take_near(self) -> tuple[beacons.CrashReport, ...]:
        """Return the evidence to send to near peers."""
        evidence = self._near.take(_MAX_PAIRS, self._suspects.crash_count)
        return self._rows(evidence + self._next_repeated())

    def take_far(self) -> tuple[beacons.CrashReport, ...]:
        """Return the evidence to send to peers in other failure domains."""
        evidence = self._far.take(_MAX_PAIRS, self._suspects.crash_count)
        return self._rows(evidence + self._next_repeated())

    def receive(self, rows: typing.Iterable[beacons.CrashReport]) -> None:
        """Apply the evidence that a peer has sent."""
        now = self._clock.monotonic()
        pairs = [
            crash_evidence.SuspectedCrash(
                row.digest,
                row.server,
                row.cleared,
                now - row.age_ms * _MILLISECOND,
                row.ran_for_ms * _MILLISECOND,
                row.server_alive,
            )
            for row in rows
        ]
        fresh = self._suspects.merge(pairs, now)
        # A clearing that the peer has missed is sent back to it in any fleet.
        if not self.partial_view:
            fresh = [pair for pair in fresh if pair not in pairs]
        self._enqueue(fresh)

    async def review(self) -> None:
        """Expire evidence and log changes periodically; runs until cancelled."""
        while True:
            await self._clock.sleep(_REVIEW_INTERVAL)
            self.review_once()

    def review_once(self) -> None:
        """Expire evidence and log the requests that enter or leave quarantine."""
        now = self._clock.monotonic()
        self._suspects.remove_expired(now)
        self._log_changes(self._suspects.quarantined(now))

    def _enqueue(self, pairs: typing.Iterable[crash_evidence.SuspectedCrash]) -> None:
        for pair in pairs:
            self._near.add(pair)
            self._far.add(pair)

    def _next_repeated(self) -> list[crash_evidence.SuspectedCrash]:
        """Return all suspected crashes of the next requests in the rotation."""
        repeated = self._suspects.repeated_crashes()
        if not repeated:
            return []
        self._turn += _MAX_REPEATED
        chosen = {(self._turn + n) % len(repeated) for n in range(_MAX_REPEATED)}
        return [pair for number in chosen for pair in repeated[number]]

    def _rows(
        self, pairs: typing.Iterable[crash_evidence.SuspectedCrash]
    ) -> tuple[beacons.CrashReport, ...]:
        now = self._clock.monotonic()
        # Rounded up: evidence whose age is rounded down at each hop would never expire.
        return tuple(
            beacons.CrashReport(
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
