"""Estimates how many engines of a service the load of the last swings calls for.

Load pattern: the load swings within ten to twenty seconds and bursts to about twice its
mean, while a server takes seconds to boot. By the load of the moment, servers would be
returned in each trough and missing in each crest. By the number that stood at first,
on-demand servers are ordered for a full replacement whenever others are lost, although
the rest could serve all callers.

So a time counts that is longer than a swing. Before the load has been seen for that
long, nothing is known. What serves must bear the highest load of that time and, since
no server boots within a burst, twice its mean, both at a utilization at which prompts
still find a free engine. The load seen in seconds says little of the next hour, so the
need is never put below half of what the operator provided.

Every instance that could become the leader estimates the need from the same reports of
its peers. A new leader therefore continues with about the same figure, and nothing has
to be stored.
"""

import collections
import datetime
import math

__all__ = ["SeenNeed"]

# Longer than a swing of the load and a boot together.
_WINDOW = datetime.timedelta(seconds=20)
# Load of a burst that is to be borne, as a multiple of the mean.
_BURST_FACTOR = 2.0
# Utilization up to which several engines together hardly let a prompt wait. It leaves
# room for a burst of up to three times the mean.
_MAX_UTILIZATION = 0.6
# Smallest need, as a share of the servers that the operator provided.
_MIN_SHARE = 0.5


class SeenNeed:
    """The need of one service, from the load of its engines."""

    def __init__(self) -> None:
        self._loads: collections.deque[tuple[datetime.timedelta, float]] = (
            collections.deque()
        )
        self._seen_since: datetime.timedelta | None = None

    @property
    def peak(self) -> float:
        """Highest load of the window, as a number of fully occupied engines."""
        return max((load for _, load in self._loads), default=0.0)

    @property
    def mean(self) -> float:
        """Mean load of the window, as a number of fully occupied engines."""
        return sum(load for _, load in self._loads) / max(1, len(self._loads))

    def observe(self, load: float, now: datetime.timedelta) -> None:
        """Record the current load; to be called about once a second.

        Args:
            load: Work of all instances, as a number of fully occupied engines.
            now: The current time.
        """
        last = self._loads[-1][0] if self._loads else None
        if last is not None and now - last > _WINDOW / 2:
            # A gap, as after a suspension: what happened in it is unknown.
            self._loads.clear()
            self._seen_since = None
        if self._seen_since is None and load > 0:
            self._seen_since = now
        self._loads.append((now, load))
        while now - self._loads[0][0] > _WINDOW:
            self._loads.popleft()

    def need(self, provided: int, now: datetime.timedelta) -> int | None:
        """Return the number of engines needed; None if too little has been seen.

        Args:
            provided: Number of servers that the operator provided, the most returned.
            now: The current time.
        """
        if self._seen_since is None or now - self._seen_since < _WINDOW:
            return None
        borne = max(self.peak, _BURST_FACTOR * self.mean)
        seen = math.ceil(borne / _MAX_UTILIZATION)
        return min(provided, max(seen, math.ceil(provided * _MIN_SHARE)))
