"""The lease in the platform's store by which one instance at a time is the leader."""

import asyncio
import dataclasses
import datetime
import typing

import logbook

from pimentolatch import clock, store
from pimentolatch.platform import objects

__all__ = ["LeaderLease"]

_log = logbook.Logger("lease")
_KIND = "pimentolatch-leases"
_NAME = "stages"
# Allows for the latency of a call: a leader may still have a call in flight when its
# lease ends.
_MARGIN = datetime.timedelta(milliseconds=500)
# Peers reject the whole beacon for a larger number.
_MAX_FENCE = 2**53 - 1


class LeaderLease:
    """Held by one instance at a time; each change of holder raises the fence.

    Two leaders that act alternately would undo each other's work, and a leader whose
    process was suspended might act after another has taken over. So a holder acts only
    within `handover_gap` of sending the write that the store accepted, and an instance
    takes over only after it has seen the lease unchanged for that time plus the
    minimum gap between acts of two holders. The clock includes suspended time.

    There is no wait if the lease belongs to an earlier incarnation of this instance,
    whose process has ended, or to a holder that has released it. The exception is the
    instance that held the lease before the holder that released it: it waits, since
    the two could otherwise alternate.

    Args:
        source: The platform's store.
        holder: Identifies this instance, the same in all its incarnations.
        incarnation: Differs for each start of this instance.
        handover_gap: Minimum time between acts of two holders.
        time: Clock of this instance.
    """

    def __init__(
        self,
        source: objects.ObjectStore,
        holder: str,
        incarnation: str,
        handover_gap: datetime.timedelta,
        time: clock.Clock,
    ) -> None:
        self._store = source
        self._holder = holder
        self._incarnation = incarnation
        self._handover_gap = handover_gap
        self._clock = time
        # Each leader task renews the lease. Of two concurrent writes one conflicts, and
        # its task would then acquire the lease again with a higher fence.
        self._lock = asyncio.Lock()
        self._valid_until = datetime.timedelta()
        self._version = 0
        self._fence = 0
        self._previous: str | None = None
        self._seen: tuple[int, datetime.timedelta] | None = None

    @property
    def handover_gap(self) -> datetime.timedelta:
        """Minimum time between acts of two holders."""
        return self._handover_gap

    @property
    def fence(self) -> int:
        """Fencing token under which this instance last held the lease."""
        return self._fence

    def valid(self) -> bool:
        """Tell whether this instance may act now."""
        return self._clock.monotonic() < self._valid_until

    def give_up(self) -> None:
        """Stop acting under the current lease."""
        self._valid_until = datetime.timedelta()
        self._version = 0

    async def acquire(self, released_fence: int | None = None) -> bool:
        """Acquire or renew the lease; False if another instance may still act.

        Args:
            released_fence: Fence that its holder has announced as released.
        """
        async with self._lock:
            return await self._acquire(released_fence)

    async def _acquire(self, released_fence: int | None) -> bool:
        if self.valid():
            return True
        if self._version and await self._write(
            self._version, self._fence, self._previous
        ):
            return True
        self._version = 0
        found = await self._store.get(_KIND, _NAME)
        if isinstance(found, store.Unavailable):
            return False
        if isinstance(found, store.Absent):
            return await self._write(0, 1, self._holder)
        record = _decode(found)
        if record.holder == self._holder:
            return await self._write(found.version, record.fence + 1, record.previous)
        released = record.fence == released_fence and record.previous != self._holder
        if not released and not self._is_abandoned(found.version):
            return False
        return await self._write(found.version, record.fence + 1, record.holder)

    def _is_abandoned(self, version: int) -> bool:
        """Tell whether the lease has been unchanged for long enough to take over."""
        now = self._clock.monotonic()
        if self._seen is None or self._seen[0] != version:
            self._seen = (version, now)
        return now - self._seen[1] >= 2 * self._handover_gap + _MARGIN

    async def _write(self, version: int, fence: int, previous: str | None) -> bool:
        sent = self._clock.monotonic()
        # The time makes each write differ: a write that changes nothing leaves the
        # version as it was, and other instances would consider the lease abandoned.
        value = {
            "holder": self._holder,
            "life": self._incarnation,
            "previous": previous,
            "fence": fence,
            "sent": sent.total_seconds(),
        }
        outcome = await self._store.put(_KIND, _NAME, value, if_version=version)
        if not isinstance(outcome, store.Written):
            self._version = 0
            return False
        if fence != self._fence:
            _log.info("lease taken", fence=fence)
        self._version, self._fence = outcome.version, fence
        self._previous = previous
        self._valid_until = sent + self._handover_gap - _MARGIN
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    """Content of the store; the holder is None if it can't be read."""

    fence: int
    holder: str | None
    previous: str | None


def _decode(found: store.Found) -> _Record:
    """Decode the lease; of an invalid one only an upper bound of the fence is known.

    Each raise of the fence took a write, so the revision of the store is no lower.
    """
    fields = found.value if isinstance(found.value, dict) else {}
    fence, holder = fields.get("fence"), fields.get("holder")
    if _is_fence(fence) and isinstance(holder, str):
        previous = fields.get("previous")
        return _Record(fence, holder, previous if isinstance(previous, str) else None)
    _log.warn("lease not understood", revision=found.version)
    return _Record(found.version, None, None)


def _is_fence(value: typing.Any) -> typing.TypeGuard[int]:
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and 0 <= value < _MAX_FENCE
    )
