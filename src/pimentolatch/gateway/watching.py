"""Keeps what an instance knows up to date with the platform's store."""

import datetime
import random
import typing

import logbook

from pimentolatch import clock
from pimentolatch.gateway import knowledge
from pimentolatch.platform import backoff, configuration, entries, objects, store

__all__ = ["ConfigurationWatch", "ServerWatch"]

_log = logbook.Logger("watch")
# The store answers a waiting watch at the latest after this; the connection's own
# probes notice a silent one long before.
_WAIT = datetime.timedelta(seconds=30)
_FIRST_PAUSE = datetime.timedelta(milliseconds=100)
_LONGEST_PAUSE = datetime.timedelta(seconds=1)


class _Watch:
    """Lists a kind, then follows its changes; lists anew after a gap."""

    kind: typing.ClassVar[str]

    def __init__(
        self,
        source: objects.ObjectStore,
        known: knowledge.Knowledge,
        time: clock.Clock,
    ) -> None:
        self._store = source
        self._known = known
        self._clock = time
        self._pause = backoff.Backoff(_FIRST_PAUSE, _LONGEST_PAUSE, random.Random())
        self._revision: int | None = None

    async def run(self) -> None:
        """Follow the store for ever."""
        lost = False
        while True:
            outcome = await self._step()
            if isinstance(outcome, store.Unavailable):
                if not lost:
                    _log.warn("store lost", kind=self.kind, reason=outcome.reason)
                lost = True
                await self._clock.sleep(self._pause.next_pause())
                continue
            if lost:
                _log.info("store regained", kind=self.kind, revision=self._revision)
            lost = False
            self._pause.reset()

    async def _step(self) -> store.Unavailable | None:
        if self._revision is None:
            listing = await self._store.list_objects(self.kind)
            if isinstance(listing, store.Unavailable):
                return listing
            self._revision = listing.revision
            self._listed(listing)
            return None
        outcome = await self._store.watch(self.kind, after=self._revision, wait=_WAIT)
        if isinstance(outcome, store.Unavailable):
            return outcome
        if isinstance(outcome, objects.HistoryGone):
            _log.info("history gone, listing anew", kind=self.kind)
            self._revision = None
            return None
        self._revision = outcome.revision
        self._changed(outcome)
        return None

    def _listed(self, listing: store.Listing) -> None:
        raise NotImplementedError

    def _changed(self, changes: objects.Changes) -> None:
        raise NotImplementedError


class ConfigurationWatch(_Watch):
    """Follows the operator's configuration."""

    kind = configuration.CONFIGURATION_KIND

    def _listed(self, listing: store.Listing) -> None:
        self._take(listing.objects)

    def _changed(self, changes: objects.Changes) -> None:
        self._take(changes.changed)

    def _take(self, found: tuple[store.Found, ...]) -> None:
        for item in found:
            if item.name != configuration.CONFIGURATION_NAME:
                continue
            try:
                decoded = configuration.decode(item.value)
            except (KeyError, TypeError, ValueError) as error:
                _log.error("configuration not understood", reason=repr(error))
                continue
            if self._known.configure(decoded):
                _log.info("configuration in force", version=decoded.version)


class ServerWatch(_Watch):
    """Follows the backend servers."""

    kind = entries.SERVER_KIND

    def _listed(self, listing: store.Listing) -> None:
        self._known.list_servers(listing.revision, _servers(listing.objects))

    def _changed(self, changes: objects.Changes) -> None:
        self._known.change_servers(
            changes.revision, _servers(changes.changed), changes.removed
        )


def _servers(found: tuple[store.Found, ...]) -> list[typing.Any]:
    listed = []
    for item in found:
        try:
            listed.append(entries.decode(item.name, item.value))
        except (KeyError, TypeError, ValueError) as error:
            _log.error("entry not understood", name=item.name, reason=repr(error))
    return listed
