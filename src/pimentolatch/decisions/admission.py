"""Decides at arrival whether a request can still be answered in time.

Load pattern: twice the work that the engines can do, for minutes. Without a decision
at arrival the queue grows until every answer is late: all engines are busy and nobody
is served, and callers that time out and ask again keep it so after the load has gone
(a metastable failure). A refusal costs nothing when it comes at once; after a wait it
has cost the caller that wait.

A request is admitted if its predicted wait is within the document's bound and its
predicted finish within its deadline. The wait is the work that fair queueing serves
before it, divided by the rate at which this queue was drained lately. That rate is
measured, so it contains what other instances take from the same engines. Because the
wait is bounded, so is the queue; the bound on its length only holds against requests
without work.

Refused requests are told when to come back: when the queue is predicted to have room,
each one after the work of those refused before it. Told the same second, they would
all come back in it and be refused again.

Grounds: requests are admitted up to 0.7 of the wait bound; the rest is for what the
forecast can't know, so that few are refused only after they waited. A window of one
second is long against a dispatch (milliseconds) and short against the default wait
bound (10 s). Times to come back end at 30 s: a swing of the load takes minutes, but a
caller with a person waiting does not come back later.
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
    """The request may wait; `latest_start` is when it no longer may."""

    latest_start: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """What is predicted of a request.

    Attributes:
        wait: Time until an engine starts it.
        run: Time from then to the end of its answer.
        length: Requests that wait now.
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
        """The rate of late."""
        return self._rate

    def drained(self, units: float, now: datetime.timedelta, waiting: int) -> None:
        """Count work that left; `waiting` requests stay behind it.

        Time in which nothing waits says how much was asked, not how much could have
        been done, so it is left out. The last part of a busy time counts by its
        length: without it, only the time in which engines are full would be measured,
        and not the time in which they drain the queue.
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
    """Learns how predicted waits turn out, and adds a margin for their spread.

    A predicted wait knows what waits now, not what will overtake the request. Without
    a correction requests are admitted that are refused after the whole wait. The
    errors grow with the wait, so the margin is a factor: twice the mean deviation, as
    in a retransmission timer.
    """

    def __init__(self) -> None:
        self._mean = 1.0
        self._deviation = 0.0

    def corrected(self, predicted: datetime.timedelta) -> datetime.timedelta:
        """Return a predicted time by what was learned."""
        return predicted * min(self._mean + 2 * self._deviation, _MAX_RATIO)

    def observe(
        self, predicted: datetime.timedelta, actual: datetime.timedelta
    ) -> None:
        """Learn from a time that was predicted; short ones tell nothing."""
        if predicted < _MIN_CALIBRATED:
            return
        error = min(actual / predicted, _MAX_RATIO) - self._mean
        self._mean += _CALIBRATION_GAIN * error
        self._deviation += _CALIBRATION_GAIN * (abs(error) - self._deviation)


class RunCorrection:
    """Learns how predicted runs turn out, and adds a margin for their spread.

    A predicted run knows the mean length of answers, not this one's. Without a
    correction requests are admitted that are cut at their deadline. The errors come
    from the batch more than from the length, so the margin is a time; as a factor it
    would refuse requests that would have been in time.
    """

    def __init__(self) -> None:
        self._ratio = 1.0
        self._error_s = 0.0

    def corrected(self, predicted: datetime.timedelta) -> datetime.timedelta:
        """Return a predicted time by what was learned."""
        margin = datetime.timedelta(seconds=2 * self._error_s)
        return predicted * self._ratio + margin

    def observe(
        self, predicted: datetime.timedelta, actual: datetime.timedelta
    ) -> None:
        """Learn from a time that was predicted; short ones tell nothing."""
        if predicted < _MIN_CALIBRATED:
            return
        ratio = min(actual / predicted, _MAX_RATIO)
        self._ratio += _CALIBRATION_GAIN * (ratio - self._ratio)
        error_s = abs((actual - predicted * self._ratio).total_seconds())
        self._error_s += _CALIBRATION_GAIN * (error_s - self._error_s)


class RetryTimes:
    """Spreads the times at which refused callers come back."""

    def __init__(self) -> None:
        self._next = datetime.timedelta()

    def after(
        self,
        until_capacity: datetime.timedelta,
        work: datetime.timedelta,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Return how long a refused caller should stay away.

        Args:
            until_capacity: Time until the queue has room again.
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

    The refusal's `retry_after` is the time until the queue has room; None if the
    request could not be in time even without a wait.
    """
    limit = datetime.timedelta(seconds=policy.queue_wait_limit_s)
    slack = deadline - now - forecast.run
    if slack < datetime.timedelta():
        return _refusal(
            results.ResultCode.DEADLINE_UNREACHABLE,
            f"it takes {forecast.run.total_seconds():.1f} s, longer than its deadline",
            None,
        )
    if forecast.length >= QUEUE_LENGTH_LIMIT or forecast.wait > _ADMITTED_SHARE * limit:
        return _refusal(
            results.ResultCode.OVERLOADED,
            f"the wait would be {forecast.wait.total_seconds():.1f} s",
            max(forecast.wait - _ADMITTED_SHARE * limit, datetime.timedelta()),
        )
    if forecast.wait > slack:
        return _refusal(
            results.ResultCode.DEADLINE_UNREACHABLE,
            f"after {forecast.wait.total_seconds():.1f} s of waiting it would be late",
            forecast.wait - slack,
        )
    return Admitted(now + min(slack, limit))


def _refusal(
    code: results.ResultCode, message: str, until_capacity: datetime.timedelta | None
) -> results.Refusal:
    return results.Refusal(code, message, results.Execution.NOT_RUN, until_capacity)
