"""Chooses the instances that one instance tells about its work.

Load pattern: a fleet grows from eight instances to hundreds. Told to everybody, the
messages of each instance grow with the fleet and those of all with its square. Told to
a few at random, nobody knows the queue of any engine.

Instances of one failure domain send mostly to its own engines, so they hear of each
other first. Ranking pairs by a hash gives both ends the same view, so that most
neighbours hear each other. What a neighbour says stands for those of its domain that
are not heard: its work counts as many times as there are instances there for each that
is heard. Without that factor an instance that hears half of its domain takes a queue
for half as long as it is.

Into each other domain goes one message at a time, to another instance each time, with
the sums of the sender's domain: so each instance hears of all engines, of the far ones
half a second later.
"""

import collections
import dataclasses
from collections import abc

from pimentolatch.decisions import subset

__all__ = ["Neighbours", "Place", "choose", "domain_weights"]

# Fleets of today have eight instances; up to this many everybody hears everybody.
_MAX_FULL_MESH = 16
# Neighbours in the own domain. Ten of twenty make a queue known to about a third of
# its length; four beacons a second of some 400 bytes to ten are 16 KB/s.
_MAX_NEAR = 10
# A single prompt of a neighbour that stands for more instances than this would look
# like a queue of its own.
_MAX_WEIGHT = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where an instance stands."""

    host: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class Neighbours:
    """Whom an instance tells.

    Attributes:
        near: Hosts that are told everything, always.
        far: Hosts of each other domain, of which one at a time is told.
    """

    near: tuple[str, ...]
    far: tuple[tuple[str, ...], ...] = ()


def choose(own: Place, known: abc.Collection[Place]) -> Neighbours:
    """Return the instances to tell, out of those that are known.

    Args:
        own: This instance.
        known: All other instances; the domain of one that was never heard may be empty.
    """
    ranked = sorted(
        known,
        key=lambda place: subset.rank(*sorted((place.host, own.host))),
        reverse=True,
    )
    if len(ranked) <= _MAX_FULL_MESH:
        return Neighbours(tuple(place.host for place in ranked))
    by_domain: dict[str, list[str]] = {}
    for place in ranked:
        by_domain.setdefault(place.failure_domain, []).append(place.host)
    near = by_domain.pop(own.failure_domain, [])[:_MAX_NEAR]
    return Neighbours(tuple(near), tuple(map(tuple, by_domain.values())))


def domain_weights(
    known: abc.Iterable[Place], heard: abc.Iterable[Place]
) -> dict[str, float]:
    """Return for how many instances of its domain each heard one stands."""
    sizes = collections.Counter(place.failure_domain for place in known)
    found = collections.Counter(place.failure_domain for place in heard)
    return {
        domain: min(_MAX_WEIGHT, max(1.0, sizes[domain] / count))
        for domain, count in found.items()
    }
