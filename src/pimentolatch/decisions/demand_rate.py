"""Measures the demand of clients for each model service.

Load pattern: the mix of long prompts and long answers shifts within seconds. A mean
over a minute shows a shift when it is over; the work of the last half second jumps with
every long prompt. An exponentially weighted rate with a time constant of two seconds
follows a shift and evens out single prompts.
"""

import dataclasses
import datetime
import math

__all__ = ["DemandRate", "ServiceDemand"]

# After one time constant, two thirds of a step in the load are visible. A change of
# stage takes about as long, so a faster rate would only follow noise.
_TIME_CONSTANT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Tokens per second that are requested, by stage."""

    prefill: float
    decode: float


class DemandRate:
    """Exponentially weighted rates of one service."""

    def __init__(self) -> None:
        self._prefill = 0.0
        self._decode = 0.0
        self._updated_at = datetime.timedelta()

    def add(self, prefill: float, decode: int, now: datetime.timedelta) -> None:
        """Count a request.

        Args:
            prefill: Tokens that could be prefilled in the time that its prompt takes.
            decode: Tokens that it is expected to generate.
            now: The current time.
        """
        self._decay(now)
        self._prefill += prefill / _TIME_CONSTANT_S
        self._decode += decode / _TIME_CONSTANT_S

    def rate(self, now: datetime.timedelta) -> ServiceDemand:
        """Return the current rates."""
        self._decay(now)
        return ServiceDemand(self._prefill, self._decode)

    def _decay(self, now: datetime.timedelta) -> None:
        elapsed_s = (now - self._updated_at).total_seconds()
        factor = math.exp(-elapsed_s / _TIME_CONSTANT_S)
        self._prefill *= factor
        self._decode *= factor
        self._updated_at = now
