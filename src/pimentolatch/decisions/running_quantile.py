"""Follows a quantile of observations without keeping them.

Load pattern: a few observations a second for each of dozens of engines, of which some
are far off since a prompt waited or an engine was slow for a moment. A mean follows
each of them, and a list of the latest takes memory for each engine.

The figure moves by a step towards each observation, down and up in the proportion that
belongs to the quantile. Steps get shorter with each sample, so that eight samples are
enough and no later one has much influence.
"""

import datetime
import math

__all__ = ["RunningQuantile"]

# Evidence counts for half after this time, and for no more than this many samples, so
# that a slow spell, which is three samples of a gap, moves it by a sixteenth. Below
# half a sample it is forgotten.
_HALF_LIFE = datetime.timedelta(seconds=60)
_MAX_SAMPLES = 25.0
_FORGOTTEN_SAMPLES = 0.5
_LONG_AGO = -datetime.timedelta(days=1)


class RunningQuantile:
    """Follows a quantile of positive figures, and forgets.

    Args:
        share: The quantile, from 0 to 1.
    """

    __slots__ = ("_at", "_samples", "_share", "value")

    def __init__(self, share: float) -> None:
        self._share = share
        self._samples = 0.0
        self._at = _LONG_AGO
        self.value = 0.0

    def samples(self, now: datetime.timedelta) -> float:
        """Return the number of samples, less what has aged."""
        if not self._samples:
            return 0.0
        return float(self._samples * 0.5 ** ((now - self._at) / _HALF_LIFE))

    def observe(self, figure: float, now: datetime.timedelta) -> None:
        """Move the value towards a figure."""
        before = self.samples(now)
        self._samples = min(_MAX_SAMPLES, before + 1)
        self._at = now
        if before < _FORGOTTEN_SAMPLES:
            self.value = figure
            return
        step = 2 / self._samples
        if figure > self.value:
            self.value = min(figure, self.value * math.exp(step * self._share))
        else:
            lower = self.value * math.exp(-step * (1 - self._share))
            self.value = max(figure, lower)
