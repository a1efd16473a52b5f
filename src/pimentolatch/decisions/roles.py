"""Plans which engines of one failure domain change role, and when.

Load pattern: the ratio of prompt to output tokens swings within minutes and drifts over
hours. A planner that follows each swing takes engines out of service for seconds just
when they are needed; one that never changes roles wastes them when a shift lasts.

Staying in the wrong roles loses work every second, while a change has a fixed cost. So
a change is due once the work lost by staying, summed since the shift began, exceeds the
cost of the change. A shift that ends sooner never causes a change, and one that lasts
causes it after losing about as much as the change costs. The weights come from the
document.

The planner keeps no state between two plans. Changes in progress are read from the
order slots, so a restarted planner, or a second one running at the same time, counts
the same changes and adds none beyond the limit.
"""

import dataclasses
import datetime
import typing
from collections import abc

from pimentolatch.decisions import cost_benefit, demand, engine_states, serving_floor
from pimentolatch.document import schema

__all__ = ["RoleChange", "Safeguards", "confirm", "plan"]

# Time within which crashed engines usually restart and drained ones are replaced.
_RECOVERY_S = 30.0
# Engines that stay in service during a change. If only one stayed and crashed, the
# domain would serve nothing; and one alone builds up a backlog that outlasts the
# change.
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
    """Parts of the planner that benchmarks can disable to measure their effect."""

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

    The result depends only on the arguments, so every instance plans the same changes
    from the same observation.
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
    """Return whether a change may proceed once its engine's order slot is taken.

    Two planners with different observations can take the slots of two engines at the
    same time. Each then reads all slots, and at least the later one sees both. A
    planner that sees more changes than the limit releases its slot. If both do, neither
    change is made and the next plan decides again.

    Args:
        change: The change whose slot was taken.
        engines: States read after that, with this change among those in progress.
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
    """Return the change that lets a model be served again, if one does.

    If the only engine that decodes for a model is withdrawn or crashes, prefill engines
    stand idle and every request is refused. This change takes no capacity away, so
    neither its cost nor the dwell time delays it. It only waits until most crashes and
    drains are over, since changing back has a cost as well.
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
    """Return whether enough engines serve during the change and after it.

    Engines in an uncertain state may never come back. If they were counted, a change
    that begins while one is down could leave callers with neither. So the share that
    stays in service and the roles left for each model count only serving engines.
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
