"""What each engine of a model service still has to do, and which prompts it keeps.

Load pattern: engines report their work some hundred milliseconds late, which is longer
than it takes to read most prompts. Sent by such reports, all instances choose the same
idle engine at once and leave it to queue for a second. So work is counted when it is
sent and taken off when it ends; peers tell their counts several times a second.

What peers tell is added up in `peer_loads`, what engines keep of prompts is remembered
in `prefix_cache`.

Speeds are learned from answers and start at figures that any engine of today exceeds,
so that a cold start expects too long waits rather than too short ones.
"""

import dataclasses
import datetime
import operator
from collections import abc

from pimentolatch.decisions import peer_loads, prefix_cache, urgency
from pimentolatch.requests import prompts
from pimentolatch.routes import servers

__all__ = ["EngineLoad", "EngineLoads", "StageChange"]

# Prompt tokens that an engine reads in a millisecond, and the time that each prompt
# takes besides, before any answer was seen.
_INITIAL_PREFILL_RATE = 30.0
_INITIAL_OVERHEAD_MS = 20.0
# An engine that writes answers reads prompts between its steps, at about half the rate.
COLOCATED_SLOWDOWN = 2.0
# Weight of one answer in the learned pauses: the mean of about the last twenty.
_EVENT_GAP_WEIGHT = 0.05
# Steps of the learned figures, as a share, when a prompt was read faster or slower than
# they say. Waiting makes a prompt late and nothing makes it early, so the fast ones say
# more: with these steps the figures follow the fastest fourteenth. A step of fixed
# size keeps one odd answer from saying much.
_FASTER_STEP = 0.08
_SLOWER_STEP = 0.006
# Prompts above the first figure show the rate, those below the second the overhead.
_MIN_LONG_PROMPT = 3000
_MAX_SHORT_PROMPT = 1000
# A server that failed is passed over for this long while others can serve; it doubles
# with each failure in a row up to the longest.
_FIRST_BACKOFF = datetime.timedelta(seconds=1)
_MAX_BACKOFF = datetime.timedelta(seconds=8)
_MAX_DOUBLINGS = 3
# While no engine of its stage is sound, one that failed is tried again after this: it
# is the only hope, and a crashed one is back within seconds of its last failure.
_PROBE_INTERVAL = datetime.timedelta(milliseconds=300)
# The pause after a request that was declined: one may be declined for its own sake,
# several in a row are not.
_DECLINED_BACKOFF = datetime.timedelta(milliseconds=100)


@dataclasses.dataclass(frozen=True, slots=True)
class StageChange:
    """A change of an engine's stage that is under way.

    Until it is over the engine declines whatever it is sent. Found out by each instance
    for itself, that costs a declined sending for each of them and engine, and requests
    that meet several such engines are refused; told of the changes, instances pass such
    engines over.

    Attributes:
        until: When it is over at the latest; the list of servers shows it sooner.
    """

    stage: servers.Stage
    until: datetime.timedelta


class EngineLoad:
    """Counts of one engine.

    Attributes:
        reading: Prompt tokens that this instance has sent and that are not read yet,
            by urgency.
        writing: Streams of this instance that run there.
        held: Tokens that these streams keep in memory.
        pause_ms: Mean time between events of its streams.
        failures: Exchanges in a row that broke off.
        declines: Requests in a row that it stated not to run.
        answered_at: When it last answered, as a sign of life.
        avoid_until: Until when it is passed over while others are sound.
        probe_at: When it may be tried again if none is.
        change: The change of stage that it is carrying out, as far as is known.
        peers: Work of other instances there.
        cached: Parts of prompts that it keeps.
    """

    def __init__(self, server: servers.Server) -> None:
        self.server = server
        self.prefill_tokens = [0.0] * urgency.LEVELS
        self.streams = 0
        self.kv_tokens = 0
        self.event_gap_ms = 0.0
        self.failures = 0
        self.declines = 0
        self.avoid_until = datetime.timedelta()
        self.probe_at = datetime.timedelta()
        self.change: StageChange | None = None
        self.answered_at = datetime.timedelta()
        self.peers = peer_loads.PeerLoads()
        self.prefix_cache = prefix_cache.PrefixCache()

    def begin_change(self, change: StageChange) -> None:
        """Note a change of stage, told by whoever ordered it or by others."""
        if change.stage is self.server.stage:
            # The list has shown its end; who says otherwise is behind.
            return
        if self.change is None or change.until > self.change.until:
            self.change = change

    def is_changing(self, now: datetime.timedelta) -> bool:
        """Tell whether the engine declines everything for a change of its stage."""
        return self.change is not None and now < self.change.until

    def own_load(self) -> peer_loads.PeerLoad:
        """Return what this instance has under way here."""
        return peer_loads.PeerLoad(
            tuple(self.prefill_tokens), self.streams, self.kv_tokens
        )

    def domain_load(self, now: datetime.timedelta) -> peer_loads.PeerLoad:
        """Return what the instances of this failure domain have under way here.

        It goes to the other domains, so nothing of theirs is in it: told back, their
        work would be counted twice, and then again.
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
        """Prompt tokens under way from all instances that are heard.

        Args:
            now: The time.
            level: Only count what is read before a prompt of this urgency.
        """
        return (
            sum(self.prefill_tokens[: level + 1])
            + self.peers.totals(now).prefill_tokens[level]
        )

    def total_streams(self, now: datetime.timedelta) -> int:
        """Streams from all instances that are heard."""
        return self.streams + self.peers.totals(now).streams

    def total_kv_tokens(self, now: datetime.timedelta) -> int:
        """Tokens in memory for streams from all instances that are heard."""
        return self.kv_tokens + self.peers.totals(now).kv_tokens

    def uncached_tokens(self, prompt: prompts.Prompt) -> int:
        """Return the tokens of a prompt that the engine would have to read."""
        return prompt.tokens - self.prefix_cache.cached_tokens(prompt)


class EngineLoads:
    """The engines of one model service.

    Attributes:
        partly_heard: The fleet is too large for everybody to hear everybody, so the
            counts of engines in other failure domains are older and less exact.
        reading_rate: Prompt tokens that an engine reads in a millisecond, as learned.
        overhead_ms: Time that each prompt takes besides, as learned.
        prompts_timed: Prompts that were read.
    """

    def __init__(self) -> None:
        self._engines: dict[str, EngineLoad] = {}
        self.partial_view = False
        self.prefill_rate = _INITIAL_PREFILL_RATE
        self.overhead_ms = _INITIAL_OVERHEAD_MS
        self.prompts_observed = 0

    def update(self, listed: abc.Iterable[servers.Server]) -> None:
        """Take the listed engines; what is known of the others is dropped."""
        engines = {}
        for server in listed:
            known = self._engines.get(server.server_id)
            if known is None or known.server.incarnation != server.incarnation:
                # After a new start nothing of before holds: no part is kept, nothing
                # is under way, and the failures were those of the life that ended.
                known = EngineLoad(server)
            elif known.server.stage is not server.stage:
                known.change = None
            known.server = server
            engines[server.server_id] = known
        self._engines = engines

    def get(self, server_id: str) -> EngineLoad | None:
        """Return the counts of an engine that is listed."""
        return self._engines.get(server_id)

    def all(self) -> abc.Collection[EngineLoad]:
        """Return every engine."""
        return self._engines.values()

    def usable(
        self,
        stage: servers.Stage,
        now: datetime.timedelta,
        without: abc.Container[servers.Incarnation],
    ) -> list[EngineLoad]:
        """Return the engines of a stage that take requests.

        Engines that failed lately are left out as long as others remain; if none does,
        they are tried again one failure after the other.
        """
        found = [
            engine
            for engine in self._engines.values()
            if engine.server.stage is stage
            and not engine.server.leaving
            and engine.server.incarnation not in without
            and not engine.is_changing(now)
        ]
        healthy = [engine for engine in found if now >= engine.avoid_until]
        return healthy or [engine for engine in found if now >= engine.probe_at]

    def observe_prefill(
        self, tokens: float, took: datetime.timedelta, ahead: float = 0.0
    ) -> None:
        """Learn the reading rate from a prompt that was read apart.

        Prompts that waited are not left out: at a busy fleet hardly any waits for
        nobody, and the others alone teach too little. What was known to be ahead counts
        as read too, if it was no more than the prompt: behind a long queue, clients
        that leave take their prompts with them, and the rate would be learned too high.

        Args:
            tokens: Tokens of the prompt that had to be read.
            took: Time from sending to the answer.
            ahead: Tokens that were to be read before it, as far as was known.
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

    def prefill_cost(self, tokens: int) -> float:
        """Return the tokens that could be read in the time that a prompt takes."""
        return tokens + self.overhead_ms * self.prefill_rate

    def observe_event_gap(self, engine: EngineLoad, took: datetime.timedelta) -> None:
        """Learn from the time between two events of a stream."""
        milliseconds = took / datetime.timedelta(milliseconds=1)
        engine.event_gap_ms += _EVENT_GAP_WEIGHT * (milliseconds - engine.event_gap_ms)

    def succeeded(self, engine: EngineLoad, now: datetime.timedelta) -> None:
        """Note an answer and forget earlier failures of an engine."""
        engine.answered_at = now
        engine.failures = 0
        engine.declines = 0

    def declined(self, engine: EngineLoad, now: datetime.timedelta) -> None:
        """Pass over an engine that does not run what it is sent.

        An engine that changes its stage declines everything and soon has no stream
        left: by its counts it looks the best of all and would get every request.
        """
        pause = _DECLINED_BACKOFF * 2 ** min(engine.declines, _MAX_DOUBLINGS)
        engine.declines += 1
        engine.avoid_until = max(engine.avoid_until, now + pause)

    def failed(self, engine: EngineLoad, now: datetime.timedelta) -> None:
        """Pass an engine over for a while."""
        pause = _FIRST_BACKOFF * 2**engine.failures
        engine.failures = min(engine.failures + 1, _MAX_DOUBLINGS)
        engine.avoid_until = now + min(pause, _MAX_BACKOFF)
        engine.probe_at = now + _PROBE_INTERVAL
