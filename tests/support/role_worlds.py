"""Engines and demand for scenarios of role planning, without a network."""

import dataclasses
import datetime
import functools
import pathlib
import random
import typing
from collections import abc

from pimentolatch import validation
from pimentolatch.decisions import demand, engine_states, roles, serving_floor
from pimentolatch.document import schema

__all__ = [
    "EVEN_DEMAND",
    "LONG_PROMPTS",
    "SHORT_PROMPTS",
    "FixedFleet",
    "PlanCheck",
    "PlanningWorld",
    "SteadyDemand",
    "UntrackedPlanner",
    "check_plans",
    "count_executed",
    "policy",
    "samples",
    "serving_engines",
    "with_change_done",
    "with_order",
    "with_withdrawal",
]

_EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
_TICK_S = 5
_CONDITIONS = tuple(engine_states.Condition)


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand of a failure domain in requests per second and engine."""

    short_requests: float
    long_requests: float


# Short prompts have 400 tokens and answers of 120 tokens, long ones 9,000 and 250; an
# engine prefills 3,000 tokens per second and decodes 400.
LONG_PROMPTS = Demand(0.3, 0.2)
SHORT_PROMPTS = Demand(1.75, 0.01)
EVEN_DEMAND = Demand(1.63, 0.002)


def policy(fleet: str) -> schema.RolePolicy:
    """Return the role policy in the example document of a fleet."""
    path = _EXAMPLES / f"{fleet}-fleet.jsonc"
    document = validation.read_file(schema.FleetDocument, path)
    assert isinstance(document, schema.FleetDocument), document
    return document.roles


def engine(number: int, role: schema.Role, *, pinned: bool = False) -> schema.Engine:
    """Return an engine as a fleet document has it."""
    return schema.Engine.model_validate(
        {
            "name": f"e-{number}",
            "failure_domain": "north",
            "address": {"host": "192.0.2.1", "port": 9000 + number},
            "checks_fencing": True,
            "models": ("badge-draft",),
            "role": role,
            "pinned": pinned,
            "streams": 16,
            "prefill_tokens_per_s": 3000,
            "decode_tokens_per_s": 400,
        }
    )


def serving_engines(names: abc.Sequence[str]) -> list[engine_states.EngineState]:
    """Return the states of serving engines with the given roles."""
    return [
        engine_states.EngineState(engine(n, role), role)
        for n, role in enumerate(typing.cast(abc.Sequence[schema.Role], names), 1)
    ]


def samples(
    load: abc.Callable[[float], Demand], seconds: int, engines: int
) -> list[demand.Sample]:
    """Return demand samples of a load, one every five seconds."""
    return [
        _sample(load(at), at, engines)
        for at in range(_TICK_S, seconds + _TICK_S, _TICK_S)
    ]


def _sample(load: Demand, at: float, engines: int) -> demand.Sample:
    short, long = load.short_requests * engines, load.long_requests * engines
    return demand.Sample(
        datetime.timedelta(seconds=at),
        _TICK_S,
        400 * short,
        9000 * long,
        120 * short + 250 * long,
        short,
        long,
    )


def with_order(
    states: abc.Sequence[engine_states.EngineState], change: roles.RoleChange
) -> list[engine_states.EngineState]:
    """Return the states after the slot of a change was taken."""
    return _with(
        states,
        change.engine,
        role=change.role,
        condition=engine_states.Condition.CHANGING,
    )


def with_change_done(
    states: abc.Sequence[engine_states.EngineState],
    change: roles.RoleChange,
    at: datetime.timedelta | None,
) -> list[engine_states.EngineState]:
    """Return the states after a change has ended."""
    return _with(states, change.engine, role=change.role, since=at)


def with_withdrawal(
    states: abc.Sequence[engine_states.EngineState], name: str
) -> list[engine_states.EngineState]:
    """Return the states with one engine withdrawn."""
    return _with(states, name, condition=engine_states.Condition.WITHDRAWN)


def _with(
    states: abc.Sequence[engine_states.EngineState], name: str, **changes: typing.Any
) -> list[engine_states.EngineState]:
    return [
        dataclasses.replace(state, **changes) if state.engine.name == name else state
        for state in states
    ]


class PlanningWorld:
    """Plans role changes every five seconds and carries them out.

    Args:
        names: Roles of the engines at first.
        role_policy: Policy to plan by.
        load: Demand at a time in seconds.
        safeguards: Safeguards of the planner.
        absent: Name of an engine, and the times in seconds from which and until which
            it is withdrawn.
        omit_change_times: Whether the planner gets no times at which engines were
            withdrawn or returned.
    """

    def __init__(
        self,
        names: abc.Sequence[str],
        role_policy: schema.RolePolicy,
        load: abc.Callable[[float], Demand],
        *,
        safeguards: roles.Safeguards | None = None,
        absent: tuple[str, float, float] | None = None,
        omit_change_times: bool = False,
    ) -> None:
        self.changes: list[tuple[float, roles.RoleChange]] = []
        self._states = serving_engines(names)
        self._policy = role_policy
        self._load = load
        self._safeguards = safeguards or roles.Safeguards()
        self._absent = absent
        self._omit_change_times = omit_change_times
        self._samples: list[demand.Sample] = []
        self._pending_changes: list[tuple[float, roles.RoleChange]] = []

    def run(self, seconds: int) -> None:
        """Plan for a time in seconds."""
        for at in range(_TICK_S, seconds + _TICK_S, _TICK_S):
            self._end_changes(at)
            self._apply_absence(at)
            self._samples.append(_sample(self._load(at), at, len(self._states)))
            del self._samples[:-60]
            now = datetime.timedelta(seconds=at)
            states = self._states
            if self._omit_change_times:
                states = [dataclasses.replace(s, since=None) for s in states]
            for change in roles.plan(
                now, states, self._samples, self._policy, self._safeguards
            ):
                self.changes.append((at, change))
                self._states = with_order(self._states, change)
                self._pending_changes.append((at + self._policy.change_cost_s, change))

    def _end_changes(self, at: float) -> None:
        now = datetime.timedelta(seconds=at)
        for end, change in [item for item in self._pending_changes if item[0] <= at]:
            self._pending_changes.remove((end, change))
            self._states = _with(
                with_change_done(self._states, change, now),
                change.engine,
                condition=engine_states.Condition.SERVING,
            )

    def _apply_absence(self, at: float) -> None:
        if self._absent is None:
            return
        name, start, end = self._absent
        for moment, condition in (
            (start, engine_states.Condition.WITHDRAWN),
            (end, engine_states.Condition.SERVING),
        ):
            if at == moment:
                now = datetime.timedelta(seconds=at)
                self._states = _with(self._states, name, condition=condition, since=now)


@dataclasses.dataclass(frozen=True, slots=True)
class FixedFleet:
    """Replaces `fleet.Fleet`; has one document with only a role policy."""

    roles: schema.RolePolicy

    @property
    def view(self) -> "FixedFleet":
        """The only view."""
        return self

    @property
    def document(self) -> "FixedFleet":
        """The only document."""
        return self


class SteadyDemand:
    """Demand totals of one instance under a constant demand."""

    def __init__(self, load: Demand, engines: int) -> None:
        self._sample = _sample(load, 0.0, engines)
        self._at = 0.0

    def advance(self, at: float) -> None:
        """Set the time."""
        self._at = at

    def totals(self) -> tuple[demand.Totals, ...]:
        """Return the totals at the set time."""
        one, at = self._sample, self._at
        return (
            demand.Totals(
                "entry-1",
                "1",
                at,
                one.short_prompts * at,
                one.long_prompts * at,
                one.output * at,
                one.short_requests * at,
                one.long_requests * at,
            ),
        )


class UntrackedPlanner:
    """Planner without `state_tracker`: engine states have no time of their change."""

    def __init__(
        self,
        role_policy: schema.RolePolicy,
        totals: abc.Callable[[], abc.Iterable[demand.Totals]],
    ) -> None:
        self._policy = role_policy
        self._totals = totals
        self._history = demand.History()

    def plan(
        self, states: abc.Sequence[engine_states.EngineState], now: datetime.timedelta
    ) -> tuple[roles.RoleChange, ...]:
        """Return the changes that the planner wants now."""
        self._history.observe(now, self._totals())
        return roles.plan(now, states, self._history.samples, self._policy)


def count_executed(
    names: abc.Sequence[str],
    changes: abc.Sequence[roles.RoleChange],
    order: abc.Sequence[tuple[int, str]],
    role_policy: schema.RolePolicy,
    *,
    confirm: bool,
) -> int:
    """Return how many changes are made if two planners' steps run in an order.

    Args:
        names: Roles of the engines at first.
        changes: The change of each planner.
        order: Pairs of a planner and its step.
        role_policy: Policy of the planners.
        confirm: Whether a planner checks its change again after it took the slot.
    """
    states = serving_engines(names)
    made = 0
    for planner, step in order:
        change = changes[planner]
        if step == "take":
            states = with_order(states, change)
        elif not confirm or roles.confirm(change, states, role_policy):
            made += 1
        else:
            states = _with(
                states, change.engine, condition=engine_states.Condition.SERVING
            )
    return made


@dataclasses.dataclass(frozen=True, slots=True)
class PlanCheck:
    """Result of planning for many random states."""

    plans: int
    violations: tuple[str, ...]


def check_plans(count: int, safeguards: roles.Safeguards) -> PlanCheck:
    """Plan for random states and check each plan."""
    rng = random.Random(5)
    plans = 0
    problems: list[str] = []
    for _ in range(count):
        states, role_policy = _random_states(rng)
        load = rng.choice((LONG_PROMPTS, SHORT_PROMPTS))
        changes = roles.plan(
            datetime.timedelta(seconds=600),
            states,
            samples(functools.partial(_always, load), 300, len(states)),
            role_policy,
            safeguards,
        )
        plans += len(changes)
        for change in changes:
            problems += _violations(states, change, role_policy)
            states = with_order(states, change)
        under_way = sum(s.condition is engine_states.Condition.CHANGING for s in states)
        if changes and under_way > role_policy.concurrent_changes:
            problems.append("too many changes at once")
    return PlanCheck(plans, tuple(problems))


def _always(load: Demand, at: float) -> Demand:
    return load


def _random_states(
    rng: random.Random,
) -> tuple[list[engine_states.EngineState], schema.RolePolicy]:
    states = [
        engine_states.EngineState(
            engine(n, "mixed", pinned=rng.random() < 0.2),
            rng.choice(("prefill", "decode", "mixed")),
            rng.choices(_CONDITIONS, weights=(8, 1, 1, 1))[0],
        )
        for n in range(rng.randint(2, 6))
    ]
    role_policy = schema.RolePolicy(
        change_weight=1.0,
        concurrent_changes=rng.randint(1, 3),
        least_serving_share=rng.choice((0.5, 0.6, 0.8)),
    )
    return states, role_policy


def _violations(
    states: abc.Sequence[engine_states.EngineState],
    change: roles.RoleChange,
    role_policy: schema.RolePolicy,
) -> list[str]:
    (changed,) = [s for s in states if s.engine.name == change.engine]
    problems = []
    if (
        changed.engine.pinned
        or changed.condition is not engine_states.Condition.SERVING
    ):
        problems.append(f"{change} moves an engine that must stay")
    serving = [s.role for s in states if s.condition is engine_states.Condition.SERVING]
    staying = serving.copy()
    if changed.condition is engine_states.Condition.SERVING:
        staying.remove(changed.role)
    if not _can_generate(states):
        return problems
    present = [
        s for s in states if s.condition is not engine_states.Condition.WITHDRAWN
    ]
    min_serving = serving_floor.min_serving(
        len(present), role_policy.least_serving_share
    )
    if len(staying) < min_serving:
        problems.append(f"{change} leaves {len(staying)} of {len(present)} in service")
    if _covers_both_stages(serving) and not _covers_both_stages(staying):
        problems.append(f"{change} leaves a model without a role")
    return problems


def _can_generate(states: abc.Sequence[engine_states.EngineState]) -> bool:
    able = (engine_states.Condition.SERVING, engine_states.Condition.CHANGING)
    return any(s.role != "prefill" for s in states if s.condition in able)


def _covers_both_stages(present: abc.Sequence[str]) -> bool:
    found = set(present)
    return bool(found & {"prefill", "mixed"}) and bool(found & {"decode", "mixed"})
