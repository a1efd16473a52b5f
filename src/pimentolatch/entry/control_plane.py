"""Puts together what an instance needs to agree with its peers and the platform."""

import asyncio
import datetime
import random
import typing

from pimentolatch import call_budget, clock, fleet, metrics, settings, store, tasks
from pimentolatch.control import collector, configuration, keeper, spread, watcher
from pimentolatch.decisions import work_reports
from pimentolatch.entry import peer_metrics
from pimentolatch.membership import (
    incarnations,
    leaving,
    links,
    peering,
    share_spread,
    view_table,
    views,
)
from pimentolatch.platform import objects
from pimentolatch.requests import suspect_completions

__all__ = ["ControlPlane", "NoShares"]

# Two, so that the loss of one leaves no gap; both ask the platform for changes.
_WATCHERS = 2
_LEAVING_HOLD = datetime.timedelta(seconds=120)


class NoShares:
    """Stands for a share table where nobody looks at peers' work."""

    def update(self, peer: str, work: work_reports.WorkReport) -> None:
        """See `share_spread.ShareTable.update`."""

    def forget(self, peer: str) -> None:
        """See `share_spread.ShareTable.forget`."""


class ControlPlane:
    """The platform, the peers, and the documents and views they bring.

    Args:
        source: Returns the work of this instance, for peers.
        table: Takes the peers' work.
        crashes: Completions that have ended engines, for peers.
    """

    def __init__(
        self,
        chosen: settings.EntrySettings,
        own_fleet: fleet.Fleet,
        *,
        time: clock.Clock,
        measured: metrics.Metrics,
        crashes: suspect_completions.SuspectCompletions | None = None,
        source: typing.Callable[[], work_reports.WorkReport] = work_reports.WorkReport,
        table: share_spread.ShareTable | None = None,
    ) -> None:
        self._clock = time
        chance = random.Random()
        dial_address = chosen.peers.dial_address
        self._own = incarnations.Identity(
            incarnations.new_incarnation(chosen.instance, time),
            chosen.failure_domain,
            dial_address.host,
            dial_address.port,
        )
        self._http = objects.ObjectStore(
            chosen.platform.address,
            datetime.timedelta(seconds=chosen.platform.call_timeout_s),
            time,
        )
        self._store = call_budget.BudgetedStore(
            self._http,
            call_budget.CallBudget(chosen.platform.calls_per_second, time),
            measured,
        )
        self._documents = configuration.ConfigurationObjects(self._store, time, chance)
        self._keeper = keeper.DocumentKeeper(own_fleet, time)
        self._table = view_table.ViewTable(own_fleet.adopt_view, self._keeper.release)
        self._links = links.Links(
            self._own, chosen.peers.address, time, chosen.peers.suspect_after_s
        )
        self._spread = spread.DocumentSpread(self._keeper, self._links, time, chance)
        interval = datetime.timedelta(seconds=chosen.peers.heartbeat_interval_s)
        self._leaving = leaving.LeavingServers(
            time, _LEAVING_HOLD, own_fleet.set_leaving
        )
        crashes = crashes or suspect_completions.SuspectCompletions(time)
        self._peering = peering.Peering(
            self._own,
            chosen.peers,
            objects=self._store,
            documents=self._spread,
            table=self._table,
            spread=share_spread.ShareSpread(
                source, table or NoShares(), time, interval
            ),
            leaving_servers=self._leaving,
            crashes=crashes,
            time=time,
            chance=chance,
            peer_links=self._links,
        )
        crashes.on_news(self._peering.node.tell_crashes)
        self._keeper.on_adopted(self._peering.node.configuration_changed)
        self._collector = collector.PartCollector(self._store, self._documents)
        self._followers = (
            watcher.StoreFollower(
                self._store,
                watcher.DocumentFollower(self._documents, self._keeper),
                lambda: self._peering.rank("documents") < _WATCHERS,
                time,
                chance,
            ),
            watcher.StoreFollower(
                self._store,
                watcher.ViewFollower(self._peering.node),
                lambda: self._peering.rank("views") < _WATCHERS,
                time,
                chance,
            ),
        )
        self._tasks: list[asyncio.Task[typing.Any]] = []
        peer_metrics.show(measured, self._figures())

    @property
    def incarnation(self) -> str:
        """This process."""
        return self._own.incarnation

    @property
    def store(self) -> store.Store:
        """The platform, within this instance's budget of calls."""
        return self._store

    @property
    def acknowledgements(self) -> views.Acknowledgements:
        """Who routes by which domain view."""
        return self._peering

    @property
    def known_incarnations(self) -> frozenset[str]:
        """Incarnations that may still send requests, this one included."""
        known = self._peering.node.acknowledged.known
        return frozenset(introduction.incarnation for introduction in known)

    @property
    def leaving_servers(self) -> frozenset[str] | None:
        """Backend servers that leave; None before this instance read the list."""
        return self._leaving.known

    @property
    def near_instances(self) -> frozenset[str]:
        """Instances of the own failure domain that can be heard, this one included."""
        near = self._peering.node.members.steady(self._own.failure_domain)
        names = {incarnations.instance_of(name) for name in near}
        return frozenset(names | {self._own.instance})

    @property
    def instance_count(self) -> int:
        """Instances of the whole fleet, by the platform's list as last read."""
        return max(len(self._peering.instances), len(self.near_instances))

    @property
    def waits_for(self) -> str:
        """What an instance that is not ready still lacks."""
        if not self._table.complete:
            return "the domain views, from the platform or a peer that has them"
        return "a configuration, from the platform or a peer that has it"

    def status(self) -> dict[str, typing.Any]:
        """Return what operators see of the peers and the configuration's spread."""
        spread_time = self._spread.spread_time
        delay = self._keeper.delay
        return {
            "incarnation": self._own.incarnation,
            "peers": sorted(self._links.linked),
            "suspected": list(self._peering.suspected),
            "views": self._table.numbers,
            "views_known": self._table.complete,
            "peers_behind": self._spread.peers_behind,
            "in_force_after_s": None if delay is None else delay.total_seconds(),
            "peers_had_it_after_s": None
            if spread_time is None
            else spread_time.total_seconds(),
            "peer_bytes_sent": self._links.bytes_sent,
            "peer_bytes_received": self._links.bytes_received,
            "peer_frames": self._links.frames,
        }

    def _figures(self) -> dict[str, tuple[str, typing.Callable[[], float]]]:
        return {
            "peers": ("Linked peers.", lambda: len(self._links.linked)),
            "peers_suspected": (
                "Processes that neither this instance nor a peer hears.",
                lambda: len(self._peering.suspected),
            ),
            "peers_behind": (
                "Linked peers with an older document.",
                lambda: self._spread.peers_behind,
            ),
            "configuration_in_force_seconds": (
                "Time from the last document's submission to its adoption here.",
                lambda: _seconds(self._keeper.delay),
            ),
            "configuration_at_peers_seconds": (
                "Time from adoption here until every linked peer had the document.",
                lambda: _seconds(self._spread.spread_time),
            ),
            "peer_bytes_sent": (
                "Bytes of frames sent to peers.",
                lambda: self._links.bytes_sent,
            ),
        }

    async def submit(
        self, submission: configuration.Submission
    ) -> configuration.Outcome:
        """Put a document in force; see `ConfigurationObjects.submit`."""
        submission = await asyncio.to_thread(configuration.with_pieces, submission)
        outcome = await self._documents.submit(submission)
        if isinstance(outcome, configuration.Accepted) and not outcome.replaced_by:
            self._keeper.adopt_submitted(outcome.head, submission)
            if self._collector.is_due(outcome.head.number):
                self._collect()
        return outcome

    def _collect(self) -> None:
        task = asyncio.create_task(self._collector.collect())
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    async def start(self) -> None:
        """Start; raises `OSError` if the peers' address can't be had."""
        await self._peering.start()
        for follower in self._followers:
            kept = tasks.keep_running("follower", follower.run, self._clock)
            self._tasks.append(asyncio.create_task(kept))

    async def stop(self) -> None:
        """Stop; called when this instance sends nothing to anybody any more."""
        running = tuple(self._tasks)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        await self._peering.stop()
        self._http.close()


def _seconds(duration: datetime.timedelta | None) -> float:
    return float("nan") if duration is None else duration.total_seconds()
