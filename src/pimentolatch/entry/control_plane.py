"""Control plane of an instance: platform store, peers, documents and domain views."""

import asyncio
import datetime
import random
import typing

from pimentolatch import call_budget, clock, fleet, metrics, settings, store, tasks
from pimentolatch.control import (
    configuration,
    document_exchange,
    garbage_collector,
    local_document,
    store_watch,
)
from pimentolatch.decisions import work_reports
from pimentolatch.entry import peer_metrics
from pimentolatch.membership import (
    incarnations,
    leaving_servers,
    links,
    peering,
    view_table,
    views,
    work_exchange,
)
from pimentolatch.platform import objects
from pimentolatch.requests import suspect_completions

__all__ = ["ControlPlane", "NullReportTable"]

# Two instances poll the platform for changes, so that the loss of one leaves no gap.
_WATCHERS = 2
_LEAVING_HOLD = datetime.timedelta(seconds=120)


class NullReportTable:
    """Report table that ignores peers' work reports."""

    def update(self, peer: str, work: work_reports.WorkReport) -> None:
        """See `work_exchange.PeerWorkTable.update`."""

    def forget(self, peer: str) -> None:
        """See `work_exchange.PeerWorkTable.forget`."""


class ControlPlane:
    """Connects an instance to the platform and its peers.

    It receives the fleet's documents and domain views from both, and exchanges work
    reports and crash notices with peers.

    Args:
        chosen: Settings of this instance.
        own_fleet: Receives documents, domain views and leaving backend servers.
        time: Clock of all parts.
        measured: Metrics of this instance.
        crashes: Completions suspected of crashing engines, shared with peers.
        report_source: Returns the work report of this instance, sent to peers.
        report_table: Receives the peers' work reports; None ignores them.
    """

    def __init__(
        self,
        chosen: settings.EntrySettings,
        own_fleet: fleet.Fleet,
        *,
        time: clock.Clock,
        measured: metrics.Metrics,
        crashes: suspect_completions.SuspectCompletions | None = None,
        report_source: typing.Callable[
            [], work_reports.WorkReport
        ] = work_reports.WorkReport,
        report_table: work_exchange.PeerWorkTable | None = None,
    ) -> None:
        self._clock = time
        rng = random.Random()
        dial_address = chosen.peers.dial_address
        self._identity = incarnations.Identity(
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
        self._documents = configuration.ConfigurationObjects(self._store, time, rng)
        self._local_document = local_document.LocalDocument(own_fleet, time)
        self._table = view_table.ViewTable(
            own_fleet.adopt_view, self._local_document.set_views_known
        )
        self._links = links.Links(
            self._identity, chosen.peers.address, time, chosen.peers.suspect_after_s
        )
        self._document_exchange = document_exchange.DocumentExchange(
            self._local_document, self._links, time, rng
        )
        interval = datetime.timedelta(seconds=chosen.peers.heartbeat_interval_s)
        self._leaving = leaving_servers.LeavingServers(
            time, _LEAVING_HOLD, own_fleet.set_leaving
        )
        crashes = crashes or suspect_completions.SuspectCompletions(time)
        self._peering = peering.Peering(
            self._identity,
            chosen.peers,
            objects=self._store,
            documents=self._document_exchange,
            table=self._table,
            work=work_exchange.WorkExchange(
                report_source, report_table or NullReportTable(), time, interval
            ),
            leaving=self._leaving,
            crashes=crashes,
            time=time,
            rng=rng,
            peer_links=self._links,
        )
        crashes.on_update(self._peering.node.send_crash_notices)
        self._local_document.on_adopted(self._peering.node.configuration_changed)
        self._collector = garbage_collector.PartCollector(self._store, self._documents)
        self._store_watchers = (
            store_watch.StoreWatcher(
                self._store,
                store_watch.DocumentHandler(self._documents, self._local_document),
                lambda: self._peering.rank("documents") < _WATCHERS,
                time,
                rng,
            ),
            store_watch.StoreWatcher(
                self._store,
                store_watch.ViewHandler(self._peering.node),
                lambda: self._peering.rank("views") < _WATCHERS,
                time,
                rng,
            ),
        )
        self._tasks: list[asyncio.Task[typing.Any]] = []
        peer_metrics.register(measured, self._gauges())

    @property
    def incarnation(self) -> str:
        """The incarnation of this process."""
        return self._identity.incarnation

    @property
    def store(self) -> store.Store:
        """The platform's store, limited to this instance's call budget."""
        return self._store

    @property
    def acknowledgements(self) -> views.Acknowledgements:
        """Which domain view each instance routes by."""
        return self._peering

    @property
    def known_incarnations(self) -> frozenset[str]:
        """Incarnations that may still send requests, this one included."""
        known = self._peering.node.acknowledged.known
        return frozenset(introduction.incarnation for introduction in known)

    @property
    def leaving_servers(self) -> frozenset[str] | None:
        """Backend servers that are leaving; None until the platform's list is read."""
        return self._leaving.known

    @property
    def domain_instances(self) -> frozenset[str]:
        """Reachable instances of the own failure domain, including this one."""
        near = self._peering.node.detector.steady(self._identity.failure_domain)
        names = {incarnations.instance_of(name) for name in near}
        return frozenset(names | {self._identity.instance})

    @property
    def instance_count(self) -> int:
        """Number of instances in the fleet, by the platform's list as last read."""
        return max(len(self._peering.instances), len(self.domain_instances))

    @property
    def waits_for(self) -> str:
        """What this instance still needs before it is ready."""
        if not self._table.complete:
            return "the domain views, from the platform or a peer"
        return "a configuration, from the platform or a peer"

    def status(self) -> dict[str, typing.Any]:
        """Return the state of the peers and of the configuration's dissemination."""
        dissemination_time = self._document_exchange.dissemination_time
        delay = self._local_document.adoption_delay
        return {
            "incarnation": self._identity.incarnation,
            "peers": sorted(self._links.linked),
            "suspected": list(self._peering.suspected),
            "views": self._table.numbers,
            "views_known": self._table.complete,
            "peers_behind": self._document_exchange.peers_behind,
            "in_force_after_s": None if delay is None else delay.total_seconds(),
            "peers_had_it_after_s": None
            if dissemination_time is None
            else dissemination_time.total_seconds(),
            "peer_bytes_sent": self._links.bytes_sent,
            "peer_bytes_received": self._links.bytes_received,
            "peer_frames": self._links.frames,
        }

    def _gauges(self) -> dict[str, tuple[str, typing.Callable[[], float]]]:
        return {
            "peers": ("Linked peers.", lambda: len(self._links.linked)),
            "peers_suspected": (
                "Processes that neither this instance nor a peer hears.",
                lambda: len(self._peering.suspected),
            ),
            "peers_behind": (
                "Linked peers with an older document.",
                lambda: self._document_exchange.peers_behind,
            ),
            "configuration_in_force_seconds": (
                "Time from the last document's submission to its adoption here.",
                lambda: _seconds(self._local_document.adoption_delay),
            ),
            "configuration_at_peers_seconds": (
                "Time from adoption here until every linked peer had the document.",
                lambda: _seconds(self._document_exchange.dissemination_time),
            ),
            "peer_bytes_sent": (
                "Bytes of frames sent to peers.",
                lambda: self._links.bytes_sent,
            ),
        }

    async def submit(
        self, submission: configuration.Submission
    ) -> configuration.Outcome:
        """Submit a document; see `ConfigurationObjects.submit`."""
        submission = await asyncio.to_thread(configuration.with_pieces, submission)
        outcome = await self._documents.submit(submission)
        if isinstance(outcome, configuration.Accepted) and not outcome.replaced_by:
            self._local_document.adopt_submitted(outcome.head, submission)
            if self._collector.is_due(outcome.head.number):
                self._collect()
        return outcome

    def _collect(self) -> None:
        task = asyncio.create_task(self._collector.collect())
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    async def start(self) -> None:
        """Connect to peers and start to follow the platform's store.

        Raises:
            OSError: The address for peers can't be bound.
        """
        await self._peering.start()
        for watcher in self._store_watchers:
            supervised = tasks.keep_running("follower", watcher.run, self._clock)
            self._tasks.append(asyncio.create_task(supervised))

    async def stop(self) -> None:
        """Stop; call it after all requests to peers and servers have ended."""
        running = tuple(self._tasks)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        await self._peering.stop()
        self._http.close()


def _seconds(duration: datetime.timedelta | None) -> float:
    return float("nan") if duration is None else duration.total_seconds()
