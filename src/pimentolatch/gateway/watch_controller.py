"""Watches the platform's store while this instance is one of its domain's watchers.

Only a few instances of each failure domain watch the store; they pass changes on to the
others by beacons and snapshots. An instance that these do not reach watches it too.
"""

import asyncio
import datetime

import logbook

from pimentolatch import clock, tasks
from pimentolatch.decisions import store_readers
from pimentolatch.gateway import fleet_state, settings, store_watch
from pimentolatch.gateway.peers import peer_table

__all__ = ["WatchController"]

_log = logbook.Logger("watch")
# After its start an instance only receives beacons for this long. Otherwise, in a fleet
# whose instances start at the same time, each server that registers would trigger a
# watch of every instance. Meanwhile the first listing is used, and newer state is
# fetched from peers.
_SETTLING = datetime.timedelta(seconds=1)
# A part of the time that is left for a listing once the state is overdue.
_CHECK_INTERVAL = datetime.timedelta(milliseconds=100)


class WatchController:
    """Starts and stops the watches of the store.

    Args:
        own_name: Name of this instance.
        fleet: Local fleet state.
        table: Lists the other candidates for watching the store.
        watches: Watch one kind of object each.
        time: Clock of this instance.
    """

    def __init__(
        self,
        own_name: str,
        fleet: fleet_state.FleetState,
        table: peer_table.PeerTable,
        watches: tuple[store_watch.ConfigurationWatch, store_watch.ServerWatch],
        time: clock.Clock,
    ) -> None:
        self._name = own_name
        self._fleet = fleet
        self._table = table
        self._watches = watches
        self._clock = time
        self._running: list[asyncio.Task[None]] = []
        self._hysteresis = store_readers.ReadingHysteresis()

    def apply(self, bounds: settings.BoundSettings) -> None:
        """Apply new settings; a watch that waits keeps the limits that it has."""
        configuration_watch, server_watch = self._watches
        configuration_watch.limits = bounds.configuration_watch
        server_watch.limits = bounds.server_watch

    async def run(self) -> None:
        """Watch the store whenever this domain needs it; runs until cancelled."""
        try:
            await asyncio.gather(*(watch.catch_up() for watch in self._watches))
            await self._clock.sleep(_SETTLING)
            while True:
                self._check()
                await self._clock.sleep(_CHECK_INTERVAL)
        finally:
            self._stop()

    def _check(self) -> None:
        now = self._clock.monotonic()
        is_reader = store_readers.is_reader(self._name, self._table.readers(), now)
        overdue = [watch.kind for watch in self._watches if watch.is_overdue]
        if overdue and not is_reader and not self._running:
            _log.warn("peers do not confirm what is known", kinds=overdue)
        if self._hysteresis.reads(now, is_reader=is_reader, is_overdue=bool(overdue)):
            self._start()
        else:
            self._stop()
        self._fleet.watches_store = bool(self._running)
        configuration_watch, server_watch = self._watches
        self._fleet.configuration_unreachable = configuration_watch.unreachable
        self._fleet.servers_unreachable = server_watch.unreachable

    def _start(self) -> None:
        if self._running:
            return
        _log.info("reading the store")
        for watch in self._watches:
            supervised = tasks.keep_running(watch.kind, watch.run, self._clock)
            self._running.append(asyncio.create_task(supervised))

    def _stop(self) -> None:
        if not self._running:
            return
        _log.info(
            "leaving the store to others",
            readers=self._table.readers(),
        )
        for task in self._running:
            task.cancel()
        self._running = []
        for watch in self._watches:
            watch.unreachable = False
