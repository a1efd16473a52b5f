"""Enforces callers' rate limits over all instances, without a central service.

Load pattern: a faulty loop of a caller sends without end through every instance at
once. Without a limit its work fills the queues of all of them. With the full limit at
each, it gets its limit times the number of instances. With an equal share at each, a
caller whose balancer prefers one instance gets only a fraction of its limit.

Each instance refills a token bucket at its share of the caller's limit. A tenth of the
limit is divided evenly, the rest by demand: local demand against what the peers last
reported. The shares add up to one, so in a steady state the total is the limit. The
even tenth lets a caller that moves to another instance start there at once; the rest
follows with the next report. A caller that uses one instance only loses that tenth,
which is why it is not larger.

In a network partition, the instances that reach each other divide only `reachable /
all` of the limit among them. Every group does the same, so the total stays at the limit
however the fleet is split, and no share falls to zero. The excess is bounded: by the
burst once, by one request per instance (a bucket above zero admits a request of any
size; otherwise a long one could never run), and by the limit times the age of the
reports when demand moves.

A caller takes up state while its bucket is not full or its demand has not decayed.
"""

import dataclasses
import datetime
import math

from pimentolatch.decisions import work_reports
from pimentolatch.document import schema

__all__ = ["CallerLimits", "Exceeded", "Granted"]

_EVEN_SHARE = 0.1
_DEMAND_MEMORY_S = 5.0
_MIN_RETRY_S = 0.1
_SWEEP_INTERVAL = datetime.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The caller is within its limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exceeded:
    """The caller is over its limit until `retry_after` has passed."""

    retry_after: datetime.timedelta


@dataclasses.dataclass(slots=True)
class _Bucket:
    level: float
    demand: float
    at: datetime.timedelta
    rate: float
    size: float
    limit: float


class CallerLimits:
    """Token buckets of callers, in units of work.

    Args:
        peers: Demand that the other instances reported.
    """

    def __init__(self, peers: work_reports.PeerReports) -> None:
        self._peers = peers
        self._instances = 1
        self._buckets: dict[str, _Bucket] = {}
        self._last_sweep = datetime.timedelta()

    @property
    def known_callers(self) -> int:
        """Number of callers that take up state."""
        return len(self._buckets)

    def set_instances(self, instances: int) -> None:
        """Set how many instances share the limits, including unreachable ones."""
        self._instances = max(1, instances)

    def check(
        self, caller: schema.Caller, units: float, now: datetime.timedelta
    ) -> Granted | Exceeded:
        """Tell whether a caller may bring work now; charges nothing yet."""
        bucket = self._bucket(caller, now)
        bucket.demand += units / _DEMAND_MEMORY_S
        if bucket.level > 0:
            return Granted()
        seconds = max(_MIN_RETRY_S, -bucket.level / bucket.rate)
        return Exceeded(datetime.timedelta(seconds=seconds))

    def charge(
        self, caller: schema.Caller, units: float, now: datetime.timedelta
    ) -> None:
        """Charge admitted work; negative units are credited."""
        bucket = self._bucket(caller, now)
        bucket.level = min(bucket.size, bucket.level - units)

    def shares(self, now: datetime.timedelta) -> tuple[work_reports.CallerWork, ...]:
        """Return the demands to report to peers.

        Callers whose demand is within the even share are left out.
        """
        self._sweep(now)
        reported = []
        for caller, bucket in sorted(self._buckets.items()):
            demand = bucket.demand * _decay(now - bucket.at)
            if demand > _EVEN_SHARE * bucket.limit / self._instances:
                reported.append(work_reports.CallerWork(caller, demand))
        return tuple(reported)

    def local_share(self, caller: str, demand: float) -> float:
        """Return this instance's share of a caller's limit, from 0 to 1."""
        reachable = min(self._instances, 1 + self._peers.instances())
        group = reachable / self._instances
        total_demand = demand + self._peers.caller(caller)
        by_demand = demand / total_demand if total_demand > 0 else 1 / reachable
        return group * (_EVEN_SHARE / reachable + (1 - _EVEN_SHARE) * by_demand)

    def _bucket(self, caller: schema.Caller, now: datetime.timedelta) -> _Bucket:
        bucket = self._buckets.get(caller.name)
        if bucket is None:
            self._sweep(now)
            # The other instances may see this caller for the first time at the same
            # moment.
            level = caller.burst_tokens / self._instances
            bucket = _Bucket(level, 0.0, now, 1.0, level, caller.tokens_per_second)
            self._buckets[caller.name] = bucket
        elapsed = now - bucket.at
        bucket.at = now
        bucket.demand *= _decay(elapsed)
        share = self.local_share(caller.name, bucket.demand)
        bucket.limit = caller.tokens_per_second
        bucket.rate = share * bucket.limit
        bucket.size = max(share, 1 / self._instances) * caller.burst_tokens
        filled = bucket.level + bucket.rate * elapsed.total_seconds()
        bucket.level = min(bucket.size, filled)
        return bucket

    def _sweep(self, now: datetime.timedelta) -> None:
        if now - self._last_sweep < _SWEEP_INTERVAL:
            return
        self._last_sweep = now
        for caller, bucket in list(self._buckets.items()):
            elapsed = now - bucket.at
            filled = bucket.level + bucket.rate * elapsed.total_seconds()
            demand = bucket.demand * _decay(elapsed)
            if filled >= bucket.size and demand < 1.0:
                del self._buckets[caller]


def _decay(elapsed: datetime.timedelta) -> float:
    return math.exp(-elapsed.total_seconds() / _DEMAND_MEMORY_S)
