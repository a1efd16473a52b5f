"""Records of which tickets were used, written by instances that shut down.

Only the instance that issued a ticket knows whether it was used, and hundreds of
instances are shut down a day. Without a record, callers with unused tickets would get
"outcome unknown" for calls that never ran. Each instance therefore writes one record at
a planned shutdown. After a crash there is none, and the outcome stays unknown.
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
        issued: Numbers issued within the tickets' lifetime; the use of older tickets
            is unknown.
        answered: Tickets whose call was answered.
        unknown: Tickets whose call may have run.
    """

    issued: range
    answered: frozenset[int]
    unknown: frozenset[int]

    def ticket_use(self, number: int) -> TicketUse:
        """Return the use of a ticket; the incarnation has stopped."""
        if number in self.answered:
            return "answered"
        if number in self.unknown or number not in self.issued:
            return "unknown"
        return "never"


class RetiredOwners:
    """Reads and writes the records in the platform's store.

    Args:
        objects: The platform's store.
        time: Clock for the age of records.
        lifetime: How long a ticket is valid, and so its record is needed.
    """

    def __init__(
        self, objects: store.Store, time: clock.Clock, lifetime: datetime.timedelta
    ) -> None:
        self._store = objects
        self._clock = time
        self._lifetime = lifetime

    async def write(self, incarnation: str, record: TicketRecord) -> None:
        """Write a record and delete expired ones; best effort."""
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
        """Return the use of a ticket whose owner is unreachable."""
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
        # Twice the lifetime allows for clock skew between instances.
        oldest = (self._clock.now() - 2 * self._lifetime).timestamp()
        for found in listing.objects:
            if found.value["at"] < oldest:
                await self._store.delete(KIND, found.name, if_version=found.version)
