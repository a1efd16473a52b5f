"""Assigns requests a priority level in the engines' own queues.

Load pattern: for some seconds more prompts arrive than the engines can prefill. In
first-come, first-served order every request waits as long as the queue: soon all are
late, and the urgent ones, which have the least time, fail first. The largest prompts of
a route fail next, since their own prefill takes most of their time.

The route's rank comes first. Within a rank, requests that can still be on time go
before those that can't, so the engines' time goes to as many on-time requests as
possible instead of making all of them late.

Late requests get nothing while the load lasts. So a random share of the large ones is
queued with those that are on time, and of the others the large prompts go first.
Without that, the largest tenth of a route, which is hardly ever on time, was served
less than half as often as the whole. The share is the least that avoids this; more
would make on-time requests late for the sake of late ones.

No rank is queued behind late requests of a lower one.
"""

__all__ = ["LEVELS", "level_of"]

# Engines have ten levels, 0 first: three for each of the first three ranks.
LEVELS = 10
_LEVELS_PER_RANK = 3
_ON_TIME, _LATE_LARGE, _LATE = range(_LEVELS_PER_RANK)
_PROMOTED_SHARE = 0.35


def level_of(rank: int, *, late: bool, large: bool, jitter: float) -> int:
    """Return the priority level of a request, 0 first.

    Args:
        rank: Rank of its route, 0 first.
        late: Its first event can't be on time.
        large: It is large among the prompts of its route. A bound on its own prefill
            time would make all prompts large while engines have empty prefix caches,
            and the largest would be served least, since others would be promoted
            instead.
        jitter: Uniform random number from 0 to 1 of the request.
    """
    offset = _LATE_LARGE if large else _LATE
    if not late or (large and jitter < _PROMOTED_SHARE):
        offset = _ON_TIME
    return min(LEVELS - 1, _LEVELS_PER_RANK * rank + offset)
