"""Simulates instances that submit and disseminate documents, scheduled by a seed.

Submission, store watch, local document, document exchange, membership node and codec
are the production code. Links and store are in memory; both can be cut, and an
instance can be frozen at any scheduling point of its code.
"""

import asyncio
import dataclasses
import datetime
import random
import typing

from pimentolatch import fleet, store
from pimentolatch.control import (
    configuration,
    document_exchange,
    heads,
    local_document,
    store_watch,
)
from pimentolatch.decisions import work_reports
from pimentolatch.document import schema
from pimentolatch.membership import (
    incarnations,
    leaving_servers,
    node,
    registrations,
    topology,
    view_table,
    views,
    work_exchange,
)
from pimentolatch.protocol import codec, messages
from pimentolatch.requests import suspect_completions
from standins import memory_store, object_table
from tests.support import config_history, seeded_scheduler

__all__ = ["ConfigWorld", "Safeguards", "document"]

DOMAINS = ("north", "north", "north", "south")
SUSPECT_AFTER = seeded_scheduler.seconds(4)
LIST_LAG = seeded_scheduler.seconds(6)
_HEARTBEAT_INTERVAL = seeded_scheduler.seconds(1)
_RETRY_INTERVAL = seeded_scheduler.seconds(0.5)
_POLL_INTERVAL = seeded_scheduler.seconds(0.05)
_WATCHERS_PER_DOMAIN = 2


def document(name: str) -> schema.FleetDocument:
    """Return a minimal document with the given fleet name."""
    return schema.FleetDocument.model_validate(
        {"fleet": name, "failure_domains": [{"name": "north", "region": "one"}]}
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Safeguards:
    """Safeguards; with one disabled, the checker must reject some history.

    Attributes:
        rejects_older_documents: Instances reject a document that is not newer.
        resolves_unknown_outcomes: A submission whose outcome is unknown is resolved by
            repeating its conditional write.
        registers_first: An instance registers before it reads the views.
        forwards_introductions: Instances forward the introductions of new instances.
    """

    rejects_older_documents: bool = True
    resolves_unknown_outcomes: bool = True
    registers_first: bool = True
    forwards_introductions: bool = True


class _Table(object_table.ObjectTable):
    def __init__(self, scheduler: seeded_scheduler.Scheduler) -> None:
        super().__init__()
        self._scheduler = scheduler
        self.heads: list[config_history.HeadWritten] = []

    async def put(
        self, kind: str, name: str, value: typing.Any, if_version: int
    ) -> object_table.Row:
        row = await super().put(kind, name, value, if_version)
        if kind == heads.HEAD_KIND:
            head = heads.Head.from_json(value)
            if not self.heads or self.heads[-1].submission != head.submission_id:
                written = config_history.HeadWritten(
                    self._scheduler.now,
                    head.number,
                    head.submission_id,
                    head.content_hash,
                )
                self.heads.append(written)
        return row


class _Store(memory_store.MemoryStore):
    """A store whose watches end in a scheduling point.

    Otherwise a frozen process would go on when its watch returns.
    """

    def __init__(
        self, *args: typing.Any, pause: memory_store.Pause, **kwargs: typing.Any
    ) -> None:
        super().__init__(*args, pause=pause, **kwargs)
        self._after = pause

    async def watch(
        self, kind: str, **options: typing.Any
    ) -> store.Listing | store.Unavailable:
        listing = await super().watch(kind, **options)
        await self._after("watched")
        return listing


class _RevertingFleet(fleet.Fleet):
    """Adopts any document, including one that arrives late."""

    def adopt(self, configuration: fleet.Configuration) -> bool:
        self._view = fleet.View()
        return super().adopt(configuration)


class _RevertingDocument(local_document.LocalDocument):
    def adopt(
        self, head: heads.Head, new: dict[str, str]
    ) -> local_document.Adopted | local_document.Stale | local_document.Unreadable:
        if self._head is not None and self._head.number == head.number:
            return local_document.Stale()
        self._head = None
        return super().adopt(head, new)

    @property
    def known_number(self) -> int:
        return 0


class _SingleReadObjects(configuration.ConfigurationObjects):
    """After a lost response, relies on a single read of the head."""

    async def _write_head(
        self,
        submission: configuration.Submission,
        head: heads.Head,
        version: int,
        end: datetime.timedelta,
    ) -> typing.Any:
        outcome = await self._store.put(
            heads.HEAD_KIND,
            heads.HEAD_NAME,
            head.to_json(),
            if_version=version,
        )
        if isinstance(outcome, store.Written):
            return configuration.Accepted(head)
        current = await self._read_until(end)
        if isinstance(current, configuration.Current) and current.head is not None:
            if current.head.submission_id == submission.submission_id:
                return configuration.Accepted(current.head)
            if current.head.number >= head.number:
                return configuration.Lost(current.head)
        return configuration.NotSubmitted("the write is not visible")


class _NullReportTable:
    def update(self, peer: str, work: work_reports.WorkReport) -> None:
        pass

    def forget(self, peer: str) -> None:
        pass


@dataclasses.dataclass(eq=False, slots=True)
class _LinkEnd:
    process: "Process"
    number: int
    last_received: datetime.timedelta
    peer_end: "_LinkEnd | None" = None
    is_open: bool = True


class Process:
    """One incarnation of an instance."""

    def __init__(self, world: "ConfigWorld", instance: str, domain: str) -> None:
        self.world = world
        self.scheduler = scheduler = world.scheduler
        self.instance = instance
        world.started += 1
        self.name = f"{instance}/{world.started:x}-0"
        self.started_at = scheduler.now
        self.identity = incarnations.Identity(self.name, domain, instance, 1)
        self.time = seeded_scheduler.ActorClock(scheduler, self.name)
        self.link_ends: dict[int, _LinkEnd] = {}
        rng = random.Random(scheduler.random.random())
        self.objects = _Store(
            world.table,
            time=scheduler.time,
            link=instance,
            faults=world.faults,
            pause=lambda point: scheduler.point(self.name, point),
        )
        safeguards = world.safeguards
        own_fleet = (
            fleet.Fleet() if safeguards.rejects_older_documents else _RevertingFleet()
        )
        document_type = (
            local_document.LocalDocument
            if safeguards.rejects_older_documents
            else _RevertingDocument
        )
        objects_type = (
            configuration.ConfigurationObjects
            if safeguards.resolves_unknown_outcomes
            else _SingleReadObjects
        )
        self.documents = objects_type(self.objects, self.time, rng)
        self.local_document = document_type(own_fleet, self.time, self._on_adopted)
        self.fleet = own_fleet
        self.exchange = document_exchange.DocumentExchange(
            self.local_document, self, self.time, rng
        )
        self.table = view_table.ViewTable(
            own_fleet.adopt_view, self.local_document.set_views_known
        )
        self.node = node.Node(
            self.identity,
            network=self,
            documents=self.exchange,
            crashes=suspect_completions.SuspectCompletions(self.time),
            table=self.table,
            work=work_exchange.WorkExchange(
                work_reports.WorkReport,
                _NullReportTable(),
                self.time,
                _HEARTBEAT_INTERVAL,
            ),
            leaving=leaving_servers.LeavingServers(
                self.time, _HEARTBEAT_INTERVAL, own_fleet.set_leaving
            ),
            time=self.time,
            suspect_after=SUSPECT_AFTER,
            list_lag=LIST_LAG,
        )
        if not safeguards.forwards_introductions:
            self.node._introductions = lambda link: ()
        self.registrations = registrations.Registrations(self.objects, self.identity)
        follower = store_watch.StoreWatcher(
            self.objects,
            store_watch.DocumentHandler(self.documents, self.local_document),
            self._is_watcher,
            self.time,
            rng,
        )
        self.tasks = [
            scheduler.start(work)
            for work in (
                follower.run(),
                self._join(),
                self._heartbeat_loop(),
                self._transfer_loop(),
            )
        ]

    def send(self, link: int, message: messages.Message) -> None:
        """See `node.Network.send`."""
        end = self.link_ends.get(link)
        if end is not None and end.is_open:
            self.world.send_frame(end, codec.encode([message]))

    def close(self, link: int, reason: str) -> None:
        """See `node.Network.close`."""
        end = self.link_ends.get(link)
        if end is not None:
            self.scheduler.call_soon(lambda: self.world.break_link(end))

    async def submit(
        self, submission: configuration.Submission
    ) -> configuration.Outcome:
        """Submit a document through this instance."""
        submission = configuration.with_pieces(submission)
        outcome = await self.documents.submit(submission)
        if isinstance(outcome, configuration.Accepted) and not outcome.replaced_by:
            self.local_document.adopt_submitted(outcome.head, submission)
        return outcome

    def _on_adopted(self) -> None:
        found = self.fleet.view.configuration
        assert found is not None
        self.world.in_force.append(
            config_history.InForce(
                self.scheduler.now, self.name, found.number, found.content_hash
            )
        )
        self.scheduler.call_soon(self.node.configuration_changed)

    def _is_watcher(self) -> bool:
        near = self.node.detector.steady(self.identity.failure_domain) | {self.name}
        names = {incarnations.instance_of(name) for name in near}
        order = topology.rendezvous_order(names, "documents")
        return order.index(self.instance) < _WATCHERS_PER_DOMAIN

    async def _join(self) -> None:
        if self.world.safeguards.registers_first:
            await self._register()
        while not self.table.complete:
            listing = await self.objects.list_objects(views.DOMAIN_VIEW_KIND)
            if isinstance(listing, store.Listing):
                found = [view_table.view_from_object(row) for row in listing.objects]
                self.node.adopt_views(found, complete=True)
            await self.time.sleep(_RETRY_INTERVAL)
        if not self.world.safeguards.registers_first:
            await self._register()

    async def _register(self) -> None:
        while not await self.registrations.register():
            await self.time.sleep(_RETRY_INTERVAL)

    async def _heartbeat_loop(self) -> None:
        while True:
            await self.time.sleep(_HEARTBEAT_INTERVAL)
            for end in list(self.link_ends.values()):
                if self.time.monotonic() - end.last_received > SUSPECT_AFTER:
                    self.world.break_link(end)
            self.node.tick()

    async def _transfer_loop(self) -> None:
        while True:
            await self.exchange.wake.wait()
            self.exchange.wake.clear()
            while self.exchange.busy:
                self.exchange.poll()
                await self.time.sleep(_POLL_INTERVAL)


class ConfigWorld:
    """Instances, their links and the store.

    Args:
        safeguards: Which safeguards are enabled.
    """

    def __init__(self, seed: int, safeguards: Safeguards) -> None:
        self.scheduler = seeded_scheduler.Scheduler(seed)
        self.safeguards = safeguards
        self.faults = memory_store.StoreFaults()
        self.table = _Table(self.scheduler)
        self.in_force: list[config_history.InForce] = []
        self.results: list[config_history.SubmissionResult] = []
        self.lifetimes: list[config_history.Lifetime] = []
        self.started = 0
        self.cuts: set[tuple[str, str]] = set()
        self.processes: dict[str, Process] = {}
        self._last_link = 0
        for number, domain in enumerate(DOMAINS, start=1):
            self.start(f"entry-{number}", domain)
        self.scheduler.start(self._connect())

    def start(self, instance: str, domain: str) -> None:
        """Start a new incarnation of an instance."""
        self.processes[instance] = Process(self, instance, domain)

    def kill(self, instance: str) -> None:
        """Kill an instance."""
        process = self.processes.pop(instance)
        for task in process.tasks:
            task.cancel()
        for end in list(process.link_ends.values()):
            self.break_link(end)
        self.lifetimes.append(
            config_history.Lifetime(
                process.name, process.started_at, self.scheduler.now
            )
        )

    def cut(self, instance: str, *, one_way: bool) -> None:
        """Hold up what peers send to an instance until the cut is healed.

        Unless `one_way`, also hold up what it sends and cut it off from the platform.
        """
        for other in self.processes:
            if other != instance:
                self.cuts.add((other, instance))
                if not one_way:
                    self.cuts.add((instance, other))
        if not one_way:
            self.faults.cut.add(instance)

    def heal(self) -> None:
        """End all link cuts and store faults."""
        self.cuts.clear()
        self.faults.clear()

    async def submit_with_retries(self, submission: str, expected: int | None) -> None:
        """Submit a document as an operator who retries while the outcome is unknown."""
        attempts = 0
        outcome: object = None
        while attempts < 4:
            attempts += 1
            process = self.scheduler.random.choice(list(self.processes.values()))
            outcome = await self._attempt(process, submission, expected)
            if isinstance(outcome, configuration.Accepted | configuration.Lost):
                break
            if isinstance(outcome, configuration.NotSubmitted) and attempts == 1:
                break
            await self.scheduler.time.sleep(seeded_scheduler.seconds(1))
        self.results.append(_result(submission, outcome, attempts))

    async def _attempt(
        self, process: Process, submission: str, expected: int | None
    ) -> object:
        sent = configuration.Submission(
            submission,
            "operator",
            document(submission),
            self.scheduler.time.now(),
            expected,
        )
        task = self.scheduler.start(process.submit(sent))
        process.tasks.append(task)
        await asyncio.wait([task])
        return None if task.cancelled() else task.result()

    def history(
        self, fault_window: tuple[float, float] | None
    ) -> config_history.ConfigHistory:
        """Return the history of the run so far."""
        running = [
            config_history.Lifetime(process.name, process.started_at, float("inf"))
            for process in self.processes.values()
        ]
        return config_history.ConfigHistory(
            tuple(self.table.heads),
            tuple(self.in_force),
            tuple(self.results),
            (*self.lifetimes, *running),
            fault_window,
            self.scheduler.now,
        )

    def send_frame(self, end: _LinkEnd, frame: bytes) -> None:
        """Queue a frame for the other end; frames arrive delayed and in order."""
        other = end.peer_end
        assert other is not None
        self._queues[other].put_nowait(frame)

    def break_link(self, end: _LinkEnd) -> None:
        """Close a link on both sides."""
        for side in (end, end.peer_end):
            if side is not None and side.is_open:
                side.is_open = False
                side.process.link_ends.pop(side.number, None)
                side.process.node.closed(side.number)

    _queues: dict[_LinkEnd, "asyncio.Queue[bytes]"]

    async def _connect(self) -> None:
        self._queues = {}
        while True:
            running = list(self.processes.values())
            for number, process in enumerate(running):
                for other in running[number + 1 :]:
                    if self._can_link(process, other):
                        self._open_link(process, other)
            await self.scheduler.time.sleep(_RETRY_INTERVAL)

    def _can_link(self, process: Process, other: Process) -> bool:
        if any(
            end.peer_end is not None and end.peer_end.process is other
            for end in process.link_ends.values()
        ):
            return False
        pair = (process.instance, other.instance)
        frozen = self.scheduler.is_frozen(process.name) or self.scheduler.is_frozen(
            other.name
        )
        return not frozen and not self.cuts & {pair, pair[::-1]}

    def _open_link(self, process: Process, other: Process) -> None:
        now = self.scheduler.time.monotonic()
        self._last_link += 2
        near = _LinkEnd(process, self._last_link, now)
        far = _LinkEnd(other, self._last_link + 1, now, near)
        near.peer_end = far
        for end in (near, far):
            end.process.link_ends[end.number] = end
            self._queues[end] = asyncio.Queue()
            self.scheduler.start(self._deliver(end))
        for end, peer in ((near, other), (far, process)):
            own = peer.identity
            end.process.node.opened(
                end.number,
                messages.Hello(
                    codec.PROTOCOL_VERSION,
                    own.incarnation,
                    own.failure_domain,
                    own.host,
                    own.port,
                ),
            )

    async def _deliver(self, end: _LinkEnd) -> None:
        queue = self._queues[end]
        assert end.peer_end is not None
        direction = (end.peer_end.process.instance, end.process.instance)
        while end.is_open:
            frame = await queue.get()
            while direction in self.cuts:
                await self.scheduler.time.sleep(_RETRY_INTERVAL)
            await self.scheduler.point(end.process.name, "deliver")
            received = codec.decode(frame)
            assert not isinstance(received, codec.Malformed), received
            if end.is_open:
                end.last_received = self.scheduler.time.monotonic()
                for message in received:
                    end.process.node.handle(end.number, message)


def _result(
    submission: str, outcome: object, attempts: int
) -> config_history.SubmissionResult:
    match outcome:
        case configuration.Accepted(head=head):
            kind, number = config_history.ACCEPTED, head.number
        case configuration.Lost():
            kind, number = config_history.LOST, 0
        case configuration.NotSubmitted():
            kind, number = config_history.NOT_SUBMITTED, 0
        case _:
            kind, number = config_history.UNKNOWN, 0
    return config_history.SubmissionResult(submission, kind, number, attempts)
