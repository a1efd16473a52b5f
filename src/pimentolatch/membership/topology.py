"""Chooses whom to link to: all of the own failure domain, few of each other one.

Weighed: a bounded number of links with gossip against a full mesh inside the failure
domain. A failure domain of the size designed for has 41 instances. With a link to each
of the 40 others, every acknowledgement, heartbeat and share of work is one hop away and
needs no table of what others said; an idle heartbeat is a few tens of bytes. Gossip
would save links and pay with delay and with copies of everybody's state. Across failure
domains only numbers, views, documents and acknowledgements travel, and two links for
each pair of failure domains carry them.
"""

import hashlib
from collections import abc

from pimentolatch import store
from pimentolatch.membership import incarnations

__all__ = ["link_targets", "rendezvous_order"]

CROSS_LINKS = 2


def rendezvous_order(names: abc.Iterable[str], key: str) -> list[str]:
    """Return names in an order that all instances agree on and that varies by key.

    Rendezvous hashing: when a name comes or goes, the others keep their order, so a
    duty moves only if its holder came or went.
    """

    def weight(name: str) -> bytes:
        return hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()

    return sorted(names, key=lambda name: (weight(name), name))


def link_targets(
    own: incarnations.Identity,
    listed: abc.Iterable[store.Instance],
    failed: abc.Set[str] = frozenset(),
) -> frozenset[str]:
    """Return the names of the instances this one keeps a link to.

    Args:
        own: This process.
        listed: The platform's instance list.
        failed: Instances that lately could not be reached; others take their place
            in links across failure domains.
    """
    entries = [row for row in listed if row.kind == "entry"]
    by_domain: dict[str, list[str]] = {}
    for row in entries:
        by_domain.setdefault(row.failure_domain, []).append(row.name)
    by_domain.setdefault(own.failure_domain, []).append(own.instance)
    chosen = set(by_domain.pop(own.failure_domain)) - {own.instance}
    here = {row.name for row in entries if row.failure_domain == own.failure_domain}
    for other, names in by_domain.items():
        chosen |= _cross_domain_targets(
            own, here | {own.instance}, other, names, failed
        )
    return frozenset(chosen)


def _cross_domain_targets(
    own: incarnations.Identity,
    here: abc.Set[str],
    other: str,
    names: list[str],
    failed: abc.Set[str],
) -> set[str]:
    # Both failure domains of a pair compute the same pairs, so each link has two ends
    # that mean to keep it, and either may dial.
    first, second = sorted((own.failure_domain, other))
    near = rendezvous_order(here - (failed - {own.instance}), f"{first}|{second}")
    far = rendezvous_order(set(names) - failed, f"{first}|{second}")
    if not near or not far:
        return set()
    pairs = {
        (near[number % len(near)], far[number % len(far)])
        for number in range(CROSS_LINKS)
    }
    return {there for mine, there in pairs if mine == own.instance}
