"""The queue of one model, and what is remembered of its requests.

Load pattern: two models on different engines, one of them full. In one queue its
requests would stand before those that could start at once.
"""

import dataclasses
import datetime
from collections import abc

from pimentolatch import results
from pimentolatch.decisions import admission, engine_selection, fairness, request_work
from pimentolatch.document import schema

__all__ = ["Held", "Lane", "Request"]

_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What the decisions need to know of a completion.

    Attributes:
        deadline: On the monotonic clock.
        priority: 0 to 7; higher goes first among the caller's own.
    """

    request_id: str
    caller: str
    model: str
    prompt: str
    max_tokens: int
    deadline: datetime.timedelta
    priority: int = 0


@dataclasses.dataclass(slots=True)
class Held:
    """A request that waits or runs, with the work expected of it."""

    request: Request
    caller: schema.Caller | None
    asked: request_work.Work
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

    def waiting(self, latest_start: datetime.timedelta) -> fairness.Waiting:
        """Return the request's entry in the queue."""
        return fairness.Waiting(
            self.request.request_id,
            self.request.caller,
            self.units,
            self.arrived,
            latest_start,
            self.weight,
            self.request.priority,
        )


class Lane:
    """The queue of one model."""

    def __init__(self, first_rate: float) -> None:
        self.queue = fairness.FairQueue()
        self.drain = admission.DrainRate(first_rate)
        self.waits_if_hot = admission.WaitCorrection()
        self.waits = admission.WaitCorrection()
        self.runs = admission.RunCorrection()
        self.returns = admission.ReturnTimes()

    def waits_of(self, caller: str) -> admission.WaitCorrection:
        """Return how forecasts turn out for callers like this one.

        Who holds most of the queue waits for what the others go on sending; the
        others don't wait for what that one sends. One correction for both would
        refuse the others for the errors in its forecasts.
        """
        hot = self.queue.units_of(caller) > self.queue.units / 2
        return self.waits_if_hot if hot else self.waits

    def forecast(
        self, held: Held, found: abc.Sequence[engine_selection.Candidate]
    ) -> admission.Forecast:
        """Predict the wait and the run of a new request.

        Args:
            held: The request; keeps what was predicted of it.
            found: The engines that serve the model.
        """
        before = self.queue.units_before(held.waiting(held.arrived))
        rate = max(1.0, self.drain.units_per_second)
        held.predicted_wait = datetime.timedelta(seconds=before / rate)
        healthy = [one for one in found if not one.ejected] or found
        if len(self.queue):
            times = [held.asked.run_time(e.engine, e.engine.streams) for e in healthy]
            held.predicted_run = min(times, default=_ZERO)
            run = self.runs.corrected(held.predicted_run)
        else:
            run = min(
                (one.time_to_finish(held.asked) for one in healthy), default=_ZERO
            )
        wait = held.waits.corrected(held.predicted_wait)
        return admission.Forecast(wait, run, len(self.queue))

    def spread(
        self, refusal: results.Refusal, held: Held, now: datetime.timedelta
    ) -> results.Refusal:
        """Give a refused request its own time to come back."""
        if refusal.retry_after is None:
            return refusal
        rate = max(1.0, self.drain.units_per_second)
        service = datetime.timedelta(seconds=held.units / rate)
        after = self.returns.after(refusal.retry_after, service, now)
        return dataclasses.replace(refusal, retry_after=after)

    def late(self, held: Held, now: datetime.timedelta) -> results.Refusal:
        """Return the final answer of a request that waited in vain."""
        refusal = results.Refusal(
            results.ResultCode.OVERLOADED,
            "no engine was free in time",
            results.Execution.NOT_RUN,
            _ZERO,
        )
        return self.spread(refusal, held, now)
