"""What a backend server states about itself in the header of a response."""

import dataclasses

__all__ = ["Limit", "NoLimit", "Notice", "RateLimit", "UnreadableLimit"]


@dataclasses.dataclass(frozen=True, slots=True)
class NoLimit:
    """The response names no limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """The server accepts so many requests per second from all instances together."""

    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableLimit:
    """The response names a limit that is not a decimal number.

    It neither sets nor lifts a limit.
    """

    text: str


Limit = NoLimit | RateLimit | UnreadableLimit


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What one response states about its server."""

    limit: Limit = NoLimit()
