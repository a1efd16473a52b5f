"""Ranks requests in the engines' own queues.

Load pattern: more prompts arrive than can be read for some seconds. Served first come,
first served, every request waits as long as the queue, and the urgent ones, which have
the least time, fail first.

The route's rank goes first. Within a rank a request that can still be on time goes
before one that can't: it is worth more and no later request is hurt by it. Late ones
keep their place before lower ranks, so a rank is never served less than the one below.
"""

__all__ = ["of"]

# Engines know ten urgencies; 0 is first. Three ranks with two places each fit between.
_FIRST = 1
_LAST = 9


def of(rank: int, *, late: bool) -> int:
    """Return the urgency of a request, 0 first and 9 last."""
    return min(_LAST, _FIRST + 2 * rank + (1 if late else 0))
