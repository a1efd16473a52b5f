"""Estimates the work that callers request, from the counters of instances.

Load pattern: the ratio of prompt to output tokens swings within minutes, and reports
from peers are seconds old. Without a history, the role planner reacts to the last
burst; with only an average, it misses a shift that lasts.

Each instance publishes monotonic counters. Their differences give rates even if reports
were lost in between, and a new incarnation starts its counters anew.
"""

import collections
import dataclasses
import datetime
from collections import abc

__all__ = ["History", "Sample", "Totals"]

# Prompts of at least this many tokens count as long. Shorter ones are prefilled between
# decode steps without a visible pause; see docs/ROLE-PLANNING.md.
LONG_PROMPT_TOKENS = 2048
# Heartbeats come every second. An instance without a report for this long is no longer
# counted; until then its last rate is assumed to continue.
_MAX_SILENCE = datetime.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, slots=True)
class Totals:
    """Tokens requested from one instance by callers since it started.

    Refused requests count, since they are demand too.

    Attributes:
        instance: Name of the instance.
        incarnation: Run of its process that the totals belong to.
        uptime_s: When the totals were taken, on the instance's own clock.
        short_prompt_tokens: Tokens of prompts below `LONG_PROMPT_TOKENS`.
        long_prompt_tokens: Tokens of all other prompts.
        output_tokens: Output tokens requested.
        short_requests: Requests with a short prompt.
        long_requests: Requests with a long prompt.
    """

    instance: str
    incarnation: str
    uptime_s: float = 0.0
    short_prompt_tokens: float = 0.0
    long_prompt_tokens: float = 0.0
    output_tokens: float = 0.0
    short_requests: float = 0
    long_requests: float = 0

    def plus(self, prompt_tokens: int, output_tokens: int) -> "Totals":
        """Return the totals with one more request."""
        is_long = prompt_tokens >= LONG_PROMPT_TOKENS
        return dataclasses.replace(
            self,
            short_prompt_tokens=self.short_prompt_tokens
            + (0 if is_long else prompt_tokens),
            long_prompt_tokens=self.long_prompt_tokens
            + (prompt_tokens if is_long else 0),
            output_tokens=self.output_tokens + output_tokens,
            short_requests=self.short_requests + (not is_long),
            long_requests=self.long_requests + is_long,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Demand of a failure domain over one interval, per second.

    Attributes:
        at: End of the interval on the monotonic clock of the planning instance.
        length_s: Length of the interval, in seconds.
        short_prompts: Tokens of short prompts.
        long_prompts: Tokens of long prompts.
        output: Output tokens.
        short_requests: Requests with a short prompt.
        long_requests: Requests with a long prompt.
    """

    at: datetime.timedelta
    length_s: float
    short_prompts: float
    long_prompts: float
    output: float
    short_requests: float
    long_requests: float

    @property
    def requests(self) -> float:
        """Requests per second."""
        return self.short_requests + self.long_requests


@dataclasses.dataclass(frozen=True, slots=True)
class _Rate:
    totals: Totals
    seen: datetime.timedelta
    per_second: tuple[float, ...] = (0.0,) * 5


def _counters(totals: Totals) -> tuple[float, ...]:
    return (
        totals.short_prompt_tokens,
        totals.long_prompt_tokens,
        totals.output_tokens,
        totals.short_requests,
        totals.long_requests,
    )


class History:
    """Samples of the last minutes.

    A planner starts without samples and changes nothing until it has observed a shift
    itself. So a crash of the planner costs time but never doubles a change.
    """

    def __init__(
        self, retention: datetime.timedelta = datetime.timedelta(minutes=5)
    ) -> None:
        self._retention = retention
        self._rates: dict[str, _Rate] = {}
        self._samples: collections.deque[Sample] = collections.deque()
        self._last: datetime.timedelta | None = None

    @property
    def samples(self) -> tuple[Sample, ...]:
        """All retained samples, oldest first."""
        return tuple(self._samples)

    def observe(self, now: datetime.timedelta, totals: abc.Iterable[Totals]) -> None:
        """Add a sample from the latest totals of each instance.

        After a gap all samples are dropped. Otherwise an instance that plans again
        after an hour would take that hour for one long sample, and the answers lost in
        it would justify a change at once.
        """
        if self._last is not None and now - self._last > _MAX_SILENCE:
            self._samples.clear()
            self._rates.clear()
            self._last = None
        for item in totals:
            self._rates[item.instance] = self._rate(now, item)
        self._rates = {
            name: rate
            for name, rate in self._rates.items()
            if now - rate.seen <= _MAX_SILENCE
        }
        if self._last is not None and now > self._last:
            self._samples.append(self._sample(now, now - self._last))
        self._last = now
        while self._samples and now - self._samples[0].at > self._retention:
            self._samples.popleft()

    def _rate(self, now: datetime.timedelta, new: Totals) -> _Rate:
        known = self._rates.get(new.instance)
        if known is None or known.totals.incarnation != new.incarnation:
            return _Rate(new, now)
        # By the sender's clock, so that a delayed message does not show as a lull
        # followed by a spike. Without a newer message the last rate is kept.
        elapsed = new.uptime_s - known.totals.uptime_s
        if elapsed <= 0.0:
            return known
        growth = zip(_counters(new), _counters(known.totals), strict=True)
        rates = tuple(max(0.0, after - before) / elapsed for after, before in growth)
        return _Rate(new, now, rates)

    def _sample(self, now: datetime.timedelta, length: datetime.timedelta) -> Sample:
        columns = zip(*(rate.per_second for rate in self._rates.values()), strict=True)
        sums = [sum(column) for column in columns] or [0.0] * 5
        return Sample(now, length.total_seconds(), *sums)
