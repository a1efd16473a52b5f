"""Measures what clients ask of each model service.

Load pattern: the mix of long prompts and long answers turns over within seconds. A mean
over a minute shows the turn when it is over; the work of the last half second jumps
with every long prompt. A rate that forgets with a time constant of two seconds follows
a turn and evens out single prompts.
"""

import dataclasses
import datetime
import math

__all__ = ["DemandRate", "ServiceDemand"]

# After one time constant, two thirds of a step in the load are seen. A change of stage
# takes about as long, so a faster rate would only follow noise.
_TIME_CONSTANT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Tokens a second that are to be read, and written."""

    reading: float
    writing: float


class DemandRate:
    """Exponentially weighted rates of one service."""

    def __init__(self) -> None:
        self._reading = 0.0
        self._writing = 0.0
        self._at = datetime.timedelta()

    def add(self, reading: float, writing: int, now: datetime.timedelta) -> None:
        """Count a request.

        Args:
            reading: Tokens that could be read in the time that its prompt takes.
            writing: Tokens that it is expected to write.
            now: The time.
        """
        self._fade(now)
        self._reading += reading / _TIME_CONSTANT_S
        self._writing += writing / _TIME_CONSTANT_S

    def rate(self, now: datetime.timedelta) -> ServiceDemand:
        """Return the rates of this moment."""
        self._fade(now)
        return ServiceDemand(self._reading, self._writing)

    def _fade(self, now: datetime.timedelta) -> None:
        passed = (now - self._at).total_seconds()
        factor = math.exp(-passed / _TIME_CONSTANT_S)
        self._reading *= factor
        self._writing *= factor
        self._at = now
