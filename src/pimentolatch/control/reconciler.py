"""Decides the next step of each engine towards its intended state; no I/O.

Load pattern: the mix of prompts and outputs swings, so the planner asks for role
changes while callers fill the fleet; documents bring new models at the same time.
Without bounds on changes under way, a document that touches every engine would take
a whole failure domain out of service at once. Grounds for the bounds: they are the
operators' own (`concurrent_changes`, `least_serving_share`); loads are spaced so that
all failure domains together keep to the weight store's rate.
"""

import dataclasses
import datetime
from collections import abc

from pimentolatch.backend import order_client
from pimentolatch.control import allowance, drain, orders, slots, targets
from pimentolatch.decisions import roles
from pimentolatch.document import schema

__all__ = [
    "Abandon",
    "BeginDrain",
    "GiveOrder",
    "Hold",
    "ReturnToService",
    "SettleOrder",
    "Situation",
    "Step",
    "engine_of",
    "next_steps",
]

EngineAnswer = order_client.EngineState | order_client.Unreachable


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """Everything a pass has read.

    Attributes:
        number: Number of the document.
        own_slots: Slots of the failure domain, by engine.
        states: Engines' answers, asked for after acknowledgements and counts.
        outcomes: Whether each draining engine is idle.
        unreachable: Engines that gave no answer when last asked.
        leaving: Servers that the platform's list shows leaving.
        wanted: Role changes that the planner asks for, by engine.
        seen_pending: How long each pending order has been seen pending.
        busy: Engines whose order this process is giving.
        may_load: Whether an order that fetches weights may start now.
    """

    document: schema.FleetDocument
    number: int
    failure_domain: str
    own_slots: abc.Mapping[str, slots.Slot]
    states: abc.Mapping[str, EngineAnswer]
    outcomes: abc.Mapping[str, drain.Drained | drain.InUse]
    unreachable: abc.Set[str] = frozenset()
    leaving: abc.Set[str] = frozenset()
    wanted: abc.Mapping[str, roles.RoleChange] = dataclasses.field(default_factory=dict)
    seen_pending: abc.Mapping[str, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    busy: abc.Set[str] = frozenset()
    may_load: bool = True

    @property
    def engines(self) -> tuple[schema.Engine, ...]:
        """The failure domain's engines."""
        return tuple(
            engine
            for engine in self.document.engines
            if engine.failure_domain == self.failure_domain
        )

    def slot(self, engine: str) -> slots.Slot:
        """Return an engine's slot."""
        return self.own_slots.get(engine, slots.Slot(engine))


@dataclasses.dataclass(frozen=True, slots=True)
class BeginDrain:
    """Take an engine out of service for a change."""

    slot: slots.Slot
    role: schema.Role
    document_role: schema.Role
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Abandon:
    """Put a draining engine back in service without a change."""

    slot: slots.Slot


@dataclasses.dataclass(frozen=True, slots=True)
class GiveOrder:
    """Order an idle engine, or supersede a pending order."""

    request: orders.OrderRequest
    loads: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SettleOrder:
    """Record that a pending order took effect."""

    slot: slots.Slot
    state: order_client.EngineState


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnToService:
    """Put a changed engine back in service."""

    slot: slots.Slot


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """The change is not done yet; nothing can be done now."""

    engine: str
    reason: str


Step = BeginDrain | Abandon | GiveOrder | SettleOrder | ReturnToService | Hold


def engine_of(step: Step) -> str:
    """Return the engine that a step is about."""
    if isinstance(step, Hold):
        return step.engine
    if isinstance(step, GiveOrder):
        return step.request.engine.name
    return step.slot.engine


def next_steps(situation: Situation) -> tuple[Step, ...]:
    """Return a step for each engine that has one to take or waits for one."""
    left = _allowance(situation)
    steps: list[Step] = []
    for engine in situation.engines:
        if engine.name in situation.busy:
            continue
        step = _step(situation, engine, left)
        if step is not None:
            steps.append(step)
    return tuple(steps)


def _allowance(situation: Situation) -> allowance.Allowance:
    active = [e for e in situation.engines if e.serving == "active"]
    return allowance.Allowance(
        situation.document.roles,
        active=active,
        in_service=[e for e in active if _in_service(situation, e)],
        changing=sum(
            situation.slot(engine.name).state is not slots.SlotState.SERVING
            for engine in active
        ),
        loads=1 if situation.may_load else 0,
    )


def _in_service(situation: Situation, engine: schema.Engine) -> bool:
    if situation.slot(engine.name).state is not slots.SlotState.SERVING:
        return False
    return engine.name not in situation.leaving | situation.unreachable


def _step(
    situation: Situation, engine: schema.Engine, left: allowance.Allowance
) -> Step | None:
    slot = situation.slot(engine.name)
    if slot.state is slots.SlotState.SERVING:
        return _serving_step(situation, engine, slot, left)
    if slot.state is slots.SlotState.DRAINING:
        return _draining_step(situation, engine, slot, left)
    if slot.state is slots.SlotState.PENDING:
        return _pending_step(situation, engine, slot)
    return _settled_step(situation, engine, slot, left)


def _serving_step(
    situation: Situation,
    engine: schema.Engine,
    slot: slots.Slot,
    left: allowance.Allowance,
) -> Step | None:
    if engine.serving == "withdrawn":
        role = targets.intended_role(engine, slot)
        return BeginDrain(slot, role, engine.role, "withdrawn by the document")
    if engine.name in situation.leaving:
        return None
    change = _wanted(situation, engine, slot)
    if change is None:
        return None
    held = left.take_change(engine, _in_service(situation, engine))
    if held is not None:
        return Hold(engine.name, held)
    return BeginDrain(slot, change.role, engine.role, change.reason)


def _wanted(
    situation: Situation, engine: schema.Engine, slot: slots.Slot
) -> roles.RoleChange | None:
    target = targets.target_of(situation.document, engine, slot)
    planned = situation.wanted.get(engine.name)
    if planned is not None and not engine.pinned and planned.role != target.role:
        return planned
    state = situation.states.get(engine.name)
    # A restarted engine has lost its role and models; its state shows it.
    if not isinstance(state, order_client.EngineState) or state.changing:
        return None
    if targets.is_met(state, target):
        return None
    reason = "the engine is not in its intended state"
    return roles.RoleChange(engine.name, target.role, reason)


def _draining_step(
    situation: Situation,
    engine: schema.Engine,
    slot: slots.Slot,
    left: allowance.Allowance,
) -> Step:
    target = targets.target_of(situation.document, engine, slot)
    state = situation.states.get(engine.name)
    met = isinstance(state, order_client.EngineState) and targets.is_met(state, target)
    if engine.serving == "active" and (met or _is_missed(situation, engine, left)):
        return Abandon(slot)
    outcome = situation.outcomes.get(engine.name, drain.InUse("not looked at yet"))
    if isinstance(outcome, drain.InUse):
        return Hold(engine.name, outcome.reason)
    return _order_step(situation, engine, slot, left)


def _is_missed(
    situation: Situation, engine: schema.Engine, left: allowance.Allowance
) -> bool:
    gone = engine.name in situation.leaving | situation.unreachable
    return not gone and left.take_back(engine)


def _order_step(
    situation: Situation,
    engine: schema.Engine,
    slot: slots.Slot,
    left: allowance.Allowance,
) -> Step:
    at_rest = drain.engine_outcome(situation.states.get(engine.name))
    if isinstance(at_rest, drain.InUse):
        return Hold(engine.name, at_rest.reason)
    state = at_rest.state
    target = targets.target_of(situation.document, engine, slot)
    if targets.is_met(state, target):
        return Hold(engine.name, "drained")
    loads = targets.needs_load(state, target)
    if loads and not left.take_load():
        return Hold(engine.name, "waiting for the weight store's rate")
    reason = slot.reason
    return GiveOrder(
        orders.OrderRequest(
            slot, engine, target, reason, situation.number, state.fence
        ),
        loads,
    )


def _pending_step(
    situation: Situation, engine: schema.Engine, slot: slots.Slot
) -> Step:
    state = situation.states.get(engine.name)
    if state is None:
        return Hold(engine.name, "the engine's state is not known")
    seen = situation.seen_pending.get(engine.name, datetime.timedelta())
    resolution = orders.resolve(slot, engine, state, seen)
    if isinstance(resolution, orders.Wait):
        return Hold(engine.name, resolution.reason)
    if isinstance(resolution, orders.Settle):
        return SettleOrder(slot, resolution.state)
    at_rest = drain.engine_outcome(state)
    if isinstance(at_rest, drain.InUse):
        return Hold(engine.name, at_rest.reason)
    # The newest target goes out, also when the engine meets it already: only a newer
    # order makes a fenced engine refuse the pending one for good.
    target = targets.target_of(situation.document, engine, slot)
    return GiveOrder(
        orders.OrderRequest(
            slot, engine, target, slot.reason, situation.number, resolution.fence
        ),
        loads=False,
    )


def _settled_step(
    situation: Situation,
    engine: schema.Engine,
    slot: slots.Slot,
    left: allowance.Allowance,
) -> Step:
    target = targets.target_of(situation.document, engine, slot)
    state = situation.states.get(engine.name)
    if isinstance(state, order_client.EngineState) and targets.is_met(state, target):
        if engine.serving == "withdrawn":
            return Hold(engine.name, "drained")
        return ReturnToService(slot)
    return _order_step(situation, engine, slot, left)
