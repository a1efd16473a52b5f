"""Bounds how many log lines of one kind are written in a second.

Load pattern: in overload each request is refused within a millisecond, and a line for
each decision of each would take more processor time than the refusals. Cut off at
random, the log would hold least of what on-call engineers look for.

Each kind of event has its own budget. Lines of requests that went wrong draw on a
larger one than those of requests that went well, so an overload of one kind leaves the
others their lines. What is dropped is counted, and the count is written with the next
line of that kind.
"""

import dataclasses
import datetime

__all__ = ["LogBudget"]

# An instance of today has some 25 requests a second with three lines each; the figures
# leave room for a burst of twice that. At 300 bytes a line all kinds together stay
# under 100 KB a second.
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
        """Take one line.

        Args:
            event: Kind of the line.
            now: The time.
            wrong: The request went wrong.

        Returns:
            The number of lines dropped before this one, or None if it is dropped too.
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
