"""What has become of one stream request so far, and what its parts share."""

import dataclasses
import datetime

from pimentolatch import clock, results, settings
from pimentolatch.decisions import engine_loads, places, prompt_sizes, waiting
from pimentolatch.gateway import (
    cache_updates,
    client_request,
    dispatch,
    dispatch_check,
    knowledge,
    measuring,
    quarantine,
    refusals,
    request_log,
    stall_checker,
    usage_exchange,
)
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = [
    "Context",
    "Progress",
    "PrefilledPrompt",
    "Generation",
    "address_of",
    "finish",
    "finish_with_refusal",
    "first_event_limit",
    "client_gives_up_at",
]

# Time allowed to the first event, as a multiple of what was expected and at least.
_FIRST_EVENT_FACTOR = 3.0
_MIN_FIRST_EVENT_LIMIT = datetime.timedelta(milliseconds=900)
_ATTEMPTS_EXHAUSTED_RETRY = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """What serves every request of the stream routes of an instance."""

    fleet: knowledge.Knowledge
    client: dispatch.ServerClient
    stall_checks: stall_checker.StallChecker
    updates: cache_updates.CacheUpdates
    suspects: quarantine.Quarantine
    dispatch_check: dispatch_check.DispatchCheck
    usage: usage_exchange.UsageCounter
    log: request_log.RequestLog
    measured: measuring.RouteMetrics
    clock: clock.Clock

    def record_cached_prompt(
        self, request: client_request.ClientRequest, engine: engine_loads.EngineLoad
    ) -> None:
        """Note that an engine has read a request's prompt and keeps it."""
        assert request.head.prompt is not None and request.service.engine is not None
        engine.cached.keep_prompt(request.head.prompt, request.service.engine.kv_tokens)
        self.updates.add(engine.server.incarnation, request.head.prompt)

    def loads(self, request: client_request.ClientRequest) -> engine_loads.EngineLoads:
        """Return the engines of a request's service."""
        return self.fleet.loads(request.service.name)

    def log_sent(
        self,
        request: client_request.ClientRequest,
        engine: engine_loads.EngineLoad,
        what: str,
        outcome: dispatch.Outcome,
        since: datetime.timedelta,
        events: int | None = None,
    ) -> None:
        """Log one sending and what became of it.

        Args:
            request: The request.
            engine: Where it was sent.
            what: What the engine was to do.
            outcome: What became of it.
            since: When it was sent.
            events: Number of the last event that the client had, if it was a stream.
        """
        self.log.write(
            request_log.SENT,
            request.request_id,
            wrong=not isinstance(
                outcome, dispatch.FullResponse | dispatch.OpenResponse
            ),
            server=engine.server.server_id,
            what=what,
            outcome=dispatch.describe(outcome),
            ms=self.log.elapsed_ms(since),
            digest=digests.digest_text(request.digest),
            events=events,
        )


@dataclasses.dataclass(slots=True)
class PrefilledPrompt:
    """A prompt that waits at the engine that read it.

    Attributes:
        taken: An engine that writes has taken it.
        doubtful: One may have; it is offered to no other, and freed.
    """

    engine: engine_loads.EngineLoad
    handle: str
    transferred: bool = False
    possibly_transferred: bool = False


@dataclasses.dataclass(slots=True)
class Progress:
    """What has become of one request so far.

    Attributes:
        size: How large its prompt is among those of its route.
        failed: Engines that failed or declined it.
        ran: Engines that may have begun to write.
        open: A sending is under way whose fate is not known yet.
        arrivals: Sendings that reached an engine, as the budget counts them.
        read_before: An engine has read the prompt for another one.
        last_event: Number of the last event that the client received.
        event_at: When the client was sent its last event.
        answered: A failure that an engine gave, to be passed on if nothing better
            comes.
        wait: When to come back, if no engine took the request.
        counted: The request has been counted as demand.
        begun: It has been counted as begun for its customer.
    """

    size: prompt_sizes.SizeClass
    failed: set[servers.Incarnation] = dataclasses.field(default_factory=set)
    possible_runs: int = 0
    outcome_pending: bool = False
    dispatches: int = 0
    prefilled_before: bool = False
    last_event: int = 0
    last_event_at: datetime.timedelta | None = None
    failure_response: dispatch.FullResponse | None = None
    reason: str = ""
    retry_after: datetime.timedelta = _ATTEMPTS_EXHAUSTED_RETRY
    demand_counted: bool = False
    usage_counted: bool = False


@dataclasses.dataclass(slots=True)
class Generation:
    """One engine's part in answering a request.

    Attributes:
        in_place: Tokens of the prompt that the engine reads itself.
        unread: Those of them that it has not read yet.
    """

    request: client_request.ClientRequest
    response: client_request.ClientResponse
    progress: Progress
    place: places.InPlace | places.Apart
    prefill_tokens: int
    unprefilled: int = 0
    first_event_seen: bool = False

    def __post_init__(self) -> None:
        self.unprefilled = self.prefill_tokens


async def finish_with_refusal(
    response: client_request.ClientResponse,
    progress: Progress,
    refusal: results.Refusal,
) -> None:
    """Write the final answer of a request that may go to no further server.

    Args:
        response: Where to write.
        progress: What has become of the request so far.
        refusal: Why it may not, in words that hold if it has not run.
    """
    if response.started or progress.possible_runs:
        progress.failure_response = None
        progress.reason = refusal.message
        await finish(response, progress)
    else:
        await response.refuse(refusal)


async def finish(response: client_request.ClientResponse, progress: Progress) -> None:
    """Write the final answer of a request that no engine goes on with."""
    whole = progress.failure_response
    if response.started:
        response.abort(progress.reason)
    elif whole is not None and whole.status not in dispatch.NOT_RUN_STATUSES:
        await response.send_full(whole.status, whole.head.fields, whole.body)
    elif progress.possible_runs:
        await response.refuse(refusals.outcome_unknown(progress.reason))
    else:
        await response.refuse(refusals.overloaded(progress.retry_after))


def first_event_limit(place: places.InPlace | places.Apart) -> datetime.timedelta:
    """Return how long a first event may take before its engine is asked for it."""
    return max(_MIN_FIRST_EVENT_LIMIT, _FIRST_EVENT_FACTOR * place.expected)


def client_gives_up_at(
    request: client_request.ClientRequest, progress: Progress
) -> datetime.timedelta:
    """Return when the client leaves if it sees no further event."""
    since = (
        request.arrived_at if progress.last_event_at is None else progress.last_event_at
    )
    route = request.route
    gap = waiting.client_gap(route.latency_target, route.pause_target)
    return min(request.deadline, since + gap)


def address_of(engine: engine_loads.EngineLoad | None) -> settings.Address | None:
    """Return an engine's address; None for no engine."""
    return None if engine is None else engine.server.address
