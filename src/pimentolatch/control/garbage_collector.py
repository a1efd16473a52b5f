"""Removes document parts that the head no longer references."""

import logbook

from pimentolatch import store
from pimentolatch.control import configuration, heads

__all__ = ["PartCollector"]

_log = logbook.Logger("configuration")
_COLLECT_INTERVAL = 16


class PartCollector:
    """Removes unreferenced parts; due after every 16th document."""

    def __init__(
        self,
        objects: store.Store,
        documents: configuration.ConfigurationObjects,
    ) -> None:
        self._store = objects
        self._documents = documents

    def is_due(self, number: int) -> bool:
        """Return whether to collect after the document with this number."""
        return number % _COLLECT_INTERVAL == 0

    async def collect(self) -> int:
        """Remove unreferenced parts; returns how many were removed.

        A submission in progress has written parts that no head references yet.
        Removing one of them would leave a head with an incomplete document. So the
        parts are listed first, and then the head is rewritten unchanged. Every
        submission that wrote a listed part is based on the earlier version of the
        head, so its conditional update fails. Only then are listed parts that the
        head does not reference removed.
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
        _log.info("unreferenced document parts removed", removed=removed)
        return removed
