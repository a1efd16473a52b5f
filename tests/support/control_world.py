"""Simulates a failure domain in memory: instances, engines and the store.

The control package under test is the production code; other packages are replaced by
fakes at its interfaces. A simulated instance routes requests by the views it has
adopted and reports its acknowledgement and its requests in flight to its peers. Each
message is delayed, and links can be cut.
"""

import asyncio
import collections
import dataclasses
import datetime
import random
import typing

from pimentolatch import fleet, store
from pimentolatch.control import domain_controller, drain, leader_lease, slots, targets
from pimentolatch.decisions import roles
from pimentolatch.document import schema
from pimentolatch.membership import views
from standins import memory_engine, memory_store, object_table
from tests.support import control_history, seeded_scheduler

__all__ = ["DOMAIN", "Instance", "Safeguards", "World"]

DOMAIN = "north"
INSTANCES = ("entry-1", "entry-2", "entry-3")
ENGINES = ("engine-1", "engine-2", "engine-3")
LIST_LAG = seeded_scheduler.seconds(2)
_READ_TIMEOUT_S = 2.0
_FIRST_PORT = 1001


@dataclasses.dataclass(frozen=True, slots=True)
class Safeguards:
    """Safeguards; with one disabled, the checker must reject some history.

    Attributes:
        conditional_updates: The store compares versions before a write.
        late_orders_rejected: Engines reject an order with an old fencing token, or
            close the connection if the order arrives after their read timeout.
        acknowledgements: An order waits for the instances' acknowledgements of the
            view and for their counts of requests in flight.
        engine_counts: An order waits for the engine's own count of streams.
        instance_list: Instances read the platform's list of instances.
    """

    conditional_updates: bool = True
    late_orders_rejected: bool = True
    acknowledgements: bool = True
    engine_counts: bool = True
    instance_list: bool = True


class _Table(object_table.ObjectTable):
    """An object table that records each write of a slot."""

    def __init__(
        self,
        scheduler: seeded_scheduler.Scheduler,
        recorder: control_history.Recorder,
        conditional: bool,
    ) -> None:
        super().__init__()
        self._scheduler = scheduler
        self._recorder = recorder
        self._conditional = conditional

    async def put(
        self, kind: str, name: str, value: typing.Any, if_version: int
    ) -> object_table.Row:
        """See `object_table.ObjectTable.put`."""
        if not self._conditional and (row := self.get(kind, name)):
            if_version = row.version
        written = await super().put(kind, name, value, if_version)
        if kind == slots.SLOT_KIND:
            slot = slots.Slot.from_json(name.split(".", 1)[1], written.version, value)
            order = None if slot.order is None else slot.order.order_id
            self._recorder.add(
                control_history.SlotWritten(
                    self._scheduler.now, slot.engine, slot.state, order, slot.sequence
                )
            )
        return written


class _LeasePerInstanceStore(memory_store.MemoryStore):
    """Gives each instance a leader lease of its own, so that all act as the leader.

    Safety must not depend on the lease, so half of the runs go without a shared one.
    """

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self._suffix = kwargs["link"]

    async def get(
        self, kind: str, name: str
    ) -> store.Found | store.Absent | store.Unavailable:
        """See `store.Store.get`."""
        return await super().get(kind, self._object_name(kind, name))

    async def put(
        self, kind: str, name: str, value: store.Json, *, if_version: int
    ) -> store.Written | store.Conflict | store.Unavailable:
        """See `store.Store.put`."""
        object_name = self._object_name(kind, name)
        return await super().put(kind, object_name, value, if_version=if_version)

    def _object_name(self, kind: str, name: str) -> str:
        return f"{name}.{self._suffix}" if kind == leader_lease.LEASE_KIND else name


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """Acknowledged view and requests in flight of an instance, sent to its peers."""

    number: int
    counts: dict[str, int]


class _PeerState:
    """Reports that one instance has of its peers; replaces the membership package."""

    def __init__(self, world: "World", owner: "Instance") -> None:
        self._world = world
        self._owner = owner
        self.reports: dict[str, _Report] = {}

    def announce(self, view: views.DomainView) -> None:
        """See `views.Acknowledgements.announce`."""
        self._owner.adopt(view)
        for peer in self._world.peers_of(self._owner):
            self._world.deliver(self._owner, peer, lambda p=peer: p.adopt(view))

    def missing(self, failure_domain: str, number: int) -> frozenset[str]:
        """See `views.Acknowledgements.missing`."""
        if not self._world.safeguards.acknowledgements:
            return frozenset()
        return frozenset(
            name
            for name in self._world.listed
            if name not in self.reports or self.reports[name].number < number
        )

    def in_flight(self, server: str) -> int | None:
        """See `drain.SenderCounts.in_flight`."""
        if not self._world.safeguards.acknowledgements:
            return 0
        known = [self.reports.get(name) for name in self._world.listed]
        if any(report is None for report in known):
            return None
        return sum(report.counts.get(server, 0) for report in known if report)


class _Planner:
    """Fake role planner; those of all instances return the same plan."""

    def __init__(self, world: "World") -> None:
        self._world = world

    def plan(
        self, engines: typing.Any, now: datetime.timedelta
    ) -> tuple[roles.RoleChange, ...]:
        """See `role_planning.RolePlanner.plan`."""
        return tuple(
            roles.RoleChange(engine, role, "the mix has shifted")
            for engine, role in sorted(self._world.planned_roles.items())
        )


class Instance:
    """One incarnation of an entry instance."""

    def __init__(self, world: "World", name: str, incarnation: str) -> None:
        self.name = name
        self.incarnation = incarnation
        self.alive = True
        self.fleet = fleet.Fleet()
        self.leaving: frozenset[str] | None = None
        self.peer_state = _PeerState(world, self)
        self.view: views.DomainView | None = None
        self._world = world
        self._scheduler = world.scheduler
        self._clock = seeded_scheduler.ActorClock(world.scheduler, incarnation)
        self._counts: collections.Counter[str] = collections.Counter()
        store_type = (
            _LeasePerInstanceStore
            if world.lease_per_instance
            else memory_store.MemoryStore
        )
        self.store = store_type(
            world.table,
            time=self._clock,
            link=name,
            faults=world.faults,
            instances=world.instance_list,
            pause=self._pause,
        )
        self.controller = domain_controller.DomainController(
            self.store,
            self.fleet,
            self._clock,
            failure_domain=DOMAIN,
            incarnation=incarnation,
            acknowledgements=self.peer_state,
            senders=self.peer_state,
            engines=memory_engine.MemoryOrderClient(
                incarnation, world.scheduler, world.engines_by_port, world.links
            ),
            leaving=lambda: self.leaving,
            planner=_Planner(world),
            random_source=random.Random(world.scheduler.random.random()),
            settings=domain_controller.ControllerSettings(
                load_interval=seeded_scheduler.seconds(1)
            ),
        )
        self._tasks = [
            world.scheduler.start(self.controller.run()),
            world.scheduler.start(self._run()),
        ]

    def adopt(self, view: views.DomainView) -> None:
        """Adopt a view unless a later one is known."""
        if self.view is None or view.number > self.view.number:
            self.view = view

    def kill(self) -> None:
        """Terminate without notifying anybody."""
        self.alive = False
        for task in self._tasks:
            task.cancel()

    async def _pause(self, point: str) -> None:
        await self._scheduler.point(self.incarnation, point)

    async def _run(self) -> None:
        # An instance that reads the view before the platform lists it could miss a
        # later view without being counted among those whose acknowledgement is missing.
        while self.incarnation not in self._world.listed:
            await self._clock.sleep(seeded_scheduler.seconds(0.1))
        while self.view is None:
            await self._poll()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_loop())
            group.create_task(self._report_loop())
            group.create_task(self._routing_loop(group))

    async def _poll_loop(self) -> None:
        while True:
            await self._clock.sleep(seeded_scheduler.seconds(1.5))
            await self._poll()

    async def _poll(self) -> None:
        view = await drain.ViewObjects(self.store, DOMAIN).read()
        if isinstance(view, views.DomainView):
            self.adopt(view)
        else:
            await self._clock.sleep(seeded_scheduler.seconds(0.5))
        listed = await self.store.instances()
        if not isinstance(listed, store.Unavailable):
            self.leaving = drain.leaving_servers(listed, DOMAIN)

    async def _report_loop(self) -> None:
        while True:
            report = _Report(self.view.number if self.view else 0, dict(self._counts))
            self.peer_state.reports[self.incarnation] = report
            for peer in self._world.peers_of(self):
                self._world.deliver(
                    self,
                    peer,
                    lambda p=peer, r=report: p.peer_state.reports.__setitem__(
                        self.incarnation, r
                    ),
                )
            await self._clock.sleep(seeded_scheduler.seconds(0.3))

    async def _routing_loop(self, group: asyncio.TaskGroup) -> None:
        while True:
            pause = self._scheduler.random.uniform(0.05, 0.4)
            await self._clock.sleep(seeded_scheduler.seconds(pause))
            withdrawn = self.view.withdrawn if self.view else frozenset()
            candidates = [
                e for e in ENGINES if e not in withdrawn | (self.leaving or set())
            ]
            if candidates:
                # Counted in the step that selects the engine; otherwise a request
                # could be in transit without being in any instance's count.
                engine = self._scheduler.random.choice(candidates)
                self._counts[engine] += 1
                group.create_task(self._request(engine))

    async def _request(self, engine: str) -> None:
        await self._scheduler.point(self.incarnation, "dispatch")
        in_transit = self._world.scheduler.start(self._world.request(self, engine))
        await asyncio.shield(in_transit)
        await self._scheduler.point(self.incarnation, "answered")
        self._counts[engine] -= 1


class World:
    """Instances, engines, links and store of one run."""

    def __init__(self, seed: int, safeguards: Safeguards | None = None) -> None:
        self.safeguards = Safeguards() if safeguards is None else safeguards
        self.scheduler = seeded_scheduler.Scheduler(seed)
        self.recorder = control_history.Recorder()
        self.faults = memory_store.StoreFaults()
        self.links = memory_engine.Links()
        self.table = _Table(
            self.scheduler, self.recorder, self.safeguards.conditional_updates
        )
        # The lease needs conditional updates too, so it is disabled along with them.
        without_shared_lease = self.scheduler.random.random() < 0.5
        self.lease_per_instance = (
            without_shared_lease or not self.safeguards.conditional_updates
        )
        self.listed: list[str] = []
        self.leaving_engine: str | None = None
        self.planned_roles: dict[str, schema.Role] = {}
        self._model_version = 1
        self._document_number = 0
        self._incarnations = 0
        self._requests = 0
        self._fenced = {name: self.scheduler.random.random() < 0.5 for name in ENGINES}
        self.engines = {name: self._create_engine(name) for name in ENGINES}
        self.engines_by_port = {
            _FIRST_PORT + number: engine
            for number, engine in enumerate(self.engines.values())
        }
        self.instances: dict[str, Instance] = {}
        self.configuration = self._next_configuration()

    def start(self) -> None:
        """Start all instances."""
        for name in INSTANCES:
            self.start_instance(name)
            self.listed.append(self.instances[name].incarnation)

    def start_instance(self, name: str) -> Instance:
        """Start a new incarnation of an instance."""
        self._incarnations += 1
        started = Instance(self, name, f"{name}/{self._incarnations}")
        self.instances[name] = started
        started.fleet.adopt(self.configuration)
        return started

    def kill_instance(self, name: str, downtime: datetime.timedelta) -> None:
        """Kill an instance and restart it after `downtime`."""
        instance = self.instances[name]
        if instance.alive:
            instance.kill()
            self.scheduler.start(self._restart(instance, downtime))

    def submit(self, *, new_versions: bool) -> None:
        """Deliver a new document to each instance, each after a delay of its own."""
        self._model_version += new_versions
        self.configuration = self._next_configuration()
        for instance in self.instances.values():
            self.scheduler.start(self._deliver_document(instance, self.configuration))

    def change_planned_role(self) -> None:
        """Change the planned role of one engine at random."""
        engine = self.scheduler.random.choice(ENGINES)
        self.planned_roles[engine] = self.scheduler.random.choice(
            ("prefill", "decode", "mixed")
        )

    def settled(self) -> bool:
        """Tell whether every engine has the models and the role planned for it."""
        return all(
            self._engine_settled(engine)
            for engine in self.configuration.document.engines
            if engine.name != self.leaving_engine
        )

    def instance_list(self) -> tuple[store.Instance, ...]:
        """Return the platform's list; it names an engine only while that is leaving."""
        if self.leaving_engine is None or not self.safeguards.instance_list:
            return ()
        return (
            store.Instance(
                self.leaving_engine, "engine", DOMAIN, "127.0.0.1", 1, "leaving"
            ),
        )

    def peers_of(self, instance: Instance) -> list[Instance]:
        """Return the other live instances."""
        return [i for i in self.instances.values() if i is not instance and i.alive]

    def deliver(
        self, sender: Instance, receiver: Instance, effect: typing.Callable[[], None]
    ) -> None:
        """Deliver a message between instances after a delay, or drop it."""
        self.scheduler.start(self._deliver(sender, receiver, effect))

    async def request(self, sender: Instance, engine: str) -> None:
        """Send one request to an engine and run it there."""
        self._requests += 1
        name = f"request-{self._requests}"
        delay = self.scheduler.random.choice((0.001, 0.005, 0.3))
        await self.scheduler.time.sleep(seeded_scheduler.seconds(delay))
        if not self.links.can_reach(sender.name, engine):
            return
        cut = self.engines[engine].begin_stream(name, sender.incarnation)
        if cut is None:
            return
        running = self.scheduler.random.uniform(0.05, 3.0)
        await self.scheduler.time.sleep(seeded_scheduler.seconds(running))
        self.engines[engine].end_stream(name)

    def _create_engine(self, name: str) -> memory_engine.MemoryEngine:
        fenced = self._fenced[name]
        closed = self.safeguards.late_orders_rejected
        kind = memory_engine.EngineKind(
            checks_fencing=fenced and closed,
            # For an engine that checks fencing tokens, that check alone must be enough.
            rejects_late_orders=not fenced and closed,
            reports_streams=self.safeguards.engine_counts,
            read_timeout_s=_READ_TIMEOUT_S,
        )
        return memory_engine.MemoryEngine(
            name, kind, self.scheduler, self.recorder, (("model", "1"),)
        )

    def _next_configuration(self) -> fleet.Configuration:
        self._document_number += 1
        document = schema.FleetDocument(
            fleet="test",
            failure_domains=(schema.FailureDomain(name=DOMAIN, region="region"),),
            models=(schema.Model(name="model", version=str(self._model_version)),),
            backend_servers=tuple(
                schema.Engine(
                    name=name,
                    failure_domain=DOMAIN,
                    address={"host": "127.0.0.1", "port": _FIRST_PORT + number},
                    checks_fencing=self._fenced[name],
                    reads_time_out_s=_READ_TIMEOUT_S,
                    models=("model",),
                )
                for number, name in enumerate(ENGINES)
            ),
            roles=schema.RolePolicy(concurrent_changes=2, least_serving_share=0.3),
        )
        return fleet.Configuration(
            self._document_number, str(self._document_number), document
        )

    async def _deliver_document(
        self, instance: Instance, configuration: fleet.Configuration
    ) -> None:
        delay = self.scheduler.random.uniform(0.01, 3)
        await self.scheduler.time.sleep(seeded_scheduler.seconds(delay))
        await self.scheduler.point(instance.incarnation, "document")
        instance.fleet.adopt(configuration)

    async def _restart(self, old: Instance, downtime: datetime.timedelta) -> None:
        await self.scheduler.time.sleep(downtime)
        started = self.start_instance(old.name)
        await self.scheduler.time.sleep(LIST_LAG)
        self.listed.remove(old.incarnation)
        if started.alive:
            self.listed.append(started.incarnation)

    async def _deliver(
        self, sender: Instance, receiver: Instance, effect: typing.Callable[[], None]
    ) -> None:
        delay = self.scheduler.random.choice((0.001, 0.01, 0.3))
        await self.scheduler.time.sleep(seeded_scheduler.seconds(delay))
        if self.links.can_reach(sender.name, receiver.name) and receiver.alive:
            await self.scheduler.point(receiver.incarnation, "receive")
            effect()

    def _engine_settled(self, engine: schema.Engine) -> bool:
        state = self.engines[engine.name].state()
        row = self.table.get(slots.SLOT_KIND, slots.slot_name(DOMAIN, engine.name))
        slot = (
            slots.Slot(engine.name)
            if row is None
            else slots.Slot.from_json(engine.name, row.version, row.value)
        )
        target = targets.target_of(self.configuration.document, engine, slot)
        planned = self.planned_roles.get(engine.name, target.role)
        serving = slot.state is slots.SlotState.SERVING
        return serving and planned == target.role and targets.is_met(state, target)
