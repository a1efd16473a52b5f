"""Keeps this instance up with objects of the platform's store.

Weighed: 370 instances that each hold a watch would re-arm 18 times a second and take
a document from the store 370 times for each change; peers spread changes anyway. So two
instances of each failure domain, those that rank first among the ones that can be
reached, hold watches, and every instance asks now and then what changed since. Those
checks bound the time until a document is in force here by themselves, whatever became
of the links, the watchers or this instance's idea of who watches.
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
_WATCH_WAIT = datetime.timedelta(seconds=20)
# A document has to be in force within 11 s, so a check that finds it comes at most 8 s
# after it, and 3 s are left to read it. At 370 instances this makes 62 reads a second.
_MIN_CHECK_INTERVAL = datetime.timedelta(seconds=4)
_MAX_CHECK_INTERVAL = datetime.timedelta(seconds=8)
_MIN_PAUSE = datetime.timedelta(seconds=0.5)
# After an outage the fleet's first calls are spread over this time.
_MAX_PAUSE = datetime.timedelta(seconds=5)


class _Handler(typing.Protocol):
    kind: str

    async def handle(self, rows: tuple[store.Found, ...]) -> bool:
        """Take changed objects; False to be shown them again."""


class StoreWatcher:
    """A task that follows one kind of object for ever.

    Args:
        watches: Tells whether this instance is now one of those that hold a watch.
    """

    def __init__(
        self,
        objects: store.Store,
        handler: _Handler,
        watches: typing.Callable[[], bool],
        time: clock.Clock,
        chance: random.Random,
    ) -> None:
        self._store = objects
        self._handler = handler
        self._watches = watches
        self._clock = time
        self._chance = chance

    async def run(self) -> None:
        """Follow for ever."""
        revision: int | None = None
        pauses = backoff.Backoff(_MIN_PAUSE, _MAX_PAUSE, self._chance)
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
        """Return what is new: everything at first and after a gap."""
        if revision is None:
            listing = await self._store.list_objects(self._handler.kind)
            if isinstance(listing, store.Unavailable):
                return listing
            return store.Changes(listing.revision, listing.objects, ())
        wait = _WATCH_WAIT if watching else datetime.timedelta()
        return await self._store.watch(self._handler.kind, after=revision, wait=wait)

    async def _pause(
        self, pauses: backoff.Backoff, retry_after: datetime.timedelta | None
    ) -> None:
        # The platform may ask all instances to return after the same time.
        at_least = retry_after or datetime.timedelta()
        await self._clock.sleep(at_least + pauses.next_pause())

    def _check_interval(self) -> datetime.timedelta:
        width = _MAX_CHECK_INTERVAL - _MIN_CHECK_INTERVAL
        return _MIN_CHECK_INTERVAL + width * self._chance.random()


class DocumentHandler:
    """Reads documents that the head names and hands them to the keeper."""

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
    """Hands domain views of the store to the node."""

    kind = views.DOMAIN_VIEW_KIND

    def __init__(self, own_node: node.Node) -> None:
        self._node = own_node

    async def handle(self, rows: tuple[store.Found, ...]) -> bool:
        """See `_Handler.handle`."""
        found = [view_table.view_from_object(row) for row in rows]
        self._node.adopt_views(found, complete=False)
        return True
