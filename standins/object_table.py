"""The platform's object table: versions, conditional updates and watches."""

import asyncio
import copy
import dataclasses
import json
import typing

__all__ = ["ObjectTable", "Row", "ValueTooLargeError", "VersionConflictError"]

MAX_VALUE_BYTES = 1_000_000


class VersionConflictError(Exception):
    """The object's version is not the one the write named."""

    def __init__(self, version: int) -> None:
        super().__init__(version)
        self.version = version


class ValueTooLargeError(Exception):
    """The value is over the platform's limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """An object; `version` orders all writes, `value` None is removed.

    Attributes:
        version: Revision of the store at the object's last write.
        created: Revision of the store at its creation.
    """

    name: str
    version: int
    created: int
    value: typing.Any


class ObjectTable:
    """All objects, in memory, with one count of revisions for all.

    Attributes:
        history: Every write in order, with its kind.
        compacted_revision: Changes before this revision are forgotten.
    """

    def __init__(self) -> None:
        self._revision = 0
        self._rows: dict[str, dict[str, Row]] = {}
        self._changed = asyncio.Condition()
        self.history: list[tuple[str, Row]] = []
        self.compacted_revision = 0

    @property
    def revision(self) -> int:
        """Number of the last write of any kind."""
        return self._revision

    def get(self, kind: str, name: str) -> Row | None:
        """Return an object, or None."""
        row = self._rows.get(kind, {}).get(name)
        return row if row is not None and row.value is not None else None

    def list_objects(self, kind: str, prefix: str = "") -> list[Row]:
        """Return the objects of a kind by prefix of their names, by name."""
        rows = self._rows.get(kind, {}).values()
        found = [r for r in rows if r.value is not None and r.name.startswith(prefix)]
        return sorted(found, key=lambda row: row.name)

    def changes(self, kind: str, after: int) -> list[Row]:
        """Return the rows of a kind written after a revision, removals included."""
        rows = [r for r in self._rows.get(kind, {}).values() if r.version > after]
        return sorted(rows, key=lambda row: row.version)

    async def put(
        self, kind: str, name: str, value: typing.Any, if_version: int
    ) -> Row:
        """Write an object whose version must be `if_version` (0: absent)."""
        if len(json.dumps(value)) > MAX_VALUE_BYTES:
            raise ValueTooLargeError
        current = self._rows.get(kind, {}).get(name)
        present = current is not None and current.value is not None
        visible_version = current.version if current is not None and present else 0
        if visible_version != if_version:
            raise VersionConflictError(visible_version)
        self._revision += 1
        created = current.created if current is not None and present else self._revision
        row = Row(name, self._revision, created, copy.deepcopy(value))
        self._rows.setdefault(kind, {})[name] = row
        self.history.append((kind, row))
        async with self._changed:
            self._changed.notify_all()
        return row

    async def delete(self, kind: str, name: str, if_version: int) -> Row | None:
        """Remove an object whose version must be `if_version`; None if absent."""
        if self.get(kind, name) is None:
            return None
        return await self.put(kind, name, None, if_version)

    def compact_history(self) -> None:
        """Drop the changes so far; whoever watches from before them must list anew."""
        self.compacted_revision = self._revision

    async def wait(self, kind: str, after: int, seconds: float) -> list[Row]:
        """Return changes of a kind after a revision, waiting until there is one."""
        try:
            async with asyncio.timeout(seconds), self._changed:
                await self._changed.wait_for(lambda: self.changes(kind, after))
        except TimeoutError:
            return []
        return self.changes(kind, after)
