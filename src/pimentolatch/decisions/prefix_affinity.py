"""Gives each shared part of prompts a home among the engines that read.

Load pattern: thousands of sessions, each asked for a few times a minute, through any of
hundreds of instances. An engine that has not read a session's part reads it anew:
13,300 tokens instead of none. An instance hears of one in twenty of the others, so by
what it has heard it finds the engine that keeps a part for few requests. Sent to the
shortest queue, the others are read again there and lengthen it: in overload half of all
that is read had been read before.

So every instance ranks the engines for a part alike, by rendezvous hashing over the
whole fleet, and a prompt that leaves its home is charged for more than the time that
reading again takes: it takes that time from all that wait there, and the next ones of
its session find two engines that keep it where one would do. The second in the ranking
is charged half, so that a session whose home is busy has one other place that all know.

A prompt that leaves its home all the same has its engine fetch the part from there. If
the home keeps nothing of it, nothing is fetched.

Where an engine comes or goes, only its own sessions move.
"""

import dataclasses
from collections import abc

from pimentolatch.decisions import engine_loads, rendezvous
from pimentolatch.requests import prompts

__all__ = ["MIN_FETCH_TOKENS", "Ranking", "rank"]

# Charge of an engine that is no home of a prompt, in times of reading its shared part
# again: reading it elsewhere takes the time of all that wait there, and draws the next
# prompts of its session away too.
_MISS_FACTOR = 10.0
# A prompt without a shared part has a home too, drawn for it alone, and below the homes
# the ranking still counts: among engines that look alike, instances would all take the
# first of the list.
_MIN_MISS_MS = 10.0
_PREFERRED_ENGINES = 2
_RANK_STEP_MS = 0.5
# Fewer tokens are read sooner than fetched.
MIN_FETCH_TOKENS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Ranking:
    """The engines that read, as homes of one prompt.

    Attributes:
        donor: The home of the prompt's shared part; None if there is none worth
            fetching.
        charges: Charge for reading the prompt at an engine, in milliseconds, by id.
    """

    kv_source: engine_loads.EngineLoad | None
    charges: abc.Mapping[str, float]


def rank(
    prompt: prompts.Prompt,
    prefill_engines: abc.Sequence[engine_loads.EngineLoad],
    prefill_rate: float,
) -> Ranking:
    """Return the homes of a prompt.

    Args:
        prompt: The prompt.
        prefill_engines: Engines that read, in any order.
        prefill_rate: Tokens that an engine reads in a millisecond.
    """
    shared = prompt.tokens - prompt.parts[-1].tokens if prompt.parts else 0
    part = _affinity_key(prompt)
    ranked = sorted(
        prefill_engines,
        key=lambda engine: rendezvous.rank(engine.server.server_id, part),
        reverse=True,
    )
    miss = _MISS_FACTOR * shared / prefill_rate + _MIN_MISS_MS
    charges = {
        engine.server.server_id: miss * min(place / _PREFERRED_ENGINES, 1.0)
        + _RANK_STEP_MS * place
        for place, engine in enumerate(ranked)
    }
    kv_source = ranked[0] if ranked and shared >= MIN_FETCH_TOKENS else None
    return Ranking(kv_source, charges)


def _affinity_key(prompt: prompts.Prompt) -> str:
    """Return the part whose homes are asked for: the last one that is shared.

    A prompt of one part goes by that: no other one has it, so prompts spread.
    """
    names = [part.name for part in prompt.parts[-2:]]
    return names[0] if names else prompt.model
