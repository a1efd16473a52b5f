"""Writes and reads the audit trail.

Records are kept in pages, one object each, and a head object names the newest page,
so a batch of records costs one write. The number of pages is bounded: the oldest is
removed as a new one begins. Several instances may write; each write is conditional,
and one that loses the race reads the page again and appends to what it found.
"""

import asyncio
import dataclasses
import datetime
import typing

import logbook

from pimentolatch import clock, store
from pimentolatch.requests import identity

__all__ = ["AuditReader", "AuditTrail", "Record"]

HEAD_KIND = "audit-heads"
PAGE_KIND = "audit-pages"
# 100 records of some 300 bytes stay far under the megabyte of a value; 64 pages of a
# failure domain hold about a day of its share of 3,700 changes and their steps.
RECORDS_PER_PAGE = 100
PAGES = 64
# A record more than this is dropped, oldest first: a long outage of the platform must
# not fill the instance's memory.
MAX_PENDING = 2000
_ATTEMPTS = 4
_BATCH_INTERVAL = datetime.timedelta(seconds=2)

_log = logbook.Logger("audit")


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One change.

    Attributes:
        at: Wall time in UTC, ISO 8601.
        instance: Incarnation that acted.
        document: Number of the document that the change belongs to.
        action: What was done, such as `order` or `return to service`.
        subject: Whom it was done to: a backend server or a failure domain.
        outcome: What came of it.
        detail: Order id, target or reason.
        record_id: Tells a record written twice after a lost answer from two records.
    """

    at: str
    instance: str
    document: int
    action: str
    subject: str
    outcome: str
    detail: str = ""
    record_id: str = dataclasses.field(default_factory=identity.new_id)

    def to_json(self) -> dict[str, typing.Any]:
        """Return the stored form."""
        return dataclasses.asdict(self)

    @classmethod
    def from_json(cls, value: dict[str, typing.Any]) -> "Record":
        """Return the record that a stored value describes."""
        return cls(**value)


@dataclasses.dataclass(frozen=True, slots=True)
class _Page:
    number: int
    version: int
    records: tuple[Record, ...]


class AuditTrail:
    """Collects records and writes them in batches.

    Args:
        name: Name of the trail, a failure domain's name or another fixed word; each
            has pages of its own.
    """

    def __init__(
        self, objects: store.Store, name: str, instance: str, time: clock.Clock
    ) -> None:
        self._store = objects
        self._name = name
        self._instance = instance
        self._clock = time
        self._pending: list[Record] = []
        self._write_lock = asyncio.Lock()

    @property
    def pending(self) -> int:
        """Records not yet in the store."""
        return len(self._pending)

    def add(
        self, document: int, action: str, subject: str, outcome: str, detail: str = ""
    ) -> None:
        """Add a record; it is written with the next batch."""
        at = self._clock.now().isoformat(timespec="milliseconds")
        self._pending.append(
            Record(at, self._instance, document, action, subject, outcome, detail)
        )
        if len(self._pending) > MAX_PENDING:
            _log.warn("audit record dropped", record=self._pending[0].record_id)
            del self._pending[0]

    async def run(self) -> None:
        """Write batches for ever."""
        while True:
            await self._clock.sleep(_BATCH_INTERVAL)
            await self.flush()

    async def flush(self) -> bool:
        """Write what waits; False if some of it still waits."""
        async with self._write_lock:
            for _ in range(_ATTEMPTS):
                if not self._pending:
                    return True
                page = await self._newest_page()
                if isinstance(page, store.Unavailable):
                    return False
                # After a lost answer some of the records may have got in; the page
                # is read again and shows them by their ids.
                self._drop_written(page.records)
                if len(page.records) >= RECORDS_PER_PAGE:
                    await self._start_next_page(page)
                elif not await self._append(page):
                    return False
        return not self._pending

    async def _append(self, page: _Page) -> bool:
        room = RECORDS_PER_PAGE - len(page.records)
        batch = tuple(self._pending[:room])
        if not batch:
            return True
        outcome = await self._store.put(
            PAGE_KIND,
            _page_name(self._name, page.number),
            {"records": [record.to_json() for record in page.records + batch]},
            if_version=page.version,
        )
        if isinstance(outcome, store.Written):
            self._drop_written(batch)
        return not isinstance(outcome, store.Unavailable) or outcome.effect_unknown

    def _drop_written(self, written: tuple[Record, ...]) -> None:
        ids = {record.record_id for record in written}
        self._pending = [r for r in self._pending if r.record_id not in ids]

    async def _newest_page(self) -> _Page | store.Unavailable:
        head = await self._store.get(HEAD_KIND, self._name)
        if isinstance(head, store.Unavailable):
            return head
        if isinstance(head, store.Absent):
            await self._store.put(HEAD_KIND, self._name, {"page": 0}, if_version=0)
        number = head.value["page"] if isinstance(head, store.Found) else 0
        page = await self._store.get(PAGE_KIND, _page_name(self._name, number))
        if isinstance(page, store.Unavailable):
            return page
        if isinstance(page, store.Absent):
            return _Page(number, 0, ())
        return _Page(number, page.version, _records(page.value))

    async def _start_next_page(self, full: _Page) -> None:
        head = await self._store.get(HEAD_KIND, self._name)
        if isinstance(head, store.Unavailable):
            return
        version = head.version if isinstance(head, store.Found) else 0
        number = head.value["page"] if isinstance(head, store.Found) else 0
        if number != full.number:
            return
        await self._store.put(
            HEAD_KIND, self._name, {"page": number + 1}, if_version=version
        )
        await self._remove_page(number + 1 - PAGES)

    async def _remove_page(self, number: int) -> None:
        if number < 0:
            return
        name = _page_name(self._name, number)
        old = await self._store.get(PAGE_KIND, name)
        if isinstance(old, store.Found):
            await self._store.delete(PAGE_KIND, name, if_version=old.version)


class AuditReader:
    """Reads the trail of every book."""

    def __init__(self, objects: store.Store) -> None:
        self._store = objects

    async def trail_names(self) -> tuple[str, ...] | store.Unavailable:
        """Return the names of the books."""
        listing = await self._store.list_objects(HEAD_KIND)
        if isinstance(listing, store.Unavailable):
            return listing
        return tuple(found.name for found in listing.objects)

    async def latest_across_trails(
        self, count: int
    ) -> tuple[Record, ...] | store.Unavailable:
        """Return the newest records over all books, oldest first."""
        trail_names = await self.trail_names()
        if isinstance(trail_names, store.Unavailable):
            return trail_names
        records: list[Record] = []
        for name in trail_names:
            found = await self.latest(name, count)
            if isinstance(found, store.Unavailable):
                return found
            records += found
        return tuple(sorted(records, key=lambda record: record.at)[-count:])

    async def latest(
        self, name: str, count: int = RECORDS_PER_PAGE
    ) -> tuple[Record, ...] | store.Unavailable:
        """Return the newest records of a book, oldest first."""
        head = await self._store.get(HEAD_KIND, name)
        if isinstance(head, store.Unavailable):
            return head
        number = head.value["page"] if isinstance(head, store.Found) else 0
        records: tuple[Record, ...] = ()
        while number >= 0 and len(records) < count:
            page = await self._store.get(PAGE_KIND, _page_name(name, number))
            if isinstance(page, store.Unavailable):
                return page
            if isinstance(page, store.Found):
                records = _records(page.value) + records
            elif records:
                break
            number -= 1
        # A record whose page filled up while its answer was lost can stand on two.
        unique = {record.record_id: record for record in records}
        return tuple(unique.values())[-count:]


def _records(value: dict[str, typing.Any]) -> tuple[Record, ...]:
    return tuple(Record.from_json(item) for item in value["records"])


def _page_name(name: str, number: int) -> str:
    return f"{name}.{number:08d}"
