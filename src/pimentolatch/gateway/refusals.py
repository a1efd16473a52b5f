"""Refusals that an instance itself returns to clients of routes.

The messages are part of the response body that clients receive.
"""

import datetime

from pimentolatch import results

__all__ = [
    "body_too_large",
    "body_too_slow",
    "client_closed",
    "configuration_behind",
    "deadline_passed",
    "failed_before_dispatch",
    "key_possibly_new",
    "no_configuration",
    "no_route",
    "no_server",
    "not_run_in_time",
    "outcome_unknown",
    "overloaded",
    "stopped",
    "unknown_key",
    "version_unavailable",
]

_NO_CONFIGURATION_RETRY = datetime.timedelta(seconds=1)
_CLIENT_CLOSED = "the client closed its sending side"
_STOPPED = "this instance stopped before the request was answered"
_NO_SERVER_RETRY = datetime.timedelta(milliseconds=500)
_VERSION_RETRY = datetime.timedelta(seconds=1)
_FAILED_RETRY = datetime.timedelta(milliseconds=500)


def no_configuration() -> results.Refusal:
    """Refuse before any configuration is known."""
    return results.Refusal(
        results.ResultCode.NO_CONFIGURATION,
        "this instance knows no configuration yet",
        results.Execution.NOT_RUN,
        _NO_CONFIGURATION_RETRY,
    )


def configuration_behind() -> results.Refusal:
    """Refuse what a newer configuration, which peers have, may allow."""
    return results.Refusal(
        results.ResultCode.NO_CONFIGURATION,
        "this instance waits for a newer configuration",
        results.Execution.NOT_RUN,
        _NO_CONFIGURATION_RETRY,
    )


def no_route(host: str, path: str) -> results.Refusal:
    """Refuse a request that no route matches."""
    return results.Refusal(
        results.ResultCode.UNKNOWN_SERVICE,
        f"no route for {host[:60]}{path[:60]}",
        results.Execution.NOT_RUN,
    )


def unknown_key() -> results.Refusal:
    """Refuse a request without a valid key of a customer."""
    return results.Refusal(
        results.ResultCode.UNKNOWN_CALLER,
        "the request bears no key of a customer",
        results.Execution.NOT_RUN,
    )


def key_possibly_new() -> results.Refusal:
    """Refuse a key that may have been added since the store became unreachable."""
    return results.Refusal(
        results.ResultCode.NO_CONFIGURATION,
        "this instance may not know the newest keys",
        results.Execution.NOT_RUN,
        _NO_CONFIGURATION_RETRY,
    )


def no_server(service: str) -> results.Refusal:
    """Refuse a request because no server accepted it."""
    return results.Refusal(
        results.ResultCode.NO_BACKEND_SERVER,
        f"no server of {service} took the request",
        results.Execution.NOT_RUN,
        _NO_SERVER_RETRY,
    )


def version_unavailable() -> results.Refusal:
    """Refuse to resume a stream at another software version than began it."""
    return results.Refusal(
        results.ResultCode.VERSION_UNAVAILABLE,
        "no server of the version that began the stream is known",
        results.Execution.NOT_RUN,
        _VERSION_RETRY,
    )


def failed_before_dispatch() -> results.Refusal:
    """Refuse a request that this instance failed on before it forwarded it."""
    return results.Refusal(
        results.ResultCode.FAILED_BEFORE_DISPATCH,
        "this instance failed before it forwarded the request",
        results.Execution.NOT_RUN,
        _FAILED_RETRY,
    )


def overloaded(retry_after: datetime.timedelta) -> results.Refusal:
    """Refuse a request whose response would start or end too late."""
    return results.Refusal(
        results.ResultCode.OVERLOADED,
        "the answer would be too late",
        results.Execution.NOT_RUN,
        retry_after,
    )


def not_run_in_time(retry_after: datetime.timedelta | None = None) -> results.Refusal:
    """Report that the deadline passed before the request ran."""
    return results.Refusal(
        results.ResultCode.DEADLINE_UNREACHABLE,
        "the time limit passed before a server ran the request",
        results.Execution.NOT_RUN,
        retry_after,
    )


def deadline_passed() -> results.Refusal:
    """Report that the deadline passed; a server may have run the request."""
    return results.Refusal(
        results.ResultCode.DEADLINE_PASSED,
        "the time limit passed while the request ran",
        results.Execution.UNKNOWN,
    )


def outcome_unknown(reason: str) -> results.Refusal:
    """Report that a server may have run the request but did not respond."""
    return results.Refusal(
        results.ResultCode.OUTCOME_UNKNOWN, reason, results.Execution.UNKNOWN
    )


def client_closed(*, dispatched: bool) -> results.Refusal:
    """Refuse a request that was cancelled as its client sends no more.

    Args:
        dispatched: Whether a server may have received it.
    """
    code = results.ResultCode.NO_BACKEND_SERVER
    return _cancelled(code, _CLIENT_CLOSED, dispatched=dispatched)


def stopped(*, dispatched: bool) -> results.Refusal:
    """Refuse a request that this instance has no time to complete before it stops.

    Args:
        dispatched: Whether a server may have received it.
    """
    return _cancelled(results.ResultCode.STOPPING, _STOPPED, dispatched=dispatched)


def _cancelled(
    code: results.ResultCode, reason: str, *, dispatched: bool
) -> results.Refusal:
    if dispatched:
        return outcome_unknown(reason)
    return results.Refusal(code, reason, results.Execution.NOT_RUN, _NO_SERVER_RETRY)


def body_too_large(limit: int) -> results.Refusal:
    """Refuse a body over the limit."""
    return results.Refusal(
        results.ResultCode.BODY_TOO_LARGE,
        f"the body is over {limit} bytes",
        results.Execution.NOT_RUN,
    )


def body_too_slow() -> results.Refusal:
    """Refuse a body that did not arrive in time."""
    return results.Refusal(
        results.ResultCode.BODY_TOO_SLOW,
        "the body took too long to arrive",
        results.Execution.NOT_RUN,
    )
