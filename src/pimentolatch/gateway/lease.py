"""The lease in the platform's store that lets one instance do all duties of one."""

import asyncio
import datetime

import logbook

from pimentolatch import clock, store
from pimentolatch.platform import objects

__all__ = ["LeaderLease"]

_log = logbook.Logger("lease")
_KIND = "pimentolatch-leases"
_NAME = "stages"
# Time of sending and answering; what a holder may still have on its way when its lease
# ends.
_MARGIN = datetime.timedelta(milliseconds=500)


class LeaderLease:
    """Held by one instance at a time; each change of holder raises the fence.

    Two holders that act by turns would undo each other's work, and a holder that was
    frozen might act when another already does. So a holder acts only within
    `validity` of the moment at which it sent the write that the store accepted, and
    whoever takes over has watched the lease unchanged for that time and the shortest
    allowed time between two holders besides. The clock counts suspended time too.

    Nobody has to be waited for where the lease is of a former life of this instance,
    which has ended, or of a holder that has said it is through; but for the one that
    held it before that holder: the two would act by turns.

    Args:
        source: The platform's store.
        holder: This instance, alike in all its lives.
        life: Differs for each start of this instance.
        between: Shortest time between acts of two holders.
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
        # Each duty has a task that renews the lease. Two writes at once conflict, and
        # the one that lost would take the lease anew with a higher fence.
        self._lock = asyncio.Lock()
        self._valid_until = datetime.timedelta()
        self._version = 0
        self._fence = 0
        self._previous: str | None = None
        self._seen: tuple[int, datetime.timedelta] | None = None

    @property
    def handover_gap(self) -> datetime.timedelta:
        """Shortest time between acts of two holders."""
        return self._handover_gap

    @property
    def fence(self) -> int:
        """Fencing token of the tenure."""
        return self._fence

    def valid(self) -> bool:
        """Tell whether this instance may act now."""
        return self._clock.monotonic() < self._valid_until

    def give_up(self) -> None:
        """Act no more in this tenure."""
        self._valid_until = datetime.timedelta()
        self._version = 0

    async def acquire(self, released_fence: int | None = None) -> bool:
        """Hold the lease; False if another instance may still act.

        Args:
            released_fence: Fence of a tenure whose holder has said that it is through.
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
        fence = int(found.value["fence"])
        holder, previous = found.value["holder"], found.value.get("previous")
        if holder == self._holder:
            return await self._write(found.version, fence + 1, previous)
        released = fence == released_fence and previous != self._holder
        if not released and not self._is_abandoned(found.version):
            return False
        return await self._write(found.version, fence + 1, holder)

    def _is_abandoned(self, version: int) -> bool:
        """Tell whether the lease has stood unchanged for long enough."""
        now = self._clock.monotonic()
        if self._seen is None or self._seen[0] != version:
            self._seen = (version, now)
        return now - self._seen[1] >= 2 * self._handover_gap + _MARGIN

    async def _write(self, version: int, fence: int, previous: str | None) -> bool:
        sent = self._clock.monotonic()
        # The time makes each write differ: one that changes nothing leaves the version
        # as it was, and others would take the lease for forgotten.
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
