"""Caches the order slots of a failure domain during one leadership.

A listing of all slots is large if every engine has one, so most passes read only the
slots of engines that are not in service. A stale cache entry only makes a conditional
update fail. Where a stale entry could do more harm, all slots are listed.
"""

import asyncio
import dataclasses
import datetime
from collections import abc

from pimentolatch import clock, store
from pimentolatch.control import slots

__all__ = ["SlotCache"]

# Interval at which all slots are listed even if no entry was invalidated.
_LIST_INTERVAL = datetime.timedelta(seconds=60)


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingSince:
    version: int
    at: datetime.timedelta


class SlotCache:
    """Reads slots from the store and caches them."""

    def __init__(self, slot_objects: slots.SlotObjects, time: clock.Clock) -> None:
        self._objects = slot_objects
        self._clock = time
        self._slots: dict[str, slots.Slot] = {}
        self._invalidated: set[str] = set()
        self._next_listing = datetime.timedelta.min
        self._pending_since: dict[str, _PendingSince] = {}

    @property
    def by_engine(self) -> abc.Mapping[str, slots.Slot]:
        """The slots as last read."""
        return self._slots

    @property
    def not_in_service(self) -> list[slots.Slot]:
        """Slots of engines that are not in service."""
        return [
            slot
            for slot in self._slots.values()
            if slot.state is not slots.SlotState.SERVING
        ]

    def invalidate(self, engines: abc.Iterable[str]) -> None:
        """Have slots read again in the next refresh, even of engines in service."""
        self._invalidated.update(engines)

    async def refresh(self) -> store.Unavailable | None:
        """Read the slots of engines not in service and the invalidated slots."""
        if self._clock.monotonic() >= self._next_listing:
            return await self.list_all()
        names = self._invalidated.union(slot.engine for slot in self.not_in_service)
        read = await asyncio.gather(*map(self._objects.read, sorted(names)))
        for slot in read:
            if isinstance(slot, store.Unavailable):
                return slot
            self._slots[slot.engine] = slot
        self._invalidated.clear()
        return None

    async def list_all(self) -> store.Unavailable | None:
        """Read all slots of the failure domain."""
        listed = await self._objects.read_all()
        if isinstance(listed, store.Unavailable):
            return listed
        self._slots = listed
        self._invalidated.clear()
        self._next_listing = self._clock.monotonic() + _LIST_INTERVAL
        return None

    def pending_ages(self) -> dict[str, datetime.timedelta]:
        """Return the time since each pending order was first seen, by engine."""
        now = self._clock.monotonic()
        seen: dict[str, _PendingSince] = {}
        for slot in self.not_in_service:
            if slot.state is slots.SlotState.PENDING:
                first = _PendingSince(slot.version, now)
                before = self._pending_since.get(slot.engine, first)
                seen[slot.engine] = before if before.version == slot.version else first
        self._pending_since = seen
        return {engine: now - first.at for engine, first in seen.items()}
