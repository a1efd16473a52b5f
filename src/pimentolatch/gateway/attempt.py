"""What has become of one stream request so far, and what its parts share."""

import dataclasses
import datetime

from pimentolatch import clock, results, settings
from pimentolatch.decisions import engine_loads, places, prompt_sizes, wait_policy
from pimentolatch.gateway import (
    cache_updates,
    doubting,
    inbound,
    knowledge,
    measuring,
    permission,
    quarantine,
    refusals,
    request_log,
    sending,
    usage_exchange,
)
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = [
    "Context",
    "Progress",
    "Source",
    "Writing",
    "address_of",
    "conclude",
    "conclude_refused",
    "first_event_limit",
    "leaves_at",
]

# Time allowed to the first event, as a multiple of what was expected and at least.
_FIRST_EVENT_FACTOR = 3.0
_LEAST_FIRST_EVENT = datetime.timedelta(milliseconds=900)
_NO_MORE_TRIES_RETRY = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """What serves every request of the stream routes of an instance."""

    known: knowledge.Knowledge
    client: sending.ServerClient
    doubts: doubting.EngineDoubts
    updates: cache_updates.CacheUpdates
    suspects: quarantine.Quarantine
    permission: permission.Permission
    usage: usage_exchange.UsageCounter
    log: request_log.RequestLog
    measured: measuring.RouteMetrics
    clock: clock.Clock

    def keep(self, asked: inbound.Inbound, engine: engine_loads.EngineLoad) -> None:
        """Note that an engine has read a request's prompt and keeps it."""
        assert asked.head.prompt is not None and asked.service.engine is not None
        engine.cached.keep_prompt(asked.head.prompt, asked.service.engine.kv_tokens)
        self.updates.add(engine.server.incarnation, asked.head.prompt)

    def loads(self, asked: inbound.Inbound) -> engine_loads.EngineLoads:
        """Return the engines of a request's service."""
        return self.known.loads(asked.service.name)

    def log_sent(
        self,
        asked: inbound.Inbound,
        engine: engine_loads.EngineLoad,
        what: str,
        outcome: sending.Outcome,
        since: datetime.timedelta,
        events: int | None = None,
    ) -> None:
        """Log one sending and what became of it.

        Args:
            asked: The request.
            engine: Where it was sent.
            what: What the engine was to do.
            outcome: What became of it.
            since: When it was sent.
            events: Number of the last event that the client had, if it was a stream.
        """
        self.log.write(
            request_log.SENT,
            asked.request_id,
            wrong=not isinstance(outcome, sending.Whole | sending.Opened),
            server=engine.server.server_id,
            what=what,
            outcome=sending.text_of(outcome),
            ms=self.log.elapsed_ms(since),
            digest=digests.digest_text(asked.digest),
            events=events,
        )


@dataclasses.dataclass(slots=True)
class Source:
    """A prompt that waits at the engine that read it.

    Attributes:
        taken: An engine that writes has taken it.
        doubtful: One may have; it is offered to no other, and freed.
    """

    reader: engine_loads.EngineLoad
    handle: str
    taken: bool = False
    doubtful: bool = False


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
    ran: int = 0
    open: bool = False
    arrivals: int = 0
    read_before: bool = False
    last_event: int = 0
    event_at: datetime.timedelta | None = None
    answered: sending.Whole | None = None
    reason: str = ""
    wait: datetime.timedelta = _NO_MORE_TRIES_RETRY
    counted: bool = False
    begun: bool = False


@dataclasses.dataclass(slots=True)
class Writing:
    """One engine's part in answering a request.

    Attributes:
        in_place: Tokens of the prompt that the engine reads itself.
        unread: Those of them that it has not read yet.
    """

    asked: inbound.Inbound
    answer: inbound.Answer
    progress: Progress
    place: places.InPlace | places.Apart
    in_place: int
    unread: int = 0
    first_seen: bool = False

    def __post_init__(self) -> None:
        self.unread = self.in_place


async def conclude_refused(
    answer: inbound.Answer, progress: Progress, refusal: results.Refusal
) -> None:
    """Write the final answer of a request that may go to no further server.

    Args:
        answer: Where to write.
        progress: What has become of the request so far.
        refusal: Why it may not, in words that hold if it has not run.
    """
    if answer.started or progress.ran:
        progress.answered = None
        progress.reason = refusal.message
        await conclude(answer, progress)
    else:
        await answer.refuse(refusal)


async def conclude(answer: inbound.Answer, progress: Progress) -> None:
    """Write the final answer of a request that no engine goes on with."""
    whole = progress.answered
    if answer.started:
        answer.break_off(progress.reason)
    elif whole is not None and whole.status not in sending.PROMISES:
        await answer.whole(whole.status, whole.head.fields, whole.body)
    elif progress.ran:
        await answer.refuse(refusals.outcome_unknown(progress.reason))
    else:
        await answer.refuse(refusals.overloaded(progress.wait))


def first_event_limit(place: places.InPlace | places.Apart) -> datetime.timedelta:
    """Return how long a first event may take before its engine is asked for it."""
    return max(_LEAST_FIRST_EVENT, _FIRST_EVENT_FACTOR * place.expected)


def leaves_at(asked: inbound.Inbound, progress: Progress) -> datetime.timedelta:
    """Return when the client leaves if it sees no further event."""
    since = asked.arrived if progress.event_at is None else progress.event_at
    route = asked.route
    gap = wait_policy.client_timeout(route.latency_target, route.pause_target)
    return min(asked.until, since + gap)


def address_of(engine: engine_loads.EngineLoad | None) -> settings.Address | None:
    """Return an engine's address; None for no engine."""
    return None if engine is None else engine.server.address
