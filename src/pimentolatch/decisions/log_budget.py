"""Limits how many log lines of one kind are written per second.

Load pattern: under overload each request is refused within a millisecond, and logging
every decision would take more processor time than the refusals. If lines were dropped
at random, the log would have the least of what on-call engineers look for.

Each kind of event has its own token bucket. Lines of failed requests have a larger one
than those of successful requests, so an overload of one kind does not suppress the
others. Dropped lines are counted, and the count is written with the next line of that
kind.
"""

import dataclasses
import datetime

__all__ = ["LogBudget"]

# An instance has some 25 requests per second with three lines each; the rates leave
# room for bursts of twice that. At 300 bytes per line all kinds together stay below 100
# KB/s.
LINES_A_SECOND = 50.0
LINES_A_SECOND_WRONG = 100.0
_BURST_S = 2.0


@dataclasses.dataclass(slots=True)
class _Kind:
    tokens: float
    refilled_at: datetime.timedelta
    dropped: int = 0


class LogBudget:
    """Token buckets by kind of event."""

    def __init__(self) -> None:
        self._kinds: dict[tuple[str, bool], _Kind] = {}

    def take(self, event: str, now: datetime.timedelta, *, wrong: bool) -> int | None:
        """Take one line from the budget.

        Args:
            event: Kind of the line.
            now: The current time.
            wrong: Whether the request failed.

        Returns:
            The number of lines dropped before this one, or None if this one is dropped
            too.
        """
        rate = LINES_A_SECOND_WRONG if wrong else LINES_A_SECOND
        kind = self._kinds.setdefault((event, wrong), _Kind(rate * _BURST_S, now))
        refill = (now - kind.refilled_at).total_seconds() * rate
        kind.tokens = min(rate * _BURST_S, kind.tokens + refill)
        kind.refilled_at = now
        if kind.tokens < 1:
            kind.dropped += 1
            return None
        kind.tokens -= 1
        dropped, kind.dropped = kind.dropped, 0
        return dropped
