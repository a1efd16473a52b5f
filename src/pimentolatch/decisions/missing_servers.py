"""Decides how long servers are used whose entries are missing after an outage.

Load pattern: the store is out of reach for some seconds. When an instance lists the
servers again, some are missing. Their entries may have expired, as servers could not
renew them either; these servers still work, and their entries are back within about
two seconds of the store's return. Or they have left meanwhile. If the former were
dropped at once, an instance would have nowhere to send requests to; if the latter are
used for too long, they get requests that they may not finish.

Failed calls of an instance do not show that the store was down: it may have rejected
reads only, or only this instance, while servers went on renewing their entries. The
entries show it. Most of them survive an outage that did not affect the servers, and
hardly any a long one that did. Entries that expired and are back were created anew, so
they do not count as survivors. In a short outage a few entries expire; these servers
are not used until their entries are back, since most others are listed.

Time for which the instance itself stood still does not show an outage of the store
either: servers may have left meanwhile as at any time. But the store may have been away
during just that time. So if the instance ran for too short a time without the store,
entries may have expired only if hardly any survived.

The grace period runs from the store's return. An instance notices that up to a call's
time limit and a pause later, so the begin of the last unanswered call, which lies
before the return, serves as a lower bound. If most servers are still missing when the
period ends by this bound, it is extended to an upper bound: the first answer came after
the return, and so did the longest possible error of the lower bound. The first answer
may be one to a peer, which tells of it (`store_return`). If the instance
stood still meanwhile, it noticed the return later by as much. An instance that learns
of the missing servers from a peer knows the lower bound only, so the peer tells it an
end that is earlier by the error that it will add.

If the store is down again before the entries are back, an instance can't learn of them.
So a grace period ends only with a list from about that time, at an instance that reads
the store or hears a peer that does, and begins anew after the outage.
"""

import dataclasses
import datetime

__all__ = [
    "ListingGap",
    "ends_at",
    "grace_ends_at",
    "is_known_missing",
    "told_end",
    "upper_bound",
    "is_current",
    "may_have_expired",
]

# An entry expires after three missed heartbeats. An outage of the store that is shorter
# than this makes no entry of a running server expire.
_MIN_EXPIRY = datetime.timedelta(seconds=2.5)
# Missing servers for each that survived, from which on an outage is assumed in a time
# that nothing is known of. Planned changes replace fewer servers in some seconds.
_MIN_MISSING_PER_SURVIVOR = 4
# Entries of running servers are back within this time of the store's return.
_RETURN_TIME = datetime.timedelta(seconds=2)
# Longest time between the begin of the last unanswered call and of the next one: the
# limit of a call and the pause after it.
_MAX_NOTICE_DELAY = datetime.timedelta(seconds=1.5)
# The store answers a watch at least this often, or else counts as away.
_MAX_UNSEEN = datetime.timedelta(seconds=1.2)
# An instance that can read the store, or whose failure domain has readers that can,
# seldom has an older list.
_MAX_LIST_AGE = datetime.timedelta(seconds=1.5)


@dataclasses.dataclass(frozen=True, slots=True)
class ListingGap:
    """A listing that lacks servers which were known before.

    Attributes:
        list_age: Time since the known list was read from the store.
        stood_still: Part of this time for which the instance itself did not run.
        missing: Number of known servers without an entry.
        survived: Number of known servers whose entries were never removed.
    """

    list_age: datetime.timedelta
    stood_still: datetime.timedelta
    missing: int
    survived: int


def may_have_expired(gap: ListingGap) -> bool:
    """Return whether the entries may have expired; otherwise the servers have left."""
    if gap.list_age < _MIN_EXPIRY:
        return False
    if gap.list_age - gap.stood_still >= _MIN_EXPIRY:
        return gap.missing >= gap.survived
    return gap.missing >= _MIN_MISSING_PER_SURVIVOR * gap.survived


def is_current(list_age: datetime.timedelta) -> bool:
    """Return whether a list tells which entries are back by now."""
    return list_age <= _MAX_LIST_AGE


def grace_ends_at(unanswered_since: datetime.timedelta) -> datetime.timedelta:
    """Return until when servers are used whose entries may have expired.

    Args:
        unanswered_since: When the last call began that the store did not answer.
    """
    return unanswered_since + _RETURN_TIME


def is_known_missing(
    end: datetime.timedelta, list_confirmed_at: datetime.timedelta, *, followed: bool
) -> bool:
    """Return whether a server that is still missing as its grace period ends has left.

    Args:
        end: When its grace period ends.
        list_confirmed_at: When the list that lacks it last matched the store.
        followed: Whether this instance would know by now if its entry were back.
    """
    if list_confirmed_at >= end:
        return True
    return followed and end - list_confirmed_at <= _MAX_UNSEEN


def upper_bound(
    unanswered_since: datetime.timedelta,
    stood_still: datetime.timedelta,
    answered_at: datetime.timedelta,
) -> datetime.timedelta:
    """Return by when entries of running servers are back for certain.

    Args:
        unanswered_since: When the last call began that the store did not answer.
        stood_still: For how long this instance has not run since.
        answered_at: When the store has answered.
    """
    noticed_by = unanswered_since + _MAX_NOTICE_DELAY + stood_still
    return min(noticed_by, answered_at) + _RETURN_TIME


def ends_at(
    until: datetime.timedelta,
    *,
    kept: int,
    listed: int,
    back_by: datetime.timedelta,
    answered_by: datetime.timedelta | None = None,
) -> datetime.timedelta:
    """Return when a server is given up whose entry is missing.

    Args:
        until: End of its grace period by the lower bound of the store's return.
        kept: Number of servers that are used although their entries are missing.
        listed: Number of servers with an entry.
        back_by: The upper bound; earlier than `until` if this instance does not know
            it, as it has not read the store since.
        answered_by: By when the store had answered this instance or a peer again; None
            if that is not known.
    """
    if kept <= listed:
        return until
    end = back_by if back_by >= until else until + _MAX_NOTICE_DELAY
    if answered_by is None:
        return end
    return max(until, min(end, answered_by + _RETURN_TIME))


def told_end(until: datetime.timedelta, end: datetime.timedelta) -> datetime.timedelta:
    """Return the end of a grace period to tell peers, which may add the error to it.

    Args:
        until: Its end by the lower bound.
        end: When the server is given up here.
    """
    return until if end == until else end - _MAX_NOTICE_DELAY
