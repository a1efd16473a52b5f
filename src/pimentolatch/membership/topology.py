"""Selects peers: a full mesh in the own failure domain, few links to each other domain.

At the design size a failure domain has 41 instances. With a link to each of the 40
others, each acknowledgement, heartbeat and work report needs one hop and no table of
relayed state; an idle heartbeat is a few tens of bytes. Gossip over fewer links would
add delay and copies of each instance's state. Across failure domains only numbers,
views, documents and acknowledgements are sent, for which two links for each pair of
failure domains suffice.
"""

import hashlib
from collections import abc

from pimentolatch import store
from pimentolatch.membership import incarnations

__all__ = ["link_targets", "rendezvous_order"]

CROSS_LINKS = 2


def rendezvous_order(names: abc.Iterable[str], key: str) -> list[str]:
    """Return names in rendezvous hashing order, which is the same at all instances.

    When a name is added or removed, the others keep their order. So a task moves only
    if the instance that performs it is added or removed.
    """

    def weight(name: str) -> bytes:
        return hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()

    return sorted(names, key=lambda name: (weight(name), name))


def link_targets(
    own: incarnations.Identity,
    listed: abc.Iterable[store.Instance],
    failed: abc.Set[str] = frozenset(),
) -> frozenset[str]:
    """Return the names of the instances to which this one keeps a link.

    Args:
        own: Identity of this process.
        listed: The platform's instance list.
        failed: Instances that recently could not be reached; others replace them in
            links across failure domains.
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
    # Both failure domains compute the same pairs of instances, so both ends of a link
    # keep it open, and either may dial.
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
