"""Leader election: which instance runs the leader tasks, and how peers learn of it."""

import asyncio
import contextlib
import datetime
import typing
from collections import abc

import logbook

from pimentolatch import clock
from pimentolatch.decisions import leader_election
from pimentolatch.gateway.leader import lease
from pimentolatch.gateway.peers import peer_table
from pimentolatch.protocol import beacons

__all__ = ["Leadership", "Listener"]

_log = logbook.Logger("tenure")
_INTERVAL = datetime.timedelta(milliseconds=500)
# A leader that has failed to renew the lease for this long yields to its peers.
_MAX_RENEWAL_FAILURE = datetime.timedelta(milliseconds=4000)
# The same where there is to be a leader at all times. What is due can't wait for a
# leader that may not act and can't reach the store: two calls that time out suffice.
_MAX_PERMANENT_RENEWAL_FAILURE = datetime.timedelta(milliseconds=1000)
# After yielding, this instance does not try again for this many handover gaps, since
# its peers may reach the store or receiver that it can't reach.
_ABSTAIN_FACTOR = 3

Listener = typing.Callable[[beacons.Leader], None]


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
        self._is_stopping = False
        # Each leader task renews the lease. One that waits while another one yields
        # must see that, or it would take back what peers were told is released.
        self._lock = asyncio.Lock()
        self._ended_tenures = 0
        self._calls = 0
        self._release_due = False
        self._listeners: list[Listener] = []
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
        if self._is_stopping or now < self._abstains_until:
            return False
        if self._leader_tracker.host(now) == self._host:
            # An earlier incarnation of this instance held the lease, and peers still
            # report it as the leader.
            return True
        released_by = self._leader_tracker.released_host
        names = [
            peer.beacon.instance
            for peer in self._peers.live()
            if peer.host != released_by
        ]
        if self._permanent:
            return self._leader_tracker.should_acquire(self._name, names, now)
        is_first = all(name > self._name for name in names)
        return is_first and self._leader_tracker.host(now) is None

    async def acquire(self) -> bool:
        """Acquire or renew the lease; False if another instance may still act."""
        async with self._lock:
            return self.should_lead() and await self._acquire()

    async def _acquire(self) -> bool:
        started, ended_tenures = self._clock.monotonic(), self._ended_tenures
        acquired = await self._lease.acquire(self._leader_tracker.released_fence)
        now = self._clock.monotonic()
        if acquired and self._ended_tenures != ended_tenures:
            # Leadership was given up while the call was in flight.
            self._lease.give_up()
            self._release_due = True
            self._announce_release()
            return False
        if acquired:
            began = self._last_acquired is None
            self._last_acquired = now
            self._release_due = False
            if began:
                self.since = self._clock.now()
                _log.info("tenure begun", fence=self._lease.fence)
                self._notify_listeners()
            return True
        if self._permanent:
            failing = now, _MAX_PERMANENT_RENEWAL_FAILURE
        else:
            failing = started, _MAX_RENEWAL_FAILURE
        if (
            self._last_acquired is not None
            and failing[0] - self._last_acquired > failing[1]
        ):
            self._yield_to_peers("the lease could not be renewed")
        return False

    @contextlib.contextmanager
    def call(self) -> abc.Iterator[None]:
        """Mark a call that this instance makes as the leader as under way.

        The lease is announced as released only after it: the next leader acts at once
        then, and the call might arrive behind that leader's.
        """
        self._calls += 1
        try:
            yield
        finally:
            self._calls -= 1
            self._announce_release()

    def fenced_off(self) -> None:
        """Give up leadership: another instance has acted with a higher fence."""
        self._end("fenced off")

    def receiver_unreachable(self) -> None:
        """Give up leadership: this instance can't reach the receiver of its calls."""
        self._yield_to_peers("the receiver is unreachable")

    def store_unreachable(self) -> None:
        """Give up leadership: this instance can't reach the store."""
        self._yield_to_peers("the store is unreachable")

    def subscribe(self, listener: Listener) -> None:
        """Have a function called when this instance becomes the leader or yields."""
        self._listeners.append(listener)

    def announce_stop(self) -> None:
        """Give up leadership for good: this instance is about to stop."""
        self._is_stopping = True
        # A first acquisition may be in flight.
        self._ended_tenures += 1
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
        self._end(reason)
        self._release_due = True
        self._announce_release()

    def _announce_release(self) -> None:
        """Announce a release that is due, unless a call is under way."""
        if self._calls or not self._release_due:
            return
        self._release_due = False
        claim = leader_election.Claim(self._host, self._lease.fence, released=True)
        self._leader_tracker.receive(claim, self._clock.monotonic())
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        notice = self.announcement()
        if notice is not None:
            for listener in self._listeners:
                listener(notice)

    def _end(self, reason: str) -> None:
        self._lease.give_up()
        if self.active:
            _log.info("tenure ended", fence=self._lease.fence, reason=reason)
        self._ended_tenures += 1
        self._last_acquired = None
