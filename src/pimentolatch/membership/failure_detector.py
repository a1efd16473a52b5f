"""Failure detector: heartbeats, suspicion and its refutation, and flap damping.

Suspicion only affects which peers this instance queries, links to and relies on for
shared tasks such as watching the store. It never proves that a process has terminated:
a partitioned or paused process looks the same, and may still dispatch to an engine. For
proof of termination see `acknowledgements`.
"""

import dataclasses
import datetime

from pimentolatch import clock

__all__ = ["FailureDetector"]

_NEVER = datetime.timedelta(seconds=-1_000_000)
# Without damping, a flapping link would move tasks at each break. Each loss in this
# window doubles the time for which a peer must stay reachable before it counts as
# steady. The maximum keeps a repaired link from being excluded for long.
_FLAP_WINDOW = datetime.timedelta(seconds=60)
_MAX_PROBATION = datetime.timedelta(seconds=30)
_REMEMBERED_LOSSES = 8


@dataclasses.dataclass(slots=True)
class _Peer:
    failure_domain: str
    last_message: datetime.timedelta
    last_indirect: datetime.timedelta = _NEVER
    steady_since: datetime.timedelta = _NEVER
    losses: list[datetime.timedelta] = dataclasses.field(default_factory=list)


class FailureDetector:
    """Reachability of other incarnations, by the messages received.

    Args:
        suspect_after: Time without a message after which an incarnation is suspected.
    """

    def __init__(self, time: clock.Clock, suspect_after: datetime.timedelta) -> None:
        self._clock = time
        self._suspect_after = suspect_after
        self._peers: dict[str, _Peer] = {}

    def record_message(self, incarnation: str, failure_domain: str) -> None:
        """Record a message that was received from an incarnation directly."""
        now = self._clock.monotonic()
        peer = self._peers.get(incarnation)
        if peer is None:
            peer = self._peers[incarnation] = _Peer(
                failure_domain, now, steady_since=now
            )
        elif self._is_unresponsive(peer):
            self._record_loss(peer)
            peer.steady_since = now
        peer.last_message = now

    def record_indirect(self, incarnation: str, age: datetime.timedelta) -> None:
        """Record that another peer got a message of the incarnation, `age` ago."""
        peer = self._peers.get(incarnation)
        if peer is not None:
            peer.last_indirect = max(peer.last_indirect, self._clock.monotonic() - age)

    def record_link_loss(self, incarnation: str) -> None:
        """Record that the link to an incarnation broke."""
        peer = self._peers.get(incarnation)
        if peer is not None:
            self._record_loss(peer)
            peer.steady_since = self._clock.monotonic()

    def remove(self, incarnation: str) -> None:
        """Remove an incarnation that has terminated."""
        self._peers.pop(incarnation, None)

    def message_age(self, incarnation: str) -> datetime.timedelta | None:
        """Return the time since the last direct message, None if there was none."""
        peer = self._peers.get(incarnation)
        return None if peer is None else self._clock.monotonic() - peer.last_message

    def failure_domain(self, incarnation: str) -> str | None:
        """Return the failure domain of an incarnation, None if it is not known."""
        peer = self._peers.get(incarnation)
        return None if peer is None else peer.failure_domain

    def is_reachable(self, incarnation: str) -> bool:
        """Return whether messages of the incarnation arrive directly."""
        peer = self._peers.get(incarnation)
        return peer is not None and not self._is_unresponsive(peer)

    def reachable(self, failure_domain: str) -> frozenset[str]:
        """Return the directly reachable incarnations of a failure domain."""
        return frozenset(
            name
            for name, peer in self._peers.items()
            if peer.failure_domain == failure_domain and not self._is_unresponsive(peer)
        )

    def steady(self, failure_domain: str) -> frozenset[str]:
        """Return the reachable incarnations whose link has not flapped recently."""
        now = self._clock.monotonic()
        return frozenset(
            name
            for name in self.reachable(failure_domain)
            if now - self._peers[name].steady_since
            >= self._probation(self._peers[name])
        )

    def suspected(self) -> frozenset[str]:
        """Return the incarnations that neither this instance nor a peer can reach."""
        now = self._clock.monotonic()
        return frozenset(
            name
            for name, peer in self._peers.items()
            if now - max(peer.last_message, peer.last_indirect) >= self._suspect_after
        )

    def to_query(self) -> tuple[str, ...]:
        """Return the incarnations to query other peers about before suspecting them."""
        now = self._clock.monotonic()
        return tuple(
            sorted(
                name
                for name, peer in self._peers.items()
                if now - peer.last_message >= self._suspect_after / 2
            )
        )

    def _is_unresponsive(self, peer: _Peer) -> bool:
        return self._clock.monotonic() - peer.last_message >= self._suspect_after

    def _record_loss(self, peer: _Peer) -> None:
        peer.losses = [*peer.losses, self._clock.monotonic()][-_REMEMBERED_LOSSES:]

    def _probation(self, peer: _Peer) -> datetime.timedelta:
        oldest = self._clock.monotonic() - _FLAP_WINDOW
        recent = sum(loss >= oldest for loss in peer.losses)
        if recent == 0:
            return datetime.timedelta()
        return min(_MAX_PROBATION, self._suspect_after * float(1 << (recent - 1)))
