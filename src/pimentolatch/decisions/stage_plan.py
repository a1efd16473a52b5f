"""Plans how many engines run prefill and how many run decode.

Load pattern: for about 15 seconds most requests bring long prompts, then most ask for
long answers. Prefill engines are two thirds idle in one half and have a queue of
seconds in the other. Routing reacts first by prefilling short prompts on the decode
engines. Long prompts would stall the streams there, so the rest of the imbalance is
worth a change of stage, which takes an engine out of service for seconds.

A change is due when the pressure that it would have relieved so far, integrated over
time, reaches the cost of the change. A split that is far off is corrected within two
seconds, and one that is slightly off only if that lasts. A rule with a fixed delay gets
one of the two wrong.

Each stage keeps a spare engine: if its only engine crashed, the stage would be empty
and every request would wait until the engine is back. If the decode stage becomes empty
all the same, an engine is moved to decode at once, whatever the cost.
"""

import dataclasses
import datetime
import statistics
from collections import abc

from pimentolatch.decisions import engine_loads, placement, smoothed_demand, stage_split
from pimentolatch.routes import route_table, servers

__all__ = ["STREAM_DRAIN_TIME", "Change", "StagePlanner"]

# Time after which the streams of an engine that is to change have ended.
STREAM_DRAIN_TIME = datetime.timedelta(seconds=4)
# A stage keeps an engine that it was given for at least this long, several times the
# duration of a change.
_DWELL = datetime.timedelta(seconds=6)
# Cost of a change, as pressure relieved times seconds. A pressure of three that a
# change lowers to two is answered within two seconds.
_CHANGE_COST_S = 2.0
# Shortest mean wait of prompts, over some seconds, at which prefill is short of
# engines.
_MIN_WAIT_MS = 50.0
# Prompts to time before the learned prefill rate is good enough for a change.
_MIN_TIMED_PROMPTS = 4
# Share of the engines that may change at once, since they serve no requests meanwhile.
_MAX_CHANGING_SHARE = 0.2
# From this many engines on, each stage keeps two healthy ones, so that one crash does
# not empty it.
_MIN_ENGINES_FOR_SPARE = 4
# Time without any decode engine after which the stage counts as empty; shorter gaps can
# be one connection reset.
_EMPTY_STAGE_TIMEOUT = datetime.timedelta(milliseconds=400)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An engine that should change its stage, with the figures behind it.

    Attributes:
        engine: The incarnation that should change.
        stage: Its new stage.
        prefill_share: Prefill engines needed, as a share of those present.
        decode_share: Decode engines needed, as a share of those present.
        prefill_rate: Prompt tokens that an engine prefills per millisecond.
    """

    engine: servers.Incarnation
    stage: servers.Stage
    prefill_share: float
    decode_share: float
    prefill_rate: float


class StagePlanner:
    """Plans the stages of the engines of one service."""

    def __init__(self) -> None:
        self._relief = dict.fromkeys(servers.Stage, 0.0)
        self._planned_at: datetime.timedelta | None = None
        self._empty_since: datetime.timedelta | None = None
        self._ordered_at: dict[servers.Incarnation, datetime.timedelta] = {}
        self._target_stages: dict[servers.Incarnation, servers.Stage] = {}
        self._last_change_to: dict[servers.Stage, datetime.timedelta] = {}
        self._demand = smoothed_demand.SmoothedDemand()

    def changed(self, change: Change, now: datetime.timedelta) -> None:
        """Record that an engine was ordered to change."""
        self._ordered_at[change.engine] = now
        self._target_stages[change.engine] = change.stage
        self._last_change_to[change.stage] = now
        self._relief[change.stage] = 0.0

    def plan(
        self,
        loads: engine_loads.EngineLoads,
        traits: route_table.EngineTraits,
        pause_target_ms: float,
        prefill_demand: float,
        prefill_rate: float,
        now: datetime.timedelta,
        limited: abc.Container[servers.Incarnation] = frozenset(),
    ) -> tuple[Change, ...]:
        """Return the changes that are worth their cost now.

        Args:
            loads: Load of the engines, with the reports of all reachable instances.
            traits: Properties of the engines, from the configuration.
            pause_target_ms: Longest pause between events of a stream that is on time.
            prefill_demand: Prompt tokens per second requested from all instances.
            prefill_rate: Prompt tokens that an engine prefills per millisecond.
            now: The current time.
            limited: Engines that accept few requests. Their stage is not empty, but
                they are left out of its need and its size: nearly idle, they would make
                the others look half as full as they are.
        """
        listed = [e for e in loads.all() if not e.server.draining]
        self._adopt_changes(listed, now)
        changing = self._changing(traits, now)
        engines = [e for e in listed if e.server.incarnation not in limited]
        prefill_engines = _of_stage(engines, servers.Stage.PREFILL)
        decode_engines = _of_stage(engines, servers.Stage.DECODE)
        prefill_need = prefill_demand / 1000 / prefill_rate
        decode_need = _decode_need(decode_engines, traits, pause_target_ms, now)
        self._demand.observe(
            prefill_need,
            decode_need,
            _prefill_wait_ms(prefill_engines, prefill_rate, now),
            now,
        )
        # Before the first request no stage is empty: engines are still registering.
        if prefill_demand > 0:
            rescue = self._rescue(self._split(listed, changing, prefill_rate), now)
            if rescue:
                return rescue
        split = self._split(engines, changing, prefill_rate)
        min_per_stage = 2 if len(engines) >= _MIN_ENGINES_FOR_SPARE else 1
        max_changing = max(1, int(_MAX_CHANGING_SHARE * len(engines)))
        move = self._due_move(split, min_per_stage, max_changing, now)
        if move is None or loads.prompts_observed < _MIN_TIMED_PROMPTS:
            return ()
        sources = split.sources(move.stage)
        healthy = [engine for engine in sources if now >= engine.avoid_until]
        count = min(
            move.count, max_changing - len(changing), len(healthy) - min_per_stage
        )
        return self._changes(split, move.stage, healthy, count, now)

    def _due_move(
        self,
        split: "_Split",
        min_per_stage: int,
        max_changing: int,
        now: datetime.timedelta,
    ) -> stage_split.Move | None:
        """Return the move whose accumulated relief has reached the cost of a change."""
        before, self._planned_at = self._planned_at, now
        need = stage_split.EngineCounts(self._demand.prefill, self._demand.decode)
        move = stage_split.best_move(
            need,
            len(split.prefill_engines),
            len(split.decode_engines),
            min_per_stage,
            max_changing,
        )
        prefill_waits = self._demand.wait_ms >= _MIN_WAIT_MS
        if move is not None and move.stage is servers.Stage.PREFILL:
            move = move if prefill_waits else None
        for stage in servers.Stage:
            if move is None or stage is not move.stage:
                self._relief[stage] = 0.0
        if move is None or before is None:
            return None
        self._relief[move.stage] += move.relief * (now - before).total_seconds()
        due = self._relief[move.stage] >= _CHANGE_COST_S and not self._dwells(
            move.stage, now
        )
        return move if due else None

    def _rescue(self, split: "_Split", now: datetime.timedelta) -> tuple[Change, ...]:
        """Return the change that restores the decode stage if it is empty.

        If all decode engines crash at once, every request would be refused while
        prefill engines stand idle.
        """
        empty = all(
            _is_down(engine, now) and engine.server.incarnation not in split.changing
            for engine in split.decode_engines
        )
        if not empty:
            self._empty_since = None
            return ()
        if self._empty_since is None:
            self._empty_since = now
        if now - self._empty_since < _EMPTY_STAGE_TIMEOUT:
            return ()
        healthy = [r for r in split.prefill_engines if now >= r.avoid_until]
        return self._changes(split, servers.Stage.DECODE, healthy, 1, now)

    def _changes(
        self,
        split: "_Split",
        stage: servers.Stage,
        sources: abc.Collection[engine_loads.EngineLoad],
        count: int,
        now: datetime.timedelta,
    ) -> tuple[Change, ...]:
        remaining = list(sources)
        changes: list[Change] = []
        while len(changes) < count:
            engine = _cheapest(
                remaining, split.sources(_other(stage)), split.changing, now
            )
            if engine is None:
                break
            remaining.remove(engine)
            changes.append(
                Change(
                    engine.server.incarnation,
                    stage,
                    self._demand.prefill / max(len(split.prefill_engines), 0.5),
                    self._demand.decode / max(len(split.decode_engines), 0.5),
                    split.prefill_rate,
                )
            )
        return tuple(changes)

    def _split(
        self,
        engines: abc.Iterable[engine_loads.EngineLoad],
        changing: abc.Container[servers.Incarnation],
        prefill_rate: float,
    ) -> "_Split":
        """Return some engines by the stage that they were ordered to take.

        The server list shows a change only when it is complete. If engines counted for
        their old stage until then, the same need would be met twice.
        """
        by_stage: dict[servers.Stage, list[engine_loads.EngineLoad]] = {
            stage: [] for stage in servers.Stage
        }
        for engine in engines:
            stage = (
                self._target_stages.get(engine.server.incarnation)
                or engine.server.stage
            )
            if stage is not None:
                by_stage[stage].append(engine)
        return _Split(
            by_stage[servers.Stage.PREFILL],
            by_stage[servers.Stage.DECODE],
            changing,
            prefill_rate,
        )

    def _adopt_changes(
        self, engines: abc.Iterable[engine_loads.EngineLoad], now: datetime.timedelta
    ) -> None:
        """Adopt changes that another instance ordered.

        A new leader would otherwise order them a second time.
        """
        for engine in engines:
            name = engine.server.incarnation
            if engine.change is not None and engine.is_changing(now):
                self._ordered_at.setdefault(name, now)
                self._target_stages.setdefault(name, engine.change.stage)

    def _changing(
        self, traits: route_table.EngineTraits, now: datetime.timedelta
    ) -> set[servers.Incarnation]:
        change_time = traits.stage_change_time + STREAM_DRAIN_TIME
        self._ordered_at = {
            name: at
            for name, at in self._ordered_at.items()
            if now - at < 4 * change_time
        }
        changing = {
            name for name, at in self._ordered_at.items() if now - at < change_time
        }
        self._target_stages = {
            name: to for name, to in self._target_stages.items() if name in changing
        }
        return changing

    def _dwells(self, target: servers.Stage, now: datetime.timedelta) -> bool:
        last = self._last_change_to.get(_other(target))
        return last is not None and now - last < _DWELL


@dataclasses.dataclass(frozen=True, slots=True)
class _Split:
    """The engines by the stage that they have or were ordered to take.

    Attributes:
        prefill_engines: Engines of the prefill stage.
        decode_engines: Engines of the decode stage.
        changing: Engines that are changing their stage.
        prefill_rate: Prompt tokens that an engine prefills per millisecond.
    """

    prefill_engines: list[engine_loads.EngineLoad]
    decode_engines: list[engine_loads.EngineLoad]
    changing: abc.Container[servers.Incarnation]
    prefill_rate: float

    def sources(self, target: servers.Stage) -> list[engine_loads.EngineLoad]:
        """Return the engines that may be moved to a stage."""
        return (
            self.decode_engines
            if target is servers.Stage.PREFILL
            else self.prefill_engines
        )


def _is_down(engine: engine_loads.EngineLoad, now: datetime.timedelta) -> bool:
    """Return whether an engine is failing; a single broken exchange is no proof."""
    return now < engine.avoid_until and engine.failures > 1


def _of_stage(
    engines: abc.Iterable[engine_loads.EngineLoad], stage: servers.Stage
) -> list[engine_loads.EngineLoad]:
    return [engine for engine in engines if engine.server.stage is stage]


def _other(stage: servers.Stage) -> servers.Stage:
    return next(other for other in servers.Stage if other is not stage)


def _prefill_wait_ms(
    prefill_engines: abc.Sequence[engine_loads.EngineLoad],
    prefill_rate: float,
    now: datetime.timedelta,
) -> float:
    """Return how long a prompt waits for prefill now, in milliseconds.

    If the learned rate is too low, this only overstates the wait.
    """
    waiting = sum(engine.total_prefill_tokens(now) for engine in prefill_engines)
    return waiting / prefill_rate / max(1, len(prefill_engines))


def _decode_need(
    decode_engines: abc.Sequence[engine_loads.EngineLoad],
    traits: route_table.EngineTraits,
    pause_target_ms: float,
    now: datetime.timedelta,
) -> float:
    """Return how many engines the running streams occupy."""
    by_occupancy = sum(
        placement.utilization(engine, traits, now) for engine in decode_engines
    )
    pauses = [
        engine.event_gap_ms for engine in decode_engines if engine.event_gap_ms > 0
    ]
    if not pauses or pause_target_ms <= 0:
        return by_occupancy
    by_pause = statistics.fmean(pauses) / pause_target_ms * len(decode_engines)
    return max(by_occupancy, by_pause)


def _cheapest(
    sources: abc.Collection[engine_loads.EngineLoad],
    target_engines: abc.Collection[engine_loads.EngineLoad],
    changing: abc.Container[servers.Incarnation],
    now: datetime.timedelta,
) -> engine_loads.EngineLoad | None:
    """Return the engine that can be moved to another stage at the least cost.

    A failure domain with both stages transfers its KV cache within the domain. So the
    engine comes from the domain where its stage has the largest majority over the
    other. Among these, the one with the least work drains first.
    """

    def cost(engine: engine_loads.EngineLoad) -> tuple[float, float, str]:
        domain = engine.server.failure_domain
        own = sum(g.server.failure_domain == domain for g in sources)
        others = sum(t.server.failure_domain == domain for t in target_engines)
        work = engine.total_streams(now) + engine.total_prefill_tokens(now) / 1000
        return (others - own, work, engine.server.server_id)

    candidates = [e for e in sources if e.server.incarnation not in changing]
    return min(candidates, key=cost, default=None)
