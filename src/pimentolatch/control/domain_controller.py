"""Controls the engines of a failure domain while this instance is its leader.

Every entry instance runs a controller. The holder of the leader lease runs the
reconciliation passes; the others only check the lease.
"""

import asyncio
import dataclasses
import datetime
import random
import typing
from collections import abc

import logbook

from pimentolatch import clock, fleet, store
from pimentolatch.audit import trail
from pimentolatch.backend import order_client
from pimentolatch.control import (
    drain,
    leader_lease,
    orders,
    reconcile_loop,
    role_planning,
    slots,
    step_executor,
)
from pimentolatch.decisions import roles
from pimentolatch.membership import views

__all__ = [
    "ChangeStatus",
    "ControllerSettings",
    "ControllerStatus",
    "DomainController",
    "NoPlanner",
]

_log = logbook.Logger("duty")


class NoPlanner:
    """A role planner that changes no role."""

    def plan(
        self, engines: abc.Sequence[role_planning.EngineStatus], now: datetime.timedelta
    ) -> abc.Sequence[roles.RoleChange]:
        """See `role_planning.RolePlanner.plan`."""
        return ()


@dataclasses.dataclass(frozen=True, slots=True)
class ControllerSettings:
    """Intervals and limits of the controller.

    Attributes:
        pass_interval: Time between two passes; each reads the view and the slots of
            engines that are not in service.
        idle_pass_interval: Time between two passes while no change is in progress.
        engines_polled_per_pass: Engines in service that each pass queries for their
            state. A query takes 0.9 ms of processor time, so 8 per idle pass take 0.4%
            of a core, and 420 engines of a failure domain are covered in two minutes.
        change_deadline: Age from which a change in progress is reported as overdue.
        load_interval: Minimum time between two orders that fetch weights. All failure
            domains share the weight store: 9 of them at one fetch per 9 s make one
            fetch per second.
    """

    lease: leader_lease.LeaseSettings = leader_lease.LeaseSettings()
    pass_interval: datetime.timedelta = datetime.timedelta(seconds=1)
    idle_pass_interval: datetime.timedelta = datetime.timedelta(seconds=2)
    engines_polled_per_pass: int = 8
    change_deadline: datetime.timedelta = datetime.timedelta(seconds=120)
    load_interval: datetime.timedelta = datetime.timedelta(seconds=9)


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeStatus:
    """A change in progress.

    Attributes:
        waits_for: What the change is waiting for.
        age: Time since this leader first saw the change.
        overdue: Whether `age` exceeds the deadline; the change goes on all the same.
    """

    engine: str
    waits_for: str
    age: datetime.timedelta
    overdue: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ControllerStatus:
    """Status of the controller for operators.

    Attributes:
        held: Whether this instance is the leader.
        holder: Incarnation of the leader as last seen here; may be empty.
        changes: Changes in progress; empty unless this instance is the leader.
    """

    failure_domain: str
    held: bool
    holder: str
    changes: tuple[ChangeStatus, ...]


class DomainController:
    """Competes for the leader lease and reconciles engines while it holds the lease.

    Args:
        incarnation: Unique name of this run of this instance.
        acknowledgements: Announces views and tracks their acknowledgements.
        senders: Requests in flight, counted by the instances that send them.
        engines: Client that queries engines for their state and sends them orders.
        leaving: Returns the backend servers that the platform lists as leaving, or
            None while this instance has not received the list.
        planner: Plans role changes; None for no role changes.
    """

    def __init__(
        self,
        objects: store.Store,
        own_fleet: fleet.Fleet,
        time: clock.Clock,
        *,
        failure_domain: str,
        incarnation: str,
        acknowledgements: views.Acknowledgements,
        senders: drain.SenderCounts,
        engines: order_client.OrderClient,
        leaving: typing.Callable[[], abc.Set[str] | None],
        planner: role_planning.RolePlanner | None = None,
        settings: ControllerSettings | None = None,
        random_source: random.Random | None = None,
    ) -> None:
        self._settings = ControllerSettings() if settings is None else settings
        self._fleet = own_fleet
        self._clock = time
        self._domain = failure_domain
        self._lease = leader_lease.LeaderLease(
            objects,
            failure_domain,
            incarnation,
            time=time,
            random_source=random_source or random.Random(),
            settings=self._settings.lease,
        )
        self._audit = trail.AuditTrail(objects, failure_domain, incarnation, time)
        slot_objects = slots.SlotObjects(objects, failure_domain)
        order_sender = orders.OrderSender(slot_objects, engines, incarnation)
        self._executor = step_executor.StepExecutor(
            slot_objects, order_sender, self._audit
        )
        self._deps = reconcile_loop.Dependencies(
            objects,
            time,
            acknowledgements,
            senders,
            engines,
            NoPlanner() if planner is None else planner,
            leaving,
            self._audit,
        )
        self._loop: reconcile_loop.ReconcileLoop | None = None
        self._last_pass_number = 0
        self._next_idle_pass = datetime.timedelta.min
        self._stopping = False

    def status(self) -> ControllerStatus:
        """Return the lease's holder and the changes in progress, as known here."""
        unfinished = () if self._loop is None else self._loop.unfinished_changes
        changes = tuple(self._change_status(item) for item in unfinished)
        return ControllerStatus(
            self._domain, self._lease.held, self._lease.holder, changes
        )

    async def run(self) -> None:
        """Run the controller until `stop` is called or the task is cancelled."""
        audit_task = asyncio.create_task(self._audit.run())
        try:
            await self._run()
        finally:
            audit_task.cancel()
            self._executor.cancel()

    async def stop(self) -> None:
        """Start no more changes, wait for orders in progress, release the lease."""
        self._stopping = True
        await self._executor.wait()
        await self._audit.flush()
        await self._lease.release()

    def _change_status(self, item: reconcile_loop.UnfinishedChange) -> ChangeStatus:
        age = self._clock.monotonic() - item.since
        overdue = age > self._settings.change_deadline
        return ChangeStatus(item.engine, item.reason, age, overdue)

    async def _run(self) -> None:
        next_lease_step = self._clock.monotonic()
        while not self._stopping:
            if self._clock.monotonic() >= next_lease_step:
                pause = await self._lease.step()
                next_lease_step = self._clock.monotonic() + pause
            if self._lease.held:
                if self._pass_is_due():
                    await self._run_pass()
                await self._clock.sleep(self._settings.pass_interval)
            else:
                self._loop = None
                await self._clock.sleep(next_lease_step - self._clock.monotonic())

    def _pass_is_due(self) -> bool:
        """Return whether there are changes to make or the idle interval is over."""
        if self._loop is None or self._loop.unfinished_changes:
            return True
        current = self._fleet.view.configuration
        changed = current is not None and current.number != self._last_pass_number
        return changed or self._clock.monotonic() >= self._next_idle_pass

    async def _run_pass(self) -> None:
        configuration = self._fleet.view.configuration
        if configuration is None:
            return
        self._last_pass_number = configuration.number
        self._next_idle_pass = (
            self._clock.monotonic() + self._settings.idle_pass_interval
        )
        if self._loop is None:
            _log.info("leadership acquired", failure_domain=self._domain)
            limits = reconcile_loop.PassLimits(
                self._settings.engines_polled_per_pass, self._settings.load_interval
            )
            self._loop = reconcile_loop.ReconcileLoop(
                self._domain, self._deps, self._executor, limits
            )
        await self._loop.run_pass(configuration)
