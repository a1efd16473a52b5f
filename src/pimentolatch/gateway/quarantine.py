"""Quarantines requests that crash servers, on evidence shared with peers."""

import dataclasses
import datetime
import typing
from collections import abc

import logbook

from pimentolatch import clock
from pimentolatch.decisions import crash_evidence, crash_suspects, part_suspects
from pimentolatch.gateway import client_request
from pimentolatch.gateway.peers import crash_exchange
from pimentolatch.protocol import beacons
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["CrashReports", "Quarantine"]

_log = logbook.Logger("quarantine")
_REVIEW_INTERVAL = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReports:
    """Evidence to send to peers.

    Attributes:
        requests: Suspected crashes by request.
        parts: The same by part of a prompt.
    """

    requests: tuple[beacons.CrashReport, ...] = ()
    parts: tuple[beacons.CrashReport, ...] = ()


class Quarantine:
    """Collects evidence of crashes and decides which requests are quarantined.

    A quarantined request is not sent to any server.

    Args:
        policy: Rules by which a request is quarantined.
        time: Clock of this instance.
        grants_trials: Tells whether this instance, of all in the fleet, may let a
            request with a quarantined part through as a trial.
    """

    def __init__(
        self,
        policy: crash_suspects.Policy,
        time: clock.Clock,
        grants_trials: abc.Callable[[digests.RequestDigest], bool] = lambda part: False,
    ) -> None:
        self._grants_trials = grants_trials
        self._suspects = crash_suspects.CrashSuspects(policy)
        self._parts = part_suspects.PartSuspects(policy)
        self._clock = time
        self._exchange = crash_exchange.CrashExchange(self._suspects, time)
        self._part_exchange = crash_exchange.CrashExchange(self._parts, time)
        self._logged: set[digests.RequestDigest] = set()
        self._logged_parts: set[digests.RequestDigest] = set()

    @property
    def size(self) -> int:
        """Number of requests in quarantine."""
        return len(self._suspects.quarantined(self._clock.monotonic()))

    @property
    def part_count(self) -> int:
        """Number of parts of prompts in quarantine."""
        return len(self._parts.quarantined(self._clock.monotonic()))

    def set_partial_view(self, partial: bool) -> None:
        """Set whether evidence from peers has to be forwarded.

        That is so if there are instances that exchange no beacons with each other.
        """
        self._exchange.partial_view = partial
        self._part_exchange.partial_view = partial

    def apply(self, policy: crash_suspects.Policy) -> None:
        """Replace the policy; the evidence stays."""
        self._suspects.policy = policy
        self._parts.policy = policy

    def verdict(
        self, request: client_request.ClientRequest
    ) -> crash_suspects.Verdict | None:
        """Return why a request is quarantined; None if it may run."""
        now = self._clock.monotonic()
        verdict = self._suspects.verdict(request.digest, now)
        if verdict is not None:
            return verdict
        for part in request.part_digests:
            verdict = self._parts.verdict(part, now)
            if verdict is not None and not self._is_on_trial(part, request, now):
                return verdict
        return None

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

    def _is_on_trial(
        self,
        part: digests.RequestDigest,
        request: client_request.ClientRequest,
        now: datetime.timedelta,
    ) -> bool:
        return self._grants_trials(part) and self._parts.is_on_trial(
            part, request.digest, now
        )

    def record_crash(
        self,
        request: client_request.ClientRequest,
        server: servers.Server,
        begun: datetime.timedelta,
        *,
        proven: bool = False,
    ) -> None:
        """Record that a server's connection ended while it ran a request.

        Args:
            request: The request.
            server: The server.
            begun: When the request was sent. A request that was sent over a pooled
                connection to a server that had already crashed is not the cause.
            proven: The server had answered the parts of its prompt for a while, so
                none of these is the cause.
        """
        now = self._clock.monotonic()
        if not self._suspects.has_crashed(server.incarnation, begun):
            pair = _pair(request.digest, server, begun, now)
            self._exchange.enqueue(_known(self._suspects.add(pair, now)))
        if self._parts.has_crashed(server.incarnation, begun):
            return
        for part in request.part_digests:
            pair = _pair(part, server, begun, now, cleared=proven)
            self._part_exchange.enqueue(_known(self._parts.add(pair, now)))
            self._parts.end_trial(part)

    def record_response(
        self, server: servers.Server, since: datetime.timedelta
    ) -> None:
        """Record that a server has answered an exchange that began at `since`."""
        incarnation = server.incarnation
        self._exchange.enqueue(self._suspects.answered(incarnation, since))
        self._part_exchange.enqueue(self._parts.answered(incarnation, since))

    def record_completion(self, request: client_request.ClientRequest) -> None:
        """Record that a server has completed a request successfully."""
        self._exchange.enqueue(self._suspects.completed(request.digest))
        now = self._clock.monotonic()
        for part in request.part_digests:
            self._part_exchange.enqueue(self._parts.record_completion(part, now))

    def take_near(self) -> CrashReports:
        """Return the evidence to send to near peers."""
        return CrashReports(self._exchange.take_near(), self._part_exchange.take_near())

    def take_far(self) -> CrashReports:
        """Return the evidence to send to peers in other failure domains."""
        return CrashReports(self._exchange.take_far(), self._part_exchange.take_far())

    def receive(self, reports: CrashReports) -> None:
        """Apply the evidence that a peer has sent."""
        self._exchange.receive(reports.requests)
        self._part_exchange.receive(reports.parts)

    async def review(self) -> None:
        """Expire evidence and log changes periodically; runs until cancelled."""
        while True:
            await self._clock.sleep(_REVIEW_INTERVAL)
            self.review_once()

    def review_once(self) -> None:
        """Expire evidence and log what enters or leaves quarantine."""
        now = self._clock.monotonic()
        for what, suspects, logged in (
            ("request", self._suspects, self._logged),
            ("part", self._parts, self._logged_parts),
        ):
            suspects.remove_expired(now)
            _log_changes(what, logged, suspects.quarantined(now))


def _pair(
    digest: digests.RequestDigest,
    server: servers.Server,
    begun: datetime.timedelta,
    now: datetime.timedelta,
    *,
    cleared: bool = False,
) -> crash_evidence.SuspectedCrash:
    return crash_evidence.SuspectedCrash(
        digest, server.incarnation, cleared, now, now - begun
    )


def _known(
    pair: crash_evidence.SuspectedCrash | None,
) -> list[crash_evidence.SuspectedCrash]:
    return [] if pair is None else [pair]


def _log_changes(
    what: str,
    logged: set[digests.RequestDigest],
    found: abc.Mapping[digests.RequestDigest, crash_suspects.Verdict],
) -> None:
    """Log the changes since the last call, and record what is logged."""
    for digest in logged - found.keys():
        _log.warn("quarantine ended", what=what, digest=digests.digest_text(digest))
    for digest in found.keys() - logged:
        verdict = found[digest]
        _log.warn(
            f"{what} quarantined",
            digest=digests.digest_text(digest),
            servers=[server.server_id for server in verdict.crashed_servers],
            for_s=round(verdict.remaining.total_seconds()),
        )
    logged.clear()
    logged.update(found)
