"""Remembers which engines lately read which prompt prefixes.

Load pattern: thousands of prompts begin with the same visitor policy or health file.
Without locality every engine reads it anew and evicts something else for it; with
strict locality the engine that holds a hot prefix is full while others idle.

The memory only tells how many tokens an engine need not read again. Routing weighs
that against the engine's queue, so a hot prefix spreads as soon as waiting for it
costs more than reading it again; each engine it spreads to is remembered too.

Engines publish cache events late and with gaps, so what was sent is the better source.
A memory of an evicted prefix costs one prompt read at full length. It fades after two
minutes without use, and an engine that broke off is forgotten at once.
"""

import collections
import datetime
import hashlib

from pimentolatch.decisions import request_work

__all__ = ["RecentPrefixes"]

# Prefixes are compared at these lengths; a prompt has at most this many entries.
_CHARACTERS = tuple(256 << doubling for doubling in range(10))
_ENTRIES = 10_000
_ENGINES_PER_PREFIX = 16
_LIFETIME = datetime.timedelta(minutes=2)


class RecentPrefixes:
    """Prefixes lately sent, by engine; the least lately sent are forgotten first."""

    def __init__(self) -> None:
        self._sent: collections.OrderedDict[bytes, dict[str, datetime.timedelta]] = (
            collections.OrderedDict()
        )

    def record(self, prompt: str, engine: str, now: datetime.timedelta) -> None:
        """Remember that an engine reads a prompt."""
        for _, key in _keys(prompt):
            engines = self._sent.setdefault(key, {})
            engines.pop(engine, None)
            engines[engine] = now
            if len(engines) > _ENGINES_PER_PREFIX:
                del engines[next(iter(engines))]
            self._sent.move_to_end(key)
        while len(self._sent) > _ENTRIES:
            self._sent.popitem(last=False)

    def cached_tokens(self, prompt: str, now: datetime.timedelta) -> dict[str, int]:
        """Return the prompt tokens that engines need not read, by engine."""
        found: dict[str, int] = {}
        for length, key in _keys(prompt):
            for engine, at in self._sent.get(key, {}).items():
                if now - at < _LIFETIME:
                    found[engine] = length // request_work.CHARACTERS_PER_TOKEN
        return found

    def forget(self, engine: str) -> None:
        """Drop what an engine that failed or changed its role has lost."""
        for engines in self._sent.values():
            engines.pop(engine, None)


def _keys(prompt: str) -> list[tuple[int, bytes]]:
    state = hashlib.blake2b(digest_size=12)
    keys = []
    start = 0
    for length in _CHARACTERS:
        if length > len(prompt):
            break
        state.update(prompt[start:length].encode())
        keys.append((length, state.copy().digest()))
        start = length
    return keys
