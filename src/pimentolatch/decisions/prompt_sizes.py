"""Tells which prompts are large among those of their route.

Load pattern: prompts of one route spread over two orders of magnitude, from 3,000 to
100,000 tokens. In overload the largest are the first that can't be on time, since their
own prefill takes most of the time that they have; whoever wants to see or to prevent
that they are served least has to know which they are. A fixed bound on the time of
their prefill does not tell: it takes all prompts of one route for large while engines
keep nothing, and none when they keep the prefixes.

So each instance keeps the sizes of the latest prompts of each route and compares.
"""

import bisect
import collections
import enum

__all__ = ["PromptSizes", "SizeClass"]

# Prompts of a route that are compared with. At a prompt a second they span minutes, in
# which the mix of one route hardly shifts.
_WINDOW = 200
# Before this many were seen a prompt is taken for one of the many.
_MIN_SAMPLES = 3
# Routes that are remembered, the latest to appear; configurations may go through many.
_MAX_ROUTES = 256
_LARGEST_SHARE = 0.1
_LARGE_SHARE = 0.3


class SizeClass(enum.Enum):
    """How large a prompt is among those of its route, in words for log and metrics."""

    LARGEST = "largest tenth"
    LARGE = "next fifth"
    REST = "rest"


class _Window:
    """The latest sizes of one route, in order of arrival and of size."""

    def __init__(self) -> None:
        self._latest: collections.deque[int] = collections.deque()
        self._ordered: list[int] = []

    def share_at_least(self, tokens: int) -> float:
        """Return the share of prompts that are at least as large."""
        at = bisect.bisect_left(self._ordered, tokens)
        return (len(self._ordered) - at) / len(self._ordered)

    def add(self, tokens: int) -> None:
        """Take one more size in place of the oldest."""
        if len(self._latest) >= _WINDOW:
            oldest = self._latest.popleft()
            del self._ordered[bisect.bisect_left(self._ordered, oldest)]
        self._latest.append(tokens)
        bisect.insort(self._ordered, tokens)

    def __len__(self) -> int:
        return len(self._latest)


class PromptSizes:
    """Sizes of the latest prompts, by route."""

    def __init__(self) -> None:
        self._windows: dict[str, _Window] = {}

    def classify(self, route: str, tokens: int) -> SizeClass:
        """Return how large a prompt is among the latest of its route, and count it.

        Args:
            route: Name of the route.
            tokens: Tokens of the whole prompt, kept ones included.
        """
        window = self._windows.get(route)
        if window is None:
            if len(self._windows) >= _MAX_ROUTES:
                del self._windows[next(iter(self._windows))]
            window = self._windows[route] = _Window()
        found = SizeClass.REST
        if len(window) >= _MIN_SAMPLES:
            share = window.share_at_least(tokens)
            if share < _LARGEST_SHARE:
                found = SizeClass.LARGEST
            elif share < _LARGE_SHARE:
                found = SizeClass.LARGE
        window.add(tokens)
        return found
