"""What the role planner is told of the engines of a failure domain."""

import dataclasses
import datetime
import typing
from collections import abc

from pimentolatch.control import slots, targets
from pimentolatch.decisions import roles
from pimentolatch.document import schema

__all__ = ["RolePlanner", "EngineStatus", "StatusTracker"]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """What a planner has to know of an engine.

    Attributes:
        role: Role it has, or is being changed to.
        state: State of its order slot.
        unreachable: Whether it gave no answer when last asked.
        since: When this tenure first saw it in its role and in service, on the
            monotonic clock; None while it is not in service.
    """

    engine: schema.Engine
    role: schema.Role
    state: slots.SlotState
    unreachable: bool
    since: datetime.timedelta | None


class RolePlanner(typing.Protocol):
    """Decides which engines of a failure domain should change role."""

    def plan(
        self, engines: abc.Sequence[EngineStatus], now: datetime.timedelta
    ) -> abc.Sequence[roles.RoleChange]:
        """Return the changes wanted now; `now` is the monotonic clock's time."""


class StatusTracker:
    """Remembers since when each engine has been in its role."""

    def __init__(self) -> None:
        self._role_since: dict[str, tuple[schema.Role, datetime.timedelta]] = {}

    def status(
        self,
        engine: schema.Engine,
        slot: slots.Slot,
        unreachable: bool,
        now: datetime.timedelta,
    ) -> EngineStatus:
        """Return an engine's standing as of `now`."""
        if slot.state is not slots.SlotState.SERVING:
            self._role_since.pop(engine.name, None)
            role = targets.intended_role(engine, slot)
            return EngineStatus(engine, role, slot.state, unreachable, None)
        role = targets.current_role(engine, slot)
        before = self._role_since.get(engine.name)
        if before is None or before[0] != role:
            before = self._role_since[engine.name] = (role, now)
        return EngineStatus(engine, role, slot.state, unreachable, before[1])
