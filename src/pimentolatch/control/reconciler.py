"""Decides the next step of each engine towards its target state; does no I/O.

Load pattern: the ratio of prompt to output tokens varies, so the planner requests role
changes while the fleet is loaded, and documents add new models at the same time.
Without limits on concurrent changes, a document that changes every engine would take a
whole failure domain out of service at once. Grounds for the limits: operators set them
(`concurrent_changes`, `least_serving_share`). Weight loads are spaced so that all
failure domains together stay within the weight store's rate.
"""

import dataclasses
import datetime
from collections import abc

from pimentolatch.backend import order_client
from pimentolatch.control import change_budget, drain, orders, slots, targets
from pimentolatch.decisions import roles
from pimentolatch.document import schema

__all__ = [
    "AbandonDrain",
    "BeginDrain",
    "Blocked",
    "ObservedState",
    "ReturnToService",
    "SendOrder",
    "SettleOrder",
    "Step",
    "engine_of",
    "next_steps",
]

EngineAnswer = order_client.EngineState | order_client.Unreachable


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedState:
    """Everything that a pass has read.

    Attributes:
        number: Number of the document.
        slots_by_engine: Slots of the failure domain, by engine.
        states: States of engines, queried after acknowledgements and counts were read.
        drain_outcomes: Whether each draining engine is idle.
        unreachable: Engines whose last state query failed.
        leaving: Servers that the platform lists as leaving.
        planned_changes: Role changes requested by the planner, by engine.
        pending_ages: Time since each pending order was first seen, by engine.
        busy: Engines to which this process is sending an order.
        may_load: Whether an order that fetches weights may start now.
    """

    document: schema.FleetDocument
    number: int
    failure_domain: str
    slots_by_engine: abc.Mapping[str, slots.Slot]
    states: abc.Mapping[str, EngineAnswer]
    drain_outcomes: abc.Mapping[str, drain.Drained | drain.InUse]
    unreachable: abc.Set[str] = frozenset()
    leaving: abc.Set[str] = frozenset()
    planned_changes: abc.Mapping[str, roles.RoleChange] = dataclasses.field(
        default_factory=dict
    )
    pending_ages: abc.Mapping[str, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    busy: abc.Set[str] = frozenset()
    may_load: bool = True

    @property
    def engines(self) -> tuple[schema.Engine, ...]:
        """Engines of the failure domain."""
        return tuple(
            engine
            for engine in self.document.engines
            if engine.failure_domain == self.failure_domain
        )

    def slot(self, engine: str) -> slots.Slot:
        """Return the slot of an engine; a new slot if it has none."""
        return self.slots_by_engine.get(engine, slots.Slot(engine))


@dataclasses.dataclass(frozen=True, slots=True)
class BeginDrain:
    """Take an engine out of service for a change."""

    slot: slots.Slot
    role: schema.Role
    document_role: schema.Role
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonDrain:
    """Return a draining engine to service without a change."""

    slot: slots.Slot


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to an idle engine, or supersede a pending order."""

    request: orders.OrderRequest
    loads: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SettleOrder:
    """Record that a pending order took effect."""

    slot: slots.Slot
    state: order_client.EngineState


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnToService:
    """Return a changed engine to service."""

    slot: slots.Slot


@dataclasses.dataclass(frozen=True, slots=True)
class Blocked:
    """The change is in progress, and no step is possible now."""

    engine: str
    reason: str


Step = BeginDrain | AbandonDrain | SendOrder | SettleOrder | ReturnToService | Blocked


def engine_of(step: Step) -> str:
    """Return the engine that a step applies to."""
    if isinstance(step, Blocked):
        return step.engine
    if isinstance(step, SendOrder):
        return step.request.engine.name
    return step.slot.engine


def next_steps(observed: ObservedState) -> tuple[Step, ...]:
    """Return the next step of each engine whose change is due or in progress."""
    budget = _change_budget(observed)
    steps: list[Step] = []
    for engine in observed.engines:
        if engine.name in observed.busy:
            continue
        step = _step(observed, engine, budget)
        if step is not None:
            steps.append(step)
    return tuple(steps)


def _change_budget(observed: ObservedState) -> change_budget.ChangeBudget:
    active = [e for e in observed.engines if e.serving == "active"]
    return change_budget.ChangeBudget(
        observed.document.roles,
        active=active,
        in_service=[e for e in active if _in_service(observed, e)],
        changing=sum(
            observed.slot(engine.name).state is not slots.SlotState.SERVING
            for engine in active
        ),
        loads=1 if observed.may_load else 0,
    )


def _in_service(observed: ObservedState, engine: schema.Engine) -> bool:
    if observed.slot(engine.name).state is not slots.SlotState.SERVING:
        return False
    return engine.name not in observed.leaving | observed.unreachable


def _step(
    observed: ObservedState, engine: schema.Engine, budget: change_budget.ChangeBudget
) -> Step | None:
    slot = observed.slot(engine.name)
    if slot.state is slots.SlotState.SERVING:
        return _serving_step(observed, engine, slot, budget)
    if slot.state is slots.SlotState.DRAINING:
        return _draining_step(observed, engine, slot, budget)
    if slot.state is slots.SlotState.PENDING:
        return _pending_step(observed, engine, slot)
    return _settled_step(observed, engine, slot, budget)


def _serving_step(
    observed: ObservedState,
    engine: schema.Engine,
    slot: slots.Slot,
    budget: change_budget.ChangeBudget,
) -> Step | None:
    if engine.serving == "withdrawn":
        role = targets.intended_role(engine, slot)
        return BeginDrain(slot, role, engine.role, "withdrawn by the document")
    if engine.name in observed.leaving:
        return None
    change = _change_for(observed, engine, slot)
    if change is None:
        return None
    denial = budget.reserve_change(engine, _in_service(observed, engine))
    if denial is not None:
        return Blocked(engine.name, denial)
    return BeginDrain(slot, change.role, engine.role, change.reason)


def _change_for(
    observed: ObservedState, engine: schema.Engine, slot: slots.Slot
) -> roles.RoleChange | None:
    target = targets.target_of(observed.document, engine, slot)
    planned = observed.planned_changes.get(engine.name)
    if planned is not None and not engine.pinned and planned.role != target.role:
        return planned
    state = observed.states.get(engine.name)
    # A restarted engine has lost its role and models, which its state shows.
    if not isinstance(state, order_client.EngineState) or state.changing:
        return None
    if targets.is_met(state, target):
        return None
    reason = "the engine is not in its intended state"
    return roles.RoleChange(engine.name, target.role, reason)


def _draining_step(
    observed: ObservedState,
    engine: schema.Engine,
    slot: slots.Slot,
    budget: change_budget.ChangeBudget,
) -> Step:
    target = targets.target_of(observed.document, engine, slot)
    state = observed.states.get(engine.name)
    met = isinstance(state, order_client.EngineState) and targets.is_met(state, target)
    if engine.serving == "active" and (
        met or _reclaim_change(observed, engine, budget)
    ):
        return AbandonDrain(slot)
    outcome = observed.drain_outcomes.get(
        engine.name, drain.InUse("the drain progress has not been read yet")
    )
    if isinstance(outcome, drain.InUse):
        return Blocked(engine.name, outcome.reason)
    return _order_step(observed, engine, slot, budget)


def _reclaim_change(
    observed: ObservedState, engine: schema.Engine, budget: change_budget.ChangeBudget
) -> bool:
    unavailable = engine.name in observed.leaving | observed.unreachable
    return not unavailable and budget.reclaim_change(engine)


def _order_step(
    observed: ObservedState,
    engine: schema.Engine,
    slot: slots.Slot,
    budget: change_budget.ChangeBudget,
) -> Step:
    idle = drain.engine_outcome(observed.states.get(engine.name))
    if isinstance(idle, drain.InUse):
        return Blocked(engine.name, idle.reason)
    state = idle.state
    target = targets.target_of(observed.document, engine, slot)
    if targets.is_met(state, target):
        return Blocked(engine.name, "drained")
    loads = targets.needs_load(state, target)
    if loads and not budget.reserve_load():
        return Blocked(engine.name, "waiting for the weight store's rate")
    reason = slot.reason
    return SendOrder(
        orders.OrderRequest(slot, engine, target, reason, observed.number, state.fence),
        loads,
    )


def _pending_step(
    observed: ObservedState, engine: schema.Engine, slot: slots.Slot
) -> Step:
    state = observed.states.get(engine.name)
    if state is None:
        return Blocked(engine.name, "the engine's state has not been read yet")
    pending_age = observed.pending_ages.get(engine.name, datetime.timedelta())
    resolution = orders.resolve(slot, engine, state, pending_age)
    if isinstance(resolution, orders.Wait):
        return Blocked(engine.name, resolution.reason)
    if isinstance(resolution, orders.Settle):
        return SettleOrder(slot, resolution.state)
    idle = drain.engine_outcome(state)
    if isinstance(idle, drain.InUse):
        return Blocked(engine.name, idle.reason)
    # The order is sent even if the engine already meets the newest target: only a newer
    # order makes an engine that checks fencing tokens refuse the pending one forever.
    target = targets.target_of(observed.document, engine, slot)
    return SendOrder(
        orders.OrderRequest(
            slot, engine, target, slot.reason, observed.number, resolution.fence
        ),
        loads=False,
    )


def _settled_step(
    observed: ObservedState,
    engine: schema.Engine,
    slot: slots.Slot,
    budget: change_budget.ChangeBudget,
) -> Step:
    target = targets.target_of(observed.document, engine, slot)
    state = observed.states.get(engine.name)
    if isinstance(state, order_client.EngineState) and targets.is_met(state, target):
        if engine.serving == "withdrawn":
            return Blocked(engine.name, "drained")
        return ReturnToService(slot)
    return _order_step(observed, engine, slot, budget)
