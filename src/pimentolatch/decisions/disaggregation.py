"""Decides whether to disaggregate the prefill of a request from its decode.

Load pattern: a few long prompts among many short ones. Prefilled between the decode
steps of an engine that generates answers, a long prompt makes every stream there
stutter for seconds; prefilled on another engine, its KV cache has to be transferred.
Short prompts cost less to prefill than to transfer. With one fixed limit in between,
one kind of engine queues while the other kind idles as soon as the mix shifts.

So the limit is the prompt length at which both ways cost the same, in seconds of
waiting summed over this caller and those it delays, from the work outstanding now. It
follows every dispatch, long before a role change, which takes an engine out of service
for seconds.

Grounds for the figures: docs/ROLE-PLANNING.md.
"""

import dataclasses
import math
from collections import abc

from pimentolatch.decisions import demand
from pimentolatch.document import schema

__all__ = [
    "Disaggregated",
    "Costs",
    "EngineLoad",
    "NoEngine",
    "Path",
    "RequestSize",
    "Colocated",
    "break_even_tokens",
    "choose_path",
    "decode_step_s",
]

# Share of a full batch's step time that is spent however few streams there are.
_FIXED_STEP_SHARE = 0.4
# Extra time of prefill in a full batch, relative to prefill on an idle engine: a decode
# engine prefills in small chunks so that its streams continue, a mixed one in larger
# chunks.
_PREFILL_SLOWDOWN: dict[schema.Role, float] = {
    "prefill": 0.0,
    "mixed": 0.6,
    "decode": 2.4,
}
# Delay of each stream of an engine per second of prefill at full speed.
_STREAM_DELAY = 1.3


@dataclasses.dataclass(frozen=True, slots=True)
class Costs:
    """Costs of a KV transfer.

    Attributes:
        kv_bytes_per_token: Size of the KV cache of one token.
        kv_bytes_per_s: Bandwidth of the link between the engines.
        handover_s: Time of one export and import apart from the transfer of the bytes.
        adaptive: Whether the limit follows the outstanding work; off only to measure
            the benefit of that.
    """

    kv_bytes_per_token: int = 160_000
    kv_bytes_per_s: float = 2.5e9
    handover_s: float = 0.02
    adaptive: bool = True

    def transfer_s(self, tokens: float) -> float:
        """Return the time to transfer the KV cache of a prompt, in seconds."""
        return self.handover_s + tokens * self.kv_bytes_per_token / self.kv_bytes_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSize:
    """The size of a request, in tokens."""

    prompt_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """The load of one engine that accepts work.

    Attributes:
        name: Name of the engine.
        role: Role of the engine.
        batch: Streams that the engine batches at most.
        prefill_tokens_per_s: Prefill rate.
        decode_tokens_per_s: Decode rate of a full batch.
        streams: Requests dispatched there and still running.
        prompt_tokens: Prompt tokens dispatched there that are not yet prefilled.
        output_tokens: Output tokens still expected from it.
        cached_tokens: Estimate of the tokens of this prompt's prefix that it has
            cached. If the estimate is stale, these tokens are prefilled again, and
            nothing else goes wrong.
    """

    name: str
    role: schema.Role
    batch: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    streams: int = 0
    prompt_tokens: float = 0.0
    output_tokens: float = 0.0
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Colocated:
    """Prefill and decode on one engine; predictions in seconds from now."""

    engine: str
    first_token_s: float
    finish_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Disaggregated:
    """Prefill on one engine, transfer the KV cache, decode on another."""

    prefill_engine: str
    engine: str
    first_token_s: float
    finish_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoEngine:
    """No engine can generate the answer."""


Path = Colocated | Disaggregated | NoEngine


def choose_path(
    prompt: RequestSize, engines: abc.Iterable[EngineLoad], costs: Costs
) -> Path:
    """Return the path that costs all callers the least time.

    Engines with the role prefill never decode. If no other engine is left, the result
    is `NoEngine`.
    """
    prefill_engines: list[EngineLoad] = []
    decode_engines: list[EngineLoad] = []
    for engine in engines:
        (prefill_engines if engine.role == "prefill" else decode_engines).append(engine)
    if not decode_engines:
        return NoEngine()
    colocated = min(decode_engines, key=lambda engine: _colocated_cost(prompt, engine))
    if not prefill_engines:
        return _colocated(prompt, colocated)
    prefill_engine = min(prefill_engines, key=_prefill_wait_s)
    decode_engine = min(decode_engines, key=lambda engine: _decode_cost(prompt, engine))
    limit = break_even_tokens(colocated, prefill_engine, costs)
    if prompt.prompt_tokens - colocated.cached_tokens <= limit:
        return _colocated(prompt, colocated)
    return _disaggregated(prompt, prefill_engine, decode_engine, costs)


def break_even_tokens(
    colocated: EngineLoad, prefill_engine: EngineLoad, costs: Costs
) -> float:
    """Return the prompt length from which disaggregation pays, in tokens.

    Each path costs a fixed wait and a price per token; the limit is the length at which
    the two sums are equal. Infinite if the price per token is not lower with
    disaggregation.
    """
    colocated_s = 1.0 / colocated.prefill_tokens_per_s
    prefill_engine_s = 1.0 / prefill_engine.prefill_tokens_per_s
    transfer = costs.kv_bytes_per_token / costs.kv_bytes_per_s
    wait_difference = costs.handover_s
    behind = 0
    if costs.adaptive:
        wait_difference += _prefill_wait_s(prefill_engine) - _prefill_wait_s(colocated)
        behind = prefill_engine.streams
        streams = min(colocated.streams, colocated.batch)
    else:
        streams = colocated.batch // 2
    slowdown = 1.0 + _PREFILL_SLOWDOWN[colocated.role] * streams / colocated.batch
    colocated_price = colocated_s * (slowdown + _STREAM_DELAY * streams)
    disaggregated_price = prefill_engine_s * (1.0 + behind) + transfer
    if colocated_price <= disaggregated_price:
        return math.inf
    return max(0.0, wait_difference / (colocated_price - disaggregated_price))


def decode_step_s(engine: EngineLoad, streams: int) -> float:
    """Return the time between two tokens of a stream without concurrent prefill."""
    full = engine.batch / engine.decode_tokens_per_s
    share = min(streams, engine.batch) / engine.batch
    return full * (_FIXED_STEP_SHARE + (1.0 - _FIXED_STEP_SHARE) * share)


def _prefill_wait_s(engine: EngineLoad) -> float:
    return engine.prompt_tokens * _prefill_s_per_token(engine)


def _prefill_s_per_token(engine: EngineLoad) -> float:
    share = min(engine.streams, engine.batch) / engine.batch
    slowdown = 1.0 + _PREFILL_SLOWDOWN[engine.role] * share
    return slowdown / engine.prefill_tokens_per_s


def _slot_wait_s(engine: EngineLoad) -> float:
    """Return the wait for a slot in the batch, in seconds."""
    excess = engine.streams + 1 - engine.batch
    if excess <= 0:
        return 0.0
    each = engine.output_tokens / max(1, engine.streams)
    return excess * each / engine.decode_tokens_per_s


def _decode_s(
    prompt: RequestSize, engine: EngineLoad, prefilled_here: int = 0
) -> float:
    """Return the decode time, including the prefills that will interrupt it.

    Streams that end are followed by others whose prompts are prefilled meanwhile, and
    those are assumed to be like this one. Without them a full engine would look almost
    twice as fast as it is, and whatever it accepted would be late.
    """
    own = prompt.output_tokens * decode_step_s(engine, engine.streams + 1)
    followers = min(engine.streams, engine.batch) * prefilled_here
    interrupting = engine.prompt_tokens + followers
    return own + interrupting * _STREAM_DELAY / engine.prefill_tokens_per_s


def _prefill_s(prompt: RequestSize, engine: EngineLoad) -> float:
    uncached = max(0, prompt.prompt_tokens - engine.cached_tokens)
    return _prefill_wait_s(engine) + uncached * _prefill_s_per_token(engine)


def _colocated_cost(prompt: RequestSize, engine: EngineLoad) -> float:
    uncached = max(0, prompt.prompt_tokens - engine.cached_tokens)
    delay = _STREAM_DELAY * uncached / engine.prefill_tokens_per_s
    others_delay = min(engine.streams, engine.batch) * delay
    return _prefill_s(prompt, engine) + _decode_cost(prompt, engine) + others_delay


def _decode_cost(prompt: RequestSize, engine: EngineLoad) -> float:
    return _slot_wait_s(engine) + _decode_s(prompt, engine)


def _colocated(prompt: RequestSize, engine: EngineLoad) -> Colocated:
    first = _prefill_s(prompt, engine) + _slot_wait_s(engine)
    uncached = max(0, prompt.prompt_tokens - engine.cached_tokens)
    prefilled_here = uncached if uncached < demand.LONG_PROMPT_TOKENS else 0
    return Colocated(
        engine.name, first, first + _decode_s(prompt, engine, prefilled_here)
    )


def _disaggregated(
    prompt: RequestSize,
    prefill_engine: EngineLoad,
    decode_engine: EngineLoad,
    costs: Costs,
) -> Disaggregated:
    transfer = costs.transfer_s(prompt.prompt_tokens)
    first = _prefill_s(prompt, prefill_engine) + transfer + _slot_wait_s(decode_engine)
    finish = first + _decode_s(prompt, decode_engine)
    return Disaggregated(prefill_engine.name, decode_engine.name, first, finish)
