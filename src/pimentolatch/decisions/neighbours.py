"""Chooses the peers to which an instance reports its work.

Load pattern: a fleet grows from eight instances to hundreds. If each reports to all,
the messages of each instance grow with the fleet and the total with its square. If each
reports to a few at random, no instance knows the queue of any engine.

Instances of one failure domain send mostly to its own engines, so they report to each
other first. Ranking pairs by a hash gives both ends the same order, so most neighbours
report to each other. A neighbour's report stands for the instances of its domain that
do not report: its work is multiplied by the number of instances there per reporting
one. Without that factor an instance that receives reports from half of its domain would
see half of the real queue.

Each other domain gets one message at a time, to a different instance each time, with
the sums of the sender's domain. So each instance learns the load of all engines, of
remote ones half a second later.
"""

import collections
import dataclasses
from collections import abc

from pimentolatch.decisions import rendezvous

__all__ = ["Neighbours", "Place", "choose", "domain_weights", "hears_all"]

# Up to this many peers, all instances report to each other. Small fleets have eight
# instances.
_MAX_FULL_MESH = 16
# Neighbours in the same domain. With ten of twenty, the length of a queue is known to
# within about a third; four beacons a second of some 400 bytes to ten peers are 16
# KB/s.
_MAX_NEAR = 10
# With a higher weight a single prompt of a neighbour would look like a queue of its
# own.
_MAX_WEIGHT = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Host and failure domain of an instance."""

    host: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class Neighbours:
    """The peers to which an instance reports.

    Attributes:
        near: Hosts that receive every report in full.
        far: Hosts of each other domain, of which one at a time receives a summary.
    """

    near: tuple[str, ...]
    far: tuple[tuple[str, ...], ...] = ()


def hears_all(peers: int) -> bool:
    """Tell whether an instance receives the reports of all of so many peers."""
    return peers <= _MAX_FULL_MESH


def choose(own: Place, known: abc.Collection[Place]) -> Neighbours:
    """Return the peers to report to, out of those that are known.

    Args:
        own: This instance.
        known: All other instances; the domain of one that never reported may be empty.
    """
    ranked = sorted(
        known,
        key=lambda place: rendezvous.rank(*sorted((place.host, own.host))),
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
    known: abc.Iterable[Place], reporting: abc.Iterable[Place]
) -> dict[str, float]:
    """Return how many instances of its domain each reporting instance stands for."""
    sizes = collections.Counter(place.failure_domain for place in known)
    found = collections.Counter(place.failure_domain for place in reporting)
    return {
        domain: min(_MAX_WEIGHT, max(1.0, sizes[domain] / count))
        for domain, count in found.items()
    }
