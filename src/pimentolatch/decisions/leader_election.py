"""Decides which instance tries to acquire the leader lease.

Load pattern: hundreds of instances that could each hold the lease, a store that bills
every call, and failures that affect the leader, its failure domain or its connection to
the store. If all instances tried at once whenever the leader is unresponsive, each loss
would cost hundreds of calls. If only the first one by name tried, a fault of its own
would leave the leader tasks undone.

All instances gossip the leader's latest claim. While it is current, none of them tries.
Once it has expired, or the leader has released the lease, the reachable instances try
one after the other by name, a second apart, until one claims the lease. The lease
itself keeps two of them from acting at the same time.
"""

import dataclasses
import datetime
from collections import abc

__all__ = ["Claim", "LeaderTracker"]

# A renewed claim reaches a fleet of hundreds of instances in less than two seconds.
_CLAIM_LIFETIME = datetime.timedelta(seconds=3)
# Delay between the attempts of two instances that are next to each other by name.
_ACQUIRE_STAGGER = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """An instance's statement that it holds, or has released, the leader lease.

    Attributes:
        host: Host of the instance.
        fence: Fencing token of the leadership; a higher one is a later leadership.
        released: Whether it sends nothing more under that token.
    """

    host: str
    fence: int
    released: bool


class LeaderTracker:
    """The latest claim that one instance has received.

    Args:
        now: When this instance began to receive claims. One that has just started has
            received none yet, and after a restart of the whole fleet none has.

    Attributes:
        claimed_at: When the latest claim was made.
    """

    def __init__(self, now: datetime.timedelta) -> None:
        self._claim: Claim | None = None
        self.claimed_at = now

    @property
    def released_fence(self) -> int | None:
        """Fencing token that was released; None if the latest was not."""
        claim = self._claim
        return claim.fence if claim is not None and claim.released else None

    @property
    def released_host(self) -> str | None:
        """Host that released leadership; it doesn't try again before its peers."""
        claim = self._claim
        return claim.host if claim is not None and claim.released else None

    def receive(self, claim: Claim, at: datetime.timedelta) -> None:
        """Store a claim that was made at a time, by this instance's clock.

        A released leadership stays released, since older claims may arrive later.
        """
        known = self._claim
        if known is not None:
            newer = (claim.fence, claim.released, at)
            if newer <= (known.fence, known.released, self.claimed_at):
                return
        self._claim = claim
        self.claimed_at = at

    def current(self, now: datetime.timedelta) -> Claim | None:
        """Return the latest claim unless it has expired."""
        return self._claim if now - self.claimed_at <= _CLAIM_LIFETIME else None

    def host(self, now: datetime.timedelta) -> str | None:
        """Return the leader's host; None if no instance seems to hold the lease."""
        claim = self.current(now)
        return None if claim is None or claim.released else claim.host

    def should_acquire(
        self, own: str, others: abc.Iterable[str], now: datetime.timedelta
    ) -> bool:
        """Return whether an instance should try to acquire the lease.

        Args:
            own: Its name.
            others: Names of the other instances that it can reach.
            now: The current time.
        """
        if self.host(now) is not None:
            return False
        before = sum(name < own for name in others)
        released = self._claim is not None and self._claim.released
        free_since = self.claimed_at if released else self.claimed_at + _CLAIM_LIFETIME
        return now - free_since >= before * _ACQUIRE_STAGGER
