"""Servers whose store entries expired during an outage, kept for a grace period.

Entries expire while the store is down and reappear within about two seconds after it is
back. If an instance removed these servers at once, it would have no server left to send
requests to.
"""

import asyncio
import datetime
from collections import abc

import logbook

from pimentolatch import clock
from pimentolatch.decisions import missing_servers
from pimentolatch.gateway import fleet_state

__all__ = ["ExpiredServers"]

_log = logbook.Logger("watch")
_CHECK_INTERVAL = datetime.timedelta(milliseconds=50)


class ExpiredServers:
    """Servers that are still used although they are missing from the store's listing.

    Args:
        fleet: State from which a server is removed when its grace period ends.
        time: Clock of this instance.
    """

    def __init__(self, fleet: fleet_state.FleetState, time: clock.Clock) -> None:
        self._fleet = fleet
        self._clock = time
        self._until: dict[str, datetime.timedelta] = {}
        self._back_by = datetime.timedelta()
        self._any = asyncio.Event()
        fleet.kept_until = self._until

    async def run(self) -> None:
        """Remove servers whose grace period has ended; runs until cancelled."""
        while True:
            await self._any.wait()
            await self._clock.sleep(self._next_check())
            self._remove_overdue()
            if not self._until:
                self._any.clear()

    def replace(
        self,
        until: abc.Mapping[str, datetime.timedelta],
        back_by: datetime.timedelta | None = None,
    ) -> None:
        """Replace the servers that are kept.

        Args:
            until: End of the grace period by server, by this instance's clock.
            back_by: By when entries of running servers are back for certain; None for
                what is known already.
        """
        self._until = dict(until)
        if back_by is not None:
            self._back_by = back_by
        self._fleet.kept_until = self._until
        if self._until:
            self._any.set()

    def confirm(self, names: abc.Iterable[str]) -> None:
        """Discard these servers from the set: the store has reported on them."""
        for name in names:
            self._until.pop(name, None)

    def remove(self, names: abc.Iterable[str]) -> None:
        """Remove those of these servers that are kept: the store has removed them."""
        kept = [name for name in names if self._until.pop(name, None) is not None]
        if kept:
            self._fleet.remove_servers(kept)

    def until(self) -> abc.Mapping[str, datetime.timedelta]:
        """Return the end of the grace period of each server, by the clock."""
        return self._until

    def remaining(self) -> dict[str, datetime.timedelta]:
        """Return the grace period left, to tell peers; negative if it is extended."""
        now = self._clock.monotonic()
        return {
            name: missing_servers.told_end(self._until[name], end) - now
            for name, end in self._ends().items()
        }

    def _ends(self) -> dict[str, datetime.timedelta]:
        """Return when each server is given up."""
        kept = len(self._until)
        listed = len(self._fleet.servers.all()) - kept
        return {
            name: missing_servers.ends_at(
                at,
                kept=kept,
                listed=listed,
                back_by=self._back_by,
                answered_by=self._fleet.store_return.answered_by,
            )
            for name, at in self._until.items()
        }

    def _next_check(self) -> datetime.timedelta:
        now = self._clock.monotonic()
        left = min((at - now for at in self._until.values()), default=_CHECK_INTERVAL)
        if left <= datetime.timedelta():
            return _CHECK_INTERVAL
        return min(left, _CHECK_INTERVAL)

    def _remove_overdue(self) -> None:
        now = self._clock.monotonic()
        confirmed_at = self._fleet.servers_confirmed_at
        followed = self._fleet.follows_servers(now)
        over = [
            name
            for name, end in self._ends().items()
            if now >= end
            and missing_servers.is_known_missing(end, confirmed_at, followed=followed)
        ]
        for name in over:
            del self._until[name]
        if over:
            _log.info("servers did not come back", servers=over)
            self._fleet.remove_servers(over)
