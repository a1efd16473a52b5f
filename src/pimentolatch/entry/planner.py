"""Supplies the role planner with demand and engine states."""

import datetime
import typing
from collections import abc

from pimentolatch import fleet
from pimentolatch.control import role_planning, slots
from pimentolatch.decisions import demand, engine_states, roles, state_tracker

__all__ = ["DemandPlanner"]

# Peers report totals every 5 s, and the role planner's parameters assume samples of
# this length.
_SAMPLE_INTERVAL = datetime.timedelta(seconds=5)


class DemandPlanner:
    """A `role_planning.RolePlanner` that plans by the demand that instances report.

    It plans once per sample, so new changes come at most every 5 s. In between it
    returns its last plan again; order slots make the repetition harmless.

    Args:
        own_fleet: Holds the document with the role policy.
        totals: Returns the newest demand totals of the failure domain's instances.
    """

    def __init__(
        self,
        own_fleet: fleet.Fleet,
        totals: typing.Callable[[], abc.Iterable[demand.Totals]],
    ) -> None:
        self._fleet = own_fleet
        self._totals = totals
        self._history = demand.History()
        self._state_tracker = state_tracker.StateTracker()
        self._next_sample = datetime.timedelta()
        self._last_plan: tuple[roles.RoleChange, ...] = ()

    def plan(
        self, engines: abc.Sequence[role_planning.EngineStatus], now: datetime.timedelta
    ) -> abc.Sequence[roles.RoleChange]:
        """See `role_planning.RolePlanner.plan`."""
        document = self._fleet.view.document
        if document is None:
            return ()
        if now < self._next_sample:
            return self._last_plan
        self._next_sample = now + _SAMPLE_INTERVAL
        self._history.observe(now, self._totals())
        states = self._state_tracker.observe(now, map(_state, engines))
        self._last_plan = roles.plan(now, states, self._history.samples, document.roles)
        return self._last_plan


def _state(status: role_planning.EngineStatus) -> engine_states.EngineState:
    return engine_states.EngineState(status.engine, status.role, _condition(status))


def _condition(status: role_planning.EngineStatus) -> engine_states.Condition:
    if status.engine.serving == "withdrawn":
        return engine_states.Condition.WITHDRAWN
    if status.state is not slots.SlotState.SERVING:
        return engine_states.Condition.CHANGING
    if status.unreachable:
        return engine_states.Condition.UNCERTAIN
    return engine_states.Condition.SERVING
