"""Plans how many engines read prompts and how many write answers.

Load pattern: for a quarter of a minute most requests bring long prompts, then most ask
for long answers. Engines that read are two thirds idle in one half and a queue of
seconds in the other. Routing bends first: short prompts are read where they are
answered. What it can't bend, because reading in place stops the streams there, is worth
a change of stage, which takes an engine away for seconds.

A change is due when the pressure that it would have taken off by now, summed over time,
has come to its price. A split that is far off is left within two seconds, one that is
little off is left alone unless that lasts; a rule that waits for a fixed time does one
of the two wrong.

Each stage keeps an engine to spare: with one alone, its crash leaves the stage empty
and every request waits until it is back. If a stage is emptied all the same, an engine
is told to write at once, whatever the price.
"""

import dataclasses
import datetime
import statistics
from collections import abc

from pimentolatch.decisions import engine_loads, mix, placement, stage_split
from pimentolatch.routes import servers, table

__all__ = ["STREAMS_END", "Change", "StagePlanner"]

# Streams of an engine that is told to change end about this much later.
STREAMS_END = datetime.timedelta(seconds=4)
# A stage that was given an engine lately keeps it for this long, several times the
# length of a change.
_DWELL = datetime.timedelta(seconds=6)
# Price of a change, in seconds of pressure that it takes off. A pressure of three that
# falls to two is answered within two seconds.
_PRICE = 2.0
# Prompts wait less than this where reading is not short, as a mean over some seconds.
_LEAST_WAIT_MS = 50.0
# Prompts that must have been timed before the learned rate is worth a change.
_LEAST_TIMED = 4
# Engines that may be changing at once, as a share of all: they serve nobody meanwhile.
_AT_ONCE = 0.2
# From this many engines on each stage keeps two that work, or a crash would empty it.
_SMALLEST_SPARED = 4
# No engine writes for this long: the stage is empty, not one connection reset.
_EMPTY = datetime.timedelta(milliseconds=400)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An engine that should change its stage, and the figures that say so."""

    engine: servers.Incarnation
    stage: servers.Stage
    reading_share: float
    writing_share: float
    reading_rate: float


class StagePlanner:
    """Plans the stages of one service's engines."""

    def __init__(self) -> None:
        self._relief = dict.fromkeys(servers.Stage, 0.0)
        self._looked: datetime.timedelta | None = None
        self._empty_since: datetime.timedelta | None = None
        self._changed: dict[servers.Incarnation, datetime.timedelta] = {}
        self._told: dict[servers.Incarnation, servers.Stage] = {}
        self._last_to: dict[servers.Stage, datetime.timedelta] = {}
        self._mix = mix.MixMemory()

    def changed(self, change: Change, now: datetime.timedelta) -> None:
        """Note that an engine was told to change."""
        self._changed[change.engine] = now
        self._told[change.engine] = change.stage
        self._last_to[change.stage] = now
        self._relief[change.stage] = 0.0

    def plan(
        self,
        loads: engine_loads.EngineLoads,
        traits: table.EngineTraits,
        pause_target_ms: float,
        reading_demand: float,
        reading_rate: float,
        now: datetime.timedelta,
    ) -> tuple[Change, ...]:
        """Return the changes that are worth their price now.

        Args:
            loads: Work of the engines, from all instances that are heard.
            traits: What the operator says of the engines.
            pause_target_ms: Longest pause between events that is on time.
            reading_demand: Prompt tokens a second that all instances are asked to read.
            reading_rate: Prompt tokens that an engine reads in a millisecond.
            now: The time.
        """
        engines = [e for e in loads.all() if not e.server.leaving]
        readers = [e for e in engines if e.server.stage is servers.Stage.PREFILL]
        writers = [e for e in engines if e.server.stage is servers.Stage.DECODE]
        self._hear_of_changes(engines, now)
        moving = self._moving(traits, now)
        reading = reading_demand / 1000 / reading_rate
        writing = _writing_need(writers, traits, pause_target_ms, now)
        self._mix.note(reading, writing, _waiting_ms(readers, reading_rate, now), now)
        split = _Split(*self._as_ordered(readers, writers), moving, reading_rate)
        # Before the first request nothing is missing: engines only register one by one.
        rescue = self._rescue(split, now) if reading_demand > 0 else ()
        if rescue:
            return rescue
        spare = 2 if len(engines) >= _SMALLEST_SPARED else 1
        at_once = max(1, int(_AT_ONCE * len(engines)))
        move = self._due_move(split, spare, at_once, now)
        if move is None or loads.prompts_observed < _LEAST_TIMED:
            return ()
        givers = split.givers(move.stage)
        sound = [engine for engine in givers if now >= engine.avoid_until]
        count = min(move.count, at_once - len(moving), len(sound) - spare)
        return self._changes(split, move.stage, sound, count, now)

    def _due_move(
        self, split: "_Split", spare: int, at_once: int, now: datetime.timedelta
    ) -> stage_split.Move | None:
        """Return the move whose relief has come to the price of a change."""
        before, self._looked = self._looked, now
        need = stage_split.Engines(self._mix.reading, self._mix.writing)
        move = stage_split.best_move(
            need, len(split.readers), len(split.writers), spare, at_once
        )
        reading_waits = self._mix.wait_ms >= _LEAST_WAIT_MS
        if move is not None and move.stage is servers.Stage.PREFILL:
            move = move if reading_waits else None
        for stage in servers.Stage:
            if move is None or stage is not move.stage:
                self._relief[stage] = 0.0
        if move is None or before is None:
            return None
        self._relief[move.stage] += move.relief * (now - before).total_seconds()
        due = self._relief[move.stage] >= _PRICE and not self._dwells(move.stage, now)
        return move if due else None

    def _rescue(self, split: "_Split", now: datetime.timedelta) -> tuple[Change, ...]:
        """Return the change that brings a writer back if none is left.

        Where all that write crash at one moment, every request would be refused beside
        engines that read.
        """
        empty = all(
            _is_down(writer, now) and writer.server.incarnation not in split.moving
            for writer in split.writers
        )
        if not empty:
            self._empty_since = None
            return ()
        if self._empty_since is None:
            self._empty_since = now
        if now - self._empty_since < _EMPTY:
            return ()
        sound = [r for r in split.readers if now >= r.avoid_until]
        return self._changes(split, servers.Stage.DECODE, sound, 1, now)

    def _changes(
        self,
        split: "_Split",
        stage: servers.Stage,
        givers: abc.Collection[engine_loads.EngineLoad],
        count: int,
        now: datetime.timedelta,
    ) -> tuple[Change, ...]:
        left = list(givers)
        changes: list[Change] = []
        while len(changes) < count:
            engine = _cheapest(left, split.givers(_other(stage)), split.moving, now)
            if engine is None:
                break
            left.remove(engine)
            changes.append(
                Change(
                    engine.server.incarnation,
                    stage,
                    self._mix.reading / max(len(split.readers), 0.5),
                    self._mix.writing / max(len(split.writers), 0.5),
                    split.reading_rate,
                )
            )
        return tuple(changes)

    def _as_ordered(
        self,
        readers: list[engine_loads.EngineLoad],
        writers: list[engine_loads.EngineLoad],
    ) -> tuple[list[engine_loads.EngineLoad], list[engine_loads.EngineLoad]]:
        """Return the engines by the stage that they were told to take.

        The list shows a change when it is over. Counted as before until then, the same
        need would be met a second time.
        """
        ordered: dict[servers.Stage, list[engine_loads.EngineLoad]] = {
            stage: [] for stage in servers.Stage
        }
        for engine in (*readers, *writers):
            stage = self._told.get(engine.server.incarnation) or engine.server.stage
            if stage is not None:
                ordered[stage].append(engine)
        return ordered[servers.Stage.PREFILL], ordered[servers.Stage.DECODE]

    def _hear_of_changes(
        self, engines: abc.Iterable[engine_loads.EngineLoad], now: datetime.timedelta
    ) -> None:
        """Take changes that another instance ordered for those of one's own.

        Whoever takes over planning would order them a second time.
        """
        for engine in engines:
            name = engine.server.incarnation
            if engine.change is not None and engine.is_changing(now):
                self._changed.setdefault(name, now)
                self._told.setdefault(name, engine.change.stage)

    def _moving(
        self, traits: table.EngineTraits, now: datetime.timedelta
    ) -> set[servers.Incarnation]:
        away = traits.stage_change + STREAMS_END
        self._changed = {
            name: at for name, at in self._changed.items() if now - at < 4 * away
        }
        moving = {name for name, at in self._changed.items() if now - at < away}
        self._told = {name: to for name, to in self._told.items() if name in moving}
        return moving

    def _dwells(self, taker: servers.Stage, now: datetime.timedelta) -> bool:
        last = self._last_to.get(_other(taker))
        return last is not None and now - last < _DWELL


@dataclasses.dataclass(frozen=True, slots=True)
class _Split:
    """The engines by the stage that they have or were told to take.

    Attributes:
        moving: Engines that are changing.
        reading_rate: Prompt tokens that an engine reads in a millisecond.
    """

    readers: list[engine_loads.EngineLoad]
    writers: list[engine_loads.EngineLoad]
    moving: abc.Container[servers.Incarnation]
    reading_rate: float

    def givers(self, taker: servers.Stage) -> list[engine_loads.EngineLoad]:
        """Return the engines that may be given to a stage."""
        return self.writers if taker is servers.Stage.PREFILL else self.readers


def _is_down(engine: engine_loads.EngineLoad, now: datetime.timedelta) -> bool:
    """Tell whether an engine fails: one exchange that broke off says little."""
    return now < engine.avoid_until and engine.failures > 1


def _other(stage: servers.Stage) -> servers.Stage:
    return next(other for other in servers.Stage if other is not stage)


def _waiting_ms(
    readers: abc.Sequence[engine_loads.EngineLoad],
    reading_rate: float,
    now: datetime.timedelta,
) -> float:
    """Return how long a prompt waits now; a rate learned too low only says so."""
    waiting = sum(reader.total_prefill_tokens(now) for reader in readers)
    return waiting / reading_rate / max(1, len(readers))


def _writing_need(
    writers: abc.Sequence[engine_loads.EngineLoad],
    traits: table.EngineTraits,
    pause_target_ms: float,
    now: datetime.timedelta,
) -> float:
    """Return how many engines the running streams fill."""
    by_room = sum(placement.utilization(engine, traits, now) for engine in writers)
    pauses = [engine.event_gap_ms for engine in writers if engine.event_gap_ms > 0]
    if not pauses or pause_target_ms <= 0:
        return by_room
    by_pause = statistics.fmean(pauses) / pause_target_ms * len(writers)
    return max(by_room, by_pause)


def _cheapest(
    givers: abc.Collection[engine_loads.EngineLoad],
    takers: abc.Collection[engine_loads.EngineLoad],
    moving: abc.Container[servers.Incarnation],
    now: datetime.timedelta,
) -> engine_loads.EngineLoad | None:
    """Return the engine that a stage can best spare.

    A domain that keeps both stages moves its prompts within it, so the engine comes
    from where the giving stage is strongest against the other; among these the one
    with the least work ends it soonest.
    """

    def cost(engine: engine_loads.EngineLoad) -> tuple[float, float, str]:
        domain = engine.server.failure_domain
        own = sum(g.server.failure_domain == domain for g in givers)
        others = sum(t.server.failure_domain == domain for t in takers)
        work = engine.total_streams(now) + engine.total_prefill_tokens(now) / 1000
        return (others - own, work, engine.server.server_id)

    found = [e for e in givers if e.server.incarnation not in moving]
    return min(found, key=cost, default=None)
