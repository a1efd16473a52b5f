"""Finds the split of engines between reading and writing with the least pressure.

Load pattern: the mix of prompts and answers is another one than the split was made for.
Engines of one stage have queues of seconds while those of the other are idle.

Work is compared as a share of what each stage can do, held against the share at which
its queue stays short. That gives the pressure on a stage; the best split has the least
pressure on the stage that is worse off. Writing is held shorter than reading, since
streams hold slots and memory and can't wait.
"""

import dataclasses
from collections import abc

from pimentolatch.routes import servers

__all__ = ["EngineCounts", "Move", "best_move"]

# Shares of what a stage can do at which its queue stays short. Prompts differ in length
# by a factor of a hundred, so their queue grows early; slots are held for seconds and
# bursts take half as many again.
_TARGET_UTILIZATION = {servers.Stage.PREFILL: 0.75, servers.Stage.DECODE: 0.6}
# Below this pressure no split is changed, and no more engines move than it takes to get
# there: moved on until both stages are equally at ease, nearly all would go to one, and
# the next burst would find the other empty.
_MIN_PRESSURE = 0.8
# The best split must lessen the greatest pressure by this part; one engine more beside
# five lessens it by a sixth.
_MIN_GAIN = 0.12
# Writing gives an engine only if its share stays below this afterwards: streams hold
# slots and memory and can't wait, and more of them come once more prompts are read.
_MAX_DECODE_UTILIZATION = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCounts:
    """Engines for each stage: those that there are, or those that are needed."""

    prefill: float
    decode: float


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Engines that should change their stage.

    Attributes:
        stage: The stage that gets them.
        count: How many may go at once.
        relief: What this takes off the greatest pressure.
    """

    stage: servers.Stage
    count: int
    relief: float


def best_move(
    need: EngineCounts,
    prefill_engines: int,
    decode_engines: int,
    min_per_stage: int,
    max_moves: int,
) -> Move | None:
    """Return the move towards the best split; None if the present one will do.

    Args:
        need: Engines that the stages would keep busy all the time.
        prefill_engines: Engines that read.
        decode_engines: Engines that write.
        min_per_stage: Engines that each stage keeps.
        max_moves: Engines that may change at once.
    """
    pressure = _pressure(need, prefill_engines, decode_engines)
    if pressure <= _MIN_PRESSURE:
        return None
    candidates = [
        (max(after, _MIN_PRESSURE), abs(moved), moved)
        for moved, after in _splits(
            need, prefill_engines, decode_engines, min_per_stage
        )
        if moved and after <= (1 - _MIN_GAIN) * pressure
    ]
    if not candidates:
        return None
    _, _, best = min(candidates)
    step = max(-max_moves, min(max_moves, best))
    stage = servers.Stage.PREFILL if step > 0 else servers.Stage.DECODE
    after = _pressure(need, prefill_engines + step, decode_engines - step)
    return Move(stage, abs(step), pressure - after)


def _splits(
    need: EngineCounts, prefill_engines: int, decode_engines: int, min_per_stage: int
) -> abc.Iterator[tuple[int, float]]:
    """Yield how many engines might move to reading, and the pressure afterwards."""
    for moved in range(
        min_per_stage - prefill_engines, decode_engines - min_per_stage + 1
    ):
        remaining = decode_engines - moved
        if moved > 0 and need.decode / remaining > _MAX_DECODE_UTILIZATION:
            return
        yield moved, _pressure(need, prefill_engines + moved, remaining)


def _pressure(need: EngineCounts, prefill_engines: int, decode_engines: int) -> float:
    """Return how far the stage that is worse off is beyond where it is at ease."""
    return max(
        need.prefill
        / max(prefill_engines, 0.5)
        / _TARGET_UTILIZATION[servers.Stage.PREFILL],
        need.decode
        / max(decode_engines, 0.5)
        / _TARGET_UTILIZATION[servers.Stage.DECODE],
    )
