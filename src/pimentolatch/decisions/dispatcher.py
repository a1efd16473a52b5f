"""Combines the decisions on completions: admission, queueing and dispatch.

Load pattern: all patterns at once, as in production: a hot caller, during a burst,
while an engine is slow. Each decision is a module of its own; this one only fixes their
order. A request is checked against its caller's limit first, so that work over the
limit never shapes the wait forecast of others; then against the forecast; then it
enters the queue of its model, since engines of one model are of no use to requests for
another.

It neither waits nor sends: `requests.completion_scheduler` does that in an instance,
and tests drive it with a clock of their own.
"""

import dataclasses
import datetime

from pimentolatch import fleet, results
from pimentolatch.backend import outcomes
from pimentolatch.decisions import (
    admission,
    demand,
    dispatches,
    engine_selection,
    health,
    model_queues,
    outstanding_work,
    prefill_dispatches,
    recent_prefixes,
    request_work,
    retries,
    routing,
    work_accounting,
    work_reports,
)
from pimentolatch.document import schema

__all__ = ["Dispatcher", "Expired", "Queued", "Start"]

_NO_ENGINE_RETRY = datetime.timedelta(seconds=1)
_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request waits in the queue for an engine."""


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """A request leaves the queue for an engine and is counted as dispatched.

    Attributes:
        request_id: The request.
        engine: Engine that decodes, and prefills too if there is no prefill engine.
        prefill_engine: Engine that prefills first; None to colocate prefill and decode.
    """

    request_id: str
    engine: schema.Engine
    prefill_engine: schema.Engine | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """A request leaves the queue with a refusal as its final result."""

    request_id: str
    refusal: results.Refusal


class Dispatcher:
    """The decisions of one instance on completions.

    Args:
        own_instance: Name of this instance.
        own_domain: Its failure domain.
        outstanding: Counts the dispatched work, if others dispatch to the same servers.
    """

    def __init__(
        self,
        own_instance: str,
        own_domain: str,
        outstanding: outstanding_work.OutstandingWork | None = None,
    ) -> None:
        self.peers = work_reports.PeerReports()
        self.outstanding = outstanding or outstanding_work.OutstandingWork()
        self.health = health.ServerHealth()
        self.retries = retries.RetryBudget()
        self._prefixes = recent_prefixes.RecentPrefixes()
        self._accounting = work_accounting.WorkAccounting(self.peers)
        self._dispatches = dispatches.Dispatches(
            self.outstanding, self.peers, self.health
        )
        self.router = routing.Router(
            own_instance,
            own_domain,
            outstanding=self.outstanding,
            peers=self.peers,
            server_health=self.health,
            prefixes=self._prefixes,
        )
        self._demand = demand.Totals(own_instance, "")
        self._prefills = prefill_dispatches.PrefillDispatches(
            self.outstanding, self.router.load
        )
        self._model_queues: dict[str, model_queues.ModelQueue] = {}
        self._tracked: dict[str, model_queues.TrackedRequest] = {}
        self._document: schema.FleetDocument | None = None

    @property
    def waiting(self) -> int:
        """Number of requests in the queues."""
        return sum(
            len(model_queue.queue) for model_queue in self._model_queues.values()
        )

    @property
    def busy(self) -> bool:
        """Whether any request is queued or running."""
        return bool(self._tracked)

    def set_instances(self, own_domain: frozenset[str], everywhere: int) -> None:
        """Set the instances of the own domain and the number of all instances."""
        self.router.set_instances(own_domain)
        self._accounting.set_instances(everywhere)

    def shares(self, now: datetime.timedelta) -> work_reports.WorkReport:
        """Return the work of this instance that is reported to its peers."""
        self.peers.expire(now)
        totals = dataclasses.replace(self._demand, uptime_s=now.total_seconds())
        return work_reports.WorkReport(
            self.outstanding.shares(), self._accounting.shares(now), (totals,)
        )

    def arrive(
        self, view: fleet.View, request: model_queues.Request, now: datetime.timedelta
    ) -> Queued | results.Refusal:
        """Admit a request to the queue or refuse it."""
        engines = self.router.engines(view, request.model)
        document = view.document
        if not engines or document is None:
            return _no_engine()
        self._learn_document(document)
        model_queue = self._model_queue(request.model, engines)
        tracked = self._accounting.track(request, model_queue, engines, now)
        work = tracked.expected_work
        self._demand = self._demand.plus(work.prompt_tokens, work.output_tokens)
        if refusal := self._accounting.check_limit(tracked, now):
            return refusal
        found = self.router.candidates(view, request.model, request.prompt, now)
        forecast = model_queue.forecast(tracked, found)
        decision = admission.decide(forecast, document.admission, request.deadline, now)
        if isinstance(decision, results.Refusal):
            return model_queue.with_retry_time(decision, tracked, now)
        self._accounting.charge(tracked, tracked.units, now)
        self._tracked[request.request_id] = tracked
        model_queue.queue.put(tracked.queue_entry(decision.latest_start))
        return Queued()

    def start(self, view: fleet.View, now: datetime.timedelta) -> list[Start]:
        """Dispatch from the queues what engines have room for."""
        self._dispatches.check(now)
        started: list[Start] = []
        for model_queue in self._model_queues.values():
            while item := model_queue.queue.peek():
                tracked = self._tracked[item.request_id]
                found = self._choose(view, tracked, now)
                if found is None:
                    break
                model_queue.queue.take()
                model_queue.drain.drained(tracked.units, now, len(model_queue.queue))
                tracked.waits.observe(tracked.predicted_wait, now - tracked.arrived)
                started.append(self._begin(view, tracked, found, now))
        return started

    def expire(self, now: datetime.timedelta) -> list[Expired]:
        """Remove from the queues what can no longer be answered before its deadline."""
        expired = []
        for model_queue in self._model_queues.values():
            for item in model_queue.queue.expire(now):
                tracked = self._tracked.pop(item.request_id)
                tracked.waits.observe(tracked.predicted_wait, now - tracked.arrived)
                self._accounting.charge(tracked, -tracked.units, now)
                expired.append(
                    Expired(item.request_id, model_queue.expired_refusal(tracked, now))
                )
        return expired

    def next_expiry(self) -> datetime.timedelta | None:
        """Return when `expire` next has something to return, or None."""
        times = [
            model_queue.queue.next_expiry()
            for model_queue in self._model_queues.values()
        ]
        return min((time for time in times if time is not None), default=None)

    def resume(
        self,
        view: fleet.View,
        request_id: str,
        failed: frozenset[str],
        now: datetime.timedelta,
    ) -> Start | None:
        """Return an engine to retry a failed dispatch on; None if it must not retry.

        A retry goes before all queued requests: it was admitted before them, and a
        client is reading the broken stream. The retry budget is spent only on
        dispatches that may have cost an engine work and produced no token.
        """
        tracked = self._tracked.get(request_id)
        document = view.document
        if tracked is None or document is None:
            return None
        wasted = tracked.maybe_ran and not tracked.delivered
        if wasted and not self.retries.spend():
            return None
        found = self._choose(view, tracked, now, failed, force=True)
        if found is None:
            return None
        return self._begin(view, tracked, found, now)

    def prefill_ended(self, request_id: str) -> None:
        """Count a prefill on a separate engine as ended or abandoned."""
        self._prefills.end(request_id)

    def token(self, request_id: str, now: datetime.timedelta) -> None:
        """Count one token of a request as received."""
        self._dispatches.token(request_id, now)

    def ended(
        self,
        request_id: str,
        outcome: outcomes.EngineEvent | None,
        now: datetime.timedelta,
    ) -> None:
        """Count a dispatch as ended; the outcome is None if the caller disconnected."""
        failed = isinstance(outcome, outcomes.OutcomeUnknown | outcomes.NotRun)
        over = self._dispatches.end(request_id, now, failed=failed)
        tracked = self._tracked.get(request_id)
        if over is None or tracked is None:
            return
        tracked.delivered += over.tokens
        tracked.maybe_ran |= isinstance(outcome, outcomes.OutcomeUnknown)
        if failed:
            self._prefixes.forget(over.engine)
        elif isinstance(outcome, outcomes.Finished):
            self._finished(tracked, outcome.length, now)

    def leave(self, request_id: str, now: datetime.timedelta) -> None:
        """Remove a request that has ended or whose caller has disconnected."""
        self._prefills.end(request_id)
        self._dispatches.end(request_id, now, failed=False)
        tracked = self._tracked.pop(request_id, None)
        if tracked is None:
            return
        model_queue = self._model_queues.get(tracked.request.model)
        if model_queue is not None and model_queue.queue.remove(request_id):
            self._accounting.charge(tracked, -tracked.units, now)

    def _finished(
        self, tracked: model_queues.TrackedRequest, tokens: int, now: datetime.timedelta
    ) -> None:
        request = tracked.request
        model_queue = self._model_queues[request.model]
        model_queue.runs.observe(tracked.predicted_run, now - tracked.started)
        self._accounting.settle(tracked, model_queue, tokens, now)
        assert self._document is not None
        self.retries.succeeded(self._document.routing.retry_share)

    def _learn_document(self, document: schema.FleetDocument) -> None:
        if document is self._document:
            return
        self._document = document
        self._accounting.set_callers(document.callers)
        self.health.retain({server.name for server in document.backend_servers})

    def _model_queue(
        self, model: str, engines: tuple[schema.Engine, ...]
    ) -> model_queues.ModelQueue:
        if model not in self._model_queues:
            rate = sum(engine.prefill_tokens_per_s for engine in engines)
            self._model_queues[model] = model_queues.ModelQueue(
                rate / len(self.router.instances)
            )
        return self._model_queues[model]

    def _choose(
        self,
        view: fleet.View,
        tracked: model_queues.TrackedRequest,
        now: datetime.timedelta,
        avoid: frozenset[str] = frozenset(),
        *,
        force: bool = False,
    ) -> engine_selection.Candidate | None:
        request = tracked.request
        candidates = self.router.candidates(
            view, request.model, request.prompt, now, avoid
        )
        left = request.deadline - now
        return engine_selection.choose(
            candidates, tracked.expected_work, left, force=force
        )

    def _begin(
        self,
        view: fleet.View,
        tracked: model_queues.TrackedRequest,
        found: engine_selection.Candidate,
        now: datetime.timedelta,
    ) -> Start:
        request = tracked.request
        name = found.engine.name
        tracked.started = now
        if found.probe_due:
            self.health.probed(name, now)
        left = max(1, tracked.expected_work.output_tokens - tracked.delivered)
        uncached = max(0, tracked.expected_work.prompt_tokens - found.cached_tokens)
        prefill_engine = self._prefill_engine(view, tracked, found)
        if prefill_engine is not None:
            self._prefills.begin(request.request_id, prefill_engine, uncached)
            uncached = 0
        sent = request_work.Work(uncached, left)
        first = found.time_to_finish(
            request_work.Work(tracked.expected_work.prompt_tokens, 1)
        )
        self._dispatches.begin(request.request_id, found.engine, sent, first, now)
        self._prefixes.record(request.prompt, name, now)
        return Start(request.request_id, found.engine, prefill_engine)

    def _prefill_engine(
        self,
        view: fleet.View,
        tracked: model_queues.TrackedRequest,
        found: engine_selection.Candidate,
    ) -> schema.Engine | None:
        document = view.document
        model = tracked.request.model
        prefill_engines = self.router.prefill_engines(view, model)
        if not prefill_engines or document is None:
            return None
        role = routing.role_of(view, found.engine)
        decode_engine = self._prefills.load_of(found.engine, role, found.cached_tokens)
        return self._prefills.choose(
            document, model, decode_engine, prefill_engines, tracked.expected_work
        )


def _no_engine() -> results.Refusal:
    return results.Refusal(
        results.ResultCode.NO_BACKEND_SERVER,
        "no engine serves the model now",
        results.Execution.NOT_RUN,
        _NO_ENGINE_RETRY,
    )
