"""Ranks requests in the engines' own queues.

Load pattern: more prompts arrive than can be read for some seconds. Served first come,
first served, every request waits as long as the queue: soon all are late, and the
urgent ones, which have the least time, fail first. The largest prompts of a route fail
next, since their own reading takes most of the time that they have.

The route's rank goes first. Within a rank a request that can still be on time goes
before one that can't. So the engines' time goes to requests that are on time, as many
as there is time for, instead of making all of them late.

What is left for late ones is nothing as long as the load lasts. So a share of them,
drawn by lot, waits among those that are on time, and of the others the large prompts go
first. Without that the largest tenth of a route, which is hardly ever on time, was
served less than half as often as the whole. The share is what that takes; more would
make on-time requests late for the sake of late ones.

No rank is put behind what is late in a lower one.
"""

__all__ = ["LEVELS", "level_of"]

# Engines know ten urgencies, 0 first: three places for each of the first three ranks.
LEVELS = 10
_LEVELS_PER_RANK = 3
_ON_TIME, _LATE_LARGE, _LATE = range(_LEVELS_PER_RANK)
_PROMOTED_SHARE = 0.35


def level_of(rank: int, *, late: bool, large: bool, lot: float) -> int:
    """Return the urgency of a request, 0 first.

    Args:
        rank: Rank of its route, 0 first.
        late: Its first event can't be on time.
        large: It is large among the prompts of its route. A bound on the time of its
            own prefill would take all for large while engines keep nothing, and the
            largest would be served least, since their lots went to the others.
        lot: Drawn evenly from 0 to 1 for the request.
    """
    offset = _LATE_LARGE if large else _LATE
    if not late or (large and lot < _PROMOTED_SHARE):
        offset = _ON_TIME
    return min(LEVELS - 1, _LEVELS_PER_RANK * rank + offset)
