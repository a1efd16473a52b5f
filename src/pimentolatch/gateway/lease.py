"""The lease in the platform's store that lets one instance order engines."""

import datetime

import logbook

from pimentolatch import clock, store
from pimentolatch.platform import objects

__all__ = ["OrderLease"]

_log = logbook.Logger("lease")
_KIND = "pimentolatch-leases"
_NAME = "stages"
# Time of sending and answering; what a holder may still have on its way when its lease
# ends.
_MARGIN = datetime.timedelta(milliseconds=500)


class OrderLease:
    """Held by one instance at a time; each change of holder raises the fence.

    Two holders that order by turns would undo each other's work, and a holder that was
    frozen might order when another already does. So a holder orders only within
    `validity` of the moment at which it sent the write that the store accepted, and
    whoever takes over has watched the lease unchanged for that time and the shortest
    allowed time between two holders besides. The clock counts suspended time too.

    Args:
        source: The platform's store.
        holder: This instance and its life.
        between: Shortest time between orders of two holders.
    """

    def __init__(
        self,
        source: objects.ObjectStore,
        holder: str,
        between: datetime.timedelta,
        time: clock.Clock,
    ) -> None:
        self._store = source
        self._holder = holder
        self._validity = between
        self._clock = time
        self._until = datetime.timedelta()
        self._version = 0
        self._fence = 0
        self._seen: tuple[int, datetime.timedelta] | None = None

    @property
    def fence(self) -> int:
        """Fencing token of the tenure."""
        return self._fence

    def valid(self) -> bool:
        """Tell whether this instance may send an order now."""
        return self._clock.monotonic() < self._until

    def fenced_off(self) -> None:
        """Give the lease up: somebody else has ordered with a higher fence."""
        self._until = datetime.timedelta()
        self._version = 0

    async def acquire(self) -> bool:
        """Hold the lease; False if another instance may still order."""
        if self.valid():
            return True
        if self._version and await self._write(self._version, self._fence):
            return True
        self._version = 0
        found = await self._store.get(_KIND, _NAME)
        if isinstance(found, store.Unavailable):
            return False
        if isinstance(found, store.Absent):
            return await self._write(0, 1)
        if not self._quiet(found.version):
            return False
        return await self._write(found.version, int(found.value["fence"]) + 1)

    def _quiet(self, version: int) -> bool:
        """Tell whether the lease has stood unchanged for long enough."""
        now = self._clock.monotonic()
        if self._seen is None or self._seen[0] != version:
            self._seen = (version, now)
        return now - self._seen[1] >= 2 * self._validity + _MARGIN

    async def _write(self, version: int, fence: int) -> bool:
        sent = self._clock.monotonic()
        # The time makes each write differ: one that changes nothing leaves the version
        # as it was, and others would take the lease for forgotten.
        value = {
            "holder": self._holder,
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
        self._until = sent + self._validity - _MARGIN
        return True
