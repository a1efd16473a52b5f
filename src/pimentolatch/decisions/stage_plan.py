"""Plans how many engines read prompts and how many write answers.

Load pattern: for a quarter of a minute most requests bring long prompts, then most ask
for long answers. Engines that read are two thirds idle in one half and a queue of
seconds in the other. Routing bends first: short prompts are read where they are
answered. What it can't bend, because reading in place stops the streams there, is worth
a change of stage, which takes an engine away for seconds.

Work is compared as a share of what each stage can do: writing by slots, memory and the
pauses between events, reading by the learned rate. Each share is held against the one
at which its queue stays short, and that gives the pressure on a stage. The planner
looks for the split with the least pressure on the stage that is worse off, and moves
engines there one by one, if that is worth a change.

Reading a third of the time with engines that were asked for more than they could do
cost 0.03 of the payoff on quiet days, against five of nine engines reading. Without a
bound on what writing gives, requests wait for slots with their prompts read: with six
of nine reading, 0.05 less.

Without a margin for the gain, two stages near their limits would hand an engine back
and forth, each time at the price of a change.
"""

import dataclasses
import datetime
import statistics
from collections import abc

from pimentolatch.decisions import engine_loads, mix, placement
from pimentolatch.routes import servers, table

__all__ = ["Change", "StagePlanner"]

# Shares of what a stage can do at which its queue stays short. Prompts differ in length
# by a factor of a hundred, so their queue grows early; slots are held for seconds and
# bursts take half as many again.
_AT_EASE = {servers.Stage.PREFILL: 0.75, servers.Stage.DECODE: 0.6}
# Below this pressure no split is changed.
_LEAST_PRESSURE = 0.8
# The best split must lessen the greatest pressure by this part; one engine more beside
# five lessens it by a sixth.
_LEAST_GAIN = 0.12
# Writing gives an engine only if its share stays below this afterwards: streams hold
# slots and memory and can't wait, and more of them come once more prompts are read.
_MOST_WRITING = 0.7
# Streams of an engine that is told to change end about this much later.
_STREAMS_END = datetime.timedelta(seconds=4)
# A stage that was given an engine lately keeps it for this long, several times the
# length of a change.
_DWELL = datetime.timedelta(seconds=6)
# A demand must last this long. A change takes an engine away until its streams have
# ended and for the change besides, some seven seconds in all: a shorter demand is over
# when it is back. With two seconds, a change in a shift of fourteen seconds cost about
# as much as it brought.
_LASTING = datetime.timedelta(seconds=6)
# Prompts wait less than this where reading is not short, as a mean over some seconds.
_LEAST_WAIT_MS = 50.0
# Prompts that must have been timed before the learned rate is worth a change.
_LEAST_TIMED = 20
# Engines that may be changing at once, as a share of all.
_AT_ONCE = 0.2


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
        self._crowded_since: dict[servers.Stage, datetime.timedelta] = {}
        self._changed: dict[servers.Incarnation, datetime.timedelta] = {}
        self._told: dict[servers.Incarnation, servers.Stage] = {}
        self._last_to: dict[servers.Stage, datetime.timedelta] = {}
        self._mix = mix.MixMemory()

    def changed(self, change: Change, now: datetime.timedelta) -> None:
        """Note that an engine was told to change."""
        self._changed[change.engine] = now
        self._told[change.engine] = change.stage
        self._last_to[change.stage] = now

    def plan(
        self,
        loads: engine_loads.EngineLoads,
        traits: table.EngineTraits,
        pause_target_ms: float,
        reading_demand: float,
        reading_rate: float,
        now: datetime.timedelta,
    ) -> Change | None:
        """Return the change that is worth its price now, if any.

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
        moving = self._moving(traits, now)
        reading = reading_demand / 1000 / reading_rate
        writing = _writing_need(writers, traits, pause_target_ms, now)
        self._mix.note(reading, writing, _waiting_ms(readers, reading_rate, now), now)
        if loads.prompts_timed < _LEAST_TIMED:
            return None
        if len(moving) >= max(1, int(_AT_ONCE * len(engines))):
            return None
        readers, writers = self._as_ordered(readers, writers)
        reading_share = self._mix.reading / max(len(readers), 0.5)
        writing_share = self._mix.writing / max(len(writers), 0.5)
        taker = _taker(self._mix.reading, len(readers), self._mix.writing, len(writers))
        if taker is servers.Stage.PREFILL and self._mix.wait_ms < _LEAST_WAIT_MS:
            taker = None
        for stage in servers.Stage:
            if not self._lasts(stage, stage is taker, now):
                continue
            if self._dwells(stage, now):
                continue
            givers = writers if stage is servers.Stage.PREFILL else readers
            engine = _cheapest(givers, readers, writers, moving, now)
            if engine is not None:
                return Change(
                    engine.server.incarnation,
                    stage,
                    reading_share,
                    writing_share,
                    reading_rate,
                )
        return None

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

    def _moving(
        self, traits: table.EngineTraits, now: datetime.timedelta
    ) -> set[servers.Incarnation]:
        away = traits.stage_change + _STREAMS_END
        self._changed = {
            name: at for name, at in self._changed.items() if now - at < 4 * away
        }
        moving = {name for name, at in self._changed.items() if now - at < away}
        self._told = {name: to for name, to in self._told.items() if name in moving}
        return moving

    def _lasts(
        self, stage: servers.Stage, crowded: bool, now: datetime.timedelta
    ) -> bool:
        if not crowded:
            self._crowded_since.pop(stage, None)
            return False
        return now - self._crowded_since.setdefault(stage, now) >= _LASTING

    def _dwells(self, taker: servers.Stage, now: datetime.timedelta) -> bool:
        last = self._last_to.get(_other(taker))
        return last is not None and now - last < _DWELL


def _taker(
    reading: float, readers: int, writing: float, writers: int
) -> servers.Stage | None:
    """Return the stage that should get an engine from the other one.

    Args:
        reading: Engines that reading needs if they do nothing else.
        readers: Engines that read.
        writing: Engines that the running streams fill.
        writers: Engines that write.
    """
    pressure = _pressure(reading, readers, writing, writers)
    if pressure <= _LEAST_PRESSURE:
        return None
    least = (1 - _LEAST_GAIN) * pressure
    taker = None
    for moved in range(1 - readers, writers):
        left = writers - moved
        if moved > 0 and writing / left > _MOST_WRITING:
            break
        after = _pressure(reading, readers + moved, writing, left)
        if after <= least:
            least = after
            taker = servers.Stage.PREFILL if moved > 0 else servers.Stage.DECODE
    return taker


def _pressure(reading: float, readers: int, writing: float, writers: int) -> float:
    """Return how far the stage that is worse off is beyond where it is at ease."""
    return max(
        reading / max(readers, 0.5) / _AT_EASE[servers.Stage.PREFILL],
        writing / max(writers, 0.5) / _AT_EASE[servers.Stage.DECODE],
    )


def _other(stage: servers.Stage) -> servers.Stage:
    return next(other for other in servers.Stage if other is not stage)


def _waiting_ms(
    readers: abc.Sequence[engine_loads.EngineLoad],
    reading_rate: float,
    now: datetime.timedelta,
) -> float:
    """Return how long a prompt waits now; a rate learned too low only says so."""
    waiting = sum(reader.all_reading(now) for reader in readers)
    return waiting / reading_rate / max(1, len(readers))


def _writing_need(
    writers: abc.Sequence[engine_loads.EngineLoad],
    traits: table.EngineTraits,
    pause_target_ms: float,
    now: datetime.timedelta,
) -> float:
    """Return how many engines the running streams fill."""
    by_room = sum(placement.fullness(engine, traits, now) for engine in writers)
    pauses = [engine.pause_ms for engine in writers if engine.pause_ms > 0]
    if not pauses or pause_target_ms <= 0:
        return by_room
    by_pause = statistics.fmean(pauses) / pause_target_ms * len(writers)
    return max(by_room, by_pause)


def _cheapest(
    givers: abc.Sequence[engine_loads.EngineLoad],
    readers: abc.Sequence[engine_loads.EngineLoad],
    writers: abc.Sequence[engine_loads.EngineLoad],
    moving: abc.Container[servers.Incarnation],
    now: datetime.timedelta,
) -> engine_loads.EngineLoad | None:
    """Return the engine that a stage can best spare.

    A domain that keeps both stages moves its prompts within it, so the engine comes
    from where the giving stage is strongest against the other; among these the one
    with the least work ends it soonest.
    """
    taking = writers if givers is readers else readers

    def cost(engine: engine_loads.EngineLoad) -> tuple[float, float, str]:
        domain = engine.server.failure_domain
        own = sum(g.server.failure_domain == domain for g in givers)
        others = sum(t.server.failure_domain == domain for t in taking)
        work = engine.all_writing(now) + engine.all_reading(now) / 1000
        return (others - own, work, engine.server.server_id)

    found = [e for e in givers if e.server.incarnation not in moving]
    return min(found, key=cost, default=None)
