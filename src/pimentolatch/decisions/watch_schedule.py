"""Decides how long a watch of the platform's store may go without an answer.

Load pattern: the connection of a watch falls silent and stays open. Keep-alive probes
are answered all the same, by a proxy on the way or by the kernel of a process that
hangs. An instance that waits there goes on sending requests to servers that have left,
and by routes that are gone, for as long as it waits.

Only an answer of the store shows that it still tells of changes. So the store is asked
to answer within a part of the time in which a change must be in force, even if nothing
has changed, and an answer that is overdue makes the connection count as silent. The
rest of that time remains to list anew over another connection, and for the instances
that learn of changes from this one.

A store that is slow answers late on every connection. The listing that follows a watch
without an answer shows how slow it is, and so does each watch without changes; the next
one gets more time accordingly. Listings in place of watches would make it slower. A
large listing also takes long because of the link that it comes by, which says nothing
about a watch without changes; so there is a longest time.

While the store does not answer, an instance asks again after a pause. Without it, all
instances would ask a store that is overloaded without an end; with a long one, each of
them would miss the store's return by seconds, and servers that leave then.

A process that stands still learns nothing meanwhile, and what its sockets have received
may be as old as the pause. After a pause longer than a part of that time it asks the
store, or a peer, before it uses what it knows.

Most instances do not read the store: they learn from peers that do. To hear such a peer
does not show that its changes arrive here: beacons and lists take different paths, and
its own watch may be silent. So an instance counts from the last time at which its state
is known to have matched the store, and reads the store itself once a change since then
might be in force too late. In calm times a peer renews that time with each answer of
its watch, and it arrives with the next beacon or the one after.

Each answer is a call, of which the store limits and bills the number: 2.5 a second for
an instance that watches two kinds, at two seconds until a change must be in force.
"""

import dataclasses
import datetime

__all__ = ["MAX_WAIT", "WatchLimits", "pause_limit", "watch_limits"]

_WAIT_SHARE = 0.4
# Lost packets are sent again after 200 ms, and a slow store takes as long to answer.
_ANSWER_SHARE = 0.2
_RETRY_SHARE = 0.25
_PAUSE_SHARE = 0.25
# The rest is for a listing. A watch of a peer that answers at its end, two beacons of a
# large fleet and the allowance for their way take two thirds of the shortest time.
_UNCONFIRMED_SHARE = 0.75
# A store that slows down further needs more time than it took for its last answer.
_LATENCY_FACTOR = 2
# Longest wait that the platform accepts.
MAX_WAIT = datetime.timedelta(seconds=30)


@dataclasses.dataclass(frozen=True, slots=True)
class WatchLimits:
    """Time limits of one watch call.

    Attributes:
        wait: The store answers after this time even if nothing has changed.
        answer: Further time that an answer may take unless the store is slow.
        longest_answer: The same if it is slow.
        longest_pause: Bound of the pause before a failed call is repeated.
        unconfirmed: Time since the state last matched the store after which an instance
            that learns from peers reads the store itself.
    """

    wait: datetime.timedelta
    answer: datetime.timedelta
    longest_answer: datetime.timedelta
    longest_pause: datetime.timedelta
    unconfirmed: datetime.timedelta

    def answer_limit(self, latency: datetime.timedelta) -> datetime.timedelta:
        """Return when the connection counts as silent, from the end of the wait.

        Args:
            latency: How long the store took for its last answer, the wait left out.
        """
        by_latency = max(self.answer, _LATENCY_FACTOR * latency)
        return min(by_latency, self.longest_answer)


def watch_limits(in_force_within: datetime.timedelta) -> WatchLimits:
    """Return the limits for a kind of object.

    Args:
        in_force_within: Time in which a change must be in force on all instances.
    """
    return WatchLimits(
        wait=min(_WAIT_SHARE * in_force_within, MAX_WAIT),
        answer=_ANSWER_SHARE * in_force_within,
        longest_answer=in_force_within,
        longest_pause=_RETRY_SHARE * in_force_within,
        unconfirmed=_UNCONFIRMED_SHARE * in_force_within,
    )


def pause_limit(in_force_within: datetime.timedelta) -> datetime.timedelta:
    """Return the pause of a process after which it asks before it sends a request.

    Args:
        in_force_within: Time in which a change must be in force on all instances.
    """
    return _PAUSE_SHARE * in_force_within
