"""Follows changes of objects in the platform's store.

If each of 370 instances held a watch, they would renew watches 18 times a second and
read a document 370 times for each change, although peers pass changes on anyway. So
only two instances of each failure domain, those ranked first among the reachable ones,
hold a watch, and all others poll for changes. Polling alone bounds the time until a
document is in force here, whatever the state of the links, of the watching instances
or of this instance's view of which instances watch.
"""

import datetime
import random
import typing

import logbook

from pimentolatch import backoff, clock, store
from pimentolatch.control import configuration, heads, local_document
from pimentolatch.membership import node, view_table, views

__all__ = ["DocumentHandler", "StoreWatcher", "ViewHandler"]

_log = logbook.Logger("configuration")
# A watch ends within the longest time between two checks. Its connection may fall
# silent and stay open, and other instances then find a change by a check.
_WATCH_WAIT = datetime.timedelta(seconds=5)
_WATCH_ANSWER_LIMIT = datetime.timedelta(seconds=2)
# A document must be in force within 11 s: at most 8 s until a check finds it, and 3 s
# to read it. With 370 instances this makes 62 reads per second.
_MIN_CHECK_INTERVAL = datetime.timedelta(seconds=4)
_MAX_CHECK_INTERVAL = datetime.timedelta(seconds=8)
_MIN_PAUSE = datetime.timedelta(seconds=0.5)
# Spreads the first calls of the fleet's instances over this time after an outage.
_MAX_PAUSE = datetime.timedelta(seconds=5)


class _Handler(typing.Protocol):
    kind: str

    async def handle(self, rows: tuple[store.Found, ...]) -> bool:
        """Handle changed objects; returns False to receive them again."""


class StoreWatcher:
    """Follows one kind of object by watching or polling the store.

    Args:
        watches: Returns whether this instance should hold a watch now.
    """

    def __init__(
        self,
        objects: store.Store,
        handler: _Handler,
        watches: typing.Callable[[], bool],
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._store = objects
        self._handler = handler
        self._watches = watches
        self._clock = time
        self._rng = rng

    async def run(self) -> None:
        """Follow changes until cancelled."""
        revision: int | None = None
        pauses = backoff.Backoff(_MIN_PAUSE, _MAX_PAUSE, self._rng)
        while True:
            watching = self._watches()
            changes = await self._changes(revision, watching)
            if isinstance(changes, store.Unavailable):
                _log.warn("platform unavailable", reason=changes.reason)
                await self._pause(pauses, changes.retry_after)
                continue
            if isinstance(changes, store.HistoryGone):
                revision = None
                continue
            if changes.changed and not await self._handler.handle(changes.changed):
                await self._pause(pauses, None)
                continue
            pauses.reset()
            revision = changes.revision
            if not watching:
                await self._clock.sleep(self._check_interval())

    async def _changes(
        self, revision: int | None, watching: bool
    ) -> store.Changes | store.HistoryGone | store.Unavailable:
        """Return the changes since `revision`; all objects if it is None."""
        if revision is None:
            listing = await self._store.list_objects(self._handler.kind)
            if isinstance(listing, store.Unavailable):
                return listing
            return store.Changes(listing.revision, listing.objects, ())
        return await self._store.watch(
            self._handler.kind,
            after=revision,
            wait=_WATCH_WAIT if watching else datetime.timedelta(),
            answer_limit=_WATCH_ANSWER_LIMIT,
        )

    async def _pause(
        self, pauses: backoff.Backoff, retry_after: datetime.timedelta | None
    ) -> None:
        # The platform may give all instances the same retry time, so jitter is added.
        at_least = retry_after or datetime.timedelta()
        await self._clock.sleep(at_least + pauses.next_pause())

    def _check_interval(self) -> datetime.timedelta:
        width = _MAX_CHECK_INTERVAL - _MIN_CHECK_INTERVAL
        return _MIN_CHECK_INTERVAL + width * self._rng.random()


class DocumentHandler:
    """Reads the document that a changed head names, and puts it in force."""

    kind = heads.HEAD_KIND

    def __init__(
        self,
        documents: configuration.ConfigurationObjects,
        document: local_document.LocalDocument,
    ) -> None:
        self._documents = documents
        self._document = document

    async def handle(self, rows: tuple[store.Found, ...]) -> bool:
        """See `_Handler.handle`."""
        head = heads.Head.from_json(rows[-1].value)
        if head.number <= self._document.known_number:
            return True
        read = await self._documents.read_parts(self._document.missing_parts(head))
        if isinstance(read, store.Unavailable):
            _log.warn("document unavailable", number=head.number, reason=read.reason)
            return False
        outcome = self._document.adopt(head, read)
        if isinstance(outcome, local_document.Unreadable):
            _log.error("unreadable", number=head.number, reason=outcome.reason)
            return False
        return True


class ViewHandler:
    """Passes domain views from the store to the node."""

    kind = views.DOMAIN_VIEW_KIND

    def __init__(self, own_node: node.Node) -> None:
        self._node = own_node

    async def handle(self, rows: tuple[store.Found, ...]) -> bool:
        """See `_Handler.handle`."""
        found = [view_table.view_from_object(row) for row in rows]
        self._node.adopt_views(found, complete=False)
        return True
