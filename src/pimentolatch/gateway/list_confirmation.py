"""Has the store confirm the list of servers at a moment that a decision needs.

The list is confirmed about once a second, by an answer that may have been on its way
for a while, or by a peer that has one. That says nothing about what has happened since.
A decision that must not miss what other instances know already asks here: the store is
read by a call that begins afterwards.
"""

import asyncio
import datetime
import typing
from collections import abc

import logbook

from pimentolatch import clock, store
from pimentolatch.decisions import list_continuity
from pimentolatch.gateway import fleet_state, store_watch

__all__ = ["ListConfirmation"]

_log = logbook.Logger("watch")
# A caller waits this long at most: longer than a read of a store in another region
# takes, and short against the pause after which a client would come back.
_TIME_LIMIT = datetime.timedelta(milliseconds=800)
_READ_LIMIT = datetime.timedelta(milliseconds=600)
# After a read that failed, callers are told at once for this long.
_FAILURE_PAUSE = datetime.timedelta(milliseconds=500)
# Reads a second of all instances together, a part of what the store allows.
_FLEET_READS_PER_S = 1000
_SECOND = datetime.timedelta(seconds=1)


class ListConfirmation:
    """Reads the changes of the servers on demand, once for all who wait.

    Args:
        fleet: State that the changes are applied to.
        watch: Returns what reads the servers from the store.
        recall: Reads what was listed before this instance started.
        instances: Returns the number of instances in the fleet.
        time: Clock of this instance.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        watch: abc.Callable[[], store_watch.ServerWatch],
        recall: abc.Callable[
            [], abc.Coroutine[typing.Any, typing.Any, store.Unavailable | None]
        ],
        instances: abc.Callable[[], int],
        time: clock.Clock,
    ) -> None:
        self._fleet = fleet
        self._watch = watch
        self._recall = recall
        self._instances = instances
        self._clock = time
        self._continuity = list_continuity.ListContinuity()
        self._on_unseen: list[abc.Callable[[datetime.timedelta], None]] = []
        self._one_at_a_time = asyncio.Lock()
        self._next: asyncio.Task[bool] | None = None
        self._tasks: set[asyncio.Task[bool]] = set()
        self._next_at = datetime.timedelta()
        self._failing_until = datetime.timedelta()
        fleet.on_change(self._observe)

    def on_unseen(self, call: abc.Callable[[datetime.timedelta], None]) -> None:
        """Register a callback for servers that may have been listed unseen.

        It gets the monotonic time until which they may have been.
        """
        self._on_unseen.append(call)

    async def confirm(self) -> bool:
        """Have the list confirmed as of a time after this call.

        Returns:
            Whether the store has answered in time. The list holds its answer then.
        """
        is_failing = self._clock.monotonic() < self._failing_until
        if is_failing or self._watch().unreachable:
            return False
        if self._next is None:
            self._next = asyncio.create_task(self._read_next())
            self._tasks.add(self._next)
            self._next.add_done_callback(self._tasks.discard)
        try:
            async with asyncio.timeout(_TIME_LIMIT.total_seconds()):
                # A request that is cancelled must not cancel what others wait for.
                return await asyncio.shield(self._next)
        except TimeoutError:
            return False

    def close(self) -> None:
        """Cancel the reads in progress."""
        for task in self._tasks:
            task.cancel()

    async def _read_next(self) -> bool:
        async with self._one_at_a_time:
            pause = self._next_at - self._clock.monotonic()
            if pause > datetime.timedelta():
                await self._clock.sleep(pause)
            # Whoever asks from here on needs a read that begins later.
            self._next = None
            now = self._clock.monotonic()
            if now < self._failing_until:
                return False
            self._next_at = now + self._instances() * _SECOND / _FLEET_READS_PER_S
            failure = await self._read()
            if failure is None:
                return True
            self._fail(failure)
            return False

    def _fail(self, failure: store.Unavailable) -> None:
        pause = max(_FAILURE_PAUSE, failure.retry_after or _FAILURE_PAUSE)
        self._failing_until = self._clock.monotonic() + pause
        _log.warn("servers not confirmed by the store", reason=failure.reason)

    async def _read(self) -> store.Unavailable | None:
        outcome = await self._watch().read_changes(_READ_LIMIT)
        if isinstance(outcome, store.Unavailable):
            return outcome
        gap = self._continuity.gap
        failure = None if gap is None else await self._look_into(gap)
        return failure or await self._recall()

    async def _look_into(self, gap: list_continuity.Gap) -> store.Unavailable | None:
        """Find out whether servers came and went in a gap between two lists."""
        outcome = await self._watch().changes_since(gap.revision, _READ_LIMIT)
        if isinstance(outcome, store.Unavailable):
            return outcome
        if isinstance(outcome, store.HistoryGone):
            self._continuity.drop(gap)
            unseen = True
        else:
            unseen = self._continuity.close(gap, outcome.removed)
        if unseen:
            _log.info("servers may have come and gone unseen", after=gap.revision)
            for call in self._on_unseen:
                call(gap.ended_at)
        return None

    def _observe(self) -> None:
        fleet = self._fleet
        self._continuity.observe(
            fleet.servers_revision,
            (server.server_id for server in fleet.servers.all()),
            fleet.servers_confirmed_at,
            self._clock.monotonic(),
        )
