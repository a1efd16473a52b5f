"""Remembers since when each engine has been as it is.

Load pattern: an engine is unreachable for half a minute, or drained. The planner of
roles sums what was lost over the time since its engines last changed. Told only of
roles, it would count the minutes before the absence as well, find that everything was
lost for minutes, and move a second engine at once.
"""

import dataclasses
import datetime
from collections import abc

from pimentolatch.decisions import engine_states

__all__ = ["StateTracker"]


class StateTracker:
    """What was last seen of each engine, and when that began.

    It starts empty, and so does every planner that takes over: to it, all engines have
    just become what they are, which delays a change and never hastens one.
    """

    def __init__(self) -> None:
        self._observed: dict[str, engine_states.EngineState] = {}

    def observe(
        self, now: datetime.timedelta, states: abc.Iterable[engine_states.EngineState]
    ) -> tuple[engine_states.EngineState, ...]:
        """Return the states with the time at which each last became different."""
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
