"""Judges an engine that has not answered a request in the time that was expected.

Load pattern: for some seconds more prompts arrive than engines read, so requests wait
in the engines' queues for longer than expected. Given up there and sent to a second
engine, each starts at the end of a queue again, and what it sends again is load as
well: with 85 instances 763 repeats in ten seconds, where 743 were allowed. Silence
alone does not tell such an engine from one that has stopped, and an instance that
seldom sends to an engine can't tell by what the engine answers to others.

So the engine is asked. One that does not answer has stopped. One that answers, has an
empty queue and does not run the request has lost it, and so has one that has started
again since, whatever it is busy with. In all other cases the request
stays: nowhere else would it be done sooner.
"""

import datetime
import enum

from pimentolatch.routes import engine_reports

__all__ = ["ASK_AGAIN", "FRESH", "Verdict", "judge"]

# A request whose engine works on it is looked at again after this; engines' reports are
# some hundred milliseconds old.
ASK_AGAIN = datetime.timedelta(milliseconds=900)
# One report serves all requests that doubt the same engine.
FRESH = datetime.timedelta(milliseconds=300)


class Verdict(enum.Enum):
    """What has become of a request, in words for the log."""

    HAS_IT = "the engine has it"
    LOST = "the engine has lost it"
    REBORN = "the engine has started again"
    SILENT = "the engine answers nobody"


def judge(
    report: engine_reports.EngineReport | None, request_id: str, born: int | None = None
) -> Verdict:
    """Return what has become of a request that an engine has not answered.

    Args:
        report: The engine's report, asked for just now; None if it did not answer.
        request_id: The request; it was sent longer ago than reports are old.
        born: Start of the engine's life to which the request was sent, if known.
    """
    if report is None:
        return Verdict.SILENT
    if born is not None and report.started_ms not in (None, born):
        return Verdict.REBORN
    if report.queued or request_id in report.decoding_ids:
        return Verdict.HAS_IT
    # Prompts that are only read run without being listed.
    if report.running > len(report.decoding_ids):
        return Verdict.HAS_IT
    return Verdict.LOST
