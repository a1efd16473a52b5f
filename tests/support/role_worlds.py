"""Small worlds for scenarios of role planning: engines, demand, no network."""

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
    "EVEN",
    "LONG",
    "SHORT",
    "Counted",
    "FixedFleet",
    "Found",
    "RolesOnly",
    "World",
    "carried_out",
    "ordered",
    "policy",
    "samples",
    "in_service",
    "settled",
    "violations",
    "withdrawn",
]

_EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
_TICK_S = 5
_CONDITIONS = tuple(engine_states.Condition)


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand of a domain for each of its engines, by the second."""

    short_requests: float
    long_requests: float


# Short prompts have 400 tokens and answers of 120, long ones 9,000 and 250; an engine
# reads 3,000 tokens a second and writes 400.
LONG = Demand(0.3, 0.2)
SHORT = Demand(1.75, 0.01)
EVEN = Demand(1.63, 0.002)


def policy(fleet: str) -> schema.RolePolicy:
    """Return the role policy of an example document."""
    path = _EXAMPLES / f"{fleet}-fleet.jsonc"
    document = validation.read_file(schema.FleetDocument, path)
    assert isinstance(document, schema.FleetDocument), document
    return document.roles


def engine(number: int, role: schema.Role, *, pinned: bool = False) -> schema.Engine:
    """Return an engine of a document."""
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


def in_service(names: abc.Sequence[str]) -> list[engine_states.EngineState]:
    """Return serving engines with roles."""
    return [
        engine_states.EngineState(engine(n, role), role)
        for n, role in enumerate(typing.cast(abc.Sequence[schema.Role], names), 1)
    ]


def samples(
    load: abc.Callable[[float], Demand], seconds: int, engines: int
) -> list[demand.Sample]:
    """Return the samples of a load, one each five seconds."""
    return [
        _sample(load(at), at, engines)
        for at in range(_TICK_S, seconds + _TICK_S, _TICK_S)
    ]


def _sample(asked: Demand, at: float, engines: int) -> demand.Sample:
    short, long = asked.short_requests * engines, asked.long_requests * engines
    return demand.Sample(
        datetime.timedelta(seconds=at),
        _TICK_S,
        400 * short,
        9000 * long,
        120 * short + 250 * long,
        short,
        long,
    )


def ordered(
    known: abc.Sequence[engine_states.EngineState], change: roles.RoleChange
) -> list[engine_states.EngineState]:
    """Return the states once the change's slot is taken."""
    return _with(
        known,
        change.engine,
        role=change.role,
        condition=engine_states.Condition.CHANGING,
    )


def settled(
    known: abc.Sequence[engine_states.EngineState],
    change: roles.RoleChange,
    at: datetime.timedelta | None,
) -> list[engine_states.EngineState]:
    """Return the states once the change has ended."""
    return _with(known, change.engine, role=change.role, since=at)


def withdrawn(
    known: abc.Sequence[engine_states.EngineState], name: str
) -> list[engine_states.EngineState]:
    """Return the states with one engine withdrawn."""
    return _with(known, name, condition=engine_states.Condition.WITHDRAWN)


def _with(
    known: abc.Sequence[engine_states.EngineState], name: str, **changes: typing.Any
) -> list[engine_states.EngineState]:
    return [
        dataclasses.replace(state, **changes) if state.engine.name == name else state
        for state in known
    ]


class World:
    """Plans each five seconds and carries the changes out.

    Args:
        absent: Name of an engine, and from when to when it is withdrawn.
        forget_events: Whether the planner is not told when engines came and went.
    """

    def __init__(
        self,
        names: abc.Sequence[str],
        chosen: schema.RolePolicy,
        load: abc.Callable[[float], Demand],
        *,
        safeguards: roles.Safeguards | None = None,
        absent: tuple[str, float, float] | None = None,
        forget_events: bool = False,
    ) -> None:
        self.changes: list[tuple[float, roles.RoleChange]] = []
        self._states = in_service(names)
        self._policy = chosen
        self._load = load
        self._safeguards = safeguards or roles.Safeguards()
        self._absent = absent
        self._forget_events = forget_events
        self._samples: list[demand.Sample] = []
        self._ends: list[tuple[float, roles.RoleChange]] = []

    def run(self, seconds: int) -> None:
        """Plan for a time."""
        for at in range(_TICK_S, seconds + _TICK_S, _TICK_S):
            self._settle(at)
            self._come_and_go(at)
            self._samples.append(_sample(self._load(at), at, len(self._states)))
            del self._samples[:-60]
            now = datetime.timedelta(seconds=at)
            known = self._states
            if self._forget_events:
                known = [dataclasses.replace(s, since=None) for s in known]
            for change in roles.plan(
                now, known, self._samples, self._policy, self._safeguards
            ):
                self.changes.append((at, change))
                self._states = ordered(self._states, change)
                self._ends.append((at + self._policy.change_cost_s, change))

    def _settle(self, at: float) -> None:
        now = datetime.timedelta(seconds=at)
        for end, change in [item for item in self._ends if item[0] <= at]:
            self._ends.remove((end, change))
            self._states = _with(
                settled(self._states, change, now),
                change.engine,
                condition=engine_states.Condition.SERVING,
            )

    def _come_and_go(self, at: float) -> None:
        if self._absent is None:
            return
        name, gone, back = self._absent
        for moment, condition in (
            (gone, engine_states.Condition.WITHDRAWN),
            (back, engine_states.Condition.SERVING),
        ):
            if at == moment:
                now = datetime.timedelta(seconds=at)
                self._states = _with(self._states, name, condition=condition, since=now)


@dataclasses.dataclass(frozen=True, slots=True)
class FixedFleet:
    """Stands for `fleet.Fleet` with one document, of which only the roles count."""

    roles: schema.RolePolicy

    @property
    def view(self) -> "FixedFleet":
        """The only view."""
        return self

    @property
    def document(self) -> "FixedFleet":
        """The only document."""
        return self


class Counted:
    """What one instance counts of a steady demand."""

    def __init__(self, asked: Demand, engines: int) -> None:
        self._sample = _sample(asked, 0.0, engines)
        self._at = 0.0

    def advance(self, at: float) -> None:
        """Set the time."""
        self._at = at

    def totals(self) -> tuple[demand.Totals, ...]:
        """Return the totals as of now."""
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


class RolesOnly:
    """The planner without `state_tracker`: engine states carry no time of change."""

    def __init__(
        self,
        chosen: schema.RolePolicy,
        totals: abc.Callable[[], abc.Iterable[demand.Totals]],
    ) -> None:
        self._policy = chosen
        self._totals = totals
        self._history = demand.History()

    def plan(
        self, known: abc.Sequence[engine_states.EngineState], now: datetime.timedelta
    ) -> tuple[roles.RoleChange, ...]:
        """Return the changes wanted now."""
        self._history.observe(now, self._totals())
        return roles.plan(now, known, self._history.samples, self._policy)


def carried_out(
    names: abc.Sequence[str],
    changes: abc.Sequence[roles.RoleChange],
    order: abc.Sequence[tuple[int, str]],
    chosen: schema.RolePolicy,
    *,
    look: bool,
) -> int:
    """Return how many changes are made when two planners' steps come in an order."""
    known = in_service(names)
    made = 0
    for planner, step in order:
        change = changes[planner]
        if step == "take":
            known = ordered(known, change)
        elif not look or roles.confirm(change, known, chosen):
            made += 1
        else:
            known = _with(
                known, change.engine, condition=engine_states.Condition.SERVING
            )
    return made


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """What planning for many drawn states found."""

    plans: int
    violations: tuple[str, ...]


def violations(count: int, safeguards: roles.Safeguards) -> Found:
    """Plan for drawn states and check each plan."""
    chance = random.Random(5)
    plans = 0
    found: list[str] = []
    for _ in range(count):
        known, chosen = _drawn(chance)
        load = chance.choice((LONG, SHORT))
        changes = roles.plan(
            datetime.timedelta(seconds=600),
            known,
            samples(functools.partial(_always, load), 300, len(known)),
            chosen,
            safeguards,
        )
        plans += len(changes)
        for change in changes:
            found += _wrong(known, change, chosen)
            known = ordered(known, change)
        under_way = sum(s.condition is engine_states.Condition.CHANGING for s in known)
        if changes and under_way > chosen.concurrent_changes:
            found.append("too many changes at once")
    return Found(plans, tuple(found))


def _always(load: Demand, at: float) -> Demand:
    return load


def _drawn(
    chance: random.Random,
) -> tuple[list[engine_states.EngineState], schema.RolePolicy]:
    known = [
        engine_states.EngineState(
            engine(n, "mixed", pinned=chance.random() < 0.2),
            chance.choice(("prefill", "decode", "mixed")),
            chance.choices(_CONDITIONS, weights=(8, 1, 1, 1))[0],
        )
        for n in range(chance.randint(2, 6))
    ]
    chosen = schema.RolePolicy(
        change_weight=1.0,
        concurrent_changes=chance.randint(1, 3),
        least_serving_share=chance.choice((0.5, 0.6, 0.8)),
    )
    return known, chosen


def _wrong(
    known: abc.Sequence[engine_states.EngineState],
    change: roles.RoleChange,
    chosen: schema.RolePolicy,
) -> list[str]:
    (changed,) = [s for s in known if s.engine.name == change.engine]
    found = []
    if (
        changed.engine.pinned
        or changed.condition is not engine_states.Condition.SERVING
    ):
        found.append(f"{change} moves an engine that must stay")
    serving = [s.role for s in known if s.condition is engine_states.Condition.SERVING]
    staying = serving.copy()
    if changed.condition is engine_states.Condition.SERVING:
        staying.remove(changed.role)
    if not _answers(known):
        return found
    present = [s for s in known if s.condition is not engine_states.Condition.WITHDRAWN]
    least = serving_floor.min_serving(len(present), chosen.least_serving_share)
    if len(staying) < least:
        found.append(f"{change} leaves {len(staying)} of {len(present)} in service")
    if _covered(serving) and not _covered(staying):
        found.append(f"{change} leaves a model without a role")
    return found


def _answers(known: abc.Sequence[engine_states.EngineState]) -> bool:
    able = (engine_states.Condition.SERVING, engine_states.Condition.CHANGING)
    return any(s.role != "prefill" for s in known if s.condition in able)


def _covered(present: abc.Sequence[str]) -> bool:
    found = set(present)
    return bool(found & {"prefill", "mixed"}) and bool(found & {"decode", "mixed"})
