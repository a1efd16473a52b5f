"""Checks whether an engine that has not answered in the expected time has stalled.

Load pattern: for some seconds more prompts arrive than the engines can prefill, so
requests wait in the engines' queues longer than expected. If they were abandoned there
and retried at a second engine, each would start at the end of another queue and the
retries would add load: with 85 instances, 763 retries in 10 s where 743 were allowed. A
missing answer alone does not distinguish an overloaded engine from a stopped one, and
an instance that rarely uses an engine can't judge by that engine's other answers.

So the engine is asked for a report. If it doesn't answer, it has stopped or is silent
for a moment. If it answers at once with an empty queue and doesn't run the request, it
has lost the request; so has an engine that has restarted since, whatever it runs now.
In all other cases the request stays, since no other engine would finish it sooner.
"""

import datetime
import enum

from pimentolatch.routes import engine_reports

__all__ = [
    "MAX_REPORT_AGE",
    "RECHECK_INTERVAL",
    "UNDER_WAY_INTERVAL",
    "Verdict",
    "is_under_way",
    "request_status",
]

# Interval between checks of a request that the engine still has; engines' reports are
# some hundred milliseconds old.
RECHECK_INTERVAL = datetime.timedelta(milliseconds=900)
# A report this recent serves all requests that check the same engine.
MAX_REPORT_AGE = datetime.timedelta(milliseconds=300)
# Reports come within milliseconds. One that takes longer was made by an engine that was
# silent, which may not have read the request yet.
_MAX_PROMPT_REPORT = datetime.timedelta(milliseconds=100)
# An engine that goes on after a silence answers what it was asked before a request is
# sent, and reads the request, within this time. It may answer for its report before.
_MAX_READING = datetime.timedelta(milliseconds=100)
UNDER_WAY_INTERVAL = _MAX_READING


class Verdict(enum.Enum):
    """State of a request at an engine; the values are written to the log."""

    HAS_IT = "the engine has it"
    LOST = "the engine has lost it"
    UNDER_WAY = "the engine may be reading it"
    REBORN = "the engine has started again"
    SILENT = "the engine answers nobody"


def request_status(
    report: engine_reports.EngineReport | None,
    request_id: str,
    started_ms: int | None = None,
    took: datetime.timedelta = datetime.timedelta(),
) -> Verdict:
    """Return the state of a request that an engine has not answered.

    Args:
        report: The engine's current report; None if it did not answer.
        request_id: The request; it was dispatched before the report was made.
        started_ms: Start of the incarnation that the request was sent to, if known.
        took: Time from the request for the report to its arrival.
    """
    if report is None:
        return Verdict.SILENT
    if started_ms is not None and report.started_ms not in (None, started_ms):
        return Verdict.REBORN
    if report.queued or request_id in report.decoding_ids:
        return Verdict.HAS_IT
    # Prefill-only requests run without being listed.
    if report.running > len(report.decoding_ids):
        return Verdict.HAS_IT
    return Verdict.HAS_IT if took > _MAX_PROMPT_REPORT else Verdict.LOST


def is_under_way(
    sent_at: datetime.timedelta | None,
    reported_at: datetime.timedelta,
    now: datetime.timedelta,
) -> bool:
    """Tell whether an engine may be reading a request that its report lacks.

    Args:
        sent_at: When the request was sent; None if the engine has not yet shown that
            it reads.
        reported_at: When the report was asked for.
        now: The current time.
    """
    if sent_at is None:
        return now - reported_at < _MAX_READING
    return reported_at - sent_at < _MAX_READING
