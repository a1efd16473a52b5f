"""Keeps an instance's configuration and servers in step with the platform's store."""

import datetime
import random
import typing
from collections import abc

import logbook

from pimentolatch import backoff, clock, store
from pimentolatch.decisions import missing_servers, watch_schedule
from pimentolatch.gateway import expired_entries, fleet_state
from pimentolatch.platform import configuration, objects, server_entries
from pimentolatch.routes import servers

__all__ = [
    "ConfigurationWatch",
    "ServerWatch",
    "Watch",
    "apply_configuration",
]

_log = logbook.Logger("watch")
_FIRST_PAUSE = datetime.timedelta(milliseconds=100)
# Server changes within this interval arrive in one answer. Without it, each store
# watcher made one call per server while 84 servers registered one after another: half
# of the 2,038 calls that 195 instances made in 50 s. The delay does no harm: a leaving
# server accepts requests for seconds, and a crash is noticed by failing requests.
_COALESCE_INTERVAL = datetime.timedelta(milliseconds=300)
_MILLISECOND = datetime.timedelta(milliseconds=1)
# Between two log lines while the store stays lost: a log that is cut short still tells.
_LOST_LOG_INTERVAL = datetime.timedelta(seconds=10)
# Longest list of servers in one log line.
_MAX_LOGGED = 10


def _never_stood_still(since: datetime.timedelta) -> datetime.timedelta:
    return datetime.timedelta()


class Watch:
    """Lists a kind, then watches its changes; lists again after an interruption.

    An interrupted watch may have missed changes that the store has since dropped from
    its history. A watch resumed at the old revision would miss them and receive nothing
    until the next change, so an interruption is always followed by a listing.

    Args:
        source: The platform's store.
        fleet: State that the objects are applied to.
        time: Clock of this instance.
        limits: How long the store may take to answer a watch.
        stood_still_since: Returns for how long this instance stood still since a
            moment.
        rng: Draws the pauses between calls that fail.

    Attributes:
        kind: Kind of the watched objects.
        coalesce_interval: Pause after changes, in which further ones accumulate.
        limits: How long the store may take to answer a watch.
        unreachable: Whether the last call to the store failed.
    """

    kind: typing.ClassVar[str]
    coalesce_interval: typing.ClassVar[datetime.timedelta] = datetime.timedelta()

    def __init__(
        self,
        source: objects.ObjectStore,
        fleet: fleet_state.FleetState,
        time: clock.Clock,
        limits: watch_schedule.WatchLimits,
        stood_still_since: abc.Callable[
            [datetime.timedelta], datetime.timedelta
        ] = _never_stood_still,
        rng: random.Random | None = None,
    ) -> None:
        self._stood_still_since = stood_still_since
        self._store = source
        self._fleet = fleet
        self._clock = time
        self.limits = limits
        self._pause = backoff.Backoff(
            _FIRST_PAUSE, limits.longest_pause, rng or random.Random()
        )
        self._revision: int | None = None
        self._answered_at = time.monotonic()
        self._unanswered_since = time.monotonic()
        self._latency = datetime.timedelta()
        self._lost_logged_at = time.monotonic()
        self.unreachable = False

    @property
    def confirmed_at(self) -> datetime.timedelta:
        """Time at which what is known of the kind last matched the store."""
        raise NotImplementedError

    @property
    def is_overdue(self) -> bool:
        """Whether what is known of the kind may be too old for an unseen change."""
        age = self._clock.monotonic() - self.confirmed_at
        return age >= self.limits.unconfirmed

    async def catch_up(self) -> bool:
        """List the kind once; return whether the store has answered."""
        return await self._list() is None

    async def run(self) -> None:
        """List, then watch the store; runs until cancelled."""
        self._revision = None
        self._answered_at = self._clock.monotonic()
        while True:
            begun = self._clock.monotonic()
            outcome = await (self._list() if self._revision is None else self._watch())
            if isinstance(outcome, store.Unavailable):
                self._record_failure(begun)
                self._log_lost(outcome)
                if not self.unreachable:
                    self._fleet.store_lost_at = self._clock.monotonic()
                self.unreachable = True
                self._revision = None
                await self._clock.sleep(self._pause.next_pause())
                continue
            if self.unreachable:
                _log.info("store regained", kind=self.kind, revision=self._revision)
            self.unreachable = False

    async def _list(self) -> store.Unavailable | None:
        begun = self._clock.monotonic()
        listing = await self._store.list_objects(self.kind)
        if isinstance(listing, store.Unavailable):
            return listing
        self._latency = self._clock.monotonic() - begun
        self._revision = listing.revision
        self._apply_listing(listing)
        self._answered_at = self._clock.monotonic()
        # Its pages may have been read since the call began.
        self._confirm(begun)
        return None

    async def _watch(self) -> store.Unavailable | None:
        assert self._revision is not None
        limits = self.limits
        begun = self._clock.monotonic()
        outcome = await self._store.watch(
            self.kind,
            after=self._revision,
            wait=limits.wait,
            answer_limit=limits.answer_limit(self._latency),
        )
        if isinstance(outcome, store.Unavailable):
            return outcome
        self._answered_at = self._clock.monotonic()
        # An answer that came while this instance stood still is older than it seems.
        matched_at = begun if self._stood_still_since(begun) else self._answered_at
        # Not after a listing: a store that answers no watch in time would be asked for
        # a listing of everything again and again without a pause.
        self._pause.reset()
        if isinstance(outcome, store.HistoryGone):
            _log.info("history gone, listing anew", kind=self.kind)
            self._revision = None
            return None
        self._revision = outcome.revision
        self._apply_changes(outcome)
        self._confirm(matched_at)
        if not outcome.changed and not outcome.removed:
            self._latency = self._clock.monotonic() - begun - limits.wait
        elif self.coalesce_interval:
            await self._clock.sleep(self.coalesce_interval)
        return None

    def _apply_listing(self, listing: store.Listing) -> None:
        raise NotImplementedError

    def _apply_changes(self, changes: store.Changes) -> None:
        raise NotImplementedError

    def _record_failure(self, begun: datetime.timedelta) -> None:
        """Record that a call failed that began at this time."""
        self._unanswered_since = begun

    def _log_lost(self, failure: store.Unavailable) -> None:
        """Log that a call has failed, and now and then that calls still do."""
        now = self._clock.monotonic()
        if self.unreachable and now - self._lost_logged_at < _LOST_LOG_INTERVAL:
            return
        self._lost_logged_at = now
        _log.warn(
            "store still lost" if self.unreachable else "store lost",
            kind=self.kind,
            reason=failure.reason,
            revision=self._revision,
            silent_ms=self._silent_ms(),
        )

    def _silent_ms(self) -> int:
        """Return the time since the store last answered a call of this watch."""
        silence = self._clock.monotonic() - self._answered_at
        return round(silence / _MILLISECOND)

    def _confirm(self, at: datetime.timedelta) -> None:
        """Record that what is known of the kind matched the store at this time."""
        raise NotImplementedError


class ConfigurationWatch(Watch):
    """Watches the operator's configuration."""

    kind = configuration.CONFIGURATION_KIND

    def _confirm(self, at: datetime.timedelta) -> None:
        self._fleet.confirm_configuration(at)

    @property
    def confirmed_at(self) -> datetime.timedelta:
        """See `Watch.confirmed_at`."""
        return self._fleet.configuration_confirmed_at

    def _apply_listing(self, listing: store.Listing) -> None:
        self._apply(listing.objects)

    def _apply_changes(self, changes: store.Changes) -> None:
        self._apply(changes.changed)

    def _apply(self, found: tuple[store.Found, ...]) -> None:
        for item in found:
            if item.name == configuration.CONFIGURATION_NAME:
                apply_configuration(self._fleet, item.value)


class ServerWatch(Watch):
    """Watches the backend servers.

    Args:
        source: The platform's store.
        fleet: State that the servers are applied to.
        expired_servers: Receives the servers missing from a listing after an outage.
        time: Clock of this instance.
        limits: How long the store may take to answer a watch.
        stood_still_since: See `Watch`.
        rng: See `Watch`.
    """

    kind = server_entries.SERVER_KIND
    coalesce_interval = _COALESCE_INTERVAL

    @property
    def confirmed_at(self) -> datetime.timedelta:
        """See `Watch.confirmed_at`."""
        return self._fleet.servers_confirmed_at

    def __init__(
        self,
        source: objects.ObjectStore,
        fleet: fleet_state.FleetState,
        expired_servers: expired_entries.ExpiredServers,
        time: clock.Clock,
        limits: watch_schedule.WatchLimits,
        stood_still_since: abc.Callable[
            [datetime.timedelta], datetime.timedelta
        ] = _never_stood_still,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__(source, fleet, time, limits, stood_still_since, rng)
        self._expired = expired_servers
        self._unusable: set[str] = set()

    async def read_changes(
        self, limit: datetime.timedelta
    ) -> store.Changes | store.HistoryGone | store.Unavailable:
        """Read and apply what has changed since the known list, without waiting.

        Args:
            limit: How long the store may take to answer.

        Returns:
            `store.HistoryGone` if everything was listed anew instead.
        """
        begun = self._clock.monotonic()
        outcome = await self.changes_since(self._fleet.servers_revision, limit)
        if isinstance(outcome, store.HistoryGone):
            return await self._list() or outcome
        if isinstance(outcome, store.Changes):
            self._apply_changes(outcome)
            self._confirm(begun)
        return outcome

    async def changes_since(
        self, revision: int, limit: datetime.timedelta
    ) -> store.Changes | store.HistoryGone | store.Unavailable:
        """Read what has changed since a revision, without applying it.

        Args:
            revision: The revision.
            limit: How long the store may take to answer.
        """
        return await self._store.watch(
            self.kind, after=revision, wait=_MILLISECOND, answer_limit=limit
        )

    def _record_failure(self, begun: datetime.timedelta) -> None:
        super()._record_failure(begun)
        self._fleet.store_return.record_failure(self._clock.monotonic())

    def _apply_listing(self, listing: store.Listing) -> None:
        named = {item.name for item in listing.objects}
        self._unusable &= named
        listed = self._decode_usable(listing.objects)
        until = self._grace_periods(listing)
        is_current = missing_servers.is_current(self._list_age())
        back_by = None if is_current else self._back_by()
        known = self._fleet.servers.all()
        kept = [server for server in known if server.server_id in until]
        if kept:
            self._log_kept(kept, listing)
        usable = {server.server_id for server in listed}
        if self._fleet.replace_servers(
            listing.revision, [*listed, *kept], unreadable=named - usable
        ):
            self._expired.replace(until, back_by)

    def _grace_periods(self, listing: store.Listing) -> dict[str, datetime.timedelta]:
        """Return until when servers without an entry are kept, by server id."""
        named = {item.name for item in listing.objects}
        grace_ends_at = missing_servers.grace_ends_at(self._away_since())
        # A listing soon after another one does not end what that one has granted.
        until = {
            name: at for name, at in self._expired.until().items() if name not in named
        }
        if not missing_servers.is_current(self._list_age()):
            until = {name: max(at, grace_ends_at) for name, at in until.items()}
        known = {server.server_id for server in self._fleet.servers.all()}
        missing = known - named
        if not missing:
            return until
        gap = missing_servers.ListingGap(
            self._list_age(),
            self._stood_still_since(self._fleet.servers_confirmed_at),
            len(missing),
            self._count_survivors(known, listing),
        )
        if missing_servers.may_have_expired(gap):
            for name in missing:
                until.setdefault(name, grace_ends_at)
        return until

    def _away_since(self) -> datetime.timedelta:
        """Return a time before which the store's last outage did not end."""
        return max(self._unanswered_since, self._fleet.servers_confirmed_at)

    def _back_by(self) -> datetime.timedelta:
        """Return by when entries of running servers are back for certain."""
        away_since = self._away_since()
        return missing_servers.upper_bound(
            away_since, self._stood_still_since(away_since), self._clock.monotonic()
        )

    def _count_survivors(self, known: set[str], listing: store.Listing) -> int:
        """Return how many known servers' entries have never been removed."""
        revision = self._fleet.servers_revision
        return sum(
            item.name in known and item.created <= revision for item in listing.objects
        )

    def _list_age(self) -> datetime.timedelta:
        """Return the time since the known list matched the store."""
        return self._clock.monotonic() - self._fleet.servers_confirmed_at

    def _log_kept(self, kept: list[servers.Server], listing: store.Listing) -> None:
        _log.warn(
            "servers kept whose entries are missing",
            servers=[server.server_id for server in kept[:_MAX_LOGGED]],
            missing=len(kept),
            listed=len(listing.objects),
            revision=listing.revision,
            silent_ms=self._silent_ms(),
            list_age_ms=round(self._list_age() / _MILLISECOND),
            stood_still_ms=round(
                self._stood_still_since(self._fleet.servers_confirmed_at) / _MILLISECOND
            ),
        )

    def _confirm(self, at: datetime.timedelta) -> None:
        self._fleet.confirm_servers(at)

    def _apply_changes(self, changes: store.Changes) -> None:
        self._unusable -= set(changes.removed)
        usable = self._decode_usable(changes.changed)
        # An invalid entry supersedes a valid one of the same name: it no longer
        # describes a server, so the server is removed.
        named = {server.server_id for server in usable}
        unusable = [item.name for item in changes.changed if item.name not in named]
        if self._fleet.update_servers(
            changes.revision, usable, changes.removed, unusable
        ):
            self._expired.confirm(changes.removed)
            self._expired.confirm(item.name for item in changes.changed)
        else:
            # A peer's list was faster. It may keep servers that are removed here.
            self._expired.remove(changes.removed)

    def _decode_usable(self, found: tuple[store.Found, ...]) -> list[servers.Server]:
        """Decode the valid entries; log each entry that has become invalid."""
        usable = []
        for item in found:
            decoded = server_entries.decode(
                item.name,
                item.value,
                created_revision=item.created,
                revision=item.version,
            )
            if isinstance(decoded, servers.Server):
                usable.append(decoded)
                self._unusable.discard(item.name)
            elif item.name not in self._unusable:
                self._unusable.add(item.name)
                _log.warn("entry passed over", name=item.name, reason=decoded.reason)
        return usable


def apply_configuration(fleet: fleet_state.FleetState, spec: typing.Any) -> bool:
    """Apply a configuration if it is valid and newer; return whether it was applied."""
    try:
        decoded = configuration.decode(spec)
    except configuration.DECODE_ERRORS as error:
        _log.error("configuration not understood", reason=repr(error))
        return False
    if not fleet.configure(decoded, spec):
        return False
    _log.info("configuration in force", version=decoded.version)
    return True
