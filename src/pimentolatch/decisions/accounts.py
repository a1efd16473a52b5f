"""Keeps the callers' accounts: what a request is expected to cost, and what it did.

Load pattern: a caller states the longest answer it allows for every request and gets
short ones, or the other way round. Charged by what it states, it would lose its share
or take the others'. It is charged what is expected at arrival, and the difference when
the answer has ended.
"""

import datetime
from collections import abc

from pimentolatch import results
from pimentolatch.decisions import (
    lanes,
    limits,
    request_work,
    work_reports,
)
from pimentolatch.document import schema

__all__ = ["Accounts"]


class Accounts:
    """Expected and charged work of callers.

    Args:
        peers: What the other instances reported of the callers' demand.
    """

    def __init__(self, peers: work_reports.PeerReports) -> None:
        self._limits = limits.CallerLimits(peers)
        self._estimates = request_work.OutputEstimates()
        self._callers: dict[str, schema.Caller] = {}

    def set_callers(self, callers: abc.Iterable[schema.Caller]) -> None:
        """Set the document's callers; others have no limit and weight 1."""
        self._callers = {caller.name: caller for caller in callers}

    def set_instances(self, instances: int) -> None:
        """Set how many instances share the limits."""
        self._limits.set_instances(instances)

    def shares(self, now: datetime.timedelta) -> tuple[work_reports.CallerWork, ...]:
        """Return the demands that peers need to know."""
        return self._limits.shares(now)

    def expected(
        self,
        request: lanes.Request,
        lane: lanes.Lane,
        engines: abc.Sequence[schema.Engine],
        now: datetime.timedelta,
    ) -> lanes.Held:
        """Return a new request with the work expected of it."""
        prompt = request_work.prompt_tokens(request.prompt)
        output = self._estimates.expected(
            request.caller, request.model, prompt, request.max_tokens
        )
        asked = request_work.Work(prompt, output)
        units = asked.units(request_work.output_weight(engines))
        caller = self._callers.get(request.caller)
        waits = lane.waits_of(request.caller)
        return lanes.Held(request, caller, asked, units, now, waits)

    def over_limit(
        self, held: lanes.Held, now: datetime.timedelta
    ) -> results.Refusal | None:
        """Return the refusal of a caller that is over its limit, or None."""
        if held.caller is None:
            return None
        answer = self._limits.ask(held.caller, held.units, now)
        if isinstance(answer, limits.Granted):
            return None
        return results.Refusal(
            results.ResultCode.CALLER_LIMIT,
            f"the caller {held.caller.name} is over its limit",
            results.Execution.NOT_RUN,
            answer.retry_after,
        )

    def charge(self, held: lanes.Held, units: float, now: datetime.timedelta) -> None:
        """Charge a caller for work; negative units give some back."""
        if held.caller is not None:
            self._limits.charge(held.caller, units, now)

    def settle(
        self,
        held: lanes.Held,
        lane: lanes.Lane,
        tokens: int,
        now: datetime.timedelta,
    ) -> None:
        """Learn from a whole answer and charge what it was beyond expectation."""
        request, asked = held.request, held.asked
        self._estimates.observe(
            request.caller, request.model, asked.prompt_tokens, tokens
        )
        weight = (held.units - asked.prompt_tokens) / asked.output_tokens
        more = weight * (tokens - asked.output_tokens)
        lane.queue.settle(request.caller, more, held.weight)
        self.charge(held, more, now)
