"""Follows the mix of prompts and answers over some tens of seconds.

Load pattern: for a quarter of a minute most requests ask for long answers, then most
bring long prompts, and so on. A plan for the mix of this moment is always one turn
late: engines that were given to reading are missing when the answers come, and slots
are full within seconds.

So the need of writing is remembered by its peak, since streams can't wait, and the need
of reading by its mean, since prompts can. A split that is right for both is left alone
when the mix turns.
"""

import datetime
import math

__all__ = ["SmoothedDemand"]

# A peak of writing fades with this time constant, longer than a turn of the mix.
_DECODE_PEAK_TIME_CONSTANT_S = 20.0
_PREFILL_TIME_CONSTANT_S = 3.0
_WAIT_TIME_CONSTANT_S = 3.0


class SmoothedDemand:
    """What reading and writing needed lately.

    Attributes:
        reading: Mean of the engines that reading needed.
        writing: Peak of the engines that writing needed.
        wait_ms: Mean time that a prompt waited.
    """

    def __init__(self) -> None:
        self.prefill = 0.0
        self.decode = 0.0
        self.wait_ms = 0.0
        self._observed_at: datetime.timedelta | None = None

    def observe(
        self, prefill: float, decode: float, wait_ms: float, now: datetime.timedelta
    ) -> None:
        """Take what is needed now; to be called several times a second."""
        if self._observed_at is None or not self.prefill:
            # What was before the first request says nothing of the load.
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
