"""Numbered result codes and the refusals that carry them.

Every response other than a success states whether the request ran, because a caller
may retry an unsafe request only if it did not. docs/RESULT-CODES.md holds the same
table; a scenario checks that the two agree.
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

# Set on refusals by the instance, to distinguish them from responses of the service.
RESULT_HEADER = "x-result-code"


class Execution(enum.StrEnum):
    """Whether a request ran at a backend server."""

    NOT_RUN = "not run"
    RAN = "ran"
    UNKNOWN = "outcome unknown"


class ResultCode(enum.IntEnum):
    """Stable numbers: a code is never changed or reused with another meaning."""

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
    VERSION_UNAVAILABLE = 208
    FAILED_BEFORE_DISPATCH = 209
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
    ResultCode.VERSION_UNAVAILABLE: 503,
    ResultCode.FAILED_BEFORE_DISPATCH: 503,
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
    """A final response other than success.

    Attributes:
        code: Result code.
        message: One sentence for the caller's log.
        execution: Whether the request ran. `NOT_RUN` is guaranteed, not an estimate.
        retry_after: Delay after which a retry may succeed; None if none will.
    """

    code: ResultCode
    message: str
    execution: Execution
    retry_after: datetime.timedelta | None = None

    @property
    def http_status(self) -> int:
        """Status code of the HTTP response."""
        return HTTP_STATUS[self.code]

    def to_json(self) -> dict[str, object]:
        """Return the error body of the HTTP response."""
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
    """Return the refusal of an invalid request."""
    return Refusal(ResultCode.INVALID_REQUEST, message, Execution.NOT_RUN)


def quarantined(remaining: datetime.timedelta) -> Refusal:
    """Return the refusal of a request that crashed servers and is quarantined."""
    return Refusal(
        ResultCode.QUARANTINED,
        "request is quarantined: servers crashed while running it",
        Execution.NOT_RUN,
        remaining,
    )
