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

__all__ = ["Engines", "Move", "best_move"]

# Shares of what a stage can do at which its queue stays short. Prompts differ in length
# by a factor of a hundred, so their queue grows early; slots are held for seconds and
# bursts take half as many again.
_AT_EASE = {servers.Stage.PREFILL: 0.75, servers.Stage.DECODE: 0.6}
# Below this pressure no split is changed, and no more engines move than it takes to get
# there: moved on until both stages are equally at ease, nearly all would go to one, and
# the next burst would find the other empty.
_LEAST_PRESSURE = 0.8
# The best split must lessen the greatest pressure by this part; one engine more beside
# five lessens it by a sixth.
_LEAST_GAIN = 0.12
# Writing gives an engine only if its share stays below this afterwards: streams hold
# slots and memory and can't wait, and more of them come once more prompts are read.
_MOST_WRITING = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class Engines:
    """Engines for each stage: those that there are, or those that are needed."""

    reading: float
    writing: float


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
    need: Engines, readers: int, writers: int, spare: int, room: int
) -> Move | None:
    """Return the move towards the best split; None if the present one will do.

    Args:
        need: Engines that the stages would keep busy all the time.
        readers: Engines that read.
        writers: Engines that write.
        spare: Engines that each stage keeps.
        room: Engines that may change at once.
    """
    pressure = _pressure(need, readers, writers)
    if pressure <= _LEAST_PRESSURE:
        return None
    found = [
        (max(after, _LEAST_PRESSURE), abs(moved), moved)
        for moved, after in _splits(need, readers, writers, spare)
        if moved and after <= (1 - _LEAST_GAIN) * pressure
    ]
    if not found:
        return None
    _, _, best = min(found)
    step = max(-room, min(room, best))
    stage = servers.Stage.PREFILL if step > 0 else servers.Stage.DECODE
    after = _pressure(need, readers + step, writers - step)
    return Move(stage, abs(step), pressure - after)


def _splits(
    need: Engines, readers: int, writers: int, spare: int
) -> abc.Iterator[tuple[int, float]]:
    """Yield how many engines might move to reading, and the pressure afterwards."""
    for moved in range(spare - readers, writers - spare + 1):
        left = writers - moved
        if moved > 0 and need.writing / left > _MOST_WRITING:
            return
        yield moved, _pressure(need, readers + moved, left)


def _pressure(need: Engines, readers: int, writers: int) -> float:
    """Return how far the stage that is worse off is beyond where it is at ease."""
    return max(
        need.reading / max(readers, 0.5) / _AT_EASE[servers.Stage.PREFILL],
        need.writing / max(writers, 0.5) / _AT_EASE[servers.Stage.DECODE],
    )
