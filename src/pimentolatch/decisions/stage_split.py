"""Finds the split of engines between prefill and decode with the least pressure.

Load pattern: the mix of prompts and answers differs from the one that the split was
made for. Engines of one stage have queues of seconds while those of the other are idle.

The utilization of each stage is divided by the utilization at which its queue stays
short; that is the pressure on the stage. The best split has the least pressure on the
stage under the higher pressure. Decode has the lower target, since streams hold slots
and memory and can't wait.
"""

import dataclasses
from collections import abc

from pimentolatch.routes import servers

__all__ = ["EngineCounts", "Move", "best_move"]

# Utilization at which the queue of a stage stays short. Prompt lengths differ by a
# factor of a hundred, so the prefill queue grows early. Decode slots are held for
# seconds, and bursts need half as many again.
_TARGET_UTILIZATION = {servers.Stage.PREFILL: 0.75, servers.Stage.DECODE: 0.6}
# Below this pressure the split stays as it is, and no more engines move than are needed
# to reach it. Moving on until both pressures are equal would give nearly all engines to
# one stage, and the next burst would find the other empty.
_MIN_PRESSURE = 0.8
# The best split must lower the greatest pressure by this share; one more engine beside
# five lowers it by a sixth.
_MIN_GAIN = 0.12
# Decode gives up an engine only if its utilization stays below this afterwards: streams
# hold slots and memory and can't wait, and more of them start once more prompts are
# prefilled.
_MAX_DECODE_UTILIZATION = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCounts:
    """Number of engines per stage, either present or needed."""

    prefill: float
    decode: float


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Engines that should change their stage.

    Attributes:
        stage: The stage that they move to.
        count: How many may move at once.
        relief: Reduction of the greatest pressure by this move.
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
    """Return the move towards the best split, or None if no move is worth it.

    Args:
        need: Engines that the stages would keep fully busy.
        prefill_engines: Number of prefill engines.
        decode_engines: Number of decode engines.
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
    """Yield the possible moves towards prefill, each with the pressure after it."""
    for moved in range(
        min_per_stage - prefill_engines, decode_engines - min_per_stage + 1
    ):
        remaining = decode_engines - moved
        if moved > 0 and need.decode / remaining > _MAX_DECODE_UTILIZATION:
            return
        yield moved, _pressure(need, prefill_engines + moved, remaining)


def _pressure(need: EngineCounts, prefill_engines: int, decode_engines: int) -> float:
    """Return the higher pressure of the two stages; 1 is the target utilization."""
    return max(
        need.prefill
        / max(prefill_engines, 0.5)
        / _TARGET_UTILIZATION[servers.Stage.PREFILL],
        need.decode
        / max(decode_engines, 0.5)
        / _TARGET_UTILIZATION[servers.Stage.DECODE],
    )
