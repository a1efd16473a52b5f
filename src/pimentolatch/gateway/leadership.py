"""Which instance does what only one may do, and how the others hear of it."""

import datetime

import logbook

from pimentolatch import clock
from pimentolatch.decisions import succession
from pimentolatch.gateway import lease, peer_table
from pimentolatch.protocol import beacons

__all__ = ["Leadership"]

_log = logbook.Logger("tenure")
_INTERVAL = datetime.timedelta(milliseconds=500)
# A holder that can't write the lease for this long leaves it to others.
_MAX_RENEWAL_FAILURE = datetime.timedelta(milliseconds=4000)
# So many times the shortest time between two holders it does not try again, since the
# others may reach what it does not.
_ABSTAIN_FACTOR = 3


class Leadership:
    """Holds the lease for as long as this instance does the duties.

    Args:
        own_name: Name of this instance.
        own_host: Where it is reached.
        peers: Tells who else is there.
        held: The lease.
        time: Clock of this instance.
        kept: Some instance is to hold the lease all the time; else it is taken for an
            order now and then, and only the first by name plans whether one is due.

    Attributes:
        since: When the latest tenure of this instance began.
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
        self._claims = succession.HolderNews(self._clock.monotonic())
        self._last_acquired: datetime.timedelta | None = None
        self._abstains_until = datetime.timedelta()
        self.since = time.now()

    @property
    def active(self) -> bool:
        """Whether this instance does the duties."""
        return self._last_acquired is not None

    @property
    def fence(self) -> int:
        """Fencing token of the tenure."""
        return self._lease.fence

    @property
    def host(self) -> str | None:
        """Where the holder is reached; None if none is known."""
        if self.active:
            return self._host
        return self._claims.host(self._clock.monotonic())

    def valid(self) -> bool:
        """Tell whether a call may go out now."""
        return self.active and self._lease.valid()

    def leads(self) -> bool:
        """Tell whether this instance does the duties, or is to try for them."""
        if self.active:
            return True
        now = self._clock.monotonic()
        if now < self._abstains_until:
            return False
        if self._claims.host(now) == self._host:
            # A former life of this instance held the lease, and peers still say so.
            return True
        names = [peer.beacon.instance for peer in self._peers.live()]
        if self._permanent:
            return self._claims.is_turn_of(self._name, names, now)
        is_first = all(name > self._name for name in names)
        return is_first and self._claims.host(now) is None

    async def acquire(self) -> bool:
        """Have the lease for the next calls; False if another may still act."""
        if not self.leads():
            return False
        now = self._clock.monotonic()
        if await self._lease.acquire(self._claims.released_fence):
            if self._last_acquired is None:
                self.since = self._clock.now()
                _log.info("tenure begun", fence=self._lease.fence)
            self._last_acquired = self._clock.monotonic()
            return True
        if (
            self._last_acquired is not None
            and now - self._last_acquired > _MAX_RENEWAL_FAILURE
        ):
            self._yield_to_peers("the lease can't be renewed")
        return False

    def fenced_off(self) -> None:
        """Give the tenure up: somebody has acted with a higher fence."""
        self._end("fenced off")

    def receiver_unreachable(self) -> None:
        """Give the tenure up: this instance can't reach whom it has to call."""
        self._yield_to_peers("the receiver is out of reach")

    def announce_stop(self) -> None:
        """Give the tenure up: this instance is about to end."""
        self._release("stopping")

    def receive(self, notice: beacons.Holder | None) -> None:
        """Take what a peer has heard of the holder."""
        if notice is None:
            return
        now = self._clock.monotonic()
        self._claims.hear(
            succession.Claim(notice.host, notice.fence, notice.released),
            now - datetime.timedelta(milliseconds=notice.age_ms),
        )
        if self.active and notice.fence > self._lease.fence:
            self._end("another instance has a higher fence")

    def announcement(self) -> beacons.Holder | None:
        """Return what is known of the holder, for peers; None if nothing fresh."""
        now = self._clock.monotonic()
        if self.active:
            return beacons.Holder(self._host, self._lease.fence, False, 0)
        claim = self._claims.fresh(now)
        if claim is None:
            return None
        # Rounded up: an age that shrank on each way would never grow old.
        age = (now - self._claims.at) // datetime.timedelta(milliseconds=1) + 1
        return beacons.Holder(claim.host, claim.fence, claim.released, age)

    async def run(self) -> None:
        """Hold the lease while nobody else does, for ever."""
        while True:
            await self._clock.sleep(_INTERVAL)
            await self.acquire()

    def _yield_to_peers(self, reason: str) -> None:
        """Release the tenure if there is anybody who might do better."""
        if self._peers.live():
            self._release(reason)

    def _release(self, reason: str) -> None:
        """End the tenure and have peers know that nothing more is sent in it."""
        if not self.active:
            return
        now = self._clock.monotonic()
        self._abstains_until = now + _ABSTAIN_FACTOR * self._lease.handover_gap
        claim = succession.Claim(self._host, self._lease.fence, released=True)
        self._claims.hear(claim, now)
        self._end(reason)

    def _end(self, reason: str) -> None:
        self._lease.give_up()
        if self.active:
            _log.info("tenure ended", fence=self._lease.fence, reason=reason)
        self._last_acquired = None
