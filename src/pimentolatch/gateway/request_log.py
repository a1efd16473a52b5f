"""Log lines that trace a request from placement to its response."""

import datetime
import typing

import logbook

from pimentolatch import clock
from pimentolatch.decisions import log_budget
from pimentolatch.gateway import dispatch

__all__ = [
    "ABANDONED",
    "ANSWERED",
    "DOUBTED",
    "EVENTS",
    "FORWARDED",
    "LATE",
    "PLACED",
    "RESUMED",
    "SENT",
    "UNANSWERED",
    "WAITED",
    "EventCounter",
    "RequestLog",
]

_log = logbook.Logger("request")

WAITED = "waited"
PLACED = "placed"
SENT = "sent"
ABANDONED = "abandoned"
DOUBTED = "doubted"
RESUMED = "resumed"
FORWARDED = "forwarded"
LATE = "late"
ANSWERED = "answered"
UNANSWERED = "unanswered"
# Every event with its fields; `explain` parses them and docs/OPERATIONS.md lists them.
EVENTS: dict[str, tuple[str, ...]] = {
    WAITED: ("ms", "in_vain", "withheld"),
    PLACED: (
        *("reader", "writer", "donor", "tokens", "prompt", "size"),
        *("urgency", "expected_ms", "withheld", "version", "after"),
        *("required_events", "stream_ms", "late_end"),
        *("list_revision", "list_source", "list_age_ms", "kept_ms"),
        *("list_announced", "list_behind_ms", "store"),
    ),
    DOUBTED: (
        *("server", "verdict", "queued", "running", "listed"),
        *("runs", "others", "leaves"),
    ),
    SENT: (
        *("server", "what", "outcome", "ms", "digest", "events", "parts"),
        *("list_revision", "list_source", "list_age_ms", "kept_ms"),
        *("list_announced", "list_behind_ms", "store"),
        *("handle", "handle_from", "handle_started_ms"),
        *("handle_age_ms", "handle_connected"),
    ),
    ABANDONED: ("server", "ms", "acknowledged", "kept_connection", "accepted"),
    RESUMED: (
        *("origin", "outcome", "reason", "ms", "confirm_ms"),
        *("list_revision", "list_source", "list_age_ms"),
    ),
    FORWARDED: ("peer", "outcome", "ms"),
    LATE: (
        *("cause", "over_ms", "route", "customer", "size", "reader", "writer"),
        *("first_ms", "gap_ms", "placed_ms", "expected_ms"),
        *("held_ms", "queue_ms", "prefill_ms", "transfer_ms", "first_event_ms"),
        *("server_ms", "retry_ms", "peer_ms"),
    ),
    ANSWERED: (
        *("route", "service", "status", "outcome", "ms", "version", "servers"),
        *("digest", "cut", "limit_ms", "limit_source", "limit_version"),
        *("events", "expected_tokens"),
    ),
    UNANSWERED: ("reason",),
}


class EventCounter(typing.Protocol):
    """Counts events for the metrics, also those whose log line is dropped."""

    def observe(
        self, event: str, fields: typing.Mapping[str, typing.Any], *, wrong: bool
    ) -> None:
        """Count an event of a request."""


class RequestLog:
    """Writes the log lines of all requests of an instance, within a budget.

    Args:
        time: Clock of the budget.
        counter: Counts every event, also those whose line is dropped.
    """

    def __init__(self, time: clock.Clock, counter: EventCounter) -> None:
        self._clock = time
        self._counter = counter
        self._budget = log_budget.LogBudget()

    def write(
        self, event: str, request_id: str, *, wrong: bool = False, **fields: typing.Any
    ) -> None:
        """Count an event and write its line if the budget has room for it."""
        self._counter.observe(event, fields, wrong=wrong)
        dropped = self._budget.take(event, self._clock.monotonic(), wrong=wrong)
        if dropped is None:
            return
        if dropped:
            fields["dropped_before"] = dropped
        write = _log.warn if wrong else _log.info
        write(event, id=request_id, **fields)

    def write_abandoned(self, abandonment: dispatch.Abandonment) -> None:
        """Write the line of a request that was given up after it was written."""
        self.write(
            ABANDONED,
            abandonment.request_id,
            server=abandonment.server.server_id,
            ms=self.elapsed_ms(abandonment.written_at),
            acknowledged=abandonment.acknowledged,
            kept_connection=abandonment.kept_connection,
            accepted=abandonment.accepted,
            asked_ms=_milliseconds(abandonment.written_at - abandonment.asked_at),
        )

    def elapsed_ms(self, since: datetime.timedelta) -> int:
        """Return the time since `since` in whole milliseconds."""
        return _milliseconds(self._clock.monotonic() - since)


def _milliseconds(duration: datetime.timedelta) -> int:
    return round(duration / datetime.timedelta(milliseconds=1))
