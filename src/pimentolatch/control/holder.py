"""This instance's part in the control of its failure domain.

Every entry instance runs one. Whichever holds the duty lease makes the passes; the
others look at the lease now and then.
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
    duty,
    orders,
    slots,
    standings,
    steps,
    tenure,
)
from pimentolatch.decisions import roles
from pimentolatch.membership import views

__all__ = ["ChangeStatus", "DutyHolder", "DutyStatus", "HolderSettings", "NoPlanner"]

_log = logbook.Logger("duty")


class NoPlanner:
    """Keeps every engine in the role that it has."""

    def plan(
        self, engines: abc.Sequence[standings.Standing], now: datetime.timedelta
    ) -> abc.Sequence[roles.RoleChange]:
        """See `standings.RolePlanner.plan`."""
        return ()


@dataclasses.dataclass(frozen=True, slots=True)
class HolderSettings:
    """Times and bounds of the duty.

    Attributes:
        pass_pause: Time between two passes; each reads the view and
            the slots that move.
        quiet_pause: Time between two passes while no change is under way.
        survey_engines: Engines in service whose state each pass asks for. One costs
            0.9 ms of processor time, so that 8 each quiet pause are 0.4% of a core,
            and a failure domain of 420 engines is seen whole in two minutes.
        change_deadline: Age at which a change under way is shown as overdue.
        load_spacing: Least time between two orders that fetch weights. The weight
            store's rate is the whole fleet's: 9 failure domains at one fetch each
            9 s come to one fetch a second.
    """

    lease: duty.DutySettings = duty.DutySettings()
    pass_pause: datetime.timedelta = datetime.timedelta(seconds=1)
    quiet_pause: datetime.timedelta = datetime.timedelta(seconds=2)
    survey_engines: int = 8
    change_deadline: datetime.timedelta = datetime.timedelta(seconds=120)
    load_spacing: datetime.timedelta = datetime.timedelta(seconds=9)


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeStatus:
    """A change that is not done yet.

    Attributes:
        waits_for: What it waits for.
        age: Time for which this tenure has known of it.
        overdue: Whether `age` is past the deadline; nothing is cut for that.
    """

    engine: str
    waits_for: str
    age: datetime.timedelta
    overdue: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DutyStatus:
    """What operators see of the duty at this instance.

    Attributes:
        holder: Incarnation that holds the lease, as last seen here; may be empty.
        changes: Changes under way; known to the holder alone.
    """

    failure_domain: str
    held: bool
    holder: str
    changes: tuple[ChangeStatus, ...]


class DutyHolder:
    """Holds the duty of a failure domain whenever it is free.

    Args:
        incarnation: Name of this start of this instance; never used twice.
        acknowledgements: Spreads views and knows who has acknowledged them.
        senders: Requests in flight, as the instances count them.
        engines: Client that asks engines for their state and sends them orders.
        leaving: Returns the backend servers that the platform's list shows leaving,
            or None while this instance has not had the list.
        planner: Asks for role changes; None for none.
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
        planner: standings.RolePlanner | None = None,
        chosen: HolderSettings | None = None,
        random_source: random.Random | None = None,
    ) -> None:
        self._settings = HolderSettings() if chosen is None else chosen
        self._fleet = own_fleet
        self._clock = time
        self._domain = failure_domain
        self._lease = duty.DutyLease(
            objects,
            failure_domain,
            incarnation,
            time=time,
            random_source=random_source or random.Random(),
            chosen=self._settings.lease,
        )
        self._audit = trail.AuditTrail(objects, failure_domain, incarnation, time)
        own_slots = slots.SlotObjects(objects, failure_domain)
        giver = orders.OrderGiver(own_slots, engines, incarnation)
        self._taker = steps.StepTaker(own_slots, giver, self._audit)
        self._outside = tenure.Outside(
            objects,
            time,
            acknowledgements,
            senders,
            engines,
            NoPlanner() if planner is None else planner,
            leaving,
            self._audit,
        )
        self._tenure: tenure.Tenure | None = None
        self._passed_number = 0
        self._next_quiet_pass = datetime.timedelta.min
        self._stopping = False

    def status(self) -> DutyStatus:
        """Return what this instance knows of the duty and the changes under way."""
        waiting = () if self._tenure is None else self._tenure.waiting
        changes = tuple(self._change(item) for item in waiting)
        return DutyStatus(self._domain, self._lease.held, self._lease.holder, changes)

    async def run(self) -> None:
        """Hold the duty whenever it is free; ends after `stop` or when cancelled."""
        writing = asyncio.create_task(self._audit.run())
        try:
            await self._run()
        finally:
            writing.cancel()
            self._taker.cancel()

    async def stop(self) -> None:
        """Begin no change any more, wait for orders under way, hand the duty over."""
        self._stopping = True
        await self._taker.wait()
        await self._audit.flush()
        await self._lease.release()

    def _change(self, item: tenure.Waiting) -> ChangeStatus:
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
                    await self._advance()
                await self._clock.sleep(self._settings.pass_pause)
            else:
                self._tenure = None
                await self._clock.sleep(next_lease_step - self._clock.monotonic())

    def _pass_is_due(self) -> bool:
        """Tell whether a pass has something to do or enough time has passed."""
        if self._tenure is None or self._tenure.waiting:
            return True
        current = self._fleet.view.configuration
        changed = current is not None and current.number != self._passed_number
        return changed or self._clock.monotonic() >= self._next_quiet_pass

    async def _advance(self) -> None:
        configuration = self._fleet.view.configuration
        if configuration is None:
            return
        self._passed_number = configuration.number
        self._next_quiet_pass = self._clock.monotonic() + self._settings.quiet_pause
        if self._tenure is None:
            _log.info("duty begins", failure_domain=self._domain)
            bounds = tenure.Bounds(
                self._settings.survey_engines, self._settings.load_spacing
            )
            self._tenure = tenure.Tenure(
                self._domain, self._outside, self._taker, bounds
            )
        await self._tenure.advance(configuration)
