"""Decides how long a request waits for an engine.

Load pattern: both engines that write crash within a second, or one crashes while the
other changes its stage. For two to five seconds nothing can be answered, and then
everything can. Refused at once, each request comes back after a second, finds the same
and is gone, while the engines of the other stage are idle.

So a request waits, as long as its client does, and looks again and again. Those of a
higher rank look more often, so that they are the first that a returning engine gets,
and no two look at the same moment. Just before its client would leave, it is refused
with a time to come back: that promise lets a client come back whose request may not be
repeated, which silence does not.

A prompt that an engine has queued waits likewise, behind more urgent ones that come
later and go first. Its client leaves without a word of ours unless it is taken back and
refused before, since no engine tells when it would begin.

The number that wait for an engine is bounded: what it can't serve within the patience
of its clients after it is back would only make all of them late.
"""

import datetime

__all__ = [
    "MAX_WAITING",
    "client_timeout",
    "recheck_interval",
    "may_wait",
    "refusal_time",
    "retry_after",
]

# Clients give a stream up after a gap of the longest of these.
_MIN_CLIENT_TIMEOUT = datetime.timedelta(seconds=2)
_CLIENT_TIMEOUT_TARGETS = 4
_CLIENT_TIMEOUT_PAUSES = 8

# Requests that wait in one instance. An engine of today writes 64 answers at once and
# eight instances share it; prompts of 20 KB each keep within 1 MB of memory.
MAX_WAITING = 48
# First look of a request of the first rank, and how much later those of each further
# rank look. The engines' own state is known to some tenths of a second.
_RECHECK_MS = 60.0
_RANK_MS = 40.0
_MAX_RANKS = 3
# Time that is left for the refusal to reach the client before it leaves, and for an
# engine to give a first event.
_MARGIN = datetime.timedelta(milliseconds=200)
# Engines that crash are back after two to five seconds, so a request that has waited
# for most of that finds one soon. The spread keeps those that return from meeting.
_MIN_RETRY_MS = 300.0
_RETRY_SPREAD_MS = 700.0


def recheck_interval(rank: int, lot: float) -> datetime.timedelta:
    """Return the pause before a waiting request looks for an engine again.

    Args:
        rank: Rank of its route, 0 first.
        lot: Drawn evenly from 0 to 1 for the request.
    """
    milliseconds = _RECHECK_MS + _RANK_MS * min(rank, _MAX_RANKS)
    return datetime.timedelta(milliseconds=milliseconds * (0.75 + 0.5 * lot))


def client_timeout(
    latency_target: datetime.timedelta, pause_target: datetime.timedelta
) -> datetime.timedelta:
    """Return how long a client of a stream waits for an event before it leaves.

    Args:
        latency_target: The route's time for a first event.
        pause_target: The route's longest pause between events.
    """
    by_target = _CLIENT_TIMEOUT_TARGETS * latency_target
    return max(_MIN_CLIENT_TIMEOUT, by_target, _CLIENT_TIMEOUT_PAUSES * pause_target)


def refusal_time(client_gives_up_at: datetime.timedelta) -> datetime.timedelta:
    """Return when a request that still waits is refused.

    Args:
        client_gives_up_at: When its client leaves without an event.
    """
    return client_gives_up_at - _MARGIN


def may_wait(client_wait: datetime.timedelta, waiting: int) -> bool:
    """Tell whether a request may wait (on).

    Args:
        client_wait: Its client waits this long from now on.
        waiting: Requests that wait in this instance besides.
    """
    return client_wait > _MARGIN and waiting < MAX_WAITING


def retry_after(lot: float) -> datetime.timedelta:
    """Return when a request that has waited in vain should come back."""
    return datetime.timedelta(milliseconds=_MIN_RETRY_MS + _RETRY_SPREAD_MS * lot)
