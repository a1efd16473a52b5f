"""Tracks which engines recently prefilled which prompt prefixes.

Load pattern: thousands of prompts begin with the same policy or patient file. Without
cache locality every engine prefills it again and evicts something else for it; with
strict locality the engine that has a hot prefix cached is full while others idle.

This module only estimates how many tokens an engine need not prefill. Routing weighs
that against the engine's queue, so a hot prefix spreads as soon as waiting for it costs
more than recomputing it; each engine it spreads to is tracked too.

Engines publish cache events late and with gaps, so the dispatches are the better
source. An entry whose prefix was evicted costs one prefill at full length. Entries
expire after two minutes without use, and those of an engine whose stream broke off are
removed at once.
"""

import collections
import datetime
import hashlib

from pimentolatch.decisions import request_work

__all__ = ["RecentPrefixes"]

# Lengths at which prefixes are compared; a prompt has at most one entry for each.
_CHARACTERS = tuple(256 << doubling for doubling in range(10))
_ENTRIES = 10_000
_ENGINES_PER_PREFIX = 16
_LIFETIME = datetime.timedelta(minutes=2)


class RecentPrefixes:
    """Prefixes recently dispatched, by engine; the least recent ones are evicted."""

    def __init__(self) -> None:
        self._sent: collections.OrderedDict[bytes, dict[str, datetime.timedelta]] = (
            collections.OrderedDict()
        )

    def record(self, prompt: str, engine: str, now: datetime.timedelta) -> None:
        """Record that a prompt was dispatched to an engine."""
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
        """Return the prompt tokens that engines probably have cached, by engine."""
        found: dict[str, int] = {}
        for length, key in _keys(prompt):
            for engine, at in self._sent.get(key, {}).items():
                if now - at < _LIFETIME:
                    found[engine] = length // request_work.CHARACTERS_PER_TOKEN
        return found

    def forget(self, engine: str) -> None:
        """Remove the entries of an engine that failed or changed its role."""
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
