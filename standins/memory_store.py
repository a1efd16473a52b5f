"""In-memory store of the platform with injected faults, for logic tests.

It wraps the object table of the platform stand-in, so versions and conditional updates
behave as they do between processes. Several stores that share a table represent several
instances, each with its own link to the platform.
"""

import asyncio
import dataclasses
import datetime
import typing
from collections import abc

from pimentolatch import bounded_json, clock, store
from standins import object_table

__all__ = ["MemoryStore", "Pause", "StoreFaults", "no_pause"]

# Hook awaited before the effect of a call and again before its response, with a name
# such as `put order-slots` or `put order-slots done`.
Pause = typing.Callable[[str], abc.Awaitable[None]]

_OUTAGE = store.Unavailable("outage", effect_unknown=False)
_NO_TIME = datetime.timedelta()
_POLL_INTERVAL = datetime.timedelta(milliseconds=100)
# How long after the end of its wait a call is given up, as by the client of the store.
_CALL_TIMEOUT = datetime.timedelta(seconds=1)


async def no_pause(point: str) -> None:
    """Return without a pause."""


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Faults on the links to a store; several stores can share one object.

    Attributes:
        outage: All calls fail without an effect.
        cut: Names of links whose calls fail without an effect.
        lost_replies: Number of the next writes that take effect, but whose response is
            lost.
        late_writes: Number of the next writes that take effect only after
            `late_write_delay`; the caller learns at once that the outcome is unknown.
        delay: Time before the effect of each call.
        silenced: How often the open connections have fallen silent: calls that wait
            then get no answer any more, new ones do.
    """

    outage: bool = False
    cut: set[str] = dataclasses.field(default_factory=set)
    lost_replies: int = 0
    late_writes: int = 0
    late_write_delay: datetime.timedelta = datetime.timedelta(seconds=5)
    delay: datetime.timedelta = _NO_TIME
    silenced: int = 0

    def clear(self) -> None:
        """Remove all faults."""
        self.outage = False
        self.cut.clear()
        self.lost_replies = self.late_writes = 0
        self.delay = _NO_TIME


class MemoryStore:
    """`store.Store` on an object table.

    Args:
        table: Objects; the instances of a test share one table.
        time: Clock for delays.
        link: Name of this store's link in `StoreFaults.cut`.
        faults: Injected faults; None for a store that never fails.
        instances: Returns the platform's current instance list.
        pause: Hook awaited before each effect and each response, so that a test can
            schedule them.
    """

    def __init__(
        self,
        table: object_table.ObjectTable,
        *,
        time: clock.Clock,
        link: str = "",
        faults: StoreFaults | None = None,
        instances: typing.Callable[[], tuple[store.Instance, ...]] = tuple,
        pause: Pause = no_pause,
    ) -> None:
        self._table = table
        self._clock = time
        self._link = link
        self._faults = StoreFaults() if faults is None else faults
        self._instances = instances
        self._pause = pause
        self._late_writes: set[asyncio.Task[None]] = set()
        self.calls = 0

    async def get(
        self, kind: str, name: str
    ) -> store.Found | store.Absent | store.Unavailable:
        """See `store.Store.get`."""
        if failed := await self._start_call(f"get {kind}"):
            return failed
        row = self._table.get(kind, name)
        await self._pause(f"get {kind} done")
        if row is None:
            return store.Absent(name)
        return store.Found(name, row.version, _value(row))

    async def put(
        self, kind: str, name: str, value: store.Json, *, if_version: int
    ) -> store.Written | store.Conflict | store.Unavailable:
        """See `store.Store.put`."""
        if failed := await self._start_call(f"put {kind}"):
            return failed
        if self._faults.late_writes > 0:
            self._faults.late_writes -= 1
            self._write_late(kind, name, value, if_version)
            return store.Unavailable("late write", effect_unknown=True)
        outcome = await self._write(kind, name, value, if_version)
        await self._pause(f"put {kind} done")
        if self._faults.lost_replies > 0:
            self._faults.lost_replies -= 1
            return store.Unavailable("lost reply", effect_unknown=True)
        return outcome

    async def delete(
        self, kind: str, name: str, *, if_version: int
    ) -> store.Written | store.Absent | store.Conflict | store.Unavailable:
        """See `store.Store.delete`."""
        if failed := await self._start_call(f"delete {kind}"):
            return failed
        if self._table.get(kind, name) is None:
            return store.Absent(name)
        outcome = await self._write(kind, name, None, if_version)
        await self._pause(f"delete {kind} done")
        return outcome

    async def list_objects(
        self, kind: str, prefix: str = ""
    ) -> store.Listing | store.Unavailable:
        """See `store.Store.list_objects`."""
        if failed := await self._start_call(f"list {kind}"):
            return failed
        listing = self._listing(self._table.list_objects(kind, prefix))
        await self._pause(f"list {kind} done")
        return listing

    async def watch(
        self,
        kind: str,
        *,
        after: int,
        wait: datetime.timedelta,
        answer_limit: datetime.timedelta | None = None,
    ) -> store.Changes | store.HistoryGone | store.Unavailable:
        """See `store.Store.watch`; polls the table by the clock of this store."""
        limit = answer_limit or _CALL_TIMEOUT
        if self._faults.delay > limit:
            return await self._unanswered(self._clock.monotonic() + wait + limit)
        if failed := await self._start_call(f"watch {kind}"):
            return failed
        deadline = self._clock.monotonic() + wait
        silenced = self._faults.silenced
        while not self._table.changes(kind, after):
            if self._clock.monotonic() >= deadline or self._unreachable:
                break
            await self._clock.sleep(_POLL_INTERVAL)
            if self._faults.silenced != silenced:
                return await self._unanswered(deadline + limit)
        if after < self._table.compacted_revision:
            return store.HistoryGone()
        rows = self._table.changes(kind, after)
        return store.Changes(
            self._table.revision,
            tuple(_found(row) for row in rows if row.value is not None),
            tuple(row.name for row in rows if row.value is None),
        )

    async def instances(self) -> tuple[store.Instance, ...] | store.Unavailable:
        """See `store.Store.instances`."""
        if failed := await self._start_call("instances"):
            return failed
        return self._instances()

    async def _unanswered(self, deadline: datetime.timedelta) -> store.Unavailable:
        """Wait for an answer that does not come, as long as a caller would."""
        while self._clock.monotonic() < deadline:
            await self._clock.sleep(_POLL_INTERVAL)
        return store.Unavailable("no answer", effect_unknown=False)

    @property
    def _unreachable(self) -> bool:
        return self._faults.outage or self._link in self._faults.cut

    async def _start_call(self, call: str) -> store.Unavailable | None:
        self.calls += 1
        await self._pause(call)
        if self._faults.delay > _NO_TIME:
            await self._clock.sleep(self._faults.delay)
        return _OUTAGE if self._unreachable else None

    async def _write(
        self, kind: str, name: str, value: store.Json, if_version: int
    ) -> store.Written | store.Conflict:
        try:
            row = await self._table.put(kind, name, value, if_version)
        except object_table.VersionConflictError as conflict:
            return store.Conflict(conflict.version)
        return store.Written(row.version)

    def _write_late(
        self, kind: str, name: str, value: store.Json, if_version: int
    ) -> None:
        async def write() -> None:
            await self._clock.sleep(self._faults.late_write_delay)
            await self._write(kind, name, value, if_version)

        task = asyncio.create_task(write())
        self._late_writes.add(task)
        task.add_done_callback(self._late_writes.discard)

    def _listing(self, rows: list[object_table.Row]) -> store.Listing:
        return store.Listing(self._table.revision, tuple(_found(row) for row in rows))


def _found(row: object_table.Row) -> store.Found:
    return store.Found(row.name, row.version, _value(row), row.created)


def _value(row: object_table.Row) -> typing.Any:
    if not isinstance(row.value, object_table.RawJson):
        return row.value
    value = bounded_json.loads(row.value.text).value
    return bounded_json.first_unreadable(value) or value
