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

__all__ = ["MixMemory"]

# A peak of writing fades with this time constant, longer than a turn of the mix.
_PEAK_FADES_S = 20.0
_READING_MEMORY_S = 3.0
_WAIT_MEMORY_S = 3.0


class MixMemory:
    """What reading and writing needed lately.

    Attributes:
        reading: Mean of the engines that reading needed.
        writing: Peak of the engines that writing needed.
        wait_ms: Mean time that a prompt waited.
    """

    def __init__(self) -> None:
        self.reading = 0.0
        self.writing = 0.0
        self.wait_ms = 0.0
        self._at: datetime.timedelta | None = None

    def note(
        self, reading: float, writing: float, wait_ms: float, now: datetime.timedelta
    ) -> None:
        """Take what is needed now; to be called several times a second."""
        if self._at is None or not self.reading:
            # What was before the first request says nothing of the load.
            self.reading = reading
            self.wait_ms = wait_ms
            self._at = now
        passed = (now - self._at).total_seconds()
        self._at = now
        self.reading += _weight(passed, _READING_MEMORY_S) * (reading - self.reading)
        self.wait_ms += _weight(passed, _WAIT_MEMORY_S) * (wait_ms - self.wait_ms)
        self.writing = max(writing, self.writing * math.exp(-passed / _PEAK_FADES_S))


def _weight(passed_s: float, memory_s: float) -> float:
    return 1 - math.exp(-passed_s / memory_s)
