"""Learns how fast each engine of a service is, from answers and from peers.

Load pattern: a third of the engines is 2.4 times as fast as the rest, and each engine
is 2.5 times as slow for 600 ms now and then. With one figure for the whole service, the
first event of a prompt is predicted wrongly by up to the difference, and slow engines
hold as many streams as fast ones, so that their events come late.

An engine's prefill rate follows a high quantile of what its prompts show: a prompt that
waited behind others makes it look slow, and nothing makes it look fast. Its event gap
follows a low quantile, since slow spells make gaps longer and nothing makes them
shorter, and takes one sample in `_GAP_INTERVAL`: a slow spell of 600 ms with twenty
streams would otherwise be a hundred. Both are followed by steps that get
shorter with each sample, so that eight are enough and no sample has much influence.

With sixty instances one sees eight prompts of an engine in a minute, so instances
report what they learned. An instance tells the peers of its failure domain only what it
saw itself, and other domains also what those peers reported, never what other domains
did: nothing returns to who has counted it already. The reports are combined by a
weighted quantile, in which one peer can't outweigh the others.

What was learned takes effect only while the engines differ by a factor; see `Speeds`.
That they do is told by their gaps: of equal engines, those with the longest queues show
the lowest rates, while gaps hardly depend on the load.
"""

import bisect
import dataclasses
import datetime
import itertools
import math
from collections import abc

from pimentolatch.decisions import running_quantile

__all__ = ["DEFAULT_RATIO", "EngineSpeed", "Report", "Speeds"]

# Ratio between fast and slow engines from which their speeds are used. Equal engines
# differ by less because of their loads, by up to 1.7 in the first seconds of a small
# fleet, and engines bought a year later are faster by a third.
DEFAULT_RATIO = 1.8
# Speeds stay in use down to this share of the ratio, and are reported from it on.
_HYSTERESIS = 0.9
# Quantiles of the observations that the figures follow.
_RATE_QUANTILE = 0.9
_GAP_QUANTILE = 0.25
# The same when the reports of peers are combined: those whose prompts waited report
# rates that are too low.
_COMBINED_RATE_QUANTILE = 0.8
# Quantile of the pauses, relative to the typical gap of their engine. Slow spells that
# take less than a twentieth of the time don't decide whether a stream is late.
_PAUSE_QUANTILE = 0.95
_GAP_INTERVAL = datetime.timedelta(milliseconds=200)
_MAX_REPORTED = 8.0
# Samples from which an engine's figure is used, and from which it counts as evidence
# that engines differ: eight of a gap are 1.6 s, so that most are outside of slow
# spells.
_KNOWN_SAMPLES = 4.0
_SURE_SAMPLES = 8.0
# Shares of the engines that are left out at both ends when fast and slow ones are
# compared, so that one that hangs doesn't make all others fast.
_TRIMMED = 0.2
_MIN_ENGINES = 3
# A prompt and what was ahead of it must be this long, in tokens, for its time to show
# the rate rather than the overhead of a prompt.
_MIN_TOKENS = 2000.0
# Share of the tokens ahead that is not prefilled yet when a prompt arrives.
_AHEAD_SHARE = 0.5
# A peer's figure further from the typical one is an error of that peer.
_MAX_FACTOR = 8.0
# Plausible figures while none is typical yet: tokens and events per millisecond.
_MIN_RATE, _MAX_RATE = 0.1, 10_000.0
_MIN_GAP_MS, _MAX_GAP_MS = 0.1, 10_000.0
# A peer rotates through its engines within ten seconds.
_REPORT_EXPIRY = datetime.timedelta(seconds=30)
_REFRESH_INTERVAL = datetime.timedelta(seconds=1)
# The same once speeds count: it takes 0.8 ms for 45 engines of which peers report.
_REFRESH_INTERVAL_IN_USE = datetime.timedelta(seconds=3)
# Consecutive refreshes in which the engines must differ, so that a slow spell at the
# beginning of the evidence is not taken for a speed.
_CONFIRMATIONS = 2
# Weights of engines in a ranking are powers of this: two instances whose figures
# differ by a few hundredths have to rank alike.
_WEIGHT_BASE = 1.5
_MILLISECOND = datetime.timedelta(milliseconds=1)
_LONG_AGO = -datetime.timedelta(days=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Speed of one engine as an instance or a failure domain knows it.

    Attributes:
        rate: Tokens prefilled per millisecond; 0 if not known.
        gap_ms: Time between events; 0 if not known.
        samples: Number of answers that the figures rest on.
    """

    rate: float
    gap_ms: float
    samples: float


class EngineSpeed:
    """Evidence of one engine's speed in one lifetime, and the figures in use.

    Attributes:
        rate: Tokens prefilled per millisecond; 0 if not known.
        gap_ms: Time between events; 0 if not known.
        weight: Weight in rankings by speed; 1 for a typical engine.
        sure: Whether the figures rest on enough samples to compare engines by them.
    """

    __slots__ = (
        "_domains",
        "_gap",
        "_gap_at",
        "_peers",
        "_rate",
        "gap_ms",
        "rate",
        "sure",
        "weight",
    )

    def __init__(self) -> None:
        self._rate = running_quantile.RunningQuantile(_RATE_QUANTILE)
        self._gap = running_quantile.RunningQuantile(_GAP_QUANTILE)
        self._gap_at = _LONG_AGO
        self._peers: dict[str, tuple[Report, datetime.timedelta]] = {}
        self._domains: dict[str, tuple[Report, datetime.timedelta]] = {}
        self.rate = 0.0
        self.gap_ms = 0.0
        self.weight = 1.0
        self.sure = False

    @property
    def own_gap_ms(self) -> float:
        """Typical gap as this instance saw it; 0 if it saw none."""
        return self._gap.value

    def observe_rate(self, rate: float, now: datetime.timedelta) -> None:
        """Learn from the rate that a prompt showed."""
        self._rate.observe(rate, now)

    def observe_gap(self, gap_ms: float, now: datetime.timedelta) -> bool:
        """Learn from a gap, unless one was learned from a moment ago."""
        if now - self._gap_at < _GAP_INTERVAL:
            return False
        self._gap_at = now
        self._gap.observe(gap_ms, now)
        return True

    def receive(
        self,
        sender: str,
        report: Report,
        now: datetime.timedelta,
        *,
        is_domain: bool,
    ) -> None:
        """Record the report of a peer, or of another domain by any of its instances."""
        reports = self._domains if is_domain else self._peers
        reports[sender] = report, now

    def own(self, now: datetime.timedelta) -> Report:
        """Return what this instance saw itself."""
        rate, gap = self._rate.samples(now), self._gap.samples(now)
        return Report(
            self._rate.value if rate >= 1 else 0.0,
            self._gap.value if gap >= 1 else 0.0,
            max(rate, gap),
        )

    def combined(self, now: datetime.timedelta, *, with_domains: bool) -> Report:
        """Return the combination of what this instance and its peers saw.

        Args:
            now: The current time.
            with_domains: Whether the reports of other domains are included.
        """
        reports = [self.own(now)]
        for known in (self._peers, self._domains) if with_domains else (self._peers,):
            for sender in [s for s, (_, at) in known.items() if _is_old(at, now)]:
                del known[sender]
            reports += [report for report, _ in known.values()]
        rates = [(item.rate, _weight(item)) for item in reports if item.rate]
        gaps = [(item.gap_ms, _weight(item)) for item in reports if item.gap_ms]
        return Report(
            _weighted_quantile(rates, _COMBINED_RATE_QUANTILE),
            _weighted_quantile(gaps, _GAP_QUANTILE),
            sum(report.samples for report in reports),
        )

    def refresh(self, now: datetime.timedelta) -> None:
        """Bring the figures in use up to date."""
        found = self.combined(now, with_domains=True)
        is_known = found.samples >= _KNOWN_SAMPLES
        self.sure = found.samples >= _SURE_SAMPLES
        self.rate = found.rate if is_known else 0.0
        self.gap_ms = found.gap_ms if is_known else 0.0


class Speeds:
    """Speeds of the engines of one service, and whether they matter.

    Args:
        ratio: Ratio between fast and slow engines from which their speeds are used;
            None for never.

    Attributes:
        uneven: Whether the engines differ so much that their speeds are used.
        spread: Ratio between fast and slow engines; 1 if not known.
        known: Number of engines with a known speed.
        typical_rate: Tokens that a typical engine prefills per millisecond; 0 if not
            known.
        typical_gap_ms: Event gap of a typical engine; 0 if not known.
    """

    def __init__(self, ratio: float | None = DEFAULT_RATIO) -> None:
        self._ratio = ratio
        self._refreshed_at = _LONG_AGO
        self._in_a_row = 0
        self._guess = 1.0
        self._pause = running_quantile.RunningQuantile(_PAUSE_QUANTILE)
        self.uneven = False
        self.spread = 1.0
        self.known = 0
        self.typical_rate = 0.0
        self.typical_gap_ms = 0.0

    @property
    def pause_factor(self) -> float:
        """Ratio of long pauses between events to the typical gap of their engine."""
        return max(1.0, self._pause.value)

    @property
    def learned(self) -> bool:
        """Whether speeds may count at all."""
        return self._ratio is not None

    @property
    def reports(self) -> bool:
        """Whether peers should be told much: the engines differ, or nearly so."""
        if self._ratio is None:
            return False
        return self.uneven or self._guess >= _HYSTERESIS * self._ratio

    def rate_of(self, speed: EngineSpeed) -> float:
        """Return the tokens an engine prefills per millisecond; 0 if nothing is known.

        An engine that only decoded so far prefills as much faster than a typical one
        as its events come faster.
        """
        if speed.rate or not speed.gap_ms:
            return speed.rate or self.typical_rate
        return self.typical_rate * self.typical_gap_ms / speed.gap_ms

    def gap_of(self, speed: EngineSpeed) -> float:
        """Return the time between events in milliseconds; 0 if nothing is known."""
        if speed.gap_ms or not speed.rate:
            return speed.gap_ms or self.typical_gap_ms
        return self.typical_gap_ms * self.typical_rate / speed.rate

    def observe_prefill(
        self,
        speed: EngineSpeed,
        tokens: float,
        ahead: float,
        took_ms: float,
        now: datetime.timedelta,
    ) -> None:
        """Learn from a prompt that an engine prefilled.

        Args:
            speed: Speed of the engine.
            tokens: Tokens of the prompt that had to be prefilled.
            ahead: Tokens to be prefilled before it, as far as was known.
            took_ms: Time that it took, without the overhead of a prompt.
            now: The current time.
        """
        if ahead <= tokens and tokens + ahead >= _MIN_TOKENS:
            work = tokens + _AHEAD_SHARE * ahead
            speed.observe_rate(work / max(1.0, took_ms), now)

    def observe_gap(
        self, speed: EngineSpeed, gap_ms: float, now: datetime.timedelta
    ) -> None:
        """Learn from the time between two events of a stream."""
        before = speed.own_gap_ms
        if gap_ms > 0 and speed.observe_gap(gap_ms, now) and before:
            self._pause.observe(gap_ms / before, now)

    def receive(
        self,
        sender: str,
        speed: EngineSpeed,
        report: Report,
        now: datetime.timedelta,
        *,
        is_domain: bool,
    ) -> None:
        """Record a peer's report of an engine, without figures that are absurd."""
        plausible = Report(
            _plausible(report.rate, self.typical_rate, _MIN_RATE, _MAX_RATE),
            _plausible(report.gap_ms, self.typical_gap_ms, _MIN_GAP_MS, _MAX_GAP_MS),
            min(report.samples, _MAX_REPORTED),
        )
        if plausible.rate or plausible.gap_ms:
            speed.receive(sender, plausible, now, is_domain=is_domain)

    def refresh_if_due(
        self, speeds: abc.Iterable[EngineSpeed], now: datetime.timedelta
    ) -> None:
        """Bring the figures in use up to date if that was not done just now."""
        interval = _REFRESH_INTERVAL_IN_USE if self.uneven else _REFRESH_INTERVAL
        if now - self._refreshed_at >= interval:
            self._refreshed_at = now
            self._refresh(list(speeds), now)

    def _refresh(
        self, speeds: abc.Collection[EngineSpeed], now: datetime.timedelta
    ) -> None:
        if self._ratio is None:
            return
        for speed in speeds:
            speed.refresh(now)
        rates = sorted(speed.rate for speed in speeds if speed.rate)
        gaps = sorted(speed.gap_ms for speed in speeds if speed.gap_ms)
        self.known = sum(1 for speed in speeds if speed.rate or speed.gap_ms)
        # An engine that was not tried must not look better than half of the others.
        # Fast ones prefill more prompts and are known first, so the slower quarter of
        # the known rates is what half of all engines reach.
        self.typical_rate = rates[(len(rates) - 1) // 4] if rates else 0.0
        self.typical_gap_ms = gaps[len(gaps) // 2] if gaps else 0.0
        self._guess = _spread(gaps)
        self.spread = _spread(
            speed.gap_ms for speed in speeds if speed.sure and speed.gap_ms
        )
        if self.uneven:
            # Engines that decode may all be slow now, and the fast ones prefill.
            sure = [speed.rate for speed in speeds if speed.sure and speed.rate]
            self.spread = max(self.spread, _spread(sure))
        limit = self._ratio * (_HYSTERESIS if self.uneven else 1.0)
        self._in_a_row = self._in_a_row + 1 if self.spread >= limit else 0
        self.uneven = self._in_a_row >= (1 if self.uneven else _CONFIRMATIONS)
        for speed in speeds:
            speed.weight = self._weight(speed)

    def _weight(self, speed: EngineSpeed) -> float:
        rate = self.rate_of(speed)
        if not rate or not self.typical_rate:
            return 1.0
        steps = round(math.log(rate / self.typical_rate, _WEIGHT_BASE))
        return float(_WEIGHT_BASE**steps)


def _weight(report: Report) -> float:
    return min(report.samples, _MAX_REPORTED)


def _is_old(at: datetime.timedelta, now: datetime.timedelta) -> bool:
    return now - at >= _REPORT_EXPIRY


def _plausible(figure: float, typical: float, lowest: float, highest: float) -> float:
    """Return a reported figure, or 0 if it can't be that of an engine."""
    if typical:
        lowest, highest = typical / _MAX_FACTOR, typical * _MAX_FACTOR
    return figure if lowest <= figure <= highest else 0.0


def _weighted_quantile(figures: list[tuple[float, float]], share: float) -> float:
    """Return a quantile of figures with weights; 0 without any.

    Of three or more it is never the highest: one instance alone can't raise it.
    """
    if not figures:
        return 0.0
    figures.sort()
    sums = list(itertools.accumulate(weight for _, weight in figures))
    place = bisect.bisect_left(sums, sums[-1] * share)
    highest = len(figures) - 1
    return figures[min(place, highest - 1 if highest > 1 else highest)][0]


def _spread(figures: abc.Iterable[float]) -> float:
    """Return the ratio between high and low figures, without the extremes."""
    ordered = sorted(figures)
    if len(ordered) < _MIN_ENGINES:
        return 1.0
    last = len(ordered) - 1
    low, high = math.floor(_TRIMMED * last), math.ceil((1 - _TRIMMED) * last)
    return ordered[high] / ordered[low]
