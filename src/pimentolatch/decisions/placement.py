"""Chooses the prefill and the decode engine of a request.

Load pattern: prompts of 12,000 tokens arrive beside prompts of 300, and their shares
shift within seconds. Prefilled on a decode engine, a long prompt stalls the streams
there for longer than clients accept. Prefilled on another engine, its KV cache has to
be transferred, which costs most between failure domains. If the two engines are chosen
independently, each choice is cheap and the pair is expensive.

The cost of a pair of engines is a sum in milliseconds: the wait for queued prompts, the
prefill of the uncached tokens, a charge for each shared token that is recomputed, and a
charge for each token that is transferred. Prefill is colocated with decode only if the
prompt is short and few tokens are queued for prefill on the decode engine, so that its
streams keep their event gap.

Requests with a shared prefix return to the engine that has it cached, because of the
charge for recomputing, and to the preferred engine of the prefix (`prefix_affinity`),
where instances converge that have not received each other's reports. If that engine has
a queue, another engine fetches the prefix from it: the transfer takes a few
milliseconds of a link, while the prefill takes a hundred of an engine.

If the engines differ in speed (`server_speeds`), waits follow the speed of each, and a
decode engine is charged for the chance that a pause of the stream exceeds what clients
accept. So a fast engine takes streams until its batch costs as much as the pauses of a
slow one, not until both have as many.
"""

import dataclasses
import datetime
import math
from collections import abc

from pimentolatch.decisions import (
    engine_loads,
    placement_types,
    prefix_affinity,
    urgency,
)
from pimentolatch.requests import prompts
from pimentolatch.routes import route_table, servers

__all__ = ["Placement", "utilization"]

# Charge per shared token that is recomputed, on top of its prefill time: recomputing
# what another engine has cached delays the other prompts in the queue.
_RECOMPUTE_MS = 0.035
# Charge per transferred token, and the factor for a transfer between failure domains.
_TRANSFER_MS = 0.002
_CROSS_DOMAIN_FACTOR = 3.0
# Charge for a decode engine in another failure domain.
_CROSS_DOMAIN_MS = 5.0
# The same with a partial view of the fleet, where it is charged for a prefill engine
# too: what is known of engines in other failure domains is half a second old, so many
# instances choose the same engine that looks idle.
_STALE_CROSS_DOMAIN_MS = 60.0
# Most tokens that may be queued for prefill on a decode engine, the prompt itself
# included, so that no stream's event gap exceeds what clients accept. Without any
# prefill engine there is no bound: a late answer is better than none.
_COLOCATED_TOKENS = 2000
# Charge for the streams running on a decode engine, at a full batch.
_BATCH_MS = 150.0
# Charge for a first event that misses the latency target.
_LATE_MS = 300.0
# Time from the end of prefill to the first event: colocated, and after a KV transfer.
_FIRST_STEP_MS = 30.0
_HANDOVER_MS = 60.0
# Requests refused in one burst get different retry times, or they would collide again.
# No queue gets shorter sooner than the minimum.
_MIN_RETRY_AFTER = datetime.timedelta(milliseconds=200)
_RETRY_JITTER = 0.5
# When a stream should be retried that no engine would end in time: the pace of the
# engines may have changed then. Waiting as long as it would overrun takes away the time
# that it needs.
_PACE_RETRY = datetime.timedelta(seconds=1)
# Above this share of its slots or memory an engine preempts streams or queues them. The
# charge grows so steeply that such an engine is chosen only if all others are as full.
_HIGH_UTILIZATION = 0.85
_OVERFULL_MS = 4000.0
# Share of the less urgent tokens that an engine prefills before a prompt all the same:
# it doesn't interrupt what it has begun.
_OVERTAKEN_SHARE = 0.5
# Bounds the charge for pauses, in multiples of that for a late first event: engines
# whose pauses are all too long differ still, but not without end.
_MAX_PAUSE_CHARGE = 4.0
_MILLISECOND = datetime.timedelta(milliseconds=1)
_NO_TARGET = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class _KvSource:
    """An engine that has the first `tokens` tokens of a prompt cached."""

    engine: engine_loads.EngineLoad
    tokens: int


class Placement:
    """Chooses engines for one model service.

    Args:
        loads: Loads of the service's engines.
        own_domain: Failure domain of this instance.
    """

    def __init__(self, loads: engine_loads.EngineLoads, own_domain: str) -> None:
        self._loads = loads
        self._domain = own_domain

    def choose(
        self,
        request: placement_types.PlacementRequest,
        traits: route_table.EngineTraits,
        now: datetime.timedelta,
        without: frozenset[servers.Incarnation] = frozenset(),
        withheld: frozenset[servers.Incarnation] = frozenset(),
    ) -> placement_types.PlacementResult:
        """Return the engines for a request.

        Args:
            request: The prompt and its time limits.
            traits: Properties of the service's engines.
            now: The current time.
            without: Engines to leave out, such as those that failed the request.
            withheld: Engines that accept no more requests at the moment.
        """
        excluded = without | withheld
        decode_engines = self._loads.usable(servers.Stage.DECODE, now, excluded)
        prefill_engines = self._loads.usable(servers.Stage.PREFILL, now, excluded)
        # A prefill engine that accepts few requests is still one: without any, the
        # decode engines would prefill whatever comes and stall their streams.
        bound = math.inf
        if prefill_engines or self._loads.usable(servers.Stage.PREFILL, now, without):
            bound = self._colocated_bound()
        found = list(
            self._candidates(
                request, traits, now, decode_engines, prefill_engines, bound
            )
        )
        if not found:
            return placement_types.NoEngine()
        # The charge for missing the preferred engine may exceed the time to the
        # deadline: by cost alone a request would be refused because of its preferred
        # engine's queue while other engines are idle.
        begin_in_time = [
            item for item in found if item[1].expected <= request.time_to_deadline
        ]
        in_time = [
            item for item in begin_in_time if _ends_in_time(item[1], request, now)
        ]
        if in_time:
            return min(in_time, key=lambda item: item[0])[1]
        if begin_in_time:
            retry_after = _PACE_RETRY
        else:
            first = min(place.expected for _, place in found)
            retry_after = max(first - request.time_to_deadline, _MIN_RETRY_AFTER)
        return placement_types.Infeasible(
            retry_after * (1 + _RETRY_JITTER * request.jitter),
            late_end=bool(begin_in_time),
        )

    def choose_decode_engine(
        self,
        prompt: prompts.Prompt,
        prefill_engine: engine_loads.EngineLoad,
        traits: route_table.EngineTraits,
        now: datetime.timedelta,
        without: frozenset[servers.Incarnation] = frozenset(),
        event_gap_target: datetime.timedelta = _NO_TARGET,
        required_events: float = 0.0,
        time_to_end: datetime.timedelta | None = None,
    ) -> engine_loads.EngineLoad | None:
        """Return the decode engine for a prompt that was just prefilled.

        Prefill takes up to seconds. The engine that was the best when it began may be
        full or draining by now, and must not get the request any more. One at whose
        pace the stream cannot end in time gets it only if all are as slow: the prefill
        would be lost.
        """
        decode_engines = self._loads.usable(servers.Stage.DECODE, now, without)
        if not decode_engines:
            return None
        in_time = _in_time(decode_engines, required_events, time_to_end, now)
        costs = {
            w.server.server_id: self._decode_cost(w, traits, now, event_gap_target)
            for w in in_time
        }
        return _best_decode_engine(
            in_time, costs, prompt, prefill_engine.server.failure_domain
        )[1]

    def _candidates(
        self,
        request: placement_types.PlacementRequest,
        traits: route_table.EngineTraits,
        now: datetime.timedelta,
        decode_engines: abc.Sequence[engine_loads.EngineLoad],
        prefill_engines: abc.Sequence[engine_loads.EngineLoad],
        bound: float,
    ) -> abc.Iterator[
        tuple[float, placement_types.Colocated | placement_types.Disaggregated]
    ]:
        """Yield the candidate placements with their costs in milliseconds.

        Of the pairs of a prefill and a decode engine, only those with the best decode
        engine for each prefill engine are needed. The best one depends only on the
        failure domain of the prefill engine, since nothing else changes the transfer
        cost.
        """
        ranking = prefix_affinity.rank(
            request.prompt,
            prefill_engines,
            self._loads.prefill_rate,
            by_speed=self._loads.speeds.uneven,
        )
        kv_sources = _kv_sources(request.prompt, [*decode_engines, *prefill_engines])
        costs = {
            w.server.server_id: self._decode_cost(
                w, traits, now, request.event_gap_target
            )
            for w in decode_engines
        }
        for decode_engine in decode_engines:
            colocated = self._colocated(decode_engine, request, now, kv_sources, bound)
            if colocated is not None:
                yield costs[decode_engine.server.server_id] + colocated[0], colocated[1]
        if not decode_engines:
            return
        in_time = _in_time(
            decode_engines, request.required_events, request.time_to_end, now
        )
        best: dict[str, tuple[float, engine_loads.EngineLoad]] = {}
        found: list[tuple[float, placement_types.Disaggregated]] = []
        for prefill_engine in prefill_engines:
            domain = prefill_engine.server.failure_domain
            if domain not in best:
                best[domain] = _best_decode_engine(
                    in_time, costs, request.prompt, domain
                )
            base, decode_engine = best[domain]
            cost, place = self._disaggregated(
                prefill_engine, decode_engine, request, now, kv_sources
            )
            if place.kv_source is None and ranking.kv_source is not prefill_engine:
                place = dataclasses.replace(place, kv_source=ranking.kv_source)
            if self._loads.partial_view:
                cost += self._cross_domain_cost(prefill_engine)
            found.append((base + cost, place))
        yield from self._with_charges(found, ranking, request)

    def _with_charges(
        self,
        found: abc.Sequence[tuple[float, placement_types.Disaggregated]],
        ranking: prefix_affinity.Ranking,
        request: placement_types.PlacementRequest,
    ) -> abc.Iterator[tuple[float, placement_types.Disaggregated]]:
        """Add the charges for engines that are not preferred for a prompt."""
        is_relieved = self._loads.speeds.uneven and any(
            place.prefill_engine is ranking.preferred
            and place.expected > request.time_to_target
            for _, place in found
        )
        for cost, place in found:
            server_id = place.prefill_engine.server.server_id
            charge = (
                prefix_affinity.missed_by_late(ranking, server_id)
                if is_relieved
                else ranking.charges[server_id]
            )
            yield cost + charge, place

    def _colocated_bound(self) -> float:
        """Return the most tokens that may be queued for prefill on a decode engine.

        With a partial view it is zero: each instance would see that room in reports
        that are half a second old, and together they would stall the streams there
        until their clients leave.
        """
        return 0.0 if self._loads.partial_view else _COLOCATED_TOKENS

    def _decode_cost(
        self,
        decode_engine: engine_loads.EngineLoad,
        traits: route_table.EngineTraits,
        now: datetime.timedelta,
        event_gap_target: datetime.timedelta,
    ) -> float:
        full = utilization(decode_engine, traits, now)
        cost = _BATCH_MS * full
        if self._loads.speeds.uneven and event_gap_target:
            cost += self._pause_cost(decode_engine, event_gap_target)
        if full > _HIGH_UTILIZATION:
            cost += _OVERFULL_MS * (full - _HIGH_UTILIZATION)
        return cost + self._cross_domain_cost(decode_engine)

    def _pause_cost(
        self,
        decode_engine: engine_loads.EngineLoad,
        event_gap_target: datetime.timedelta,
    ) -> float:
        """Return the charge for the chance that a stream has a pause too long.

        The chance is not known, but it grows faster than the long pauses of an engine
        approach what clients accept, and is high when they reach it.
        """
        gap_ms = self._loads.event_gap_of(decode_engine)
        pause_ms = gap_ms * self._loads.speeds.pause_factor
        ratio = pause_ms / (event_gap_target / _MILLISECOND)
        return _LATE_MS * min(_MAX_PAUSE_CHARGE, ratio * ratio)

    def _cross_domain_cost(self, engine: engine_loads.EngineLoad) -> float:
        if engine.server.failure_domain == self._domain:
            return 0.0
        return _STALE_CROSS_DOMAIN_MS if self._loads.partial_view else _CROSS_DOMAIN_MS

    def _colocated(
        self,
        decode_engine: engine_loads.EngineLoad,
        request: placement_types.PlacementRequest,
        now: datetime.timedelta,
        kv_sources: abc.Sequence[_KvSource],
        bound: float,
    ) -> tuple[float, placement_types.Colocated] | None:
        tokens, kv_source, fetched = _tokens_to_prefill(
            decode_engine, request.prompt, kv_sources
        )
        ahead = decode_engine.total_prefill_tokens(now)
        if ahead + tokens > bound:
            return None
        rate = (
            self._loads.prefill_rate_of(decode_engine) / engine_loads.COLOCATED_SLOWDOWN
        )
        milliseconds = (ahead + self._loads.prefill_cost(tokens)) / rate
        expected = datetime.timedelta(milliseconds=milliseconds + _FIRST_STEP_MS)
        late = expected > request.time_to_target
        # The streams of the engine are delayed by the same time.
        cost = 2 * milliseconds + (_LATE_MS if late else 0)
        cost += fetched + _RECOMPUTE_MS * _shared(request.prompt, tokens)
        level = urgency.level_of(
            request.rank,
            late=late,
            large=request.large,
            jitter=request.jitter,
            route_rank=request.route_rank,
        )
        return cost, placement_types.Colocated(
            decode_engine, tokens, kv_source, level, expected
        )

    def _tokens_ahead(
        self, engine: engine_loads.EngineLoad, level: int, now: datetime.timedelta
    ) -> float:
        """Return the tokens that an engine prefills before a prompt of a level."""
        ahead = engine.total_prefill_tokens(now, level)
        if not self._loads.speeds.uneven:
            return ahead
        less_urgent = engine.total_prefill_tokens(now) - ahead
        return ahead + _OVERTAKEN_SHARE * less_urgent

    def _disaggregated(
        self,
        prefill_engine: engine_loads.EngineLoad,
        decode_engine: engine_loads.EngineLoad,
        request: placement_types.PlacementRequest,
        now: datetime.timedelta,
        kv_sources: abc.Sequence[_KvSource],
    ) -> tuple[float, placement_types.Disaggregated]:
        tokens, kv_source, fetched = _tokens_to_prefill(
            prefill_engine, request.prompt, kv_sources
        )
        cost = fetched + _RECOMPUTE_MS * _shared(request.prompt, tokens)
        for late in (False, True):
            level = urgency.level_of(
                request.rank,
                late=late,
                large=request.large,
                jitter=request.jitter,
                route_rank=request.route_rank,
            )
            work = self._tokens_ahead(
                prefill_engine, level, now
            ) + self._loads.prefill_cost(tokens)
            milliseconds = work / self._loads.prefill_rate_of(prefill_engine)
            expected = datetime.timedelta(milliseconds=milliseconds + _HANDOVER_MS)
            if expected <= request.time_to_target:
                break
        cost += milliseconds + (_LATE_MS if late else 0)
        return cost, placement_types.Disaggregated(
            prefill_engine, decode_engine, tokens, kv_source, level, expected
        )


def utilization(
    decode_engine: engine_loads.EngineLoad,
    traits: route_table.EngineTraits,
    now: datetime.timedelta,
) -> float:
    """Return the used share of an engine's slots or KV memory, whichever is scarcer."""
    slots = decode_engine.total_streams(now) / max(1, traits.slots)
    return max(slots, decode_engine.total_kv_tokens(now) / max(1, traits.kv_tokens))


def _best_decode_engine(
    decode_engines: abc.Sequence[engine_loads.EngineLoad],
    costs: abc.Mapping[str, float],
    prompt: prompts.Prompt,
    domain: str,
) -> tuple[float, engine_loads.EngineLoad]:
    """Return the cost and the decode engine that is best for a prefill in a domain."""

    def cost(decode_engine: engine_loads.EngineLoad) -> float:
        return costs[decode_engine.server.server_id] + _transfer_cost(
            domain, decode_engine, prompt
        )

    decode_engine = min(decode_engines, key=cost)
    return cost(decode_engine), decode_engine


def _in_time(
    decode_engines: abc.Sequence[engine_loads.EngineLoad],
    events: float,
    time_to_end: datetime.timedelta | None,
    now: datetime.timedelta,
) -> abc.Sequence[engine_loads.EngineLoad]:
    """Return the engines at whose pace so many events end in time, or all if none."""
    if time_to_end is None or not events:
        return decode_engines
    found = [
        e for e in decode_engines if e.pace.stream_time(events, now) <= time_to_end
    ]
    return found or decode_engines


def _ends_in_time(
    place: placement_types.Colocated | placement_types.Disaggregated,
    request: placement_types.PlacementRequest,
    now: datetime.timedelta,
) -> bool:
    """Tell whether the last event is in time at the present pace of the engine.

    An instance that stops sends an engine ever less, and may have seen no event of its
    for a while. What it takes for too slow by then has other instances to go to.
    """
    if request.time_to_end is None:
        return True
    stream_time = place.engine.pace.stream_time(
        request.required_events, now, may_be_old=request.ends_at_stop
    )
    return place.expected + stream_time <= request.time_to_end


def _transfer_cost(
    domain: str, decode_engine: engine_loads.EngineLoad, prompt: prompts.Prompt
) -> float:
    """Return the charge for transferring a prompt prefilled in a failure domain."""
    transfer = decode_engine.uncached_tokens(prompt) * _TRANSFER_MS
    return transfer * (
        _CROSS_DOMAIN_FACTOR if decode_engine.server.failure_domain != domain else 1.0
    )


def _kv_sources(
    prompt: prompts.Prompt, engines: abc.Iterable[engine_loads.EngineLoad]
) -> list[_KvSource]:
    """Return the engines that have some of a prompt cached, the most tokens first."""
    found = [
        _KvSource(engine, engine.prefix_cache.cached_tokens(prompt))
        for engine in engines
    ]
    found = [
        kv_source
        for kv_source in found
        if kv_source.tokens >= prefix_affinity.MIN_FETCH_TOKENS
    ]
    return sorted(found, key=lambda kv_source: kv_source.tokens, reverse=True)


def _tokens_to_prefill(
    engine: engine_loads.EngineLoad,
    prompt: prompts.Prompt,
    kv_sources: abc.Sequence[_KvSource],
) -> tuple[int, engine_loads.EngineLoad | None, float]:
    """Return the tokens to prefill, the KV source of the rest, and its charge."""
    cached_tokens = engine.prefix_cache.cached_tokens(prompt)
    best: tuple[float, _KvSource] | None = None
    for kv_source in kv_sources:
        fetched = kv_source.tokens - cached_tokens
        if kv_source.engine is engine or fetched < prefix_affinity.MIN_FETCH_TOKENS:
            continue
        charge = fetched * _TRANSFER_MS
        if kv_source.engine.server.failure_domain != engine.server.failure_domain:
            charge *= _CROSS_DOMAIN_FACTOR
        gain = fetched * _RECOMPUTE_MS - charge
        if best is None or gain > best[0]:
            best = gain, kv_source
    if best is None:
        return prompt.tokens - cached_tokens, None, 0.0
    kv_source = best[1]
    fetched = kv_source.tokens - cached_tokens
    charge = fetched * _RECOMPUTE_MS - best[0]
    return prompt.tokens - kv_source.tokens, kv_source.engine, charge


def _shared(prompt: prompts.Prompt, tokens: int) -> int:
    """Return how many of the tokens to prefill belong to shared parts."""
    own = prompt.parts[-1].tokens if prompt.parts else prompt.tokens
    return max(0, tokens - own)
