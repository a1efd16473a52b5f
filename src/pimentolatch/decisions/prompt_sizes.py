"""Classifies prompts by their size relative to others of their route.

Load pattern: prompt sizes of one route spread over two orders of magnitude, from 3,000
to 100,000 tokens. Under overload the largest ones are the first to miss their deadline,
since their own prefill takes most of the available time. To see or prevent that they
are served worst, it must be known which they are. A fixed limit on prefill time does
not show it: it classifies all prompts of a route as large while the prefix caches are
empty, and none once the prefixes are cached.

So each instance compares a prompt with the sizes of the latest prompts of its route.
"""

import bisect
import collections
import enum

__all__ = ["PromptSizes", "SizeClass"]

# Prompts of a route to compare with. At one prompt per second they span minutes, in
# which the mix of one route hardly shifts.
_WINDOW = 200
# With fewer samples a prompt counts as `REST`.
_MIN_SAMPLES = 3
# Routes to remember, the latest to appear; successive configurations may name many.
_MAX_ROUTES = 256
_LARGEST_SHARE = 0.1
_LARGE_SHARE = 0.3


class SizeClass(enum.Enum):
    """Size of a prompt among those of its route, as text for logs and metrics."""

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
        """Add a size, in place of the oldest if the window is full."""
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
        """Return the size class of a prompt on its route, and record its size.

        Args:
            route: Name of the route.
            tokens: Tokens of the whole prompt, including cached ones.
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
