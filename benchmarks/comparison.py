"""Compares variants with the base, pairwise on the same loads and seeds."""

import dataclasses
import math
import statistics
from collections import abc

from benchmarks import plays

__all__ = ["Difference", "Row", "compare"]

Results = abc.Mapping[plays.Play, plays.Result]


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """Mean of pairwise differences and the standard error of that mean."""

    mean: float
    error: float

    def __str__(self) -> str:
        return f"{self.mean:+.3f} ±{self.error:.3f}"


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One variant on one site.

    Attributes:
        worst_day: The day with the least worth, and that worth.
        worst_kind: The kind of request that earned the least, and its mean share.
        losses: Mean worth lost by cause, the greatest first.
    """

    variant: str
    site: str
    plays: int
    worth: float
    against_base: Difference
    served: float
    orders: float
    broken: int
    worst_day: tuple[str, float]
    worst_kind: tuple[str, float]
    losses: tuple[tuple[str, float], ...]


def compare(variant: str, site: str, results: Results, base: Results) -> Row:
    """Return how a variant did on a site, against the base on the same plays."""
    played = sorted(
        (play for play in results if play.site == site),
        key=lambda play: (play.day, play.seed or 0),
    )
    chosen = [results[play] for play in played]
    days = {
        play.day: statistics.fmean(
            results[p].worth for p in played if p.day == play.day
        )
        for play in played
    }
    kinds = {
        kind: statistics.fmean(result.kinds[kind] for result in chosen)
        for kind in chosen[0].kinds
    }
    causes = {name for result in chosen for name in result.losses}
    losses = {
        cause: statistics.fmean(result.losses.get(cause, 0.0) for result in chosen)
        for cause in causes
    }
    return Row(
        variant,
        site,
        len(played),
        statistics.fmean(result.worth for result in chosen),
        _difference([results[p].worth - base[p].worth for p in played if p in base]),
        statistics.fmean(result.served for result in chosen),
        statistics.fmean(result.orders for result in chosen),
        sum(bool(result.broken) for result in chosen),
        min(days.items(), key=lambda item: item[1]),
        min(kinds.items(), key=lambda item: item[1], default=("none", 0.0)),
        tuple(sorted(losses.items(), key=lambda item: -item[1])),
    )


def _difference(pairs: abc.Sequence[float]) -> Difference:
    if len(pairs) < 2:
        return Difference(sum(pairs), math.nan)
    error = statistics.stdev(pairs) / math.sqrt(len(pairs))
    return Difference(statistics.fmean(pairs), error)
