"""Leader election: which instance runs the leader tasks, and how peers learn of it."""

import datetime

import logbook

from pimentolatch import clock
from pimentolatch.decisions import leader_election
from pimentolatch.gateway import lease, peer_table
from pimentolatch.protocol import beacons

__all__ = ["Leadership"]

_log = logbook.Logger("tenure")
_INTERVAL = datetime.timedelta(milliseconds=500)
# A leader that has failed to renew the lease for this long yields to its peers.
_MAX_RENEWAL_FAILURE = datetime.timedelta(milliseconds=4000)
# After yielding, this instance does not try again for this many handover gaps, since
# its peers may reach the store or receiver that it can't reach.
_ABSTAIN_FACTOR = 3


class Leadership:
    """Holds the leader lease while this instance is the leader.

    Args:
        own_name: Name of this instance.
        own_host: Host at which peers reach this instance.
        peers: The live peers.
        leader_lease: The lease.
        time: Clock of this instance.
        permanent: Whether there is to be a leader at all times. Otherwise the lease is
            acquired only when an order is sent, and only the live instance whose name
            sorts first checks whether an order is due.

    Attributes:
        since: Time at which this instance last became the leader.
    """

    def __init__(
        self,
        own_name: str,
        own_host: str,
        peers: peer_table.PeerTable,
        leader_lease: lease.LeaderLease,
        time: clock.Clock,
        *,
        permanent: bool = False,
    ) -> None:
        self._permanent = permanent
        self._name = own_name
        self._host = own_host
        self._peers = peers
        self._lease = leader_lease
        self._clock = time
        self._leader_tracker = leader_election.LeaderTracker(self._clock.monotonic())
        self._last_acquired: datetime.timedelta | None = None
        self._abstains_until = datetime.timedelta()
        self.since = time.now()

    @property
    def active(self) -> bool:
        """Whether this instance is the leader."""
        return self._last_acquired is not None

    @property
    def fence(self) -> int:
        """Fencing token of the latest leadership of this instance."""
        return self._lease.fence

    @property
    def host(self) -> str | None:
        """Host of the leader; None if no leader is known."""
        if self.active:
            return self._host
        return self._leader_tracker.host(self._clock.monotonic())

    def valid(self) -> bool:
        """Tell whether this instance may send a call as the leader now."""
        return self.active and self._lease.valid()

    def should_lead(self) -> bool:
        """Tell whether this instance is the leader or should try to become it."""
        if self.active:
            return True
        now = self._clock.monotonic()
        if now < self._abstains_until:
            return False
        if self._leader_tracker.host(now) == self._host:
            # An earlier incarnation of this instance held the lease, and peers still
            # report it as the leader.
            return True
        names = [peer.beacon.instance for peer in self._peers.live()]
        if self._permanent:
            return self._leader_tracker.should_acquire(self._name, names, now)
        is_first = all(name > self._name for name in names)
        return is_first and self._leader_tracker.host(now) is None

    async def acquire(self) -> bool:
        """Acquire or renew the lease; False if another instance may still act."""
        if not self.should_lead():
            return False
        now = self._clock.monotonic()
        if await self._lease.acquire(self._leader_tracker.released_fence):
            if self._last_acquired is None:
                self.since = self._clock.now()
                _log.info("tenure begun", fence=self._lease.fence)
            self._last_acquired = self._clock.monotonic()
            return True
        if (
            self._last_acquired is not None
            and now - self._last_acquired > _MAX_RENEWAL_FAILURE
        ):
            self._yield_to_peers("the lease could not be renewed")
        return False

    def fenced_off(self) -> None:
        """Give up leadership: another instance has acted with a higher fence."""
        self._end("fenced off")

    def receiver_unreachable(self) -> None:
        """Give up leadership: this instance can't reach the receiver of its calls."""
        self._yield_to_peers("the receiver is unreachable")

    def announce_stop(self) -> None:
        """Give up leadership: this instance is about to stop."""
        self._release("instance is stopping")

    def receive(self, notice: beacons.Leader | None) -> None:
        """Process what a peer reports about the leader."""
        if notice is None:
            return
        now = self._clock.monotonic()
        self._leader_tracker.receive(
            leader_election.Claim(notice.host, notice.fence, notice.released),
            now - datetime.timedelta(milliseconds=notice.age_ms),
        )
        if self.active and notice.fence > self._lease.fence:
            self._end("another instance has a higher fence")

    def announcement(self) -> beacons.Leader | None:
        """Return what to report about the leader; None if nothing recent is known."""
        now = self._clock.monotonic()
        if self.active:
            return beacons.Leader(self._host, self._lease.fence, False, 0)
        claim = self._leader_tracker.current(now)
        if claim is None:
            return None
        # Rounded up: an age that is rounded down at each hop would never reach the
        # limit at which the claim expires.
        age = (now - self._leader_tracker.claimed_at) // datetime.timedelta(
            milliseconds=1
        ) + 1
        return beacons.Leader(claim.host, claim.fence, claim.released, age)

    async def run(self) -> None:
        """Acquire and renew the lease whenever possible; runs until cancelled."""
        while True:
            await self._clock.sleep(_INTERVAL)
            await self.acquire()

    def _yield_to_peers(self, reason: str) -> None:
        """Release leadership if there is a live peer that could take it over."""
        if self._peers.live():
            self._release(reason)

    def _release(self, reason: str) -> None:
        """End leadership and let peers know that no more calls are sent under it."""
        if not self.active:
            return
        now = self._clock.monotonic()
        self._abstains_until = now + _ABSTAIN_FACTOR * self._lease.handover_gap
        claim = leader_election.Claim(self._host, self._lease.fence, released=True)
        self._leader_tracker.receive(claim, now)
        self._end(reason)

    def _end(self, reason: str) -> None:
        self._lease.give_up()
        if self.active:
            _log.info("tenure ended", fence=self._lease.fence, reason=reason)
        self._last_acquired = None
