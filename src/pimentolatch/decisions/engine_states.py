"""What is known of the engines of a failure domain when their roles are planned."""

import dataclasses
import datetime
import enum
from collections import abc

from pimentolatch.document import schema

__all__ = ["Condition", "EngineState", "last_change", "serving", "settled"]


class Condition(enum.StrEnum):
    """What is known of an engine besides its role."""

    SERVING = "serving"
    CHANGING = "changing"
    WITHDRAWN = "withdrawn"
    UNCERTAIN = "uncertain"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """One engine of the failure domain, as far as is known.

    Attributes:
        engine: The engine in the document.
        role: The role it has, or is changing to.
        condition: `CHANGING` while its order slot is taken. `UNCERTAIN` if it crashed
            or has not been heard of.
        since: When its role or condition last changed, on the monotonic clock of the
            instance that plans; None if that was before it started.
    """

    engine: schema.Engine
    role: schema.Role
    condition: Condition = Condition.SERVING
    since: datetime.timedelta | None = None


def serving(states: abc.Iterable[EngineState]) -> list[EngineState]:
    """Return the engines that take work now."""
    return [state for state in states if state.condition is Condition.SERVING]


def settled(states: abc.Iterable[EngineState]) -> list[EngineState]:
    """Return the engines that take work now or will after their change."""
    counted = (Condition.SERVING, Condition.CHANGING)
    return [state for state in states if state.condition in counted]


def last_change(states: abc.Iterable[EngineState]) -> datetime.timedelta:
    """Return when an engine last came, went or changed; long ago if none did."""
    return max(
        (state.since for state in states if state.since is not None),
        default=-datetime.timedelta(days=1),
    )
