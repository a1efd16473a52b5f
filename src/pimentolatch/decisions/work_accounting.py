"""Charges callers for the expected and the actual work of their requests.

Load pattern: a caller sets the largest allowed `max_tokens` on every request and gets
short answers, or the other way round. Charged by that limit, it would lose its share or
take that of others. So it is charged the expected work at arrival, and the difference
when the answer is complete.
"""

import datetime
from collections import abc

from pimentolatch import results
from pimentolatch.decisions import model_queues, rate_limits, request_work, work_reports
from pimentolatch.document import schema

__all__ = ["WorkAccounting"]


class WorkAccounting:
    """Expected and charged work of callers.

    Args:
        peers: The callers' demand as reported by the other instances.
    """

    def __init__(self, peers: work_reports.PeerReports) -> None:
        self._rate_limits = rate_limits.CallerLimits(peers)
        self._estimates = request_work.OutputEstimates()
        self._callers: dict[str, schema.Caller] = {}

    def set_callers(self, callers: abc.Iterable[schema.Caller]) -> None:
        """Set the document's callers; others have no limit and weight 1."""
        self._callers = {caller.name: caller for caller in callers}

    def set_instances(self, instances: int) -> None:
        """Set how many instances share the limits."""
        self._rate_limits.set_instances(instances)

    def shares(self, now: datetime.timedelta) -> tuple[work_reports.CallerWork, ...]:
        """Return the demands to report to peers."""
        return self._rate_limits.shares(now)

    def track(
        self,
        request: model_queues.Request,
        queue: model_queues.ModelQueue,
        engines: abc.Sequence[schema.Engine],
        now: datetime.timedelta,
    ) -> model_queues.TrackedRequest:
        """Return a new request with its expected work."""
        prompt = request_work.prompt_tokens(request.prompt)
        output = self._estimates.expected(
            request.caller, request.model, prompt, request.max_tokens
        )
        estimate = request_work.Work(prompt, output)
        units = estimate.units(request_work.output_weight(engines))
        caller = self._callers.get(request.caller)
        correction = queue.wait_correction_for(request.caller)
        return model_queues.TrackedRequest(
            request, caller, estimate, units, now, correction
        )

    def check_limit(
        self, tracked: model_queues.TrackedRequest, now: datetime.timedelta
    ) -> results.Refusal | None:
        """Return the refusal if the caller is over its limit, else None."""
        if tracked.caller is None:
            return None
        answer = self._rate_limits.check(tracked.caller, tracked.units, now)
        if isinstance(answer, rate_limits.Granted):
            return None
        return results.Refusal(
            results.ResultCode.CALLER_LIMIT,
            f"caller {tracked.caller.name} is over its rate limit",
            results.Execution.NOT_RUN,
            answer.retry_after,
        )

    def charge(
        self,
        tracked: model_queues.TrackedRequest,
        units: float,
        now: datetime.timedelta,
    ) -> None:
        """Charge a caller for work; negative units are credited."""
        if tracked.caller is not None:
            self._rate_limits.charge(tracked.caller, units, now)

    def settle(
        self,
        tracked: model_queues.TrackedRequest,
        queue: model_queues.ModelQueue,
        tokens: int,
        now: datetime.timedelta,
    ) -> None:
        """Learn from a complete answer and charge the difference to the estimate."""
        request, estimate = tracked.request, tracked.expected_work
        self._estimates.observe(
            request.caller, request.model, estimate.prompt_tokens, tokens
        )
        weight = (tracked.units - estimate.prompt_tokens) / estimate.output_tokens
        difference = weight * (tokens - estimate.output_tokens)
        queue.queue.settle(request.caller, difference, tracked.weight)
        self.charge(tracked, difference, now)
