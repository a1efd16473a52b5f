"""Decides how long a request waits for an engine when none takes requests.

Load pattern: both engines that write crash within a second, or one crashes while the
other changes its stage. For two to five seconds nothing can be answered, and then
everything can. Refused at once, each request comes back after a second, finds the same
and is gone: 135 of 230 requests of such five seconds were refused within 50 ms while
three engines were idle.

So a request waits, as long as its client does, and looks again and again. Those of a
higher rank look more often, so that they are the first that a returning engine gets,
and no two look at the same moment. Just before its client would leave, it is refused
with a time to come back: that promise lets a client come back whose request may not be
repeated, which silence does not.

The number that wait is bounded: what an engine can't serve within the patience of its
clients after it is back would only make all of them late.
"""

import datetime

__all__ = ["MOST_WAITING", "look_again", "may_wait", "retry_after"]

# Requests that wait in one instance. An engine of today writes 64 answers at once and
# eight instances share it; prompts of 20 KB each keep within 1 MB of memory.
MOST_WAITING = 48
# First look of a request of the first rank, and how much later those of each further
# rank look. The engines' own state is known to some tenths of a second.
_FIRST_LOOK_MS = 60.0
_RANK_MS = 40.0
_MOST_RANKS = 3
# Time that is left for the refusal to reach the client before it leaves, and for an
# engine to give a first event.
_MARGIN = datetime.timedelta(milliseconds=200)
# Engines that crash are back after two to five seconds, so a request that has waited
# for most of that finds one soon. The spread keeps those that return from meeting.
_LEAST_RETRY_MS = 300.0
_RETRY_SPREAD_MS = 700.0


def look_again(rank: int, lot: float) -> datetime.timedelta:
    """Return the pause before a waiting request looks for an engine again.

    Args:
        rank: Rank of its route, 0 first.
        lot: Drawn evenly from 0 to 1 for the request.
    """
    milliseconds = _FIRST_LOOK_MS + _RANK_MS * min(rank, _MOST_RANKS)
    return datetime.timedelta(milliseconds=milliseconds * (0.75 + 0.5 * lot))


def may_wait(patience: datetime.timedelta, waiting: int) -> bool:
    """Tell whether a request may wait (on).

    Args:
        patience: Its client waits this long from now on.
        waiting: Requests that wait in this instance besides.
    """
    return patience > _MARGIN and waiting < MOST_WAITING


def retry_after(lot: float) -> datetime.timedelta:
    """Return when a request that has waited in vain should come back."""
    return datetime.timedelta(milliseconds=_LEAST_RETRY_MS + _RETRY_SPREAD_MS * lot)
