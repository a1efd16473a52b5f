"""What became of the tickets of instances that stopped as planned.

A planned stop ends the only instance that knows which of its tickets were used, and
hundreds happen a day. Without a record, callers that hold unused tickets of it would
hear "outcome unknown" for calls that never ran. One write at the stop tells the others;
after a crash there is none, and the outcome stays unknown.
"""

import dataclasses
import datetime
import typing

from pimentolatch import clock, store

__all__ = ["TicketRecord", "RetiredOwners", "TicketUse"]

KIND = "retired-owners"
TicketUse = typing.Literal["never", "answered", "unknown"]


@dataclasses.dataclass(frozen=True, slots=True)
class TicketRecord:
    """The tickets of one incarnation.

    Attributes:
        issued: Numbers handed out within the tickets' lifetime; of older ones
            nothing is known any more.
        answered: Those whose call was answered.
        unknown: Those whose call may have run.
    """

    issued: range
    answered: frozenset[int]
    unknown: frozenset[int]

    def ticket_use(self, number: int) -> TicketUse:
        """Return what became of a ticket; the incarnation has ended."""
        if number in self.answered:
            return "answered"
        if number in self.unknown or number not in self.issued:
            return "unknown"
        return "never"


class RetiredOwners:
    """The records in the platform's store.

    Args:
        objects: The platform's store.
        time: Clock of the records' ages.
        lifetime: How long a ticket can be used, and so a record is needed.
    """

    def __init__(
        self, objects: store.Store, time: clock.Clock, lifetime: datetime.timedelta
    ) -> None:
        self._store = objects
        self._clock = time
        self._lifetime = lifetime

    async def write(self, incarnation: str, record: TicketRecord) -> None:
        """Write a record, and remove those that no ticket needs; best effort."""
        await self._remove_expired()
        value = {
            "at": int(self._clock.now().timestamp()),
            "first": record.issued.start,
            "end": record.issued.stop,
            "answered": sorted(record.answered),
            "unknown": sorted(record.unknown),
        }
        await self._store.put(KIND, incarnation, value, if_version=0)

    async def ticket_use(self, incarnation: str, number: int) -> TicketUse:
        """Return what became of a ticket whose owner can't be reached."""
        found = await self._store.get(KIND, incarnation)
        if not isinstance(found, store.Found):
            return "unknown"
        value = found.value
        record = TicketRecord(
            range(value["first"], value["end"]),
            frozenset(value["answered"]),
            frozenset(value["unknown"]),
        )
        return record.ticket_use(number)

    async def _remove_expired(self) -> None:
        listing = await self._store.list_objects(KIND)
        if isinstance(listing, store.Unavailable):
            return
        # Twice the lifetime leaves room for instances' clocks to differ.
        oldest = (self._clock.now() - 2 * self._lifetime).timestamp()
        for found in listing.objects:
            if found.value["at"] < oldest:
                await self._store.delete(KIND, found.name, if_version=found.version)
