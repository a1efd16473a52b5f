"""Writes and reads the audit trail.

Records are stored in pages of one object each, so a batch of records costs one write; a
head object names the newest page. The number of pages is bounded: starting a page
deletes the oldest. Several instances may write: each write is conditional, and after a
version conflict the page is read again and the records are appended to its new content.
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
# 100 records of about 300 bytes are far below the store's limit of 1 MB per value. 64
# pages hold about a day of a failure domain's share of 3,700 changes and their steps.
RECORDS_PER_PAGE = 100
PAGES = 64
# Beyond this the oldest records are dropped, so that a long outage of the platform does
# not exhaust the instance's memory.
MAX_PENDING = 2000
_ATTEMPTS = 4
_BATCH_INTERVAL = datetime.timedelta(seconds=2)

_log = logbook.Logger("audit")


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Audit record of one change.

    Attributes:
        at: Wall time in UTC, ISO 8601.
        instance: Incarnation that made the change.
        document: Number of the document that the change belongs to.
        action: What was done, such as `order` or `return to service`.
        subject: Backend server or failure domain that was changed.
        outcome: Result of the action.
        detail: Order id, target or reason.
        record_id: Unique id, to detect a record that was written twice after a lost
            response.
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
        """Return the record as it is stored."""
        return dataclasses.asdict(self)

    @classmethod
    def from_json(cls, value: dict[str, typing.Any]) -> "Record":
        """Return the record of a stored value."""
        return cls(**value)


@dataclasses.dataclass(frozen=True, slots=True)
class _Page:
    number: int
    version: int
    records: tuple[Record, ...]


class AuditTrail:
    """Buffers records and writes them in batches.

    Args:
        name: Name of the trail: a failure domain or another fixed word. Each trail
            has its own pages.
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
        """Number of records not yet in the store."""
        return len(self._pending)

    def add(
        self, document: int, action: str, subject: str, outcome: str, detail: str = ""
    ) -> None:
        """Queue a record for the next batch."""
        at = self._clock.now().isoformat(timespec="milliseconds")
        self._pending.append(
            Record(at, self._instance, document, action, subject, outcome, detail)
        )
        if len(self._pending) > MAX_PENDING:
            _log.warn(
                "audit record dropped: too many pending",
                record=self._pending[0].record_id,
            )
            del self._pending[0]

    async def run(self) -> None:
        """Write pending records in batches; never returns."""
        while True:
            await self._clock.sleep(_BATCH_INTERVAL)
            await self.flush()

    async def flush(self) -> bool:
        """Write the pending records; False if some are still pending."""
        async with self._write_lock:
            for _ in range(_ATTEMPTS):
                if not self._pending:
                    return True
                page = await self._newest_page()
                if isinstance(page, store.Unavailable):
                    return False
                # After a lost response some pending records may be stored already: the
                # page that was just read contains their ids.
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
    """Reads all audit trails."""

    def __init__(self, objects: store.Store) -> None:
        self._store = objects

    async def trail_names(self) -> tuple[str, ...] | store.Unavailable:
        """Return the names of all trails."""
        listing = await self._store.list_objects(HEAD_KIND)
        if isinstance(listing, store.Unavailable):
            return listing
        return tuple(found.name for found in listing.objects)

    async def latest_across_trails(
        self, count: int
    ) -> tuple[Record, ...] | store.Unavailable:
        """Return the newest records of all trails together, oldest first."""
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
        """Return the newest records of a trail, oldest first."""
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
        # A record can be on two pages if the response to its write was lost and the
        # page filled up meanwhile.
        unique = {record.record_id: record for record in records}
        return tuple(unique.values())[-count:]


def _records(value: dict[str, typing.Any]) -> tuple[Record, ...]:
    return tuple(Record.from_json(item) for item in value["records"])


def _page_name(name: str, number: int) -> str:
    return f"{name}.{number:08d}"
