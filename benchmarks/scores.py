"""Scores of runs, aggregated over failure domains and seeds."""

import collections
import dataclasses
import math
import typing
from collections import abc

from benchmarks import patterns, simulation_types

__all__ = ["HEADER", "Row", "Score", "rows", "score", "total"]

_PERCENTILE = 0.95
HEADER = (
    "deployment pattern policy                  goodput of asked  long "
    "changes ttft95 itl95 worst  jain"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Score:
    """Counts and latencies of one run."""

    offered: int
    good: int
    long_offered: int
    long_good: int
    changes: int
    first_tokens: tuple[float, ...]
    steps: tuple[float, ...]
    offered_by_caller: tuple[int, ...]
    good_by_caller: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of the table: a policy on a pattern of a deployment.

    Attributes:
        goodput: Complete answers within their deadline, per second, summed over all
            failure domains; mean over the seeds.
        answered_share: Share of the requests answered within their deadline.
        long_share: The same for requests with long prompts.
        role_changes: Number of role changes over all failure domains; mean over the
            seeds.
        ttft_p95_s: 95th percentile of the time to first token.
        itl_p95_s: 95th percentile of the time between tokens.
        worst_caller: Lowest share of a caller's requests answered within their
            deadline.
        jain: Jain's fairness index of these shares of the callers.
    """

    deployment: str
    pattern: str
    policy: str
    seeds: tuple[int, ...]
    goodput: float
    answered_share: float
    long_share: float
    role_changes: float
    ttft_p95_s: float
    itl_p95_s: float
    worst_caller: float
    jain: float

    def to_json(self) -> dict[str, typing.Any]:
        """Return the row as written to build/bench.json."""
        return dataclasses.asdict(self)

    def text(self) -> str:
        """Return the row as printed in the table."""
        return (
            f"{self.deployment:10} {self.pattern:7} {self.policy:23} "
            f"{self.goodput:7.3f} {self.answered_share:8.1%} {self.long_share:5.1%} "
            f"{self.role_changes:7.2f} {self.ttft_p95_s:6.2f} {self.itl_p95_s:5.3f} "
            f"{self.worst_caller:5.1%} {self.jain:.3f}"
        )


def score(outcome: simulation_types.Outcome) -> Score:
    """Return the score of a run."""
    callers = range(patterns.CALLERS)
    return Score(
        outcome.offered,
        outcome.good,
        outcome.long_offered,
        outcome.long_good,
        len(outcome.changes),
        tuple(outcome.first_tokens),
        tuple(outcome.times.bins),
        tuple(outcome.offered_by_caller[caller] for caller in callers),
        tuple(outcome.good_by_caller[caller] for caller in callers),
    )


def rows(
    keys: abc.Sequence[tuple[str, str]],
    measured: abc.Sequence[dict[str, Score]],
    seeds: list[int],
) -> list[Row]:
    """Return a row for each deployment, pattern and policy."""
    grouped: dict[tuple[str, str, str], list[Score]] = collections.defaultdict(list)
    for (deployment, pattern), found in zip(keys, measured, strict=True):
        for policy, one in found.items():
            grouped[deployment, pattern, policy].append(one)
    return [_row(*key, tuple(seeds), found) for key, found in grouped.items()]


def total(
    found: abc.Iterable[Row], deployment: str, pattern: str | None, policy: str
) -> Row:
    """Return one row, or the mean over all patterns if `pattern` is None."""
    chosen = [
        row
        for row in found
        if (row.deployment, row.policy) == (deployment, policy)
        and pattern in (None, row.pattern)
    ]
    return dataclasses.replace(
        chosen[0],
        goodput=sum(row.goodput for row in chosen) / len(chosen),
        role_changes=sum(row.role_changes for row in chosen) / len(chosen),
    )


def _row(
    deployment: str,
    pattern: str,
    policy: str,
    seeds: tuple[int, ...],
    found: list[Score],
) -> Row:
    offered = sum(one.offered for one in found)
    good = sum(one.good for one in found)
    first_tokens = sorted(time for one in found for time in one.first_tokens)
    offered_by_caller = _summed(s.offered_by_caller for s in found)
    good_by_caller = _summed(s.good_by_caller for s in found)
    shares = [
        g / a for g, a in zip(good_by_caller, offered_by_caller, strict=True) if a
    ]
    return Row(
        deployment,
        pattern,
        policy,
        seeds,
        good / patterns.DURATION_S / len(seeds),
        good / offered,
        sum(s.long_good for s in found) / sum(s.long_offered for s in found),
        sum(s.changes for s in found) / len(seeds),
        first_tokens[int(_PERCENTILE * (len(first_tokens) - 1))],
        _step_percentile(_summed(s.steps for s in found)),
        min(shares),
        sum(shares) ** 2 / (len(shares) * math.fsum(x * x for x in shares)),
    )


def _summed(columns: abc.Iterable[abc.Sequence[float]]) -> list[float]:
    return [sum(column) for column in zip(*columns, strict=True)]


def _step_percentile(bins: list[float]) -> float:
    target = _PERCENTILE * sum(bins)
    seen = 0.0
    for number, tokens in enumerate(bins):
        seen += tokens
        if seen >= target:
            return (number + 1) / 1000.0
    return len(bins) / 1000.0
