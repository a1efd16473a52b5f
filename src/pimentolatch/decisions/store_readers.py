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

What is missing from the store can be judged only by an instance that would learn at
once if it came back: it reads the store, or hears a peer that does. An instance that
the store turns away for a day would otherwise wait for a return that it never sees.

An offer shows that a reader lives, not that its changes arrive. An instance whose state
is overdue reads too (`watch_schedule`). If it left the store again at the next beacon,
it would list everything anew each few seconds while the paths from its peers are
harmed, so it stays longer each time that this happens again.
"""

import dataclasses
import datetime
from collections import abc

__all__ = ["Reader", "ReadingHysteresis", "is_heard", "is_reader", "select"]

# Two readers may be frozen or rejected at the same time. In domains of up to three
# instances all of them read.
_READER_COUNT = 3
# Beacons are sent four times a second and take two hops through a domain; three lost
# ones are tolerated. The shortest limit for applying a change is two seconds.
_READER_LIFETIME = datetime.timedelta(milliseconds=1500)
# A reader that loses the store says so in its next beacon. Beacons of a large fleet are
# 400 ms apart.
_HEARD_LIFETIME = datetime.timedelta(milliseconds=600)
# A reader stops only after it has not been needed for this long: one that stopped and
# started with each lost beacon would list everything again each time.
_SHORTEST_HOLD = datetime.timedelta(seconds=2)
# Twice as long each time, up to the length of a usual partition.
_HOLD_FACTOR = 2
_LONGEST_HOLD = datetime.timedelta(seconds=64)


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


def is_heard(
    offered_at: datetime.timedelta,
    now: datetime.timedelta,
    *,
    lost_at: datetime.timedelta,
) -> bool:
    """Return whether a peer still reads the store, as far as beacons can tell.

    Args:
        offered_at: When a peer last offered to read the store, of itself.
        now: Monotonic time.
        lost_at: When this instance itself lost the store; what was offered before says
            nothing about peers that lost it at the same time.
    """
    return offered_at > lost_at and now - offered_at <= _HEARD_LIFETIME


class ReadingHysteresis:
    """For how long an instance goes on reading the store after it was needed."""

    def __init__(self) -> None:
        self._is_reading = False
        self._needed_at = datetime.timedelta()
        self._length = _SHORTEST_HOLD

    def reads(
        self, now: datetime.timedelta, *, is_reader: bool, is_overdue: bool
    ) -> bool:
        """Return whether an instance reads the store from now on.

        Args:
            now: Monotonic time.
            is_reader: Whether it is one of the readers of its failure domain.
            is_overdue: Whether its state may be too old.
        """
        if is_reader or is_overdue:
            if not self._is_reading:
                self._adapt(now, is_overdue=is_overdue and not is_reader)
            self._is_reading = True
            self._needed_at = now
        elif now - self._needed_at >= self._length:
            self._is_reading = False
        return self._is_reading

    def _adapt(self, now: datetime.timedelta, *, is_overdue: bool) -> None:
        """Set the length of a new hold by that of the last one, if it was recent."""
        is_recent = now - self._needed_at <= self._length + _LONGEST_HOLD
        if is_overdue and is_recent and self._needed_at:
            self._length = min(_HOLD_FACTOR * self._length, _LONGEST_HOLD)
        else:
            self._length = _SHORTEST_HOLD
