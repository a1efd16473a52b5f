"""Smooths the demand for prefill and decode over some tens of seconds.

Load pattern: for about 15 seconds most requests ask for long answers, then most bring
long prompts, and so on. A plan for the current mix is always one shift late: engines
that were moved to prefill are missing when the long answers come, and decode slots are
full within seconds.

So the decode demand is kept as a decaying peak, since streams can't wait, and the
prefill demand as a mean, since prompts can. A split that suits both is left alone when
the mix shifts.
"""

import datetime
import math

__all__ = ["SmoothedDemand"]

# Time constant of the decaying decode peak, longer than a period of the mix.
_DECODE_PEAK_TIME_CONSTANT_S = 20.0
_PREFILL_TIME_CONSTANT_S = 3.0
_WAIT_TIME_CONSTANT_S = 3.0


class SmoothedDemand:
    """Recent demand for both stages.

    Attributes:
        prefill: Mean number of engines needed for prefill.
        decode: Decaying peak of the number of engines needed for decode.
        wait_ms: Mean wait of a prompt, in milliseconds.
    """

    def __init__(self) -> None:
        self.prefill = 0.0
        self.decode = 0.0
        self.wait_ms = 0.0
        self._observed_at: datetime.timedelta | None = None

    def observe(
        self, prefill: float, decode: float, wait_ms: float, now: datetime.timedelta
    ) -> None:
        """Record the current demand; to be called several times a second."""
        if self._observed_at is None or not self.prefill:
            # Values before the first request say nothing about the load.
            self.prefill = prefill
            self.wait_ms = wait_ms
            self._observed_at = now
        elapsed_s = (now - self._observed_at).total_seconds()
        self._observed_at = now
        self.prefill += _weight(elapsed_s, _PREFILL_TIME_CONSTANT_S) * (
            prefill - self.prefill
        )
        self.wait_ms += _weight(elapsed_s, _WAIT_TIME_CONSTANT_S) * (
            wait_ms - self.wait_ms
        )
        self.decode = max(
            decode, self.decode * math.exp(-elapsed_s / _DECODE_PEAK_TIME_CONSTANT_S)
        )


def _weight(elapsed_s: float, time_constant_s: float) -> float:
    return 1 - math.exp(-elapsed_s / time_constant_s)
