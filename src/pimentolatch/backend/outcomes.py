"""What a backend server's answer can turn out to be."""

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
    """Text of an answer: `tokens` tokens from number `offset` on."""

    offset: int
    text: str
    tokens: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The engine's terminal marker, with the length it states, in tokens."""

    length: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run at the backend server.

    Attributes:
        reason: What was seen.
        reached: Whether the server itself refused, rather than being out of reach.
    """

    reason: str
    reached: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The answer ended before its end; the request may have run.

    Attributes:
        connection_lost: The connection ended, as when the server's process does.
    """

    reason: str
    connection_lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A plain service's whole answer."""

    status: int
    body: bytes
    content_type: str


EngineEvent = Chunk | Finished | NotRun | OutcomeUnknown
ServiceOutcome = Response | NotRun | OutcomeUnknown
