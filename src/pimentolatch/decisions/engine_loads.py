"""Tracks the outstanding work of each engine of a model service.

Load pattern: engines report their load some hundred milliseconds late, which is longer
than the prefill of most prompts takes. Placing requests by such reports, all instances
choose the same idle engine at once and leave it with a queue of a second. So work is
counted when it is dispatched and subtracted when it ends, and instances report their
counts to each other several times a second.

`peer_loads` sums the reports of peers; `prefix_cache` tracks what engines have cached;
`server_speeds` learns how fast each engine is, and tells whether that matters.

Speeds are learned from answers. Their initial figures are such that any engine of today
is faster, so that a cold start expects waits that are too long rather than too short.
"""

import dataclasses
import datetime
import operator
from collections import abc

from pimentolatch.decisions import (
    event_pace,
    peer_loads,
    prefix_cache,
    server_speeds,
    urgency,
)
from pimentolatch.requests import prompts
from pimentolatch.routes import servers

__all__ = ["EngineLoad", "EngineLoads", "StageChange"]

# Prefill rate in tokens per millisecond, and the additional time of each prompt, before
# any answer was observed.
_INITIAL_PREFILL_RATE = 30.0
_INITIAL_OVERHEAD_MS = 20.0
# A decode engine prefills between its steps, at about half the rate.
COLOCATED_SLOWDOWN = 2.0
# Weight of one observation in the mean event gap: the mean of about the last twenty.
_EVENT_GAP_WEIGHT = 0.05
# Relative steps of the learned figures after a prefill that was faster or slower than
# they predict. Queueing makes a prefill late and nothing makes it early, so fast ones
# are better evidence: with these steps the figures follow the fastest fourteenth. A
# step of fixed size limits the influence of an outlier.
_FASTER_STEP = 0.08
_SLOWER_STEP = 0.006
# Prompts of at least the first length update the rate, those of at most the second the
# overhead.
_MIN_LONG_PROMPT = 3000
_MAX_SHORT_PROMPT = 1000
# An engine that failed is avoided for this long while others can serve; the time
# doubles with each consecutive failure up to the maximum. Afterwards one request at a
# time tries it: an engine that is idle because it is out of reach looks like the best.
_FIRST_BACKOFF = datetime.timedelta(seconds=1)
_MAX_BACKOFF = datetime.timedelta(seconds=8)
_MAX_DOUBLINGS = 3
# While no engine of its stage is healthy, one that failed is retried after this time:
# nothing else can serve, and a crashed engine is back within seconds of its last
# failure. What breaks off sooner was sent before the failure and has the same cause.
_PROBE_INTERVAL = datetime.timedelta(milliseconds=300)
# Backoff after a declined request. One may be declined because of the request itself,
# several in a row are not.
_DECLINED_BACKOFF = datetime.timedelta(milliseconds=100)


@dataclasses.dataclass(frozen=True, slots=True)
class StageChange:
    """A change of an engine's stage that is in progress.

    Until it ends the engine declines whatever it is sent. If each instance found that
    out for itself, it would cost a declined dispatch per instance and engine, and
    requests that meet several such engines would be refused. Instances that are
    notified of changes leave these engines out.

    Attributes:
        stage: The new stage.
        until: Latest end of the change; the list of servers may show it sooner.
    """

    stage: servers.Stage
    until: datetime.timedelta


class EngineLoad:
    """Load and state of one engine.

    Attributes:
        server: The listed server.
        prefill_tokens: Prompt tokens that this instance dispatched and that are not yet
            prefilled, by urgency level.
        streams: Streams of this instance that run there.
        kv_tokens: Tokens that these streams hold in KV memory.
        event_gap_ms: Mean time between events of its streams.
        pace: How fast its streams go on at the moment.
        failures: Consecutive failures; dispatches that broke off together are one.
        on_trial: It has not been heard since its last failure.
        declines: Consecutive requests that it declined to run.
        answered_at: Time of its last answer, as evidence that it is alive.
        avoid_until: Until when it is avoided while others are healthy.
        probe_at: When it may be retried if no engine is healthy.
        change: The stage change that it is carrying out, if one is known.
        peers: Work of other instances there.
        prefix_cache: Estimate of its prefix cache.
        speed: What is known of its speed.
    """

    def __init__(self, server: servers.Server) -> None:
        self.server = server
        self.prefill_tokens = [0.0] * urgency.LEVELS
        self.streams = 0
        self.kv_tokens = 0
        self.event_gap_ms = 0.0
        self.pace = event_pace.EventPace()
        self.failures = 0
        self.on_trial = False
        self.declines = 0
        self.avoid_until = datetime.timedelta()
        self.probe_at = datetime.timedelta()
        self.change: StageChange | None = None
        self.answered_at = datetime.timedelta()
        self.peers = peer_loads.PeerLoads()
        self.prefix_cache = prefix_cache.PrefixCache()
        self.speed = server_speeds.EngineSpeed()

    def begin_change(self, change: StageChange) -> None:
        """Record a change of stage that this or another instance ordered."""
        if change.stage is self.server.stage:
            # The list already shows the new stage, so the notice is stale.
            return
        if self.change is None or change.until > self.change.until:
            self.change = change

    def is_changing(self, now: datetime.timedelta) -> bool:
        """Return whether the engine declines everything because of a stage change."""
        return self.change is not None and now < self.change.until

    def accepts_trial(self) -> bool:
        """Return whether no request of this instance is outstanding there."""
        # Prompts are added and subtracted as fractions, which leaves a remainder.
        return not self.streams and sum(self.prefill_tokens) < 1.0

    def own_load(self) -> peer_loads.PeerLoad:
        """Return the outstanding work of this instance here."""
        return peer_loads.PeerLoad(
            tuple(self.prefill_tokens), self.streams, self.kv_tokens
        )

    def domain_load(self, now: datetime.timedelta) -> peer_loads.PeerLoad:
        """Return the outstanding work of this failure domain's instances here.

        It is reported to the other domains, so it contains nothing of theirs: their
        work would return to them and be counted twice, and then again.
        """
        totals = self.peers.near(now)
        prefill_tokens = tuple(
            map(operator.add, self.prefill_tokens, totals.prefill_tokens)
        )
        return peer_loads.PeerLoad(
            prefill_tokens,
            self.streams + totals.streams,
            self.kv_tokens + totals.kv_tokens,
        )

    def total_prefill_tokens(
        self, now: datetime.timedelta, level: int = urgency.LEVELS - 1
    ) -> float:
        """Return the prompt tokens to prefill from all instances that report.

        Args:
            now: The current time.
            level: Only count what is prefilled before a prompt of this urgency level.
        """
        return (
            sum(self.prefill_tokens[: level + 1])
            + self.peers.totals(now).prefill_tokens[level]
        )

    def total_streams(self, now: datetime.timedelta) -> int:
        """Return the number of streams from all instances that report."""
        return self.streams + self.peers.totals(now).streams

    def total_kv_tokens(self, now: datetime.timedelta) -> int:
        """Return the KV tokens of streams from all instances that report."""
        return self.kv_tokens + self.peers.totals(now).kv_tokens

    def uncached_tokens(self, prompt: prompts.Prompt) -> int:
        """Return the tokens of a prompt that the engine would have to prefill."""
        return prompt.tokens - self.prefix_cache.cached_tokens(prompt)


class EngineLoads:
    """The engines of one model service.

    Args:
        is_avoided: Tells whether an engine was silent to other instances.
        speed_ratio: Ratio between fast and slow engines from which the speed of each
            counts; None for never.

    Attributes:
        speeds: Whether the speeds of the engines differ, and typical ones.
        partial_view: Whether the fleet is too large for each instance to receive the
            reports of all others, so that the counts of engines in other failure
            domains are older and less exact.
        prefill_rate: Prompt tokens that an engine prefills in a millisecond, as
            learned.
        overhead_ms: Additional time of each prompt, as learned.
        prompts_observed: Number of prefills observed.
    """

    def __init__(
        self,
        is_avoided: abc.Callable[[servers.Incarnation], bool] = lambda server: False,
        speed_ratio: float | None = server_speeds.DEFAULT_RATIO,
    ) -> None:
        self._is_avoided = is_avoided
        self._engines: dict[str, EngineLoad] = {}
        self.speeds = server_speeds.Speeds(speed_ratio)
        self.partial_view = False
        self.prefill_rate = _INITIAL_PREFILL_RATE
        self.overhead_ms = _INITIAL_OVERHEAD_MS
        self.prompts_observed = 0

    def update(self, listed: abc.Iterable[servers.Server]) -> None:
        """Set the listed engines; the state of all others is dropped."""
        engines = {}
        for server in listed:
            known = self._engines.get(server.server_id)
            if known is None or known.server.incarnation != server.incarnation:
                # After a restart no earlier state holds: the prefix cache is empty, no
                # work is outstanding, and the failures were those of the previous
                # incarnation.
                known = EngineLoad(server)
            elif known.server.stage is not server.stage:
                known.change = None
            known.server = server
            engines[server.server_id] = known
        self._engines = engines

    def get(self, server_id: str) -> EngineLoad | None:
        """Return the load of a listed engine, or None."""
        return self._engines.get(server_id)

    def all(self) -> abc.Collection[EngineLoad]:
        """Return all listed engines."""
        return self._engines.values()

    def usable(
        self,
        stage: servers.Stage,
        now: datetime.timedelta,
        without: abc.Container[servers.Incarnation],
    ) -> list[EngineLoad]:
        """Return the engines of a stage that accept requests.

        Engines that failed recently are left out as long as others remain, and then
        get one request at a time until they are heard. So are engines that other
        instances found silent. If none remains, each is retried after its probe
        interval.
        """
        found = [
            engine
            for engine in self._engines.values()
            if engine.server.stage is stage
            and not engine.server.draining
            and engine.server.incarnation not in without
            and not engine.is_changing(now)
        ]
        healthy = [
            engine
            for engine in found
            if now >= engine.avoid_until
            and (not engine.on_trial or engine.accepts_trial())
            and not self._is_avoided(engine.server.incarnation)
        ]
        return healthy or [engine for engine in found if now >= engine.probe_at]

    def observe_prefill(
        self, tokens: float, took: datetime.timedelta, ahead: float = 0.0
    ) -> None:
        """Learn the prefill rate from a prompt that was prefilled on a separate engine.

        Prompts that were queued are included: in a busy fleet hardly any prompt finds
        an empty queue, and those alone teach too little. The tokens known to be ahead
        count as prefilled too, if they were no more than the prompt: behind a long
        queue, clients that disconnect take their prompts with them, and the learned
        rate would be too high.

        Args:
            tokens: Tokens of the prompt that had to be prefilled.
            took: Time from the dispatch to the answer.
            ahead: Tokens to be prefilled before it, as far as was known.
        """
        self.prompts_observed += 1
        milliseconds = took / datetime.timedelta(milliseconds=1)
        if tokens >= _MIN_LONG_PROMPT and ahead <= tokens:
            rate = (tokens + ahead) / max(1.0, milliseconds - self.overhead_ms)
            faster = rate > self.prefill_rate
            self.prefill_rate *= 1 + (_FASTER_STEP if faster else -_SLOWER_STEP)
        elif tokens <= _MAX_SHORT_PROMPT:
            overhead = milliseconds - tokens / self.prefill_rate
            faster = overhead < self.overhead_ms
            self.overhead_ms *= 1 + (-_FASTER_STEP if faster else _SLOWER_STEP)

    def prefill_rate_of(self, engine: EngineLoad) -> float:
        """Return the prompt tokens that an engine prefills in a millisecond."""
        if not self.speeds.uneven:
            return self.prefill_rate
        return self.speeds.rate_of(engine.speed) or self.prefill_rate

    def assumed_rate(self, engine: EngineLoad) -> float | None:
        """Return the rate that a wait at an engine rests on, if engines differ."""
        return round(self.prefill_rate_of(engine), 1) if self.speeds.uneven else None

    def event_gap_of(self, engine: EngineLoad) -> float:
        """Return the time between events of an engine's streams in milliseconds.

        It is 0 if no stream of the engine has been observed and engines don't differ.
        """
        if not self.speeds.uneven:
            return engine.event_gap_ms
        return self.speeds.gap_of(engine.speed)

    def record_prefill(
        self,
        engine: EngineLoad,
        tokens: float,
        took: datetime.timedelta,
        ahead: float,
        now: datetime.timedelta,
    ) -> None:
        """Learn from a prompt that an engine prefilled; see `observe_prefill`."""
        self.observe_prefill(tokens, took, ahead)
        took_ms = took / datetime.timedelta(milliseconds=1) - self.overhead_ms
        self.speeds.observe_prefill(engine.speed, tokens, ahead, took_ms, now)
        self.refresh_speeds(now)

    def record_event_gap(
        self,
        engine: EngineLoad,
        took: datetime.timedelta,
        now: datetime.timedelta,
        events: int = 1,
    ) -> None:
        """Learn from the time between events of a stream of an engine.

        Args:
            engine: The engine.
            took: Time since the last events of the stream.
            now: The current time.
            events: How many have arrived now.
        """
        self.observe_event_gap(engine, took)
        engine.pace.observe(took, events, now)
        gap_ms = took / datetime.timedelta(milliseconds=1)
        self.speeds.observe_gap(engine.speed, gap_ms, now)
        self.refresh_speeds(now)

    def refresh_speeds(self, now: datetime.timedelta) -> None:
        """Bring the speeds in use up to date if that was not done just now."""
        speeds = (engine.speed for engine in self._engines.values())
        self.speeds.refresh_if_due(speeds, now)

    def prefill_cost(self, tokens: int) -> float:
        """Return the prefill time of a prompt, in tokens at the learned rate."""
        return tokens + self.overhead_ms * self.prefill_rate

    def observe_event_gap(self, engine: EngineLoad, took: datetime.timedelta) -> None:
        """Learn from the time between two events of a stream."""
        engine.on_trial = False
        milliseconds = took / datetime.timedelta(milliseconds=1)
        engine.event_gap_ms += _EVENT_GAP_WEIGHT * (milliseconds - engine.event_gap_ms)

    def succeeded(self, engine: EngineLoad, now: datetime.timedelta) -> None:
        """Record an answer and reset the failures of an engine."""
        engine.answered_at = now
        engine.on_trial = False
        engine.failures = 0
        engine.declines = 0

    def declined(self, engine: EngineLoad, now: datetime.timedelta) -> None:
        """Avoid an engine that declined to run a request.

        An engine that changes its stage declines everything and soon has no stream
        left: by its counts it looks the best of all and would get every request.
        """
        pause = _DECLINED_BACKOFF * 2 ** min(engine.declines, _MAX_DOUBLINGS)
        engine.declines += 1
        engine.on_trial = False
        engine.avoid_until = max(engine.avoid_until, now + pause)

    def silent(self, engine: EngineLoad, now: datetime.timedelta) -> None:
        """Avoid an engine for a moment that may be sound and has said nothing."""
        engine.avoid_until = max(engine.avoid_until, now + _FIRST_BACKOFF)

    def failed(self, engine: EngineLoad, now: datetime.timedelta) -> None:
        """Avoid an engine for a while after a failure."""
        if now < engine.probe_at:
            return
        engine.on_trial = True
        pause = _FIRST_BACKOFF * 2**engine.failures
        engine.failures = min(engine.failures + 1, _MAX_DOUBLINGS)
        engine.avoid_until = now + min(pause, _MAX_BACKOFF)
        engine.probe_at = now + _PROBE_INTERVAL
