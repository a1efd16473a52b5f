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

from pimentolatch.decisions import engine_loads, subset
from pimentolatch.requests import prompts

__all__ = ["LEAST_FETCHED", "Ranking", "rank"]

# Charge of an engine that is no home of a prompt, in times of reading its shared part
# again: reading it elsewhere takes the time of all that wait there, and draws the next
# prompts of its session away too.
_AWAY = 10.0
# A prompt without a shared part has a home too, drawn for it alone, and below the homes
# the ranking still counts: among engines that look alike, instances would all take the
# first of the list.
_LEAST_AWAY_MS = 10.0
_HOMES = 2
_NEXT_MS = 0.5
# Fewer tokens are read sooner than fetched.
LEAST_FETCHED = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Ranking:
    """The engines that read, as homes of one prompt.

    Attributes:
        donor: The home of the prompt's shared part; None if there is none worth
            fetching.
        charges: Charge for reading the prompt at an engine, in milliseconds, by id.
    """

    donor: engine_loads.EngineLoad | None
    charges: abc.Mapping[str, float]


def rank(
    prompt: prompts.Prompt,
    readers: abc.Sequence[engine_loads.EngineLoad],
    reading_rate: float,
) -> Ranking:
    """Return the homes of a prompt.

    Args:
        prompt: The prompt.
        readers: Engines that read, in any order.
        reading_rate: Tokens that an engine reads in a millisecond.
    """
    shared = prompt.tokens - prompt.parts[-1].tokens if prompt.parts else 0
    part = _ranked_by(prompt)
    ranked = sorted(
        readers,
        key=lambda reader: subset.rank(reader.server.server_id, part),
        reverse=True,
    )
    away = _AWAY * shared / reading_rate + _LEAST_AWAY_MS
    charges = {
        reader.server.server_id: away * min(place / _HOMES, 1.0) + _NEXT_MS * place
        for place, reader in enumerate(ranked)
    }
    donor = ranked[0] if ranked and shared >= LEAST_FETCHED else None
    return Ranking(donor, charges)


def _ranked_by(prompt: prompts.Prompt) -> str:
    """Return the part whose homes are asked for: the last one that is shared.

    A prompt of one part goes by that: no other one has it, so prompts spread.
    """
    names = [part.name for part in prompt.parts[-2:]]
    return names[0] if names else prompt.model
