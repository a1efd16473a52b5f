"""Ranks requests in the engines' own queues.

Load pattern: more prompts arrive than can be read for some seconds. Served first come,
first served, every request waits as long as the queue: soon all are late, and the
urgent ones, which have the least time, fail first.

The route's rank goes first. Within a rank a request that can still be on time goes
before one that can't. So the engines' time goes to requests that are on time, as many
as there is time for, instead of making all of them late; late ones take what is left.
They keep their place before lower ranks, so a rank is never served less than the one
below.
"""

__all__ = ["LEVELS", "level_of"]

# Engines know ten urgencies, 0 first.
LEVELS = 10


def level_of(rank: int, *, late: bool) -> int:
    """Return the urgency of a request, 0 first."""
    return min(LEVELS - 1, 2 * rank + (1 if late else 0))
