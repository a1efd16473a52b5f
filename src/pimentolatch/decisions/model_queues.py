"""The queue of one model with its drain rate and forecast corrections.

Load pattern: two models on different engines, one of them full. In a shared queue its
requests would block those that could start at once (head-of-line blocking).
"""

import dataclasses
import datetime
from collections import abc

from pimentolatch import results
from pimentolatch.decisions import admission, engine_selection, fair_queue, request_work
from pimentolatch.document import schema

__all__ = ["ModelQueue", "Request", "TrackedRequest"]

_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """The attributes of a completion that decisions depend on.

    Attributes:
        deadline: On the monotonic clock.
        priority: 0 to 7; higher goes first among the caller's own requests.
    """

    request_id: str
    caller: str
    model: str
    prompt: str
    max_tokens: int
    deadline: datetime.timedelta
    priority: int = 0


@dataclasses.dataclass(slots=True)
class TrackedRequest:
    """A request that waits or runs, with its expected work."""

    request: Request
    caller: schema.Caller | None
    expected_work: request_work.Work
    units: float
    arrived: datetime.timedelta
    waits: admission.WaitCorrection
    predicted_wait: datetime.timedelta = _ZERO
    predicted_run: datetime.timedelta = _ZERO
    started: datetime.timedelta = _ZERO
    delivered: int = 0
    maybe_ran: bool = False

    @property
    def weight(self) -> float:
        """The caller's share relative to other callers."""
        return 1.0 if self.caller is None else self.caller.weight

    def queue_entry(self, latest_start: datetime.timedelta) -> fair_queue.QueuedRequest:
        """Return the request's entry in the queue."""
        return fair_queue.QueuedRequest(
            self.request.request_id,
            self.request.caller,
            self.units,
            self.arrived,
            latest_start,
            self.weight,
            self.request.priority,
        )


class ModelQueue:
    """The queue of one model."""

    def __init__(self, first_rate: float) -> None:
        self.queue = fair_queue.FairQueue()
        self.drain = admission.DrainRate(first_rate)
        self.dominant_caller_waits = admission.WaitCorrection()
        self.waits = admission.WaitCorrection()
        self.runs = admission.RunCorrection()
        self.retry_times = admission.RetryTimes()

    def wait_correction_for(self, caller: str) -> admission.WaitCorrection:
        """Return the wait correction for callers like this one.

        A caller with most of the queued work waits for what the others keep sending;
        the others don't wait for its requests. One correction for both would refuse the
        others for the errors in its forecasts.
        """
        dominant = self.queue.units_of(caller) > self.queue.units / 2
        return self.dominant_caller_waits if dominant else self.waits

    def forecast(
        self, tracked: TrackedRequest, found: abc.Sequence[engine_selection.Candidate]
    ) -> admission.Forecast:
        """Predict the wait and the run time of a new request.

        Args:
            tracked: The request; the predictions are stored in it.
            found: The engines that serve the model.
        """
        before = self.queue.units_before(tracked.queue_entry(tracked.arrived))
        rate = max(1.0, self.drain.units_per_second)
        tracked.predicted_wait = datetime.timedelta(seconds=before / rate)
        healthy = [one for one in found if not one.ejected] or found
        if len(self.queue):
            times = [
                tracked.expected_work.run_time(e.engine, e.engine.streams)
                for e in healthy
            ]
            tracked.predicted_run = min(times, default=_ZERO)
            run = self.runs.corrected(tracked.predicted_run)
        else:
            run = min(
                (one.time_to_finish(tracked.expected_work) for one in healthy),
                default=_ZERO,
            )
        wait = tracked.waits.corrected(tracked.predicted_wait)
        return admission.Forecast(wait, run, len(self.queue))

    def with_retry_time(
        self, refusal: results.Refusal, tracked: TrackedRequest, now: datetime.timedelta
    ) -> results.Refusal:
        """Give a refused request its own retry time."""
        if refusal.retry_after is None:
            return refusal
        rate = max(1.0, self.drain.units_per_second)
        service = datetime.timedelta(seconds=tracked.units / rate)
        delay = self.retry_times.after(refusal.retry_after, service, now)
        return dataclasses.replace(refusal, retry_after=delay)

    def expired_refusal(
        self, tracked: TrackedRequest, now: datetime.timedelta
    ) -> results.Refusal:
        """Return the refusal of a request that no engine could start in time."""
        refusal = results.Refusal(
            results.ResultCode.OVERLOADED,
            "no engine had capacity before the latest start of the request",
            results.Execution.NOT_RUN,
            _ZERO,
        )
        return self.with_retry_time(refusal, tracked, now)
