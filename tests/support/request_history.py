"""Histories of requests as callers and services observed them, and their checkers."""

import collections
import dataclasses

from pimentolatch import results

__all__ = [
    "Invocation",
    "Refused",
    "RequestHistory",
    "Response",
    "ResponseLost",
    "Run",
    "StreamResult",
    "at_most_once",
    "refusals_are_accurate",
    "responses_match_keys",
    "streams_are_complete",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Invocation:
    """A caller sent an attempt; several attempts may have the same key."""

    request: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A backend server ran an attempt."""

    request: str
    key: str
    response: str


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A caller received a response."""

    request: str
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A caller received a refusal."""

    request: str
    code: results.ResultCode
    execution: results.Execution


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseLost:
    """The caller's connection broke, so it received no response."""

    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamResult:
    """What a caller received of a streamed response.

    Attributes:
        ended: Whether the end marker was received.
        refused: Whether the last event was a refusal.
        late_by: Seconds from the deadline, or from when the caller was ready to read
            if that was later, to the refusal; negative if it came earlier or
            there was none.
        records_after: Number of events after the final one.
    """

    request: str
    text: str
    expected: str
    ended: bool
    refused: bool
    late_by: float = -1.0
    records_after: int = 0


Event = Invocation | Run | Response | Refused | ResponseLost | StreamResult


class RequestHistory:
    """The events of one run, in order."""

    def __init__(self, events: tuple[Event, ...] = ()) -> None:
        self.events: list[Event] = list(events)

    def add(self, event: Event) -> None:
        """Record an event."""
        self.events.append(event)

    @property
    def operations(self) -> int:
        """Number of attempts by callers."""
        return sum(isinstance(e, Invocation | StreamResult) for e in self.events)

    @property
    def unknown(self) -> int:
        """Number of attempts that ended in "outcome unknown"."""
        return sum(
            isinstance(e, Refused) and e.execution is results.Execution.UNKNOWN
            for e in self.events
        )


def at_most_once(history: RequestHistory) -> tuple[str, ...]:
    """Reject a key that ran more than once over all its attempts."""
    runs = collections.Counter(e.key for e in history.events if isinstance(e, Run))
    return tuple(f"{key} ran {n} times" for key, n in sorted(runs.items()) if n > 1)


def refusals_are_accurate(history: RequestHistory) -> tuple[str, ...]:
    """Reject "not run" about an attempt that ran, before or after the refusal."""
    ran = {e.request for e in history.events if isinstance(e, Run)}
    return tuple(
        f"{e.request} was answered {e.code.name}, not run, and ran"
        for e in history.events
        if isinstance(e, Refused)
        and e.execution is results.Execution.NOT_RUN
        and e.request in ran
    )


def responses_match_keys(history: RequestHistory) -> tuple[str, ...]:
    """Reject a response that no run of the attempt's own key produced."""
    keys = {e.request: e.key for e in history.events if isinstance(e, Invocation)}
    responses = collections.defaultdict(set)
    for event in history.events:
        if isinstance(event, Run):
            responses[event.key].add(event.response)
    return tuple(
        f"{e.request} of {keys[e.request]} received {e.text!r}"
        for e in history.events
        if isinstance(e, Response) and e.text not in responses[keys[e.request]]
    )


def streams_are_complete(history: RequestHistory) -> tuple[str, ...]:
    """Reject a stream that is neither complete nor a prefix and a final refusal."""
    return tuple(
        f"{seen.request}: {fault}"
        for seen in history.events
        if isinstance(seen, StreamResult) and (fault := _fault(seen)) is not None
    )


_LATE_LIMIT_S = 0.1


def _fault(seen: StreamResult) -> str | None:
    if seen.records_after:
        return "received events after the final one"
    if seen.late_by > _LATE_LIMIT_S:
        return f"the refusal came {seen.late_by:.1f} s past the deadline"
    if seen.ended == seen.refused:
        return "did not receive exactly one final event"
    if seen.ended and seen.text != seen.expected:
        return f"ended with {seen.text!r} instead of {seen.expected!r}"
    if not seen.expected.startswith(seen.text):
        return f"received {seen.text!r}, no prefix of {seen.expected!r}"
    return None
