"""Decides which instance tries for the lease of the duties that only one may do.

Load pattern: hundreds of instances of which each could hold it, a store that prices
every call, and failures that take the holder, its failure domain or its way to the
store. If all tried at once whenever the holder is silent, each loss would cost hundreds
of calls; if only the first one by name tried, its own trouble would leave the duties
undone.

What is heard of the holder is passed on by everybody. While it is fresh nobody tries.
When it has grown old, or the holder has said that it is through, the instances that are
heard try one after the other by name, a second apart, until one says that it holds the
lease. The lease itself keeps two of them from acting at once.
"""

import dataclasses
import datetime
from collections import abc

__all__ = ["Claim", "LeaderTracker"]

# News that are renewed take less than two seconds through a fleet of hundreds.
_CLAIM_LIFETIME = datetime.timedelta(seconds=3)
# Time that each instance leaves to those before it.
_ACQUIRE_STAGGER = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """What an instance says of its tenure.

    Attributes:
        fence: Fencing token of the tenure; a higher one is a later tenure.
        released: It sends nothing more in that tenure.
    """

    host: str
    fence: int
    released: bool


class LeaderTracker:
    """What one instance has heard of the holder.

    Args:
        now: When this instance began to listen. An instance that has just started has
            heard of nobody yet, and so has every other one after a start of all.

    Attributes:
        at: When the newest claim was made.
    """

    def __init__(self, now: datetime.timedelta) -> None:
        self._claim: Claim | None = None
        self.claimed_at = now

    @property
    def released_fence(self) -> int | None:
        """Fence of a tenure in which nothing more is sent; None if there is none."""
        claim = self._claim
        return claim.fence if claim is not None and claim.released else None

    def receive(self, claim: Claim, at: datetime.timedelta) -> None:
        """Take a claim that was made at a moment, by this instance's clock.

        A released tenure stays released: claims of before arrive late.
        """
        known = self._claim
        if known is not None:
            newer = (claim.fence, claim.released, at)
            if newer <= (known.fence, known.released, self.claimed_at):
                return
        self._claim = claim
        self.claimed_at = at

    def current(self, now: datetime.timedelta) -> Claim | None:
        """Return the newest claim unless it has grown old."""
        return self._claim if now - self.claimed_at <= _CLAIM_LIFETIME else None

    def host(self, now: datetime.timedelta) -> str | None:
        """Return where the holder is; None if nobody seems to hold the lease."""
        claim = self.current(now)
        return None if claim is None or claim.released else claim.host

    def should_acquire(
        self, own: str, others: abc.Iterable[str], now: datetime.timedelta
    ) -> bool:
        """Tell whether an instance tries for the lease.

        Args:
            own: Its name.
            others: Names of the other instances that it hears.
            now: The time.
        """
        if self.host(now) is not None:
            return False
        before = sum(name < own for name in others)
        released = self._claim is not None and self._claim.released
        free_since = self.claimed_at if released else self.claimed_at + _CLAIM_LIFETIME
        return now - free_since >= before * _ACQUIRE_STAGGER
