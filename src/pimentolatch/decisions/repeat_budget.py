"""Bounds how often requests are sent to a second server, over all instances.

Load pattern: a third of the servers fail part of their requests. If every instance
retries each of these repeatedly, the healthy servers take twice their load and fail
too; that state persists after the fault is over.

The operator bounds the repeats of each service: a share of the requests in a sliding
window plus a fixed slack, summed over all instances. Each instance uses the share of
its own requests and its part of the slack, so the sum stays within the bound without
coordination, also during a network partition.
"""

import collections
import datetime

__all__ = ["RepeatBudget"]

# Safety margin: a request that arrived here at the end of one window may be counted by
# its server in the next.
_USED_SHARE = 0.8
# Instances assumed before any was discovered; a usual fleet has eight.
_ASSUMED_INSTANCES = 8


class RepeatBudget:
    """Repeats of one instance, by service.

    Args:
        ratio: Repeats allowed for each request in a window.
        slack: Additional repeats allowed to all instances together.
        window: Length of the sliding window.
    """

    def __init__(self, ratio: float, slack: float, window: datetime.timedelta) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests: dict[str, collections.deque[datetime.timedelta]] = {}
        self._repeats: dict[str, collections.deque[datetime.timedelta]] = {}
        self._instances = _ASSUMED_INSTANCES

    def configure(self, ratio: float, slack: float, window: datetime.timedelta) -> None:
        """Change the bound; earlier counts remain."""
        self._ratio = ratio
        self._slack = slack
        self._window = window

    def set_instances(self, instances: int) -> None:
        """Divide the slack by the live instances, this one included.

        The number never falls: an instance that is cut off still spends its part.
        """
        self._instances = max(instances, self._instances)

    def count_request(self, service: str, now: datetime.timedelta) -> None:
        """Count a request for a service."""
        self._recent(self._requests, service, now).append(now)

    def spend(self, service: str, now: datetime.timedelta, *, count: int = 1) -> bool:
        """Spend repeats, all or none; False if the window allows fewer.

        Args:
            service: The service that they go to.
            now: The current time.
            count: Number of repeats.
        """
        requests = len(self._recent(self._requests, service, now))
        repeats = self._recent(self._repeats, service, now)
        allowed = self._ratio * requests + self._slack / self._instances
        if len(repeats) + count > _USED_SHARE * allowed:
            return False
        repeats.extend([now] * count)
        return True

    def _recent(
        self,
        times_by_service: dict[str, collections.deque[datetime.timedelta]],
        service: str,
        now: datetime.timedelta,
    ) -> collections.deque[datetime.timedelta]:
        times = times_by_service.setdefault(service, collections.deque())
        while times and now - times[0] > self._window:
            times.popleft()
        return times
