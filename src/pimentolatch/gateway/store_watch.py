"""Keeps what an instance knows up to date with the platform's store."""

import datetime
import random
import typing

import logbook

from pimentolatch import backoff, clock, store
from pimentolatch.gateway import expired_entries, fleet_state
from pimentolatch.platform import configuration, entries, objects
from pimentolatch.routes import servers

__all__ = [
    "ConfigurationWatch",
    "ServerWatch",
    "apply_configuration",
]

_log = logbook.Logger("watch")
# The store answers a waiting watch at the latest after this; the connection's own
# probes notice a silent one long before.
_WATCH_TIMEOUT = datetime.timedelta(seconds=30)
_FIRST_PAUSE = datetime.timedelta(milliseconds=100)
# With the store out, every instance of a domain asks for it: one call a second each.
_LONGEST_PAUSE = datetime.timedelta(seconds=2)
# Changes of servers that follow within this come with one answer. While 84 servers
# register one by one, each of a domain's readers asked once for each of them: half of
# the 2,038 calls that 195 instances made in 50 seconds. A leaving server may be sent
# requests for seconds yet, and one that crashed is noticed by its requests.
_COALESCE_INTERVAL = datetime.timedelta(milliseconds=300)
# Entries expire after three heartbeats of silence. A store that was away for less has
# dropped none by mistake.
_MIN_EXPIRY = datetime.timedelta(seconds=2.5)


class _Watch:
    """Lists a kind, then follows its changes; lists anew after a gap.

    A watch that broke off may have missed changes whose history the store has dropped
    meanwhile. Going on from the old revision would then wait, hearing nothing, until
    the next change; so what follows a break is always a listing.

    Attributes:
        lost: The store did not answer the last call.
        gathered: Changes are gathered at the store for this long after an answer.
    """

    kind: typing.ClassVar[str]
    coalesce_interval: typing.ClassVar[datetime.timedelta] = datetime.timedelta()

    def __init__(
        self,
        source: objects.ObjectStore,
        fleet: fleet_state.FleetState,
        time: clock.Clock,
    ) -> None:
        self._store = source
        self._fleet = fleet
        self._clock = time
        self._pause = backoff.Backoff(_FIRST_PAUSE, _LONGEST_PAUSE, random.Random())
        self._revision: int | None = None
        self.unreachable = False

    async def catch_up(self) -> None:
        """List the kind once."""
        if await self._step() is None:
            self._on_response()

    async def run(self) -> None:
        """Follow the store for ever, from a listing on."""
        self._revision = None
        while True:
            outcome = await self._step()
            if isinstance(outcome, store.Unavailable):
                if not self.unreachable:
                    _log.warn("store lost", kind=self.kind, reason=outcome.reason)
                self.unreachable = True
                self._revision = None
                await self._clock.sleep(self._pause.next_pause())
                continue
            if self.unreachable:
                _log.info("store regained", kind=self.kind, revision=self._revision)
            self.unreachable = False
            self._on_response()
            self._pause.reset()

    async def _step(self) -> store.Unavailable | None:
        if self._revision is None:
            listing = await self._store.list_objects(self.kind)
            if isinstance(listing, store.Unavailable):
                return listing
            self._revision = listing.revision
            self._apply_listing(listing)
            return None
        outcome = await self._store.watch(
            self.kind, after=self._revision, wait=_WATCH_TIMEOUT
        )
        if isinstance(outcome, store.Unavailable):
            return outcome
        if isinstance(outcome, store.HistoryGone):
            _log.info("history gone, listing anew", kind=self.kind)
            self._revision = None
            return None
        self._revision = outcome.revision
        self._apply_changes(outcome)
        if self.coalesce_interval:
            await self._clock.sleep(self.coalesce_interval)
        return None

    def _apply_listing(self, listing: store.Listing) -> None:
        raise NotImplementedError

    def _apply_changes(self, changes: store.Changes) -> None:
        raise NotImplementedError

    def _on_response(self) -> None:
        """Note that the store has answered."""


class ConfigurationWatch(_Watch):
    """Follows the operator's configuration."""

    kind = configuration.CONFIGURATION_KIND

    def _apply_listing(self, listing: store.Listing) -> None:
        self._apply(listing.objects)

    def _apply_changes(self, changes: store.Changes) -> None:
        self._apply(changes.changed)

    def _apply(self, found: tuple[store.Found, ...]) -> None:
        for item in found:
            if item.name == configuration.CONFIGURATION_NAME:
                apply_configuration(self._fleet, item.value)


class ServerWatch(_Watch):
    """Follows the backend servers.

    Args:
        expired: Takes the servers that a listing lacks after the store was away.
    """

    kind = entries.SERVER_KIND
    coalesce_interval = _COALESCE_INTERVAL

    def __init__(
        self,
        source: objects.ObjectStore,
        fleet: fleet_state.FleetState,
        expired_servers: expired_entries.ExpiredServers,
        time: clock.Clock,
    ) -> None:
        super().__init__(source, fleet, time)
        self._expired = expired_servers
        self._unusable: set[str] = set()

    def _apply_listing(self, listing: store.Listing) -> None:
        away = self._clock.monotonic() - self._fleet.servers_confirmed_at
        self._unusable &= {item.name for item in listing.objects}
        listed = self._decode_usable(listing.objects)
        missing: list[servers.Server] = []
        if away >= _MIN_EXPIRY and self._fleet.servers_listed:
            named = {item.name for item in listing.objects}
            known = self._fleet.servers.all()
            missing = [server for server in known if server.server_id not in named]
        self._expired.replace(server.server_id for server in missing)
        self._fleet.replace_servers(listing.revision, [*listed, *missing])

    def _on_response(self) -> None:
        self._fleet.servers_confirmed_at = self._clock.monotonic()

    def _apply_changes(self, changes: store.Changes) -> None:
        self._expired.confirm(changes.removed)
        self._expired.confirm(item.name for item in changes.changed)
        self._unusable -= set(changes.removed)
        usable = self._decode_usable(changes.changed)
        # An entry that can't be used replaces a good one: it names no server now.
        named = {server.server_id for server in usable}
        unusable = [item.name for item in changes.changed if item.name not in named]
        self._fleet.update_servers(
            changes.revision, usable, [*changes.removed, *unusable]
        )

    def _decode_usable(self, found: tuple[store.Found, ...]) -> list[servers.Server]:
        """Return the servers that entries name; log each that becomes unusable."""
        usable = []
        for item in found:
            decoded = entries.decode(item.name, item.value)
            if isinstance(decoded, servers.Server):
                usable.append(decoded)
                self._unusable.discard(item.name)
            elif item.name not in self._unusable:
                self._unusable.add(item.name)
                _log.warn("entry passed over", name=item.name, reason=decoded.reason)
        return usable


def apply_configuration(fleet: fleet_state.FleetState, spec: typing.Any) -> bool:
    """Put a configuration in force if it is newer; tells whether it was."""
    try:
        decoded = configuration.decode(spec)
    except configuration.UNREADABLE as error:
        _log.error("configuration not understood", reason=repr(error))
        return False
    if not fleet.configure(decoded, spec):
        return False
    _log.info("configuration in force", version=decoded.version)
    return True
