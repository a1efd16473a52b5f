"""Servers whose store entries expired during an outage, kept for a grace period.

Entries expire while the store is down and reappear within about two seconds after it is
back. If an instance removed these servers at once, it would have no server left to send
requests to.
"""

import datetime
from collections import abc

import logbook

from pimentolatch import clock
from pimentolatch.gateway import fleet_state

__all__ = ["GRACE", "ExpiredServers"]

_log = logbook.Logger("watch")
GRACE = datetime.timedelta(seconds=2)
_CHECK_INTERVAL = datetime.timedelta(milliseconds=250)


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
        fleet.kept_until = self._until

    async def run(self) -> None:
        """Remove servers whose grace period has ended; runs until cancelled."""
        while True:
            await self._clock.sleep(_CHECK_INTERVAL)
            now = self._clock.monotonic()
            over = [name for name, at in self._until.items() if now >= at]
            for name in over:
                del self._until[name]
            if over:
                _log.info(
                    "servers did not come back",
                    servers=over,
                )
                self._fleet.remove_servers(over)

    def replace(self, left: abc.Mapping[str, datetime.timedelta]) -> None:
        """Replace the set of servers with expired entries.

        Args:
            left: Remaining grace period by server.
        """
        now = self._clock.monotonic()
        self._until = {name: now + span for name, span in left.items()}
        self._fleet.kept_until = self._until

    def confirm(self, names: abc.Iterable[str]) -> None:
        """Discard these servers from the set: the store has reported on them."""
        for name in names:
            self._until.pop(name, None)

    def remaining(self) -> dict[str, datetime.timedelta]:
        """Return the remaining grace period of each server."""
        now = self._clock.monotonic()
        return {name: at - now for name, at in self._until.items()}
