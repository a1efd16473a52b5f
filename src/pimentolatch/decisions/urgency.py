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

Where customers have ranks of their own, these go before the ranks of routes. Nearly all
customers then share one rank, and without the order of their routes a digest that has
500 ms waits behind labels that have two seconds. So within a customer's rank the routes
keep their order. Engines have no levels for the late of each: a late request of a
customer's rank goes with the least urgent routes of it, which have the most time left.
Two customers' ranks never mix.
"""

__all__ = ["LEVELS", "level_of", "on_time_level"]

# Engines have ten levels, 0 first: three for each of the first three ranks.
LEVELS = 10
_LEVELS_PER_RANK = 3
_ON_TIME, _LATE_LARGE, _LATE = range(_LEVELS_PER_RANK)
_PROMOTED_SHARE = 0.35


def on_time_level(rank: int, route_rank: int | None = None) -> int:
    """Return the priority level of a request that can be on time, 0 first.

    Args:
        rank: See `level_of`.
        route_rank: See `level_of`.
    """
    return _level(rank, _ON_TIME if route_rank is None else route_rank)


def level_of(
    rank: int, *, late: bool, large: bool, jitter: float, route_rank: int | None = None
) -> int:
    """Return the priority level of a request, 0 first.

    Args:
        rank: Rank of its customer, or of its route if the customer has none; 0 first.
        late: Its first event can't be on time.
        large: It is large among the prompts of its route. A bound on its own prefill
            time would make all prompts large while engines have empty prefix caches,
            and the largest would be served least, since others would be promoted
            instead.
        jitter: Uniform random number from 0 to 1 of the request.
        route_rank: Rank of its route if its customer has a rank; None otherwise.
    """
    if not late or (large and jitter < _PROMOTED_SHARE):
        return on_time_level(rank, route_rank)
    if route_rank is not None:
        return _level(rank, _LEVELS_PER_RANK - 1)
    return _level(rank, _LATE_LARGE if large else _LATE)


def _level(rank: int, offset: int) -> int:
    offset = min(offset, _LEVELS_PER_RANK - 1)
    return min(LEVELS - 1, _LEVELS_PER_RANK * rank + offset)
