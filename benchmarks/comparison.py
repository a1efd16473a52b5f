"""Paired comparison of code variants with the base, on the same loads and seeds."""

import dataclasses
import math
import statistics
from collections import abc

from benchmarks import trials

__all__ = ["Difference", "Row", "compare"]

Results = abc.Mapping[trials.Trial, trials.Result]


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """Mean of paired differences and the standard error of that mean."""

    mean: float
    error: float

    def __str__(self) -> str:
        return f"{self.mean:+.3f} ±{self.error:.3f}"


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Results of one variant on one site.

    Attributes:
        worst_day: Day with the lowest mean worth, and that worth.
        worst_kind: Kind of request with the lowest mean share, and that share.
        losses: Mean worth lost by cause, in descending order.
    """

    variant: str
    site: str
    trials: int
    worth: float
    against_base: Difference
    served: float
    orders: float
    broken: int
    worst_day: tuple[str, float]
    worst_kind: tuple[str, float]
    losses: tuple[tuple[str, float], ...]


def compare(variant: str, site: str, results: Results, base: Results) -> Row:
    """Summarize a variant on a site and compare it with the base, trial by trial."""
    trials_of_site = sorted(
        (trial for trial in results if trial.site == site),
        key=lambda trial: (trial.day, trial.seed or 0),
    )
    selected = [results[trial] for trial in trials_of_site]
    days = {
        trial.day: statistics.fmean(
            results[p].worth for p in trials_of_site if p.day == trial.day
        )
        for trial in trials_of_site
    }
    kinds = {
        kind: statistics.fmean(result.kinds[kind] for result in selected)
        for kind in selected[0].kinds
    }
    causes = {name for result in selected for name in result.losses}
    losses = {
        cause: statistics.fmean(result.losses.get(cause, 0.0) for result in selected)
        for cause in causes
    }
    return Row(
        variant,
        site,
        len(trials_of_site),
        statistics.fmean(result.worth for result in selected),
        _difference(
            [results[p].worth - base[p].worth for p in trials_of_site if p in base]
        ),
        statistics.fmean(result.served for result in selected),
        statistics.fmean(result.orders for result in selected),
        sum(bool(result.broken) for result in selected),
        min(days.items(), key=lambda item: item[1]),
        min(kinds.items(), key=lambda item: item[1], default=("none", 0.0)),
        tuple(sorted(losses.items(), key=lambda item: -item[1])),
    )


def _difference(pairs: abc.Sequence[float]) -> Difference:
    if len(pairs) < 2:
        return Difference(sum(pairs), math.nan)
    error = statistics.stdev(pairs) / math.sqrt(len(pairs))
    return Difference(statistics.fmean(pairs), error)
