"""Ranks requests in the engines' own queues.

Load pattern: more prompts arrive than can be read for some seconds. Served first come,
first served, every request waits as long as the queue: soon all are late, and the
urgent ones, which have the least time, fail first. The largest prompts of a route fail
next, since their own reading takes most of the time that they have.

The route's rank goes first. Within a rank a request that can still be on time goes
before one that can't. So the engines' time goes to requests that are on time, as many
as there is time for, instead of making all of them late; late ones take what is left.
Of the late ones the large prompts go first: few as they are, they delay the others
little, and without it the largest tenth of a route was served less than half as often
as the whole.

No rank is put behind what is late in a lower one.
"""

__all__ = ["LEVELS", "level_of"]

# Engines know ten urgencies, 0 first: three places for each of the first three ranks.
LEVELS = 10
_PLACES = 3


def level_of(rank: int, *, late: bool, large: bool = False) -> int:
    """Return the urgency of a request, 0 first."""
    place = 0 if not late else 1 if large else 2
    return min(LEVELS - 1, _PLACES * rank + place)
