"""Decides which instances of a failure domain read from the platform's store.

Load pattern: the store counts and bills each call, including a watch that waits, and
its rate limits grow more slowly than the fleet. With a watch in each of 85 instances,
one changed entry costs 85 calls.

Three instances of each domain read the store, and the others learn the entries from
them. Each instance gossips the three first names of instances that offer to read, with
the age of each offer; an instance that is not among the three does not read. A reader
that loses the store withdraws its offer at once, and the offer of an unresponsive one
expires. So a domain that is partitioned, or whose readers are rejected while others are
served, finds new readers without coordination, and an instance without peers reads for
itself.
"""

import dataclasses
import datetime
from collections import abc

__all__ = ["Reader", "is_reader", "select"]

# Two readers may be frozen or rejected at the same time. In domains of up to three
# instances all of them read.
_READER_COUNT = 3
# Beacons are sent four times a second and take two hops through a domain; three lost
# ones are tolerated. The shortest limit for applying a change is two seconds.
_READER_LIFETIME = datetime.timedelta(milliseconds=1500)


@dataclasses.dataclass(frozen=True, slots=True)
class Reader:
    """An instance that offers to read the store.

    Attributes:
        name: Name of the instance.
        last_seen: Time of its latest offer, by this instance's clock.
    """

    name: str
    last_seen: datetime.timedelta


def select(known: abc.Iterable[Reader], now: datetime.timedelta) -> tuple[Reader, ...]:
    """Return the first readers by name whose offers are current."""
    newest: dict[str, Reader] = {}
    for reader in known:
        previous = newest.get(reader.name)
        if now - reader.last_seen <= _READER_LIFETIME and (
            previous is None or reader.last_seen > previous.last_seen
        ):
            newest[reader.name] = reader
    return tuple(newest[name] for name in sorted(newest)[:_READER_COUNT])


def is_reader(
    own_name: str, known: abc.Iterable[Reader], now: datetime.timedelta
) -> bool:
    """Return whether an instance has to read the store itself."""
    before = [reader for reader in select(known, now) if reader.name < own_name]
    return len(before) < _READER_COUNT
