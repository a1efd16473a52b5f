"""Decides which instances of a failure domain ask the platform's store themselves.

Load pattern: the store counts and prices each call, a waiting watch as one, and its
rates grow more slowly than the fleet. With a watch in each of 85 instances one entry
that changes costs 85 calls.

Three instances of each domain read the store and the others learn from them. Everybody
passes on the three first names by which instances say that they would read, and how
long ago each was heard; who is not among the three leaves it to them. A reader that
loses the store takes its name back at once; one that is silent grows old. So a domain
that is cut off, or whose readers are turned away while others are served, finds readers
again without anybody's decision, and whoever hears nobody reads by itself.
"""

import dataclasses
import datetime
from collections import abc

__all__ = ["Reader", "is_reader", "select"]

# Two readers may be frozen or turned away at one moment; failure domains of today have
# three instances at most, which all read.
_READER_COUNT = 3
# Beacons come four times a second and take two steps through a domain; three lost ones
# are borne. The shortest span in which a change must be in force is two seconds.
_READER_LIFETIME = datetime.timedelta(milliseconds=1500)


@dataclasses.dataclass(frozen=True, slots=True)
class Reader:
    """An instance that would read the store.

    Attributes:
        heard: When it last said so, by this instance's clock.
    """

    name: str
    last_seen: datetime.timedelta


def select(known: abc.Iterable[Reader], now: datetime.timedelta) -> tuple[Reader, ...]:
    """Return the first by name of those that would read now."""
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
    """Tell whether an instance has to read the store itself."""
    before = [reader for reader in select(known, now) if reader.name < own_name]
    return len(before) < _READER_COUNT
