"""Seeded load and faults of the two benchmark deployments."""

import dataclasses
import math
import random

from benchmarks import fakes

__all__ = [
    "DEPLOYMENTS",
    "PATTERNS",
    "Deployment",
    "Fault",
    "Phase",
    "draw_faults",
    "generate_jobs",
]

DURATION_S = 900.0
PATTERNS = ("swing", "shift", "drift")
CALLERS = 6
# Latency targets that the deadlines are made of: time to first token, then time between
# tokens.
FIRST_TOKEN_S = 1.9
INTER_TOKEN_S = 0.071
_PREFILL_TOKENS_PER_S = 3000.0
_DECODE_TOKENS_PER_S = 400.0
_STEP_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Failure domains and requests of one deployment.

    Attributes:
        domains: Names of failure domains and their numbers of engines.
        short_prompt: Least and most tokens; so are the other token counts.
        change_weight: Cost of a role change, in seconds of one engine's work.
    """

    name: str
    domains: tuple[tuple[str, int], ...]
    short_prompt: tuple[int, int]
    short_output: tuple[int, int]
    long_prompt: tuple[int, int]
    long_output: tuple[int, int]
    change_weight: float


# Kitaguni drafts badges and summarizes briefings; the Régie processes health files.
DEPLOYMENTS = (
    Deployment(
        "kitaguni",
        (("sapporo-north", 3), ("sapporo-east", 3), ("asahikawa", 2), ("hakodate", 2)),
        (200, 500),
        (60, 160),
        (5_000, 12_000),
        (150, 350),
        5.0,
    ),
    Deployment(
        "regie",
        (("hotel-de-ville", 4), ("garage-voirie", 3), ("bibliotheque-nord", 3)),
        (300, 800),
        (100, 220),
        (8_000, 20_000),
        (200, 400),
        60.0,
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """A period of constant load.

    Attributes:
        utilization: Offered work as a share of the capacity of the engines.
        long_share: Share of that work that comes from requests with long prompts.
    """

    start: float
    end: float
    utilization: float
    long_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault or planned outage of an engine; `kind` is drain, crash or withdraw."""

    at: float
    until: float
    engine: int
    kind: str


def phases(pattern: str, rng: random.Random) -> tuple[Phase, ...]:
    """Return the phases of a pattern."""
    if pattern == "swing":
        return _swing(rng)
    if pattern == "shift":
        return _shift(rng)
    return _drift(rng)


def generate_jobs(
    deployment: Deployment, engines: int, pattern: str, rng: random.Random
) -> list[fakes.Job]:
    """Return the requests of one failure domain, in order of arrival."""
    found: list[fakes.Job] = []
    for phase in phases(pattern, rng):
        work = phase.utilization * engines
        for is_long in (False, True):
            share = phase.long_share if is_long else 1.0 - phase.long_share
            rate = work * share / _mean_work_s(deployment, is_long)
            now = phase.start
            while rate > 0.0:
                now += rng.expovariate(rate)
                if now >= phase.end:
                    break
                found.append(_job(deployment, is_long, now, rng))
    found.sort(key=lambda job: job.arrived)
    for number, job in enumerate(found):
        job.number = number
    return found


def draw_faults(engines: int, rng: random.Random) -> tuple[Fault, ...]:
    """Return a drain and a crash, and with three engines or more a withdrawal."""
    drained = rng.uniform(0.15, 0.3) * DURATION_S
    crashed = rng.uniform(0.45, 0.6) * DURATION_S
    faults = [
        Fault(drained, drained + 30.0, rng.randrange(engines), "drain"),
        Fault(crashed, crashed + 20.0, rng.randrange(engines), "crash"),
    ]
    if engines > 2:
        withdrawn = rng.uniform(0.8, 0.85) * DURATION_S
        faults.append(Fault(withdrawn, math.inf, rng.randrange(engines), "withdraw"))
    return tuple(faults)


def _swing(rng: random.Random) -> tuple[Phase, ...]:
    """Return phases of 15 to 45 s that alternate between long and short prompts."""
    found: list[Phase] = []
    now = 0.0
    while now < DURATION_S:
        for long_share in (0.8, 0.1):
            length = rng.uniform(15.0, 45.0)
            end = min(DURATION_S, now + length)
            found.append(Phase(now, end, rng.uniform(0.65, 0.85), long_share))
            now = end
            if now >= DURATION_S:
                break
    return tuple(found)


def _shift(rng: random.Random) -> tuple[Phase, ...]:
    """Return three phases of several minutes with abrupt changes of the mix."""
    first = rng.uniform(0.3, 0.4) * DURATION_S
    second = first + rng.uniform(0.3, 0.4) * DURATION_S
    shares = (0.15, 0.85, 0.15) if rng.random() < 0.5 else (0.85, 0.15, 0.85)
    borders = (0.0, first, second, DURATION_S)
    return tuple(
        Phase(borders[i], borders[i + 1], rng.uniform(0.65, 0.85), shares[i])
        for i in range(3)
    )


def _drift(rng: random.Random) -> tuple[Phase, ...]:
    """Return phases in which the share of long prompts rises or falls steadily."""
    low, high = rng.uniform(0.05, 0.2), rng.uniform(0.75, 0.9)
    if rng.random() < 0.5:
        low, high = high, low
    steps = int(DURATION_S / _STEP_S)
    return tuple(
        Phase(
            i * _STEP_S,
            (i + 1) * _STEP_S,
            rng.uniform(0.65, 0.85),
            low + (high - low) * i / (steps - 1),
        )
        for i in range(steps)
    )


def _mean_work_s(deployment: Deployment, is_long: bool) -> float:
    prompt = deployment.long_prompt if is_long else deployment.short_prompt
    output = deployment.long_output if is_long else deployment.short_output
    prefill_s = sum(prompt) / 2 / _PREFILL_TOKENS_PER_S
    return prefill_s + sum(output) / 2 / _DECODE_TOKENS_PER_S


def _job(
    deployment: Deployment, is_long: bool, now: float, rng: random.Random
) -> fakes.Job:
    prompt = rng.randint(
        *(deployment.long_prompt if is_long else deployment.short_prompt)
    )
    output = rng.randint(
        *(deployment.long_output if is_long else deployment.short_output)
    )
    # Half of the requests come from one busy caller (0.4 + 0.6 / 6). The short prompts
    # of a caller share a prefix.
    caller = 0 if rng.random() < 0.4 else rng.randrange(CALLERS)
    prefix_tokens = 0 if is_long else 128
    prefill_s = 2.0 * prompt / _PREFILL_TOKENS_PER_S if is_long else 0.0
    time_to_deadline = FIRST_TOKEN_S + prefill_s + output * INTER_TOKEN_S
    return fakes.Job(
        number=0,
        arrived=now,
        deadline=now + time_to_deadline,
        caller=caller,
        prompt_tokens=prompt,
        output_tokens=output,
        prefix=caller if not is_long else -1 - rng.randrange(1_000_000),
        prefix_tokens=prefix_tokens,
        entry=rng.randrange(2),
    )
