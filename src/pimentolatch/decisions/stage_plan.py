"""Plans how many engines read prompts and how many write answers.

Load pattern: for a quarter of a minute most requests bring long prompts, then most ask
for long answers. Engines that read are two thirds idle in one half and a queue of
seconds in the other. Routing bends first: short prompts are read where they are
answered. What it can't bend, because reading in place stops the streams there, is worth
a change of stage, which takes an engine away for seconds.

Work is compared as a share of what each stage can do. A stage that is asked for more
than it can do takes an engine from the other if that one stays well below its own
limit. Writing is limited by slots and memory, which are counted, and by the pause
between events, which is measured; reading by the learned rate.

Without a band between giving and taking, two stages near their limits would hand an
engine back and forth, each time at the price of a change.
"""

import dataclasses
import datetime
import statistics
from collections import abc

from pimentolatch.decisions import engine_loads, placement
from pimentolatch.routes import servers, table

__all__ = ["Change", "StagePlanner"]

# A stage asks for an engine above this share of what it can do: what is a little over
# its limit is bent by routing, and reading is cheaper to wait for than writing.
_CROWDED = {servers.Stage.PREFILL: 1.25, servers.Stage.DECODE: 0.92}
# The giving stage must stay below this share afterwards. Streams hold slots and memory
# and can't wait, and more of them come once more prompts are read; so writing needs
# more room. With 0.72 for both, the requests refused for want of memory cost a tenth of
# the payoff on a day whose mix turned every fourteen seconds.
_ROOM_AFTER = {servers.Stage.PREFILL: 0.65, servers.Stage.DECODE: 0.5}
# Where the giving stage has less room, its share must stay below this part of the other
# one's afterwards, so that the next plan does not take the engine back.
_EVEN = 0.9
# Streams of an engine that is told to change end about this much later.
_STREAMS_END = datetime.timedelta(seconds=4)
# A stage that was given an engine lately keeps it for this long, several times the
# length of a change.
_DWELL = datetime.timedelta(seconds=6)
# A demand must last this long. A change takes an engine away until its streams have
# ended and for the change besides, some seven seconds in all: a shorter demand is over
# when it is back. With two seconds, a change in a shift of fourteen seconds cost about
# as much as it brought.
_LASTING = datetime.timedelta(seconds=8)
# Prompts wait less than this where reading is not short.
_LEAST_WAIT_MS = 700.0
# Prompts that must have been timed before the learned rate is worth a change.
_LEAST_TIMED = 20
# Engines that may be changing at once, as a share of all.
_AT_ONCE = 0.12


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An engine that should change its stage, and the figures that say so."""

    server_id: str
    stage: servers.Stage
    reading_share: float
    writing_share: float


class StagePlanner:
    """Plans the stages of one service's engines."""

    def __init__(self) -> None:
        self._crowded_since: dict[servers.Stage, datetime.timedelta] = {}
        self._changed: dict[str, datetime.timedelta] = {}
        self._told: dict[str, servers.Stage] = {}
        self._last_to: dict[servers.Stage, datetime.timedelta] = {}

    def changed(self, change: Change, now: datetime.timedelta) -> None:
        """Note that an engine was told to change."""
        self._changed[change.server_id] = now
        self._told[change.server_id] = change.stage
        self._last_to[change.stage] = now

    def plan(
        self,
        loads: engine_loads.EngineLoads,
        traits: table.EngineTraits,
        pause_target_ms: float,
        reading_demand: float,
        now: datetime.timedelta,
    ) -> Change | None:
        """Return the change that is worth its price now, if any.

        Args:
            loads: Work of the engines, from all instances that are heard.
            traits: What the operator says of the engines.
            pause_target_ms: Longest pause between events that is on time.
            reading_demand: Prompt tokens a second that all instances are asked to read.
            now: The time.
        """
        engines = [e for e in loads.all() if not e.server.leaving]
        readers = [e for e in engines if e.server.stage is servers.Stage.PREFILL]
        writers = [e for e in engines if e.server.stage is servers.Stage.DECODE]
        moving = self._moving(traits, now)
        if loads.prompts_timed < _LEAST_TIMED:
            return None
        if len(moving) >= max(1, int(_AT_ONCE * len(engines))):
            return None
        readers, writers = self._as_ordered(readers, writers)
        reading = reading_demand / 1000 / loads.reading_rate
        writing = _writing_need(writers, traits, pause_target_ms, now)
        reading_share = reading / max(len(readers), 0.5)
        writing_share = writing / max(len(writers), 0.5)
        for taker, need, givers, given_need in (
            (servers.Stage.PREFILL, reading_share, writers, writing),
            (servers.Stage.DECODE, writing_share, readers, reading),
        ):
            crowded = need > _CROWDED[taker] and (
                taker is servers.Stage.DECODE or _waits(loads, readers, now)
            )
            if not self._lasts(taker, crowded, now):
                continue
            takers = len(engines) - len(givers)
            if not _eases(taker, need * takers, takers, given_need, len(givers)):
                continue
            if self._dwells(taker, now):
                continue
            engine = _cheapest(givers, readers, writers, moving, now)
            if engine is not None:
                return Change(
                    engine.server.server_id, taker, reading_share, writing_share
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
            stage = self._told.get(engine.server.server_id) or engine.server.stage
            if stage is not None:
                ordered[stage].append(engine)
        return ordered[servers.Stage.PREFILL], ordered[servers.Stage.DECODE]

    def _moving(self, traits: table.EngineTraits, now: datetime.timedelta) -> set[str]:
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


def _eases(
    taker: servers.Stage, need: float, takers: int, given_need: float, givers: int
) -> bool:
    """Tell whether the giving stage stays well off, or at least the better off.

    Prompts can wait and streams can't, so writing gives only what it can spare. Reading
    gives also where both are short and writing is worse off: two of seven engines wrote
    with forty requests waiting at each, and five read, for sixteen seconds of a day on
    which engines had left.
    """
    if givers < 2:
        return False
    given_share = given_need / (givers - 1)
    if given_share <= _ROOM_AFTER[_other(taker)]:
        return True
    even = taker is servers.Stage.DECODE
    return even and given_share < _EVEN * need / (takers + 1)


def _other(stage: servers.Stage) -> servers.Stage:
    return next(other for other in servers.Stage if other is not stage)


def _waits(
    loads: engine_loads.EngineLoads,
    readers: abc.Sequence[engine_loads.EngineLoad],
    now: datetime.timedelta,
) -> bool:
    """Tell whether prompts do wait: a rate that is learned too low only says so."""
    waiting = sum(reader.all_reading(now) for reader in readers)
    return waiting / loads.reading_rate > _LEAST_WAIT_MS * max(1, len(readers))


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
    moving: abc.Container[str],
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

    found = [e for e in givers if e.server.server_id not in moving]
    return min(found, key=cost, default=None)
