"""Known states of a failure domain's engines, the input for planning their roles."""

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
        role: Its present role, or the role it is changing to.
        condition: `CHANGING` while its order slot is taken. `UNCERTAIN` if it crashed
            or has not reported.
        since: When its role or condition last changed, on the monotonic clock of the
            planning instance; None if that was before the instance started.
    """

    engine: schema.Engine
    role: schema.Role
    condition: Condition = Condition.SERVING
    since: datetime.timedelta | None = None


def serving(states: abc.Iterable[EngineState]) -> list[EngineState]:
    """Return the engines that accept work now."""
    return [state for state in states if state.condition is Condition.SERVING]


def settled(states: abc.Iterable[EngineState]) -> list[EngineState]:
    """Return the engines that accept work now or will after their change."""
    counted = (Condition.SERVING, Condition.CHANGING)
    return [state for state in states if state.condition in counted]


def last_change(states: abc.Iterable[EngineState]) -> datetime.timedelta:
    """Return when an engine last joined, left or changed; long ago if none did."""
    return max(
        (state.since for state in states if state.since is not None),
        default=-datetime.timedelta(days=1),
    )
