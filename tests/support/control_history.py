"""Events of a history of orders and streams, recorded for the checkers.

Times are seconds on one clock that no actor reads, so events are ordered as they took
effect.
"""

import dataclasses

__all__ = [
    "EngineCrashed",
    "Event",
    "LeavingShown",
    "OrderAccepted",
    "OrderCompleted",
    "Recorder",
    "SlotWritten",
    "StreamAborted",
    "StreamEnded",
    "StreamStarted",
]


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAccepted:
    """An engine began to execute an order.

    Attributes:
        target: The order's role and models, as text.
        streams: Number of streams running at the engine.
        fenced: Whether the engine checks fencing tokens.
    """

    at: float
    engine: str
    order: str
    fence: int
    sender: str
    target: str
    streams: int = 0
    fenced: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class OrderCompleted:
    """An engine finished executing an order."""

    at: float
    engine: str
    order: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCrashed:
    """An engine crashed; its next incarnation starts without state."""

    at: float
    engine: str


@dataclasses.dataclass(frozen=True, slots=True)
class SlotWritten:
    """A slot was written to the store."""

    at: float
    engine: str
    state: str
    order: str | None
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class StreamStarted:
    """An engine accepted a request."""

    at: float
    engine: str
    request: str
    sender: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnded:
    """A request completed, or its caller disconnected."""

    at: float
    engine: str
    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamAborted:
    """An engine aborted a request; `cause` is `order` or `crash`."""

    at: float
    engine: str
    request: str
    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingShown:
    """An instance can know from now on that a server is leaving.

    Attributes:
        sender: The instance; each is checked from the time at which it could know.
    """

    at: float
    server: str
    sender: str


Event = (
    OrderAccepted
    | OrderCompleted
    | EngineCrashed
    | SlotWritten
    | StreamStarted
    | StreamEnded
    | StreamAborted
    | LeavingShown
)


class Recorder:
    """Collects the events of one run."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def add(self, event: Event) -> None:
        """Record an event; events are added in the order in which they took effect."""
        self.events.append(event)
