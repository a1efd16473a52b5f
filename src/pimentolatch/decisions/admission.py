"""Decides at arrival whether a request can still be answered in time.

Load pattern: twice the work that the engines can do, for minutes. Without admission
control the queue grows until every answer is late: all engines are busy, no request is
served in time, and callers that time out and retry keep it so after the load has
dropped (a metastable failure). A refusal at arrival costs the caller nothing; after a
wait it has cost that wait.

A request is admitted if its predicted wait is within the document's bound and its
predicted finish within its deadline. The wait is the work that fair queueing serves
before it, divided by the rate at which this queue drained recently. That rate is
measured, so it includes the load of other instances on the same engines. Bounding the
wait bounds the queue; the limit on its length only guards against requests without
work.

Refused requests get a retry time: when the queue is predicted to have capacity, each
one after the work of those refused before it. With the same retry time, all would
return in the same second and be refused again.

Grounds: requests are admitted up to 0.7 of the wait bound; the rest covers forecast
errors, so that few are refused after they waited. A window of one second is long
against a dispatch (milliseconds) and short against the default wait bound (10 s). Retry
times are at most 30 s: a swing of the load takes minutes, but a caller with a person
waiting does not retry later.
"""

import dataclasses
import datetime
import math

from pimentolatch import results
from pimentolatch.document import schema

__all__ = [
    "Admitted",
    "DrainRate",
    "Forecast",
    "RetryTimes",
    "RunCorrection",
    "WaitCorrection",
    "decide",
]

QUEUE_LENGTH_LIMIT = 4096
_WINDOW_S = 1.0
_RATE_MEMORY_S = 4.0
_MAX_RETRY = datetime.timedelta(seconds=30)
_MIN_CALIBRATED = datetime.timedelta(milliseconds=500)
_CALIBRATION_GAIN = 0.05
_ADMITTED_SHARE = 0.7
_MAX_RATIO = 4.0
_MIN_RETRY = datetime.timedelta(milliseconds=200)


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request may wait until `latest_start`."""

    latest_start: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """Prediction for a request.

    Attributes:
        wait: Time until an engine starts it.
        run: Time from then to the end of its answer.
        length: Number of requests in the queue now.
    """

    wait: datetime.timedelta
    run: datetime.timedelta
    length: int


class DrainRate:
    """Measures the units a second that leave a queue while work waits in it.

    Args:
        first: Assumed rate before one was measured.
    """

    def __init__(self, first: float) -> None:
        self._rate = first
        self._since: datetime.timedelta | None = None
        self._units = 0.0

    @property
    def units_per_second(self) -> float:
        """The recent rate."""
        return self._rate

    def drained(self, units: float, now: datetime.timedelta, waiting: int) -> None:
        """Count work that left the queue; `waiting` requests remain in it.

        Time with an empty queue shows the demand, not the capacity, so it is left out.
        The last part of a busy period is weighted by its length; without it, the rate
        would cover only the time in which engines are full, not that in which they
        drain the queue.
        """
        if self._since is None:
            if waiting:
                self._since, self._units = now, 0.0
            return
        self._units += units
        seconds = (now - self._since).total_seconds()
        if waiting and seconds < _WINDOW_S:
            return
        if seconds > 0:
            weight = 1 - math.exp(-seconds / _RATE_MEMORY_S)
            self._rate += weight * (self._units / seconds - self._rate)
        self._since, self._units = (now if waiting else None), 0.0


class WaitCorrection:
    """Corrects predicted waits by earlier errors and adds a margin for their spread.

    A predicted wait covers the present queue, not the requests that will overtake this
    one. Uncorrected, requests are admitted that are refused after the whole wait. The
    errors grow with the wait, so the margin is a factor: twice the mean deviation, as
    in a TCP retransmission timer.
    """

    def __init__(self) -> None:
        self._mean = 1.0
        self._deviation = 0.0

    def corrected(self, predicted: datetime.timedelta) -> datetime.timedelta:
        """Return the corrected prediction."""
        return predicted * min(self._mean + 2 * self._deviation, _MAX_RATIO)

    def observe(
        self, predicted: datetime.timedelta, actual: datetime.timedelta
    ) -> None:
        """Learn from an actual time; short predictions are ignored."""
        if predicted < _MIN_CALIBRATED:
            return
        error = min(actual / predicted, _MAX_RATIO) - self._mean
        self._mean += _CALIBRATION_GAIN * error
        self._deviation += _CALIBRATION_GAIN * (abs(error) - self._deviation)


class RunCorrection:
    """Corrects predicted run times by earlier errors and adds a margin for spread.

    A predicted run uses the mean length of answers, not this one's. Uncorrected,
    requests are admitted that are cut at their deadline. The errors come from the batch
    more than from the length, so the margin is a time; a factor would refuse requests
    that would have been in time.
    """

    def __init__(self) -> None:
        self._ratio = 1.0
        self._error_s = 0.0

    def corrected(self, predicted: datetime.timedelta) -> datetime.timedelta:
        """Return the corrected prediction."""
        margin = datetime.timedelta(seconds=2 * self._error_s)
        return predicted * self._ratio + margin

    def observe(
        self, predicted: datetime.timedelta, actual: datetime.timedelta
    ) -> None:
        """Learn from an actual time; short predictions are ignored."""
        if predicted < _MIN_CALIBRATED:
            return
        ratio = min(actual / predicted, _MAX_RATIO)
        self._ratio += _CALIBRATION_GAIN * (ratio - self._ratio)
        error_s = abs((actual - predicted * self._ratio).total_seconds())
        self._error_s += _CALIBRATION_GAIN * (error_s - self._error_s)


class RetryTimes:
    """Spreads the retry times of refused requests."""

    def __init__(self) -> None:
        self._next = datetime.timedelta()

    def after(
        self,
        until_capacity: datetime.timedelta,
        work: datetime.timedelta,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Return how long a refused caller should wait before it retries.

        Args:
            until_capacity: Time until the queue has capacity again.
            work: Time the queue takes to serve this request.
            now: The time.
        """
        turn = max(self._next, now + until_capacity)
        self._next = min(turn + work, now + _MAX_RETRY)
        return min(max(turn - now, _MIN_RETRY), _MAX_RETRY)


def decide(
    forecast: Forecast,
    policy: schema.AdmissionPolicy,
    deadline: datetime.timedelta,
    now: datetime.timedelta,
) -> Admitted | results.Refusal:
    """Admit a request or refuse it.

    The refusal's `retry_after` is the time until the queue has capacity; None if the
    request would miss its deadline even without a wait.
    """
    limit = datetime.timedelta(seconds=policy.queue_wait_limit_s)
    slack = deadline - now - forecast.run
    if slack < datetime.timedelta():
        return _refusal(
            results.ResultCode.DEADLINE_UNREACHABLE,
            f"run of {forecast.run.total_seconds():.1f} s would exceed the deadline",
            None,
        )
    if forecast.length >= QUEUE_LENGTH_LIMIT or forecast.wait > _ADMITTED_SHARE * limit:
        return _refusal(
            results.ResultCode.OVERLOADED,
            f"queue wait of {forecast.wait.total_seconds():.1f} s is too long",
            max(forecast.wait - _ADMITTED_SHARE * limit, datetime.timedelta()),
        )
    if forecast.wait > slack:
        return _refusal(
            results.ResultCode.DEADLINE_UNREACHABLE,
            f"{forecast.wait.total_seconds():.1f} s in queue would exceed the deadline",
            forecast.wait - slack,
        )
    return Admitted(now + min(slack, limit))


def _refusal(
    code: results.ResultCode, message: str, until_capacity: datetime.timedelta | None
) -> results.Refusal:
    return results.Refusal(code, message, results.Execution.NOT_RUN, until_capacity)
