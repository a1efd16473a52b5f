"""Ranks prefill engines for each shared prompt prefix by rendezvous hashing.

Load pattern: thousands of sessions, each with a few requests a minute that arrive
through any of hundreds of instances. An engine without a session's prefix in its cache
prefills it again: 13,300 tokens instead of none. An instance receives the reports of
one in twenty of the others, so its reports tell it for few requests which engine has
the prefix cached. Sent to the shortest queue, the other requests are prefilled again
there and lengthen it: in overload half of all prefilled tokens had been prefilled
before.

So every instance ranks the engines for a prefix alike, by rendezvous hashing over the
whole fleet. A request that is not placed on the preferred engine is charged more than
the time of recomputing its prefix: it takes that time from all requests queued there,
and the next requests of its session find the prefix on two engines where one would do.
The second engine in the ranking is charged half, so that a session whose preferred
engine is busy has one alternative that all instances know.

A request that is placed elsewhere nevertheless has its engine fetch the prefix from the
preferred engine. If that has nothing of it cached, nothing is fetched.

If an engine joins or leaves, only its own sessions move.

If engines differ in speed, each is preferred for as many sessions as its weight says:
otherwise the slow ones would be as often preferred as the fast ones, and a queue there
would be longer by as much as they are slower.
"""

import dataclasses
import math
from collections import abc

from pimentolatch.decisions import engine_loads, rendezvous
from pimentolatch.requests import prompts

__all__ = ["MIN_FETCH_TOKENS", "Ranking", "missed_by_late", "rank"]

# Charge for an engine that is not preferred, in multiples of the time to recompute the
# shared prefix there: recomputing delays all requests queued there and attracts the
# next requests of the session too.
_MISS_FACTOR = 10.0
# A prompt without a shared prefix has preferred engines too, by a key of its own, and
# the rank counts also among engines that are not preferred: otherwise all instances
# would take the first one of several engines that look alike.
_MIN_MISS_MS = 10.0
_PREFERRED_ENGINES = 2
_RANK_STEP_MS = 0.5
# Bounds the score of an engine in a weighted ranking.
_MIN_FRACTION = 1e-12
# Fewer tokens are prefilled sooner than fetched.
MIN_FETCH_TOKENS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Ranking:
    """Prefill engines ranked for one prompt.

    Attributes:
        preferred: The engine with the first rank; None without any engine.
        kv_source: Preferred engine of the prompt's shared prefix; None if the prefix is
            too short to be worth fetching.
        charges: Charge for a prefill at each engine, in milliseconds, by server id.
    """

    preferred: engine_loads.EngineLoad | None
    kv_source: engine_loads.EngineLoad | None
    charges: abc.Mapping[str, float]


def rank(
    prompt: prompts.Prompt,
    prefill_engines: abc.Sequence[engine_loads.EngineLoad],
    prefill_rate: float,
    *,
    by_speed: bool = False,
) -> Ranking:
    """Return the ranking of the prefill engines for a prompt.

    Args:
        prompt: The prompt.
        prefill_engines: The prefill engines, in any order.
        prefill_rate: Tokens that an engine prefills in a millisecond.
        by_speed: Whether engines are ranked by their weights too.
    """
    shared = prompt.tokens - prompt.parts[-1].tokens if prompt.parts else 0
    part = _affinity_key(prompt)
    ranked = sorted(
        prefill_engines,
        key=lambda engine: _score(engine, part, by_speed=by_speed),
        reverse=True,
    )
    miss = _MISS_FACTOR * shared / prefill_rate + _MIN_MISS_MS
    charges = {
        engine.server.server_id: miss * min(place / _PREFERRED_ENGINES, 1.0)
        + _RANK_STEP_MS * place
        for place, engine in enumerate(ranked)
    }
    preferred = ranked[0] if ranked else None
    kv_source = preferred if shared >= MIN_FETCH_TOKENS else None
    return Ranking(preferred, kv_source, charges)


def missed_by_late(ranking: Ranking, server_id: str) -> float:
    """Return the charge for an engine if the preferred one would answer late.

    A miss then delays those queued at the other engine by the time to recompute the
    prefix there, and no more is charged: the request would be late otherwise.
    """
    return ranking.charges[server_id] / _MISS_FACTOR


def _score(
    engine: engine_loads.EngineLoad, part: str, *, by_speed: bool
) -> tuple[float, int]:
    """Return the place of an engine in the ranking for a prefix; higher is better."""
    hashed = rendezvous.rank(engine.server.server_id, part)
    if not by_speed:
        return 0.0, hashed
    fraction = rendezvous.fraction(engine.server.server_id, part)
    return -engine.speed.weight / math.log(max(fraction, _MIN_FRACTION)), hashed


def _affinity_key(prompt: prompts.Prompt) -> str:
    """Return the hashing key of a prompt: its last shared part.

    The key of a prompt with one part is that part: no other prompt has it, so such
    prompts are distributed evenly.
    """
    names = [part.name for part in prompt.parts[-2:]]
    return names[0] if names else prompt.model
