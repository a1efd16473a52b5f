"""Histories of submissions and of documents in force, and their checker.

Promise 9: an accepted configuration is in force everywhere within seconds and never
reverts. Reporting an outcome to an operator that contradicts the store breaks it too.
"""

import collections
import dataclasses

__all__ = [
    "ConfigHistory",
    "HeadWritten",
    "InForce",
    "Lifetime",
    "SubmissionResult",
    "check",
]

IN_FORCE_WITHIN_S = 11.0
ACCEPTED = "accepted"
LOST = "lost"
NOT_SUBMITTED = "not submitted"
UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class HeadWritten:
    """A write of the head took effect in the store."""

    at: float
    number: int
    submission: str
    content_hash: str


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """A process put a document in force."""

    at: float
    process: str
    number: int
    content_hash: str


@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionResult:
    """The final result that an operator received for a submission.

    Attributes:
        number: Number of the accepted configuration, or 0.
        attempts: How often the operator submitted it.
    """

    submission: str
    outcome: str
    number: int
    attempts: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lifetime:
    """When a process ran; `end` is infinite while it runs."""

    process: str
    start: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigHistory:
    """One run. Times are seconds on a clock that no process reads.

    Attributes:
        fault_window: Start and end of fault injection.
    """

    heads: tuple[HeadWritten, ...]
    in_force: tuple[InForce, ...]
    results: tuple[SubmissionResult, ...]
    lifetimes: tuple[Lifetime, ...]
    fault_window: tuple[float, float] | None
    end: float


def check(history: ConfigHistory) -> tuple[str, ...]:
    """Return a sentence for each violation of the guarantee."""
    return (
        *_one_document_for_each_number(history),
        *_no_revert(history),
        *_accurate_results(history),
        *_in_force_in_time(history),
    )


def _one_document_for_each_number(history: ConfigHistory) -> list[str]:
    found = []
    by_number = {head.number: head for head in history.heads}
    for head in history.heads:
        if by_number[head.number].submission != head.submission:
            found.append(f"number {head.number} was given twice")
    numbers = collections.defaultdict(set)
    for head in history.heads:
        numbers[head.submission].add(head.number)
    found += [f"{name} has two numbers" for name, n in numbers.items() if len(n) > 1]
    for event in history.in_force:
        head = by_number.get(event.number)
        if head is None or head.content_hash != event.content_hash:
            found.append(f"{event.process} runs a {event.number} that nobody accepted")
    return found


def _no_revert(history: ConfigHistory) -> list[str]:
    found = []
    last: dict[str, int] = {}
    for event in sorted(history.in_force, key=lambda event: event.at):
        before = last.get(event.process, 0)
        if event.number < before:
            found.append(f"{event.process} went from {before} to {event.number}")
        last[event.process] = event.number
    return found


def _accurate_results(history: ConfigHistory) -> list[str]:
    found = []
    numbers = {head.submission: head.number for head in history.heads}
    for result in history.results:
        number = numbers.get(result.submission)
        if result.outcome == ACCEPTED and number != result.number:
            found.append(f"{result.submission} accepted as {result.number}: {number}")
        if result.outcome == LOST and number is not None:
            found.append(f"{result.submission} was told lost and is {number}")
        single = result.outcome == NOT_SUBMITTED and result.attempts == 1
        if single and number is not None:
            found.append(f"{result.submission} was told not submitted and is {number}")
    return found


def _in_force_in_time(history: ConfigHistory) -> list[str]:
    found = []
    for head in history.heads:
        deadline = _deadline(history, head.at)
        for lifetime in history.lifetimes:
            settled = lifetime.start + IN_FORCE_WITHIN_S <= deadline <= lifetime.end
            if not settled or deadline > history.end:
                continue
            reached = [
                event.number
                for event in history.in_force
                if event.process == lifetime.process and event.at <= deadline
            ]
            if max(reached, default=0) < head.number:
                found.append(
                    f"{lifetime.process} lacks {head.number} at {deadline:.1f} s"
                )
    return found


def _deadline(history: ConfigHistory, at: float) -> float:
    if history.fault_window is not None:
        begin, end = history.fault_window
        if at + IN_FORCE_WITHIN_S >= begin and at <= end:
            return end + IN_FORCE_WITHIN_S
    return at + IN_FORCE_WITHIN_S
