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
    """Tell whether it is not known if a call ran."""
    return (
        isinstance(outcome, results.Refusal)
        and outcome.code is results.ResultCode.OUTCOME_UNKNOWN
    )


def certainly_not_run(outcome: idempotency_keys.Outcome) -> bool:
    """Tell whether a call has had no effect and will have none."""
    return (
        isinstance(outcome, results.Refusal)
        and outcome.execution is results.Execution.NOT_RUN
    )


KEY_REUSED = results.Refusal(
    results.ResultCode.KEY_REUSED,
    "this idempotency key came with another request before",
    results.Execution.NOT_RUN,
)
STOPPED = results.Refusal(
    results.ResultCode.STOPPING,
    "this instance has stopped; its tickets run nothing more",
    results.Execution.NOT_RUN,
    _RETRY_AFTER,
)
TICKET_VOID = results.Refusal(
    results.ResultCode.TICKET_VOID,
    "the ticket was never used and its owner has stopped; fetch another",
    results.Execution.NOT_RUN,
)
IN_PROGRESS = results.Refusal(
    results.ResultCode.DUPLICATE_IN_PROGRESS,
    "the first attempt with this key still runs; a retry with it may tell",
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
    """Return the refusal of a key that can't be remembered."""
    return results.Refusal(
        results.ResultCode.OVERLOADED,
        "no more idempotency keys can be remembered here at present",
        results.Execution.NOT_RUN,
        _RETRY_AFTER,
    )


def store_unavailable(
    reason: str, retry_after: datetime.timedelta | None = None
) -> results.Refusal:
    """Return the refusal of a key that can't be bound."""
    return results.Refusal(
        results.ResultCode.STORE_UNAVAILABLE,
        f"the key can't be bound while the platform's store is out: {reason}",
        results.Execution.NOT_RUN,
        retry_after or _RETRY_AFTER,
    )
