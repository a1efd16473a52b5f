"""Decides whether a prompt is read where it is answered or on another engine.

Load pattern: a long briefing among many short drafts. Read between the streams of an
engine that answers, it makes every one of them stutter for seconds; read apart, its KV
cache has to be moved. Short prompts cost less to read than to move. With one fixed
limit in between, one kind of engine queues while the other kind idles as soon as the
mix shifts.

So the limit is where both ways cost the same, in seconds of waiting summed over this
caller and those it delays, from the work outstanding now. It moves with every request
sent, long before a role change, which takes an engine away for seconds.

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
# Reading is this much slower in a full batch than alone: a decode engine reads in
# small pieces so that its streams go on, a mixed one in larger pieces.
_PREFILL_SLOWDOWN: dict[schema.Role, float] = {
    "prefill": 0.0,
    "mixed": 0.6,
    "decode": 2.4,
}
# Reading for a second, at full speed, holds each stream of the engine up this long.
_STREAM_DELAY = 1.3


@dataclasses.dataclass(frozen=True, slots=True)
class Costs:
    """What moving a KV cache costs.

    Attributes:
        kv_bytes_per_token: Size of the KV cache of one token.
        kv_bytes_per_s: Speed of the link between the engines.
        handover_s: Time of one export and import beside the bytes.
        adaptive: Whether the limit follows the outstanding work; off only to measure
            what that is worth.
    """

    kv_bytes_per_token: int = 160_000
    kv_bytes_per_s: float = 2.5e9
    handover_s: float = 0.02
    adaptive: bool = True

    def transfer_s(self, tokens: float) -> float:
        """Return the time it takes to move the cache of a prompt, in seconds."""
        return self.handover_s + tokens * self.kv_bytes_per_token / self.kv_bytes_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSize:
    """The size of a request, in tokens."""

    prompt_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """What is known of one engine that takes work.

    Attributes:
        batch: Streams the engine batches at once.
        streams: Requests sent there and not yet ended.
        prompt_tokens: Prompt tokens sent there and not yet read.
        output_tokens: Tokens still expected from it.
        cached_tokens: Tokens of this prompt's prefix that it is believed to hold. A
            belief that is stale costs their reading, no more.
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
    """Read and answer on one engine; predictions in seconds from now."""

    engine: str
    first_token_s: float
    finish_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Disaggregated:
    """Read on one engine, move the KV cache, answer on another."""

    prefill_engine: str
    engine: str
    first_token_s: float
    finish_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoEngine:
    """No engine can answer."""


Path = Colocated | Disaggregated | NoEngine


def choose_path(
    prompt: RequestSize, engines: abc.Iterable[EngineLoad], costs: Costs
) -> Path:
    """Return the way that costs the callers least time.

    Engines of the role prefill never answer. If they are all that is left, there is
    no way, and the caller is told so.
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
    """Return the prompt length from which reading apart pays, in tokens.

    Both ways cost a wait and a price for each token; the lengths where the sums meet
    is the limit. Infinite if the price for each token is higher apart.
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
    """Return the time between two tokens of a stream when nothing is read."""
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
    """Wait for a place in the batch, in seconds."""
    excess = engine.streams + 1 - engine.batch
    if excess <= 0:
        return 0.0
    each = engine.output_tokens / max(1, engine.streams)
    return excess * each / engine.decode_tokens_per_s


def _decode_s(
    prompt: RequestSize, engine: EngineLoad, prefilled_here: int = 0
) -> float:
    """Time of the answer itself, with the reading that will interrupt it.

    Streams that end are followed by others whose prompts are read meanwhile; those
    are taken to be like this one. Left out, a full engine would look almost twice as
    fast as it is, and whatever it took on would be late.
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
