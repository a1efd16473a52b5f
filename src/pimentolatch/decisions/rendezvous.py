"""Assigns engines to instances by rendezvous hashing.

Load pattern: hundreds of instances before thousands of engines. If each instance
dispatched to each engine, every engine would hold hundreds of connections, every count
of outstanding work would be a sum over all instances, and a drain would wait for all of
them to acknowledge it.

Each engine ranks the instances of its failure domain by rendezvous hashing and takes
the first ones that still have room. Ranking from the engine's side leaves no engine
without senders, which ranking from the instance's side does: with 41 instances that
choose 24 of 420 engines each, one engine in eleven would have none. An instance that
joins or leaves moves only the engines that ranked it high.

Grounds: two senders keep an engine in use when one instance crashes. Above that an
instance takes what the document's `engine_subset` allows; it is exceeded only where
engines would otherwise have fewer than two senders. In each other failure domain an
instance knows four engines of a model: enough to find a free one when its own are full,
few enough to cost nothing.
"""

import functools
import hashlib
import math
from collections import abc

__all__ = ["REMOTE_ENGINES", "fraction", "remote_engines", "own_engines", "rank"]

_MIN_SENDERS = 2
REMOTE_ENGINES = 4
_HASH_BYTES = 8
_HASHES = 1 << 8 * _HASH_BYTES


@functools.lru_cache(maxsize=65_536)
def rank(first: str, second: str) -> int:
    """Return the rendezvous hash of a pair; higher is preferred."""
    text = f"{first}/{second}".encode()
    digest = hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def fraction(first: str, second: str) -> float:
    """Return the rendezvous hash of a pair as a number from 0 to 1."""
    return rank(first, second) / _HASHES


def own_engines(
    instances: abc.Set[str], engines: abc.Set[str], size: int
) -> dict[str, frozenset[str]]:
    """Return the engines of each instance of a failure domain.

    Args:
        instances: Live instances of the domain.
        engines: Engines of one model in the domain.
        size: Most engines that an instance should dispatch to.
    """
    senders = min(_MIN_SENDERS, len(instances))
    if len(engines) <= size or not senders:
        return {instance: frozenset(engines) for instance in instances}
    room = max(size, math.ceil(senders * len(engines) / len(instances)))
    senders = max(senders, room * len(instances) // len(engines))
    senders = min(senders, len(instances))
    chosen: dict[str, set[str]] = {instance: set() for instance in instances}
    for place in range(senders):
        for engine in sorted(engines):
            _add_sender(engine, chosen, room, place)
    return {instance: frozenset(found) for instance, found in chosen.items()}


def _add_sender(
    engine: str, chosen: dict[str, set[str]], room: int, senders: int
) -> None:
    ranked = sorted(chosen, key=lambda name: rank(name, engine), reverse=True)
    for instance in ranked:
        if engine not in chosen[instance] and len(chosen[instance]) < room:
            chosen[instance].add(engine)
            return


def remote_engines(instance: str, engines: abc.Set[str]) -> frozenset[str]:
    """Return the engines of another failure domain that an instance may dispatch to."""
    ranked = sorted(engines, key=lambda engine: rank(instance, engine), reverse=True)
    return frozenset(ranked[:REMOTE_ENGINES])
