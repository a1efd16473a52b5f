"""Decides how long servers are used whose entries are missing after an outage.

Load pattern: the store is out of reach for some seconds. When an instance lists the
servers again, some are missing. Their entries may have expired, as servers could not
renew them either; these servers still work and their entries are back within about two
seconds of the store's return. Or they have left meanwhile. Without the former every
instance would have nowhere to send requests to; kept for too long, a server that has
left gets requests that it may not finish.

What an instance felt is no measure of what the store went through: the store may have
rejected reads only, or only this instance was cut off, while servers renewed their
entries all the time. So the verdict rests on the entries. Most of them survive an
outage of which the servers noticed nothing, and hardly any a long one of the store.
Entries that have expired and are back were created anew, so they do not count as
survivors. A short outage lets a few expire; these servers are done without until their
entries are back, since most others are listed.

The time runs from the store's return, not from the moment at which an instance notices
it, since that may be a second later and differs between instances. The last call that
the store left unanswered began before its return, which gives a safe bound. If most
servers are missing beyond it, the bound may have been early, and callers have nowhere
else to go; then they are used for as long as an instance may take to notice.

The store may be away again before the entries are back. Nothing is known of them then,
so no grace period ends until the list is current, and the time runs anew.
"""

import dataclasses
import datetime

__all__ = [
    "ListingGap",
    "extension",
    "grace_ends_at",
    "is_current",
    "may_have_expired",
]

# An entry expires after three missed heartbeats. An outage of the store that is shorter
# than this makes no entry of a running server expire.
_MIN_EXPIRY = datetime.timedelta(seconds=2.5)
# Entries of running servers are back within this time of the store's return.
_RETURN_TIME = datetime.timedelta(seconds=2)
# Longest time between the begin of the last unanswered call and of the next one: the
# limit of a call and the pause after it.
_MAX_NOTICE_DELAY = datetime.timedelta(seconds=1.5)
# A list that is read, here or by the readers of the failure domain, is confirmed at
# least once in this time.
_MAX_LIST_AGE = datetime.timedelta(seconds=1.5)


@dataclasses.dataclass(frozen=True, slots=True)
class ListingGap:
    """A listing that lacks servers which were known before.

    Attributes:
        list_age: Time since the known list was last known to match the store.
        missing: Number of known servers without an entry.
        survived: Number of known servers whose entries were never removed.
    """

    list_age: datetime.timedelta
    missing: int
    survived: int


def may_have_expired(gap: ListingGap) -> bool:
    """Return whether the entries may have expired; otherwise the servers have left."""
    return gap.list_age >= _MIN_EXPIRY and gap.missing >= gap.survived


def is_current(list_age: datetime.timedelta) -> bool:
    """Return whether a list tells which entries are back by now."""
    return list_age <= _MAX_LIST_AGE


def grace_ends_at(unanswered_since: datetime.timedelta) -> datetime.timedelta:
    """Return until when servers are used whose entries may have expired.

    Args:
        unanswered_since: When the last call began that the store did not answer.
    """
    return unanswered_since + _RETURN_TIME


def extension(*, kept: int, listed: int) -> datetime.timedelta:
    """Return for how much longer servers are used.

    Args:
        kept: Number of servers that are used although their entries are missing.
        listed: Number of servers with an entry.
    """
    return _MAX_NOTICE_DELAY if kept > listed else datetime.timedelta()
