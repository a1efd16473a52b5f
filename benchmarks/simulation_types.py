"""What a run of the benchmark is given, keeps count of, and returns."""

import collections
import dataclasses
import datetime
import math
import typing
from collections import abc

from benchmarks import fakes, patterns
from pimentolatch.decisions import demand, engine_states, roles
from pimentolatch.document import schema

__all__ = ["WorkCounts", "Options", "Outcome", "Planner", "Scenario", "EngineSlot"]


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Decisions that can be off, one at a time, for the ablation."""

    disaggregate: bool = True
    adaptive_limit: bool = True
    prefix_locality: bool = True
    admission: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One failure domain under one load."""

    engines: tuple[schema.Engine, ...]
    policy: schema.RolePolicy
    jobs: tuple[fakes.Job, ...]
    faults: tuple[patterns.Fault, ...]


@dataclasses.dataclass(slots=True)
class Outcome:
    """What callers received."""

    offered: int = 0
    good: int = 0
    refused: int = 0
    late: int = 0
    long_offered: int = 0
    long_good: int = 0
    first_tokens: list[float] = dataclasses.field(default_factory=list)
    times: fakes.StepTimes = dataclasses.field(default_factory=fakes.StepTimes)
    good_by_window: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    offered_by_caller: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    good_by_caller: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    changes: list[tuple[float, roles.RoleChange]] = dataclasses.field(
        default_factory=list
    )


class Planner(typing.Protocol):
    """Plans role changes."""

    def plan(
        self,
        now: datetime.timedelta,
        engines: abc.Sequence[engine_states.EngineState],
        samples: abc.Sequence[demand.Sample],
        policy: schema.RolePolicy,
    ) -> tuple[roles.RoleChange, ...]:
        """Return the changes to order now."""


class WorkCounts:
    """Work at each engine, as one instance counted it: streams, prompt, output."""

    def __init__(self, engines: int) -> None:
        self.streams = [0] * engines
        self.prompt = [0.0] * engines
        self.output = [0.0] * engines

    def copy(self) -> "WorkCounts":
        """Return the counts as they are now."""
        copied = WorkCounts(0)
        copied.streams = self.streams.copy()
        copied.prompt = self.prompt.copy()
        copied.output = self.output.copy()
        return copied


class EngineSlot:
    """An engine and what the control package knows of it."""

    def __init__(self, number: int, engine: fakes.FakeEngine) -> None:
        self.number = number
        self.engine = engine
        self.next_event = math.inf
        self.order: roles.RoleChange | None = None
        self.changing_until = math.inf
        self.inbound = 0
        self.down = False
        self.withdrawn = False
        self.role_since: datetime.timedelta | None = None
        self.since: datetime.timedelta | None = None

    @property
    def routable(self) -> bool:
        """Whether new work may be sent."""
        return not (self.order or self.down or self.withdrawn)
