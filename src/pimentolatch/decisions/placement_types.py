"""What is asked of placement, and the places that it answers with."""

import dataclasses
import datetime

from pimentolatch.decisions import engine_loads
from pimentolatch.requests import prompts

__all__ = [
    "Disaggregated",
    "PlacementRequest",
    "Infeasible",
    "Colocated",
    "NoEngine",
    "PlacementResult",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Colocated:
    """Read and write on one engine.

    Attributes:
        tokens: Tokens that have to be read.
        donor: Engine that keeps more of the prompt, to fetch it from; None if the
            reading engine keeps as much itself.
        level: Urgency to send it with.
        expected: Time to the first event.
    """

    engine: engine_loads.EngineLoad
    tokens: int
    kv_source: engine_loads.EngineLoad | None
    level: int
    expected: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Disaggregated:
    """Read on one engine, write on another; see `InPlace`."""

    prefill_engine: engine_loads.EngineLoad
    engine: engine_loads.EngineLoad
    tokens: int
    kv_source: engine_loads.EngineLoad | None
    level: int
    expected: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Infeasible:
    """No engine can give a first event in time.

    Attributes:
        retry_after: When the queue is expected to have room.
    """

    retry_after: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class NoEngine:
    """No engine that writes takes requests now; one may be back in a moment."""


PlacementResult = Colocated | Disaggregated | Infeasible | NoEngine


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A prompt to be placed.

    Attributes:
        rank: Rank of its route, 0 first.
        large: It is large among the prompts of its route.
        due: What is left of the route's time for a first event.
        patience: Its client waits this long for the first event.
        lot: Drawn evenly from 0 to 1 for the request.
    """

    prompt: prompts.Prompt
    rank: int
    large: bool
    time_to_target: datetime.timedelta
    time_to_deadline: datetime.timedelta
    lot: float
