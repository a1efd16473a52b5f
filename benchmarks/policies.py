"""Role planners to compare, and the search for the best schedule of a known load."""

import dataclasses
import datetime
from collections import abc

from benchmarks import patterns, simulation, simulation_types
from pimentolatch.decisions import demand, engine_states, roles
from pimentolatch.document import schema

__all__ = ["Ours", "Reactive", "Schedule", "Static", "best_schedules", "split_name"]

ROLES: dict[str, schema.Role] = {"P": "prefill", "D": "decode", "M": "mixed"}


@dataclasses.dataclass(frozen=True, slots=True)
class Static:
    """Never changes a role."""

    def plan(
        self,
        now: datetime.timedelta,
        engines: abc.Sequence[engine_states.EngineState],
        samples: abc.Sequence[demand.Sample],
        policy: schema.RolePolicy,
    ) -> tuple[roles.RoleChange, ...]:
        """See `simulation_types.Planner.plan`."""
        return ()


@dataclasses.dataclass(frozen=True, slots=True)
class Ours:
    """The planner of this project, with safeguards that can be disabled."""

    safeguards: roles.Safeguards = roles.Safeguards()

    def plan(
        self,
        now: datetime.timedelta,
        engines: abc.Sequence[engine_states.EngineState],
        samples: abc.Sequence[demand.Sample],
        policy: schema.RolePolicy,
    ) -> tuple[roles.RoleChange, ...]:
        """See `simulation_types.Planner.plan`."""
        return roles.plan(now, engines, samples, policy, self.safeguards)


@dataclasses.dataclass(frozen=True, slots=True)
class Reactive:
    """Moves an engine when one stage is overloaded and the other can spare one.

    A threshold autoscaler: utilization over a short window against a threshold, with a
    cooldown after each change. It keeps one engine for each stage, counts only engines
    in service, and changes one at a time, as ours does.

    The defaults are the best on the tuning seeds for both deployments together.

    Attributes:
        busy: Utilization above which a stage is overloaded.
        samples: Length of the window, in samples.
        pause_s: Least time between two changes, in seconds.
    """

    busy: float = 0.8
    samples: int = 12
    pause_s: float = 60.0

    def plan(
        self,
        now: datetime.timedelta,
        engines: abc.Sequence[engine_states.EngineState],
        samples: abc.Sequence[demand.Sample],
        policy: schema.RolePolicy,
    ) -> tuple[roles.RoleChange, ...]:
        """See `simulation_types.Planner.plan`."""
        serving_now = [
            e for e in engines if e.condition is engine_states.Condition.SERVING
        ]
        changing = any(e.condition is engine_states.Condition.CHANGING for e in engines)
        window = samples[-self.samples :]
        last = max((e.since for e in engines if e.since), default=None)
        paused = last and (now - last).total_seconds() < self.pause_s
        if changing or paused or not window or not serving_now:
            return ()
        return self._compare(serving_now, window)

    def _compare(
        self,
        engines: list[engine_states.EngineState],
        window: abc.Sequence[demand.Sample],
    ) -> tuple[roles.RoleChange, ...]:
        prefill_engines = [e for e in engines if e.role == "prefill"]
        decode_engines = [e for e in engines if e.role != "prefill"]
        one = engines[0].engine
        prefill_load = sum(s.long_prompts for s in window) / len(window)
        prefill_load /= one.prefill_tokens_per_s
        decode_load = sum(s.output for s in window) / len(window)
        decode_load /= one.decode_tokens_per_s
        decode_load += (
            sum(s.short_prompts for s in window)
            / len(window)
            / one.prefill_tokens_per_s
        )
        if not decode_engines:
            return (
                roles.RoleChange(
                    prefill_engines[-1].engine.name, "mixed", "no decode engine left"
                ),
            )
        spare_prefill = prefill_load < self.busy * (len(prefill_engines) - 1)
        spare_decode = decode_load < self.busy * (len(decode_engines) - 1)
        if prefill_load > self.busy * len(prefill_engines) and spare_decode:
            name = decode_engines[-1].engine.name
            return (roles.RoleChange(name, "prefill", "prefill overloaded"),)
        if decode_load > self.busy * len(decode_engines) and spare_prefill:
            name = prefill_engines[-1].engine.name
            return (roles.RoleChange(name, "mixed", "decode overloaded"),)
        return ()


class Schedule:
    """Follows a fixed schedule of splits.

    Args:
        splits: Start times in seconds and splits, such as (120.0, "PPD").
    """

    def __init__(self, splits: abc.Sequence[tuple[float, str]]) -> None:
        self._splits = splits

    def plan(
        self,
        now: datetime.timedelta,
        engines: abc.Sequence[engine_states.EngineState],
        samples: abc.Sequence[demand.Sample],
        policy: schema.RolePolicy,
    ) -> tuple[roles.RoleChange, ...]:
        """See `simulation_types.Planner.plan`."""
        moment = now.total_seconds()
        wanted = [split for at, split in self._splits if at <= moment][-1]
        missing = [ROLES[letter] for letter in wanted]
        surplus: list[engine_states.EngineState] = []
        for state in engines:
            if state.role in missing:
                missing.remove(state.role)
            elif state.condition is engine_states.Condition.SERVING:
                surplus.append(state)
        return tuple(
            roles.RoleChange(state.engine.name, role, "scheduled")
            for state, role in zip(surplus, missing, strict=False)
        )


def split_name(splits: abc.Iterable[str]) -> str:
    """Return the splits joined by plus signs."""
    return "+".join(splits)


def best_schedules(
    outcomes: dict[str, simulation_types.Outcome], cost_windows: abc.Iterable[float]
) -> list[list[tuple[float, str]]]:
    """Return the best schedule for each of several costs of a role change.

    Uses dynamic programming over windows: the good answers of each split in each window
    come from serving the whole load with that split, and each change costs a number of
    answers. This is an estimate: the real result comes from serving the load with it.
    """
    names = sorted(outcomes)
    count = int(patterns.DURATION_S / simulation.WINDOW_S)
    mean = max(o.good for o in outcomes.values()) / count
    schedules = []
    for cost in cost_windows:
        schedules.append(_best_path(names, outcomes, count, cost * mean))
    return schedules


def _best_path(
    names: list[str],
    outcomes: dict[str, simulation_types.Outcome],
    count: int,
    cost: float,
) -> list[tuple[float, str]]:
    scores = {name: 0.0 for name in names}
    origins: list[dict[str, str]] = []
    for window in range(count):
        origin = {}
        new = {}
        for name in names:
            gains = {
                other: scores[other] - cost * _change_count(other, name)
                for other in names
            }
            origin[name] = max(names, key=gains.__getitem__)
            change_cost = cost * _change_count(origin[name], name)
            good = outcomes[name].good_by_window[window]
            new[name] = scores[origin[name]] - change_cost + good
        origins.append(origin)
        scores = new
    at = max(names, key=lambda name: scores[name])
    path = [at]
    for origin in reversed(origins[1:]):
        at = origin[at]
        path.append(at)
    path.reverse()
    return _merge_windows(path)


def _merge_windows(path: list[str]) -> list[tuple[float, str]]:
    schedule: list[tuple[float, str]] = []
    for window, name in enumerate(path):
        if not schedule or schedule[-1][1] != name:
            # Ordered 10 s ahead, so that the change is done when the window begins.
            at = max(0.0, window * simulation.WINDOW_S - 10.0) if schedule else 0.0
            schedule.append((at, name))
    return schedule


def _change_count(one: str, other: str) -> int:
    left = list(other)
    for letter in one:
        if letter in left:
            left.remove(letter)
    return len(left)
