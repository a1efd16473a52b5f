"""Estimates the work that callers bring, from what instances counted.

Load pattern: the share of prompt to output swings within minutes, and what instances
tell each other is seconds old. Without a history, the planner of roles acts on the
last burst; with only an average, it misses a shift that lasts.

Each instance publishes totals that only grow. Their differences are rates, whatever
was lost in between, and a total that falls marks an instance that began anew.
"""

import collections
import dataclasses
import datetime
from collections import abc

__all__ = ["History", "Sample", "Totals"]

# Prompts of this many tokens and more are counted as long. Shorter ones are read
# between the streams without a visible pause; see docs/ROLE-PLANNING.md.
LONG_PROMPT_TOKENS = 2048
# Heartbeats come every second. An instance that is silent for this long is not
# counted any more; until then it is taken to go on as before.
_MAX_SILENCE = datetime.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, slots=True)
class Totals:
    """Tokens that callers asked one instance for since it started.

    Refused requests count: what was turned away is demand too.

    Attributes:
        uptime_s: When the totals were taken, on the instance's own clock.
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
    """Demand of a failure domain over one interval, by the second.

    Attributes:
        at: End of the interval on the monotonic clock of the instance that plans.
        length_s: Length of the interval, in seconds.
        short_prompts: Tokens of short prompts.
        long_prompts: Tokens of long prompts.
        output: Tokens of answers.
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
        """Requests a second."""
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

    A planner that starts has none and changes nothing until it has seen a shift for
    itself: a crash of the planner costs time, never a doubled change.
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
        """All samples kept, oldest first."""
        return tuple(self._samples)

    def observe(self, now: datetime.timedelta, totals: abc.Iterable[Totals]) -> None:
        """Add a sample from the newest totals of each instance.

        After a pause, all samples are dropped. An instance that plans again after an
        hour without the duty would otherwise take that hour for one long sample, and
        whatever it lost would earn a change at once.
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
        # By the sender's own clock, so that a message that was late on its way does
        # not show as a lull followed by a spike. No newer message: the rate is held.
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
