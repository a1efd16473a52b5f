"""Refusals of calls that carry an idempotency key."""

import datetime

from pimentolatch import results
from pimentolatch.requests import idempotency_keys

__all__ = [
    "DEADLINE_PASSED",
    "IN_PROGRESS",
    "KEY_REUSED",
    "STOPPED",
    "TICKET_VOID",
    "certainly_not_run",
    "is_outcome_unknown",
    "overloaded",
    "store_unavailable",
    "outcome_unknown",
]

_RETRY_AFTER = datetime.timedelta(seconds=1)


def is_outcome_unknown(outcome: idempotency_keys.Outcome) -> bool:
    """Return whether it is unknown if a call ran."""
    return (
        isinstance(outcome, results.Refusal)
        and outcome.code is results.ResultCode.OUTCOME_UNKNOWN
    )


def certainly_not_run(outcome: idempotency_keys.Outcome) -> bool:
    """Return whether a call had no effect and never will."""
    return (
        isinstance(outcome, results.Refusal)
        and outcome.execution is results.Execution.NOT_RUN
    )


KEY_REUSED = results.Refusal(
    results.ResultCode.KEY_REUSED,
    "this idempotency key was used with a different request; use a new key",
    results.Execution.NOT_RUN,
)
STOPPED = results.Refusal(
    results.ResultCode.STOPPING,
    "the instance that issued this ticket is shutting down; retry with this ticket",
    results.Execution.NOT_RUN,
    _RETRY_AFTER,
)
TICKET_VOID = results.Refusal(
    results.ResultCode.TICKET_VOID,
    "the instance that issued this unused ticket has stopped; request a new ticket",
    results.Execution.NOT_RUN,
)
IN_PROGRESS = results.Refusal(
    results.ResultCode.DUPLICATE_IN_PROGRESS,
    "the first call with this key is still running; retry with this key later",
    results.Execution.UNKNOWN,
    _RETRY_AFTER,
)
DEADLINE_PASSED = results.Refusal(
    results.ResultCode.DEADLINE_PASSED,
    "the deadline passed before the call was sent",
    results.Execution.NOT_RUN,
    _RETRY_AFTER,
)


def outcome_unknown(reason: str) -> results.Refusal:
    """Return the refusal of a call that may have run."""
    return results.Refusal(
        results.ResultCode.OUTCOME_UNKNOWN,
        reason,
        results.Execution.UNKNOWN,
        _RETRY_AFTER,
    )


def overloaded() -> results.Refusal:
    """Return the refusal of a call whose key does not fit into the table."""
    return results.Refusal(
        results.ResultCode.OVERLOADED,
        "this instance's table of idempotency keys is full; retry later",
        results.Execution.NOT_RUN,
        _RETRY_AFTER,
    )


def store_unavailable(
    reason: str, retry_after: datetime.timedelta | None = None
) -> results.Refusal:
    """Return the refusal of a call whose key can't be claimed or verified."""
    return results.Refusal(
        results.ResultCode.STORE_UNAVAILABLE,
        f"idempotency keys are unavailable without the platform's store: {reason}",
        results.Execution.NOT_RUN,
        retry_after or _RETRY_AFTER,
    )
