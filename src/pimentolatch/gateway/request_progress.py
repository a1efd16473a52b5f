"""Progress of one stream request, and what all stream requests share."""

import dataclasses
import datetime
import typing

from pimentolatch import clock, results, settings
from pimentolatch.backend import channel
from pimentolatch.decisions import (
    engine_loads,
    placement_types,
    prompt_sizes,
    repeat_budget,
    wait_policy,
)
from pimentolatch.gateway import (
    client_request,
    deliveries,
    dispatch,
    dispatch_check,
    fleet_state,
    flow_control,
    late_answers,
    quarantine,
    reachability_monitor,
    refusals,
    request_log,
    resumptions,
    route_metrics,
    stall_checker,
)
from pimentolatch.gateway.peers import cache_updates, peer_forwarder, usage_exchange
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = [
    "MAX_PLACEMENTS",
    "Context",
    "Generation",
    "PrefilledPrompt",
    "Progress",
    "address_of",
    "client_gives_up_at",
    "count_run",
    "finish",
    "finish_with_refusal",
    "first_event_limit",
    "may_dispatch",
    "prefill_time",
]

# Placements that are tried for one request: declined ones count, those whose permit
# another request took first do not.
MAX_PLACEMENTS = 5
# Time until the first event after which an engine is checked for a stall: a multiple of
# the expected time, and a minimum.
_FIRST_EVENT_FACTOR = 3.0
_MIN_FIRST_EVENT_LIMIT = datetime.timedelta(milliseconds=900)
_ATTEMPTS_EXHAUSTED_RETRY = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Components that all stream requests of an instance share."""

    fleet: fleet_state.FleetState
    client: dispatch.ServerClient
    flow: flow_control.FlowControl
    stall_checks: stall_checker.StallChecker
    updates: cache_updates.CacheUpdates
    crash_quarantine: quarantine.Quarantine
    dispatch_check: dispatch_check.DispatchCheck
    usage: usage_exchange.UsageCounter
    log: request_log.RequestLog
    metrics: route_metrics.RouteMetrics
    monitor: reachability_monitor.ReachabilityMonitor
    peers: peer_forwarder.PeerForwarder
    resumptions: resumptions.Resumptions
    clock: clock.Clock

    async def check_path(
        self,
        request: client_request.ClientRequest,
        progress: "Progress",
        server: servers.Server,
        outcome: dispatch.Outcome,
    ) -> None:
        """After a failed dispatch, find out whether the path to servers is lost.

        Waits for the answer only if the request may be dispatched again.
        """
        if not isinstance(outcome, dispatch.NotSent | dispatch.OutcomeUnknown):
            return
        if progress.possible_runs < max(1, request.route.max_attempts):
            await self.monitor.check(server)
        else:
            self.monitor.suspect(server)

    def record_cached_prompt(
        self, request: client_request.ClientRequest, engine: engine_loads.EngineLoad
    ) -> None:
        """Record that an engine has a request's prompt in its prefix cache."""
        assert request.head.prompt is not None and request.service.engine is not None
        engine.prefix_cache.add_prompt(
            request.head.prompt, request.service.engine.kv_tokens
        )
        self.updates.add(engine.server.incarnation, request.head.prompt)

    def loads(self, request: client_request.ClientRequest) -> engine_loads.EngineLoads:
        """Return the engines of a request's service with their loads."""
        return self.fleet.loads(request.service.name)

    def log_sent(
        self,
        request: client_request.ClientRequest,
        engine: engine_loads.EngineLoad,
        what: str,
        outcome: dispatch.Outcome,
        since: datetime.timedelta,
        events: int | None = None,
        prefilled: "PrefilledPrompt | None" = None,
    ) -> None:
        """Log one dispatch and its outcome.

        Args:
            request: The request.
            engine: The engine that it was dispatched to.
            what: What the engine was asked to do.
            outcome: The outcome of the dispatch.
            since: When it was sent.
            events: Number of the last event that the client received, for streams.
            prefilled: The prompt that the engine has prefilled, or was to fetch.
        """
        failed = not isinstance(outcome, dispatch.FullResponse | dispatch.OpenResponse)
        assert request.head.prompt is not None
        self.log.write(
            request_log.SENT,
            request.request_id,
            wrong=failed,
            server=engine.server.server_id,
            what=what,
            outcome=dispatch.describe(outcome),
            ms=self.log.elapsed_ms(since),
            digest=digests.digest_text(request.digest),
            events=events,
            parts=request.head.prompt.shared_names if failed else None,
            kept_ms=self.fleet.kept_ms(since, engine.server.server_id),
            store=self.fleet.store_access.value,
            **({} if prefilled is None else self._handle_fields(prefilled, since)),
        )

    def _handle_fields(
        self, prefilled: "PrefilledPrompt", since: datetime.timedelta
    ) -> dict[str, typing.Any]:
        """Return what tells in the log whose KV cache a handle named when it was sent.

        Args:
            prefilled: The prompt.
            since: When the handle was sent, or asked for.
        """
        age = max(datetime.timedelta(), since - prefilled.given_at)
        return {
            "handle": prefilled.handle,
            "handle_from": prefilled.engine.server.server_id,
            "handle_started_ms": prefilled.incarnation.started_ms,
            "handle_age_ms": round(age / datetime.timedelta(milliseconds=1)),
            "handle_connected": prefilled.link.is_open,
        }


@dataclasses.dataclass(slots=True)
class PrefilledPrompt:
    """A prompt whose KV cache is held at its prefill engine for transfer.

    Attributes:
        engine: The prefill engine.
        handle: Names the KV cache at that engine.
        incarnation: The incarnation of the engine that gave the handle, by its own
            answer. The server list learns of a restart later.
        given_at: When the handle was received.
        link: Connection that last reached this incarnation; at first the one that the
            handle was received over.
        proven_at: When this incarnation last answered.
        transferred: A decode engine has fetched it.
        possibly_transferred: A decode engine may have fetched it. It is offered to no
            other engine and released.
    """

    engine: engine_loads.EngineLoad
    handle: str
    incarnation: servers.Incarnation
    given_at: datetime.timedelta
    link: channel.Channel
    proven_at: datetime.timedelta
    transferred: bool = False
    possibly_transferred: bool = False


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of one request over all its dispatches.

    Attributes:
        size: Size class of its prompt among those of its route.
        required_events: Events for which it must have the time to start; 0 if not
            known.
        trace: Tells why its answer was late.
        failed: Engines that failed or declined it.
        possible_runs: Engines that may have started to decode.
        delivery: How far the dispatch in flight has got; None if its outcome is known.
        unanswered: A dispatch has got no answer, or only a part of it.
        withheld: The last dispatch was not sent, for want of a permit.
        placements: Placements that were tried, as `MAX_PLACEMENTS` counts them.
        dispatches: Dispatches that reached an engine, as the retry budget counts them.
        paid_dispatches: Further dispatches that the retry budget has paid for already.
        prefilled_before: The prompt has been prefilled on a separate engine before.
        last_event: Number of the last event that the client received.
        build: Build that began the stream; None before its first event, or if it is not
            known.
        last_event_at: When the client was sent its last event.
        failure_response: An engine's error response, forwarded if no other engine
            succeeds.
        reason: Why the last dispatch failed.
        retry_after: When the client should retry if no engine accepted the request.
        demand_counted: The request has been counted as demand.
        usage_counted: The request has been counted as started for its customer.
    """

    size: prompt_sizes.SizeClass
    required_events: float
    trace: late_answers.Trace
    failed: set[servers.Incarnation] = dataclasses.field(default_factory=set)
    possible_runs: int = 0
    delivery: deliveries.Delivery | None = None
    unanswered: bool = False
    withheld: bool = False
    placements: int = 0
    dispatches: int = 0
    paid_dispatches: int = 0
    prefilled_before: bool = False
    last_event: int = 0
    build: int | None = None
    last_event_at: datetime.timedelta | None = None
    failure_response: dispatch.FullResponse | None = None
    reason: str = ""
    retry_after: datetime.timedelta = _ATTEMPTS_EXHAUSTED_RETRY
    demand_counted: bool = False
    usage_counted: bool = False

    @property
    def outcome_pending(self) -> bool:
        """Whether a server may run the request that has not answered yet."""
        return self.delivery is not None and self.delivery.sent_at is not None

    @property
    def may_run(self) -> bool:
        """Whether a server may have started to decode."""
        return self.possible_runs > 0 or self.outcome_pending


@dataclasses.dataclass(slots=True)
class Generation:
    """Generation of a response, or the rest of one, by one engine.

    Attributes:
        prefill_tokens: Prompt tokens that this engine prefills itself.
        unprefilled: Those of them that are not prefilled yet.
        first_event_at: When the engine sent its first event; None before.
    """

    request: client_request.ClientRequest
    response: client_request.ClientResponse
    progress: Progress
    place: placement_types.Colocated | placement_types.Disaggregated
    prefill_tokens: int
    unprefilled: int = 0
    first_event_at: datetime.timedelta | None = None

    def __post_init__(self) -> None:
        self.unprefilled = self.prefill_tokens


def count_run(request: client_request.ClientRequest, progress: Progress) -> None:
    """Count a server that may have started to run a request."""
    progress.possible_runs += 1
    if not request.route.repeatable:
        # The request must not run twice, so no other server is tried.
        progress.possible_runs = max(progress.possible_runs, request.route.max_attempts)


def may_dispatch(
    request: client_request.ClientRequest,
    progress: Progress,
    budget: repeat_budget.RepeatBudget,
    now: datetime.timedelta,
) -> bool:
    """Tell whether the retry budget allows another dispatch of a request.

    The first dispatch and the first separate prefill are free. Each further dispatch is
    charged before it is sent, since a server that declines it has spent work on it all
    the same. One that was withheld has not used its charge.
    """
    if not progress.dispatches or progress.withheld:
        return True
    if progress.paid_dispatches:
        progress.paid_dispatches -= 1
        return True
    return budget.spend(request.service.name, now)


async def finish_with_refusal(
    response: client_request.ClientResponse,
    progress: Progress,
    refusal: results.Refusal,
) -> None:
    """Finish a request that must not be dispatched to another server.

    Args:
        response: Response to the client.
        progress: Progress of the request.
        refusal: Why it must not; sent as it is only if the request has not run.
    """
    if response.started or progress.possible_runs:
        progress.failure_response = None
        progress.reason = refusal.message
        await finish(response, progress)
    else:
        await response.refuse(refusal)


async def finish(response: client_request.ClientResponse, progress: Progress) -> None:
    """Finish the response of a request that is not dispatched again."""
    failure = progress.failure_response
    if response.started:
        response.abort(progress.reason)
    elif failure is not None and failure.status not in dispatch.NOT_RUN_STATUSES:
        await response.send_full(failure.status, failure.head.fields, failure.body)
    elif progress.possible_runs:
        await response.refuse(refusals.outcome_unknown(progress.reason))
    else:
        await response.refuse(refusals.overloaded(progress.retry_after))


def first_event_limit(
    place: placement_types.Colocated | placement_types.Disaggregated,
) -> datetime.timedelta:
    """Return how long to wait for the first event before a stall check."""
    return max(_MIN_FIRST_EVENT_LIMIT, _FIRST_EVENT_FACTOR * place.expected)


def client_gives_up_at(
    request: client_request.ClientRequest, progress: Progress
) -> datetime.timedelta:
    """Return until when a request is worth waiting for.

    Before its first event a client disconnects after a gap, and is better refused just
    before. Within a response nothing can be said any more but its end, so the request
    goes on until the client disconnects by itself.
    """
    if progress.last_event_at is not None:
        return request.deadline
    route = request.route
    gap = wait_policy.client_timeout(route.latency_target, route.event_gap_target)
    return min(request.deadline, request.arrived_at + gap)


def prefill_time(
    loads: engine_loads.EngineLoads,
    engine: engine_loads.EngineLoad,
    tokens: int,
    *,
    colocated: bool = False,
) -> datetime.timedelta:
    """Return the time of a prefill without a queue, at the learned rate."""
    milliseconds = loads.prefill_cost(tokens) / loads.prefill_rate_of(engine)
    slowdown = engine_loads.COLOCATED_SLOWDOWN if colocated else 1.0
    return datetime.timedelta(milliseconds=slowdown * milliseconds)


def address_of(engine: engine_loads.EngineLoad | None) -> settings.Address | None:
    """Return an engine's address, or None if there is no engine."""
    return None if engine is None else engine.server.address
