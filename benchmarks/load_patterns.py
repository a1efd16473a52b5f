"""Seeded arrivals of two kinds of requests, and summaries of their outcomes."""

import dataclasses
import random
import typing
from collections import abc

from benchmarks import load_fakes

__all__ = ["Summary", "briefings", "capacity", "drafts", "summary", "times"]

DRAFT_UNITS = 200 + 60 * 8000 / 1200
BRIEFING_UNITS = 8000 + 300 * 8000 / 1200

Arrivals = list[load_fakes.Arrival]


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Outcomes of the requests of one span.

    Attributes:
        goodput: Work of the answers that were complete within their deadline, as a
            share of capacity.
        good: Share of the requests answered completely within their deadline.
        waits: Seconds to the first token of good answers: p50, p95, p99.
        refused: Number of refused requests.
        refused_late: Number of requests refused after waiting longer than one step.
        unanswered: Number of requests neither completed nor refused by their deadline.
    """

    requests: int
    goodput: float
    good: float
    waits: tuple[float, float, float]
    refused: int
    refused_late: int
    unanswered: int


def capacity(engines: int) -> float:
    """Return the capacity of engines in units of work a second."""
    return engines * load_fakes.UNITS_PER_SECOND


def drafts(
    rng: random.Random,
    caller: str,
    units_per_second: float,
    span: tuple[float, float],
    deadline_s: float = 15.0,
    **more: typing.Any,
) -> Arrivals:
    """Return short requests (badge drafts) at random times."""
    return [
        load_fakes.Arrival(
            at,
            caller,
            "draft",
            rng.randint(100, 300),
            rng.randint(30, 90),
            deadline_s,
            **more,
        )
        for at in times(rng, units_per_second / DRAFT_UNITS, span)
    ]


def briefings(
    rng: random.Random,
    caller: str,
    units_per_second: float,
    span: tuple[float, float],
    deadline_s: float = 60.0,
    **more: typing.Any,
) -> Arrivals:
    """Return requests with long prompts (briefings, health files) at random times."""
    return [
        load_fakes.Arrival(
            at,
            caller,
            "briefing",
            rng.randint(4000, 12_000),
            rng.randint(150, 450),
            deadline_s,
            **more,
        )
        for at in times(rng, units_per_second / BRIEFING_UNITS, span)
    ]


def summary(
    outcomes: abc.Iterable[load_fakes.Outcome],
    engines: int,
    span: tuple[float, float],
    selects: abc.Callable[[load_fakes.Arrival], bool] = lambda arrival: True,
) -> Summary:
    """Summarize the requests sent within a span.

    Goodput counts the good answers that ended within the span instead.
    """
    chosen = [outcome for outcome in outcomes if selects(outcome.arrival)]
    ended = sum(
        outcome.arrival.units
        for outcome in chosen
        if outcome.good
        and span[0] <= outcome.sent_at + (outcome.finished or 0) < span[1]
    )
    requested = [outcome for outcome in chosen if span[0] <= outcome.sent_at < span[1]]
    waits = [o.first_token for o in requested if o.good and o.first_token is not None]
    refused = [o.refused for o in requested if o.refused is not None]
    return Summary(
        len(requested),
        ended / (capacity(engines) * (span[1] - span[0])),
        sum(outcome.good for outcome in requested) / max(1, len(requested)),
        (
            load_fakes.percentile(waits, 0.5),
            load_fakes.percentile(waits, 0.95),
            load_fakes.percentile(waits, 0.99),
        ),
        len(refused),
        sum(waited > load_fakes.STEP_S for waited in refused),
        sum(
            outcome.finished is None and outcome.refused is None
            for outcome in requested
        ),
    )


def times(
    rng: random.Random, rate: float, span: tuple[float, float]
) -> abc.Iterator[float]:
    """Return the times of a Poisson process, as independent callers produce."""
    at = span[0] + rng.expovariate(rate)
    while at < span[1]:
        yield at
        at += rng.expovariate(rate)
