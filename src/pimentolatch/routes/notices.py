"""What a backend server states about itself in the header of a response."""

import dataclasses
import datetime
import enum
import math

__all__ = ["Field", "Limit", "NoLimit", "Notice", "RateLimit", "UnreadableLimit"]

_STEPS_PER_HERTZ = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class NoLimit:
    """The response names no limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """The server accepts so many requests per second from all instances together."""

    rate: float

    @classmethod
    def rounded(cls, rate: float) -> "RateLimit":
        """Return a limit in whole thousandths, rounded down, as peers tell it.

        Otherwise a limit would change whenever an answer and a peer name it by turns.
        """
        return cls(math.floor(rate * _STEPS_PER_HERTZ) / _STEPS_PER_HERTZ)


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableLimit:
    """The response names a limit that is not a decimal number.

    It neither sets nor lifts a limit.
    """

    text: str


Limit = NoLimit | RateLimit | UnreadableLimit


class Field(enum.Enum):
    """Fields of a notice besides the limit."""

    LEAVING = "leaving"
    REST = "rest"


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What one response states about its server.

    Attributes:
        limit: The request rate that it accepts.
        leaving: Whether it is about to leave.
        rest: For how long it wants no request from this instance; None if it asked for
            no rest.
        unreadable: Fields with a value that has no meaning; it is ignored.
    """

    limit: Limit = NoLimit()
    leaving: bool = False
    rest: datetime.timedelta | None = None
    unreadable: tuple[Field, ...] = ()
