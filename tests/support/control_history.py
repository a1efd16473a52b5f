"""Events of a history, as the recorder writes them and the checkers read them.

Times are seconds on one clock that no actor sees, so the order of events is the order
in which they took effect.
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
    """An engine began to carry an order out.

    Attributes:
        target: The order's role and models, as text.
        streams: Streams that ran at the engine.
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
    """An engine finished a change."""

    at: float
    engine: str
    order: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCrashed:
    """An engine crashed; a new incarnation of it knows nothing."""

    at: float
    engine: str


@dataclasses.dataclass(frozen=True, slots=True)
class SlotWritten:
    """A slot took a new state in the store."""

    at: float
    engine: str
    state: str
    order: str | None
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class StreamStarted:
    """A request reached an engine that took it."""

    at: float
    engine: str
    request: str
    sender: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnded:
    """A request had its whole answer, or its caller went away."""

    at: float
    engine: str
    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamAborted:
    """An engine broke a request off; `cause` is `order` or `crash`."""

    at: float
    engine: str
    request: str
    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingShown:
    """From now on an instance could know that a server is leaving.

    Attributes:
        sender: The instance; each is judged from when it could know.
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
        """Record an event; they are added in the order in which they took effect."""
        self.events.append(event)
