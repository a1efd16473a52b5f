"""Possible outcomes of a dispatch to a backend server."""

import dataclasses

__all__ = [
    "Response",
    "OutcomeUnknown",
    "Chunk",
    "EngineEvent",
    "Finished",
    "NotRun",
    "ServiceOutcome",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """Text of a stream: `tokens` tokens, starting with number `offset`."""

    offset: int
    text: str
    tokens: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The engine's terminal marker, with the stated length in tokens."""

    length: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run at the backend server.

    Attributes:
        reason: What was observed.
        reached: Whether the server refused, rather than being unreachable.
    """

    reason: str
    reached: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """No complete response was received; the request may have run.

    Attributes:
        connection_lost: Whether the connection was lost, as when the server crashes.
    """

    reason: str
    connection_lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The complete response of a plain service."""

    status: int
    body: bytes
    content_type: str


EngineEvent = Chunk | Finished | NotRun | OutcomeUnknown
ServiceOutcome = Response | NotRun | OutcomeUnknown
