"""Plans which engines of one failure domain change role, and when.

Load pattern: the share of prompt to output swings within minutes and drifts over
hours. A planner that follows each swing keeps engines away for seconds at a time, just
when they are needed; one that never moves wastes them when a shift lasts.

Staying in the wrong roles loses work, second by second; a change costs a fixed amount.
So a change is due once the work lost by staying, summed since it began, exceeds the
cost of the change: a shift that ends sooner never earns one, and one that lasts earns
it after losing about as much as the change costs. Weights come from the document.

Nothing here is remembered between two plans. Changes under way are read from the order
slots, so that a planner that crashed, or a second one at the same time, counts the
same changes and adds none beyond the limit.
"""

import dataclasses
import datetime
import typing
from collections import abc

from pimentolatch.decisions import cost_benefit, demand, engine_states, serving_floor
from pimentolatch.document import schema

__all__ = ["RoleChange", "Safeguards", "confirm", "plan"]

# Crashed engines come back and drained ones are replaced within about this time.
_RECOVERY_S = 30.0
# A change never leaves one engine alone: were it to crash, the domain would serve
# nothing, and alone it falls behind for longer than the change takes.
_MIN_STAYING = 2
_ROLES: tuple[schema.Role, ...] = typing.get_args(schema.Role)


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChange:
    """A change of one engine's role, with the reason for the audit trail."""

    engine: str
    role: schema.Role
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Safeguards:
    """Parts of the planner that can be off, only to measure what each is worth."""

    cost_test: bool = True
    rescue_wait: bool = True
    dwell: bool = True
    floor: bool = True


def plan(
    now: datetime.timedelta,
    engines: abc.Sequence[engine_states.EngineState],
    samples: abc.Sequence[demand.Sample],
    policy: schema.RolePolicy,
    safeguards: Safeguards = Safeguards(),
) -> tuple[RoleChange, ...]:
    """Return the changes to order now; often none.

    The same observation gives the same changes, whoever plans.
    """
    under_way = sum(e.condition is engine_states.Condition.CHANGING for e in engines)
    changes: list[RoleChange] = []
    known = sorted(engines, key=lambda state: state.engine.name)
    while under_way + len(changes) < policy.concurrent_changes:
        best = _best_change(now, known, samples, policy, safeguards)
        if best is None:
            break
        changes.append(best)
        known = [_with_change(state, best) for state in known]
    return tuple(changes)


def confirm(
    change: RoleChange,
    engines: abc.Sequence[engine_states.EngineState],
    policy: schema.RolePolicy,
) -> bool:
    """Tell whether a change may go on, now that its engine's order slot is taken.

    Two planners that saw different things can take the slots of two engines at the
    same time. Each then reads all slots; at least the later one sees both, and
    whoever sees more changes than the limit gives its slot back. If both do, neither
    change is made and the next plan decides again.

    Args:
        change: The change whose slot was taken.
        engines: States read after that, with this change among those under way.
        policy: The document's limits.
    """
    under_way = sum(e.condition is engine_states.Condition.CHANGING for e in engines)
    if under_way > policy.concurrent_changes:
        return False
    before = [
        dataclasses.replace(state, condition=engine_states.Condition.SERVING)
        if state.engine.name == change.engine
        else state
        for state in engines
    ]
    return _safe(before, list(engines), change, policy)


def _best_change(
    now: datetime.timedelta,
    known: list[engine_states.EngineState],
    samples: abc.Sequence[demand.Sample],
    policy: schema.RolePolicy,
    safeguards: Safeguards,
) -> RoleChange | None:
    if rescue := _rescue(now, known, safeguards):
        return rescue
    cost_benefit_now = cost_benefit.CostBenefit(known, samples, policy)
    if safeguards.cost_test and not cost_benefit_now.may_pay_off():
        return None
    best, best_surplus = None, 0.0
    for state in known:
        if not _may_change(now, state, policy, safeguards):
            continue
        for role in _ROLES:
            if role == state.role:
                continue
            change = RoleChange(state.engine.name, role, "")
            after = [_with_change(other, change) for other in known]
            if safeguards.floor and not _safe(known, after, change, policy):
                continue
            gain = cost_benefit_now.gain(after)
            cost = cost_benefit_now.cost(change.engine) if safeguards.cost_test else 0.0
            if gain - cost > best_surplus:
                best_surplus = gain - cost
                reason = f"staying lost {gain:.1f} answers, a change costs {cost:.1f}"
                best = dataclasses.replace(change, reason=reason)
    return best


def _rescue(
    now: datetime.timedelta,
    known: list[engine_states.EngineState],
    safeguards: Safeguards,
) -> RoleChange | None:
    """Return the change that lets a model be answered again, if one does.

    When the only engine that answers is withdrawn or crashes, prefill engines stand
    there with nothing to do and every caller is refused. Such a change takes nothing
    away, so neither its price nor the dwell time holds it up. It waits only until
    most crashes and drains are over, since the way back costs a change as well.
    """
    unchanged_s = (now - engine_states.last_change(known)).total_seconds()
    if safeguards.rescue_wait and unchanged_s < _RECOVERY_S:
        return None
    serving = engine_states.serving(known)
    models = {model for state in known for model in state.engine.models}
    for model in sorted(models):
        serving_model = [state for state in serving if model in state.engine.models]
        settled = [s for s in engine_states.settled(known) if model in s.engine.models]
        if any(state.role != "prefill" for state in settled):
            continue
        for state in serving_model:
            if not state.engine.pinned:
                reason = f"no engine is left that answers for {model}"
                return RoleChange(state.engine.name, "mixed", reason)
    return None


def _may_change(
    now: datetime.timedelta,
    state: engine_states.EngineState,
    policy: schema.RolePolicy,
    safeguards: Safeguards,
) -> bool:
    if state.engine.pinned or state.condition is not engine_states.Condition.SERVING:
        return False
    if not safeguards.dwell or state.since is None:
        return True
    return (now - state.since).total_seconds() >= policy.dwell_s


def _safe(
    before: list[engine_states.EngineState],
    after: list[engine_states.EngineState],
    change: RoleChange,
    policy: schema.RolePolicy,
) -> bool:
    """Tell whether enough engines serve during the change and after it.

    Engines in an uncertain state may never come back. Were they counted, a change
    that begins while one is down would leave callers with neither; so both the share
    that stays in service and the roles left for each model count serving ones only.
    """
    present = [
        s for s in before if s.condition is not engine_states.Condition.WITHDRAWN
    ]
    staying = [
        s
        for s in before
        if s.condition is engine_states.Condition.SERVING
        and s.engine.name != change.engine
    ]
    least = serving_floor.min_serving(len(present), policy.least_serving_share)
    if len(staying) < max(least, _MIN_STAYING):
        return False
    models = {model for state in present for model in state.engine.models}
    return all(
        _models_covered(model, staying)
        and _models_covered(model, engine_states.settled(after))
        for model in models
        if _models_covered(model, engine_states.serving(before))
    )


def _models_covered(model: str, known: list[engine_states.EngineState]) -> bool:
    roles = {state.role for state in known if model in state.engine.models}
    return bool(roles & {"prefill", "mixed"}) and bool(roles & {"decode", "mixed"})


def _with_change(
    state: engine_states.EngineState, change: RoleChange
) -> engine_states.EngineState:
    if state.engine.name != change.engine:
        return state
    return dataclasses.replace(
        state, role=change.role, condition=engine_states.Condition.CHANGING
    )
