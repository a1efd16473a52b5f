"""Removes parts of documents that no head names any more."""

import logbook

from pimentolatch import store
from pimentolatch.control import configuration, heads

__all__ = ["PartCollector"]

_log = logbook.Logger("configuration")
_COLLECT_INTERVAL = 16


class PartCollector:
    """Collects garbage after some of the documents that were accepted here."""

    def __init__(
        self,
        objects: store.Store,
        documents: configuration.ConfigurationObjects,
    ) -> None:
        self._store = objects
        self._documents = documents

    def is_due(self, number: int) -> bool:
        """Tell whether the submitter of this document should collect."""
        return number % _COLLECT_INTERVAL == 0

    async def collect(self) -> int:
        """Remove parts that are certainly not needed; returns how many.

        A submission under way has written parts that no head names yet. Removing one
        would leave a head whose document nobody can read. So the parts are listed
        first, and then the head is written again as it is: every submission that
        wrote a listed part was based on the head before, and fails at its conditional
        update. Only after that are the listed parts removed that the head lacks.
        """
        listing = await self._store.list_objects(heads.PART_KIND)
        if isinstance(listing, store.Unavailable):
            return 0
        current = await self._documents.current()
        if isinstance(current, store.Unavailable) or current.head is None:
            return 0
        fenced = await self._store.put(
            heads.HEAD_KIND,
            heads.HEAD_NAME,
            current.head.to_json(),
            if_version=current.version,
        )
        if not isinstance(fenced, store.Written):
            return 0
        removed = 0
        for row in listing.objects:
            if row.name not in current.head.parts:
                outcome = await self._store.delete(
                    heads.PART_KIND, row.name, if_version=row.version
                )
                removed += isinstance(outcome, store.Written)
        _log.info("parts removed", removed=removed)
        return removed
