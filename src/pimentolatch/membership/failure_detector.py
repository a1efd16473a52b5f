"""Who can be reached: heartbeats, suspicion and its refutation, and damping.

Suspicion decides only whom this instance asks, links to and counts on for spare
duties such as watching the store. It never proves that a process has ended: one that
is cut off or frozen looks the same from here, and may send to an engine later. What
proves an end stands in `acknowledgements`.
"""

import dataclasses
import datetime

from pimentolatch import clock

__all__ = ["FailureDetector"]

_NEVER = datetime.timedelta(seconds=-1_000_000)
# A link that breaks again and again would move duties with every break. Each loss in
# the last minute doubles the time a peer must be heard without a break before it is
# counted on; the cap keeps a healed link from being distrusted for long.
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
    """What the links say about other incarnations.

    Args:
        suspect_after: Silence after which an incarnation is suspected.
    """

    def __init__(self, time: clock.Clock, suspect_after: datetime.timedelta) -> None:
        self._clock = time
        self._suspect_after = suspect_after
        self._peers: dict[str, _Peer] = {}

    def record_message(self, incarnation: str, failure_domain: str) -> None:
        """Take note of a message that came from an incarnation itself."""
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
        """Take note that another peer heard the incarnation, `age` ago."""
        peer = self._peers.get(incarnation)
        if peer is not None:
            peer.last_indirect = max(peer.last_indirect, self._clock.monotonic() - age)

    def record_link_loss(self, incarnation: str) -> None:
        """Take note that the link to an incarnation broke."""
        peer = self._peers.get(incarnation)
        if peer is not None:
            self._record_loss(peer)
            peer.steady_since = self._clock.monotonic()

    def remove(self, incarnation: str) -> None:
        """Drop an incarnation that is known to have ended."""
        self._peers.pop(incarnation, None)

    def silence(self, incarnation: str) -> datetime.timedelta | None:
        """Return the time since the incarnation was heard directly, if ever."""
        peer = self._peers.get(incarnation)
        return None if peer is None else self._clock.monotonic() - peer.last_message

    def failure_domain(self, incarnation: str) -> str | None:
        """Return the failure domain of an incarnation that was heard directly."""
        peer = self._peers.get(incarnation)
        return None if peer is None else peer.failure_domain

    def is_reachable(self, incarnation: str) -> bool:
        """Tell whether the incarnation is heard directly."""
        peer = self._peers.get(incarnation)
        return peer is not None and not self._is_unresponsive(peer)

    def reachable(self, failure_domain: str) -> frozenset[str]:
        """Return the incarnations of a failure domain that are heard directly."""
        return frozenset(
            name
            for name, peer in self._peers.items()
            if peer.failure_domain == failure_domain and not self._is_unresponsive(peer)
        )

    def steady(self, failure_domain: str) -> frozenset[str]:
        """Return the reachable incarnations whose link has not flapped lately."""
        now = self._clock.monotonic()
        return frozenset(
            name
            for name in self.reachable(failure_domain)
            if now - self._peers[name].steady_since
            >= self._probation(self._peers[name])
        )

    def suspected(self) -> frozenset[str]:
        """Return the incarnations that neither this instance nor a peer hears."""
        now = self._clock.monotonic()
        return frozenset(
            name
            for name, peer in self._peers.items()
            if now - max(peer.last_message, peer.last_indirect) >= self._suspect_after
        )

    def to_query(self) -> tuple[str, ...]:
        """Return the incarnations to ask other peers about, before suspecting them."""
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
