"""Object table of the platform: versions, conditional updates and watches."""

import asyncio
import copy
import dataclasses
import json
import typing

__all__ = [
    "ObjectTable",
    "RawJson",
    "Row",
    "ValueTooLargeError",
    "VersionConflictError",
]

MAX_VALUE_BYTES = 1_000_000


class VersionConflictError(Exception):
    """The object's version differs from the one that the write expects.

    Attributes:
        version: Current version of the object; 0 if it is absent.
    """

    def __init__(self, version: int) -> None:
        super().__init__(version)
        self.version = version


class ValueTooLargeError(Exception):
    """The value exceeds `MAX_VALUE_BYTES`."""


@dataclasses.dataclass(frozen=True, slots=True)
class RawJson:
    """A value that is served as it is, since no encoder here would write it."""

    text: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """An object.

    Attributes:
        version: Revision of the store at the object's last write; orders all writes.
        created: Revision of the store at its creation.
        value: JSON value or `RawJson`; None if the object is deleted.
    """

    name: str
    version: int
    created: int
    value: typing.Any


class ObjectTable:
    """All objects, in memory, with one revision counter for all kinds.

    Attributes:
        history: (kind, row) of all writes, in order.
        compacted_revision: Changes up to this revision can no longer be watched.
    """

    def __init__(self) -> None:
        self._revision = 0
        self._rows: dict[str, dict[str, Row]] = {}
        self._changed = asyncio.Condition()
        self.history: list[tuple[str, Row]] = []
        self.compacted_revision = 0

    @property
    def revision(self) -> int:
        """Revision of the last write of any kind."""
        return self._revision

    def get(self, kind: str, name: str) -> Row | None:
        """Return an object, or None if it is absent."""
        row = self._rows.get(kind, {}).get(name)
        return row if row is not None and row.value is not None else None

    def list_objects(self, kind: str, prefix: str = "") -> list[Row]:
        """Return the objects of a kind whose names start with a prefix, by name."""
        rows = self._rows.get(kind, {}).values()
        found = [r for r in rows if r.value is not None and r.name.startswith(prefix)]
        return sorted(found, key=lambda row: row.name)

    def changes(self, kind: str, after: int) -> list[Row]:
        """Return the rows of a kind written after a revision, including deletions."""
        rows = [r for r in self._rows.get(kind, {}).values() if r.version > after]
        return sorted(rows, key=lambda row: row.version)

    async def put(
        self, kind: str, name: str, value: typing.Any, if_version: int
    ) -> Row:
        """Write an object if its version is `if_version` (0: it is absent).

        Raises:
            VersionConflictError: If the object has another version.
            ValueTooLargeError: If the value is too large.
        """
        text = value.text if isinstance(value, RawJson) else json.dumps(value)
        if len(text) > MAX_VALUE_BYTES:
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
        """Delete an object if its version is `if_version`; returns None if absent.

        Raises:
            VersionConflictError: If the object has another version.
        """
        if self.get(kind, name) is None:
            return None
        return await self.put(kind, name, None, if_version)

    def compact_history(self) -> None:
        """Discard the changes so far; a watch from before them must list again."""
        self.compacted_revision = self._revision

    async def wait(self, kind: str, after: int, seconds: float) -> list[Row]:
        """Return the changes of a kind after a revision; waits until there is one.

        Returns:
            The changes; an empty list if there is none within `seconds`.
        """
        try:
            async with asyncio.timeout(seconds), self._changed:
                await self._changed.wait_for(lambda: self.changes(kind, after))
        except TimeoutError:
            return []
        return self.changes(kind, after)
