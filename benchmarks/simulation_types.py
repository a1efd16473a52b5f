"""Inputs, state and results of a simulation."""

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
    """Decisions that the ablation can disable.

    Attributes:
        disaggregate: Use disaggregated as well as colocated prefill.
        adaptive_limit: Adapt the choice between the two to the outstanding work.
        prefix_locality: Prefer engines that have cached a request's prefix.
        admission: Refuse requests that are not expected to meet their deadline.
    """

    disaggregate: bool = True
    adaptive_limit: bool = True
    prefix_locality: bool = True
    admission: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Engines of one failure domain, their role policy, and one load with faults."""

    engines: tuple[schema.Engine, ...]
    policy: schema.RolePolicy
    jobs: tuple[fakes.Job, ...]
    faults: tuple[patterns.Fault, ...]


@dataclasses.dataclass(slots=True)
class Outcome:
    """Counts of requests by result, latencies, and role changes of one simulation."""

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
        """Return the role changes to order now."""


class WorkCounts:
    """Streams, prompt tokens and output tokens at each engine, as one entry counts."""

    def __init__(self, engines: int) -> None:
        self.streams = [0] * engines
        self.prompt = [0.0] * engines
        self.output = [0.0] * engines

    def copy(self) -> "WorkCounts":
        """Return a copy of the current counts."""
        copied = WorkCounts(0)
        copied.streams = self.streams.copy()
        copied.prompt = self.prompt.copy()
        copied.output = self.output.copy()
        return copied


class EngineSlot:
    """An engine, with its role order and its faults.

    Attributes:
        order: The role change in progress.
        changing_until: End of that change in seconds; infinite while the engine drains.
        inbound: Requests in prefill elsewhere whose KV cache has not arrived yet.
        role_since: When the role last changed.
        since: When a fault of the engine last began or ended.
    """

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
        """Whether new requests may be sent to the engine."""
        return not (self.order or self.down or self.withdrawn)
