"""Tracks since when each engine has had its role and condition.

Load pattern: an engine is unreachable for half a minute, or drained. The role planner
sums the loss since its engines last changed. If it knew only the roles, it would
include the minutes before the absence, conclude that everything had been lost for
minutes, and change a second engine at once.
"""

import dataclasses
import datetime
from collections import abc

from pimentolatch.decisions import engine_states

__all__ = ["StateTracker"]


class StateTracker:
    """The last observed state of each engine, and when it began.

    It starts empty, as on every new planner: all engines then count as just changed,
    which delays a role change but never causes one.
    """

    def __init__(self) -> None:
        self._observed: dict[str, engine_states.EngineState] = {}

    def observe(
        self, now: datetime.timedelta, states: abc.Iterable[engine_states.EngineState]
    ) -> tuple[engine_states.EngineState, ...]:
        """Return the states with the time at which each last changed."""
        self._observed = {
            state.engine.name: self._with_since(now, state) for state in states
        }
        return tuple(self._observed.values())

    def _with_since(
        self, now: datetime.timedelta, state: engine_states.EngineState
    ) -> engine_states.EngineState:
        before = self._observed.get(state.engine.name)
        if before is None or _differs(before, state):
            return dataclasses.replace(state, since=now)
        return dataclasses.replace(state, since=before.since)


def _differs(
    before: engine_states.EngineState, after: engine_states.EngineState
) -> bool:
    return (before.role, before.condition) != (after.role, after.condition)
