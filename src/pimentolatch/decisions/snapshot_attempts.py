"""Decides when an instance asks one more peer for a snapshot.

Load pattern: a configuration of thousands of routes takes over half a second on the
link of a small instance. A few peers can't be reached although their beacons arrive,
and a few send slowly, since dozens of instances fetch from them at the same time.

To ask the next peer after a fixed time, and to end each attempt after another, serves
the peers that can't be reached only. On a slow link several attempts then transfer the
same snapshot at the same time, each with a part of the link's rate. None ends within
its time, all begin anew, and the link stays full: the instance never catches up, and
its requests and their answers are late.

So an attempt counts by what arrives. A peer that sends nothing is followed by the next
one at once, since it costs nothing. One that sends is waited for, and a further peer is
asked only if the snapshot has not arrived after a time in which a link that is not
shared carries the largest one. At most a few peers send at the same time, so that the
first of them ends within a few times as long. Those that pause count as well: on a link
that many share, parts arrive at long intervals.

No attempt is ended for its age while it is ahead of the others. A limit for all would
let none end on a link that takes longer for them, and all would begin anew.
"""

import dataclasses
import datetime
from collections import abc

__all__ = ["LONGEST_SILENCE", "Attempt", "may_begin", "may_go_on"]

# Time without a byte after which an attempt has failed.
LONGEST_SILENCE = datetime.timedelta(seconds=1)
# A peer that keeps sending a little must not occupy a place for good. Three that share
# a link of 10 Mbit/s take 2.4 s for the largest object.
_LONGEST_ATTEMPT = datetime.timedelta(seconds=3)
# Time without a byte after which another peer is asked too. Peers that take their whole
# time-out would use up the time for a change.
_ASK_NEXT_AFTER = datetime.timedelta(milliseconds=200)
# The platform's largest object, 1 MB, takes 0.8 s at 10 Mbit/s.
_SLOW_AFTER = datetime.timedelta(seconds=1)
_MAX_SENDING = 3


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt to fetch a snapshot from a peer.

    Attributes:
        begun_at: When the peer was asked.
        received_at: When a part of its response last arrived; None before the first.
        received_bytes: Size of what has arrived.
    """

    begun_at: datetime.timedelta
    received_at: datetime.timedelta | None = None
    received_bytes: int = 0

    def receive(self, size: int, now: datetime.timedelta) -> None:
        """Record that a part has arrived."""
        self.received_bytes += size
        self.received_at = now

    def is_arriving(self, now: datetime.timedelta) -> bool:
        """Tell whether the peer is sending the snapshot."""
        return self.received_at is not None and now - self.received_at < _ASK_NEXT_AFTER


def may_begin(pending: abc.Collection[Attempt], now: datetime.timedelta) -> bool:
    """Tell whether one more peer is asked.

    Args:
        pending: The attempts that have not ended.
        now: The current time.
    """
    if not pending:
        return True
    if sum(attempt.received_at is not None for attempt in pending) >= _MAX_SENDING:
        return False
    since_last = now - max(attempt.begun_at for attempt in pending)
    is_arriving = any(attempt.is_arriving(now) for attempt in pending)
    return since_last >= (_SLOW_AFTER if is_arriving else _ASK_NEXT_AFTER)


def may_go_on(
    attempt: Attempt, pending: abc.Collection[Attempt], now: datetime.timedelta
) -> bool:
    """Tell whether an attempt keeps its place.

    Args:
        attempt: The attempt.
        pending: The attempts that have not ended, this one among them.
        now: The current time.
    """
    if now - attempt.begun_at < _LONGEST_ATTEMPT:
        return True
    return attempt is max(pending, key=lambda one: one.received_bytes)
