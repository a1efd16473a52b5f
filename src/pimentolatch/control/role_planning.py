"""Input and interface of the role planner of a failure domain."""

import dataclasses
import datetime
import typing
from collections import abc

from pimentolatch.control import slots, targets
from pimentolatch.decisions import roles
from pimentolatch.document import schema

__all__ = ["EngineStatus", "RolePlanner", "StatusTracker"]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """Status of an engine, as input of the role planner.

    Attributes:
        role: Role of the engine, or the target role of a change in progress.
        state: State of its order slot.
        unreachable: Whether the last query of its state failed.
        since: Time on the monotonic clock at which this leader first saw the engine
            in service in this role; None while it is not in service.
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
        """Return the role changes to make; `now` is a time of the monotonic clock."""


class StatusTracker:
    """Tracks since when each engine has been in its role."""

    def __init__(self) -> None:
        self._role_since: dict[str, tuple[schema.Role, datetime.timedelta]] = {}

    def status(
        self,
        engine: schema.Engine,
        slot: slots.Slot,
        unreachable: bool,
        now: datetime.timedelta,
    ) -> EngineStatus:
        """Return the status of an engine at the time `now`."""
        if slot.state is not slots.SlotState.SERVING:
            self._role_since.pop(engine.name, None)
            role = targets.intended_role(engine, slot)
            return EngineStatus(engine, role, slot.state, unreachable, None)
        role = targets.current_role(engine, slot)
        before = self._role_since.get(engine.name)
        if before is None or before[0] != role:
            before = self._role_since[engine.name] = (role, now)
        return EngineStatus(engine, role, slot.state, unreachable, before[1])
