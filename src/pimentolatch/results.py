"""Numbered result codes and the outcomes that carry them.

Every answer that is not a plain success states whether the request ran, because a
caller may repeat it only when it did not. docs/RESULT-CODES.md holds the same table
and a scenario checks that the two agree.
"""

import dataclasses
import datetime
import enum

__all__ = [
    "RESULT_HEADER",
    "Execution",
    "Refusal",
    "ResultCode",
    "invalid",
    "quarantined",
]

# Tells a refusal of the instance from an answer of the service.
RESULT_HEADER = "x-result-code"


class Execution(enum.StrEnum):
    """What is known about whether a request ran at a backend server."""

    NOT_RUN = "not run"
    RAN = "ran"
    UNKNOWN = "outcome unknown"


class ResultCode(enum.IntEnum):
    """Numbers that stay the same for ever; one is never given a second meaning."""

    OK = 0
    INVALID_REQUEST = 100
    UNKNOWN_MODEL = 101
    UNKNOWN_SERVICE = 102
    UNKNOWN_CALLER = 103
    KEY_REUSED = 104
    BODY_TOO_LARGE = 105
    BODY_TOO_SLOW = 106
    TICKET_VOID = 107
    OVERLOADED = 200
    CALLER_LIMIT = 201
    DEADLINE_UNREACHABLE = 202
    NO_BACKEND_SERVER = 203
    STOPPING = 204
    NO_CONFIGURATION = 205
    STORE_UNAVAILABLE = 206
    QUARANTINED = 207
    DEADLINE_PASSED = 300
    STREAM_BROKEN = 301
    OUTCOME_UNKNOWN = 302
    SERVICE_FAILED = 303
    DUPLICATE_IN_PROGRESS = 304
    RESULT_EXPIRED = 305
    DOCUMENT_INVALID = 400
    DOCUMENT_CONFLICT = 401
    SUBMISSION_UNKNOWN = 402
    INTERNAL_ERROR = 500


HTTP_STATUS: dict[ResultCode, int] = {
    ResultCode.OK: 200,
    ResultCode.INVALID_REQUEST: 400,
    ResultCode.UNKNOWN_MODEL: 404,
    ResultCode.UNKNOWN_SERVICE: 404,
    ResultCode.UNKNOWN_CALLER: 401,
    ResultCode.KEY_REUSED: 422,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.BODY_TOO_SLOW: 408,
    ResultCode.TICKET_VOID: 410,
    ResultCode.OVERLOADED: 503,
    ResultCode.CALLER_LIMIT: 429,
    ResultCode.DEADLINE_UNREACHABLE: 503,
    ResultCode.NO_BACKEND_SERVER: 503,
    ResultCode.STOPPING: 503,
    ResultCode.NO_CONFIGURATION: 503,
    ResultCode.STORE_UNAVAILABLE: 503,
    ResultCode.QUARANTINED: 503,
    ResultCode.DEADLINE_PASSED: 504,
    ResultCode.STREAM_BROKEN: 502,
    ResultCode.OUTCOME_UNKNOWN: 502,
    ResultCode.SERVICE_FAILED: 502,
    ResultCode.DUPLICATE_IN_PROGRESS: 409,
    ResultCode.RESULT_EXPIRED: 410,
    ResultCode.DOCUMENT_INVALID: 422,
    ResultCode.DOCUMENT_CONFLICT: 409,
    ResultCode.SUBMISSION_UNKNOWN: 503,
    ResultCode.INTERNAL_ERROR: 500,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A final answer other than success.

    Attributes:
        code: Number from the table of result codes.
        message: One sentence for the caller's log.
        execution: Whether the request ran. `NOT_RUN` is a promise, not a guess.
        retry_after: When a retry has a chance, or None if it has none.
    """

    code: ResultCode
    message: str
    execution: Execution
    retry_after: datetime.timedelta | None = None

    @property
    def http_status(self) -> int:
        """Status code of the HTTP answer."""
        return HTTP_STATUS[self.code]

    def to_json(self) -> dict[str, object]:
        """Return the error body that callers receive."""
        body: dict[str, object] = {
            "code": int(self.code),
            "type": self.code.name.lower(),
            "message": self.message,
            "execution": self.execution.value,
        }
        if self.retry_after is not None:
            body["retry_after_seconds"] = self.retry_after.total_seconds()
        return {"error": body}


def invalid(message: str) -> Refusal:
    """Return the refusal of a request that is wrong in itself."""
    return Refusal(ResultCode.INVALID_REQUEST, message, Execution.NOT_RUN)


def quarantined(remaining: datetime.timedelta) -> Refusal:
    """Refuse what has ended servers, for as long as it is kept from them."""
    return Refusal(
        ResultCode.QUARANTINED,
        "servers ended while they ran this request",
        Execution.NOT_RUN,
        remaining,
    )
