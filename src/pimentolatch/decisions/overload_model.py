"""Estimates how much of the demand a set of engine roles can't serve.

Load pattern: demand exceeds what the engines can do in their present roles, so answers
are late or refused. Planning needs to rank a handful of role sets by what they lose,
not to predict waits, so the model is deliberately coarse. `make bench` checks it
against engines that follow a finer model; see docs/ROLE-PLANNING.md for its figures.
"""

import dataclasses
from collections import abc

from pimentolatch.decisions import demand
from pimentolatch.document import schema

__all__ = ["EngineSpeed", "lost_answers"]

# Utilization of an engine above which queueing delay exceeds the deadlines.
_MAX_UTILIZATION = 0.95
# Answers lost per answer's worth of work beyond an overloaded engine's capacity:
# requests that are admitted and then late have used time as well.
_OVERLOAD_LOSS_FACTOR = 1.7
# Share of long prompts that are late when they are prefilled between decode steps.
_LATE_SHARE: dict[schema.Role, float] = {"decode": 0.5, "mixed": 0.2}
# Answers made late by long prompts prefilled between decode steps, per square of the
# share of engine time that these prompts take.
_INTERFERENCE_FACTOR = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpeed:
    """The role and speed of one engine."""

    role: schema.Role
    prefill_tokens_per_s: float
    decode_tokens_per_s: float


def lost_answers(engines: abc.Sequence[EngineSpeed], sample: demand.Sample) -> float:
    """Return the answers per second that would be late or refused.

    Prefill engines take long prompts first and short ones with the remaining capacity.
    All other prompts are prefilled on the decode engines, at a higher cost. What these
    can't do is lost in equal shares, and part of the long prompts prefilled there is
    late.
    """
    prefill_engines = [engine for engine in engines if engine.role == "prefill"]
    decode_engines = [engine for engine in engines if engine.role != "prefill"]
    if not decode_engines:
        return sample.requests
    prefill_capacity = _MAX_UTILIZATION * sum(
        engine.prefill_tokens_per_s for engine in prefill_engines
    )
    long_disaggregated = min(sample.long_prompts, prefill_capacity)
    short_disaggregated = min(
        sample.short_prompts, prefill_capacity - long_disaggregated
    )
    long_colocated = sample.long_prompts - long_disaggregated
    prefill_rate = sum(engine.prefill_tokens_per_s for engine in decode_engines)
    long_utilization = long_colocated / prefill_rate
    lost = _lost_share(
        decode_engines,
        sample,
        long_colocated + sample.short_prompts - short_disaggregated,
    )
    lost = min(1.0, lost + _INTERFERENCE_FACTOR * long_utilization * long_utilization)
    late = 0.0
    if long_colocated:
        late_share = sum(_LATE_SHARE[engine.role] for engine in decode_engines)
        late_share /= len(decode_engines)
        late = late_share * long_colocated / sample.long_prompts * sample.long_requests
    return lost * sample.requests + (1.0 - lost) * late


def _lost_share(
    decode_engines: list[EngineSpeed], sample: demand.Sample, colocated_tokens: float
) -> float:
    """Return the share of answers lost because the decode engines are overloaded."""
    count = len(decode_engines)
    prefill_rate = sum(engine.prefill_tokens_per_s for engine in decode_engines) / count
    decode_rate = sum(engine.decode_tokens_per_s for engine in decode_engines) / count
    needed = sample.output / decode_rate + colocated_tokens / prefill_rate
    excess = needed - _MAX_UTILIZATION * count
    if excess <= 0.0:
        return 0.0
    return min(1.0, _OVERLOAD_LOSS_FACTOR * excess / needed)
