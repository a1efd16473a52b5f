"""Requests to `placement` and its results."""

import dataclasses
import datetime

from pimentolatch.decisions import engine_loads
from pimentolatch.requests import prompts

__all__ = [
    "Disaggregated",
    "Elsewhere",
    "PlacementRequest",
    "Infeasible",
    "Colocated",
    "NoEngine",
    "PlacementResult",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Colocated:
    """Prefill and decode on one engine.

    Attributes:
        engine: The engine.
        tokens: Prompt tokens to prefill.
        kv_source: Engine to fetch a longer cached prefix from; None if the prefilling
            engine has as much cached itself.
        level: Urgency level to dispatch with.
        expected: Expected time to the first event.
    """

    engine: engine_loads.EngineLoad
    tokens: int
    kv_source: engine_loads.EngineLoad | None
    level: int
    expected: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Disaggregated:
    """Prefill on one engine and decode on another.

    Attributes:
        prefill_engine: Engine that runs the prefill.
        engine: Engine that runs the decode.
        tokens: Prompt tokens to prefill.
        kv_source: See `Colocated`.
        level: Urgency level to dispatch the prefill with.
        expected: Expected time to the first event.
    """

    prefill_engine: engine_loads.EngineLoad
    engine: engine_loads.EngineLoad
    tokens: int
    kv_source: engine_loads.EngineLoad | None
    level: int
    expected: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Infeasible:
    """No engine can produce the first event, or the last one, in time.

    Attributes:
        retry_after: Time until the queue is expected to have room.
        late_end: The first event would be in time at some engine, the last at none.
    """

    retry_after: datetime.timedelta
    late_end: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NoEngine:
    """No decode engine accepts requests now; one may be available again shortly."""


@dataclasses.dataclass(frozen=True, slots=True)
class Elsewhere:
    """This instance has lost the path to the engines; a peer can serve the request."""


PlacementResult = Colocated | Disaggregated | Infeasible | NoEngine


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A prompt that needs engines.

    Attributes:
        prompt: The prompt.
        rank: Priority rank of its customer or route; 0 is the highest.
        large: Whether it is large among the prompts of its route.
        time_to_target: Time left until the route's latency target for the first event.
        time_to_deadline: Time the client still waits for the first event.
        jitter: Uniform random number from 0 to 1, fixed for the request.
        route_rank: Rank of its route if `rank` is its customer's; None otherwise.
        event_gap_target: Longest time between two events that the route's clients
            accept; 0 if it is not known.
        required_events: Events for which the stream must have the time; 0 if it is not
            known.
        time_to_end: Time left until its last event is due; None if that is not known.
        ends_at_stop: Whether it is due then because this instance stops.
    """

    prompt: prompts.Prompt
    rank: int
    large: bool
    time_to_target: datetime.timedelta
    time_to_deadline: datetime.timedelta
    jitter: float
    route_rank: int | None = None
    event_gap_target: datetime.timedelta = datetime.timedelta()
    required_events: float = 0.0
    time_to_end: datetime.timedelta | None = None
    ends_at_stop: bool = False
