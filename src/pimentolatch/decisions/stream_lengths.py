"""Predicts how many events a stream has, from the lengths of earlier ones.

Load pattern: after a burst the batches of all decode engines are full, and an event
takes three times as long as before. A stream that has many events starts in time and
then cannot end within its time limit, the sooner the shorter that limit is. Its client
gets a part of an answer after seconds, and the engine's work on it delays all other
streams of the batch, of which more are cut in turn.

Without this prediction admission goes by the time to the first event only. With it, a
stream is placed on an engine at whose pace it is likely to end in time, and refused at
once if there is none.

The number of events is not known in advance: the number of tokens that a client expects
is often off by a factor of two, and an event may hold several tokens. So each instance
fits, for each route, a line to the logarithms of the expected tokens and of the events.
Where clients expect the same of all streams, or tell nothing that helps, the line is
flat, and the prediction is the typical length of the route.

Grounds: a refusal that was wrong costs a caller the answer, which it may get by coming
back; a stream that is cut costs it the answer, the time, and the other streams their
pace. So a stream is refused if it is twice as likely to be cut as to end in time. The
memory of some thirty streams follows a shift of a route within seconds under load and
keeps the error of the line below a fifth of the spread.
"""

import dataclasses
import math
import statistics

__all__ = ["StreamLengths"]

# Weight of one stream among the latest ones.
_WEIGHT = 1 / 32
# Least chance to end in time with which a stream is started.
_MIN_CHANCE = 1 / 3
# The same as a number of standard deviations from the line.
_MARGIN = statistics.NormalDist().inv_cdf(_MIN_CHANCE)
# Streams of a route from which on its lengths are predicted.
_MIN_SAMPLES = 20
# A stream that was cut counts as longer than it got, by this share of the spread. If it
# was left out or counted as it is, long streams would look short where many are cut.
_CUT_SPREAD = 0.5
# Below this variance all streams of a route expect the same number of tokens.
_MIN_VARIANCE = 1e-6
# Routes to remember, the latest to appear; successive configurations may name many.
_MAX_ROUTES = 256


@dataclasses.dataclass(slots=True)
class _Fit:
    """Line through the logarithms of expected tokens (x) and events (y) of a route.

    The sums are means in which the latest streams have the most weight.
    """

    samples: int = 0
    mean_x: float = 0.0
    mean_y: float = 0.0
    variance_x: float = 0.0
    variance_y: float = 0.0
    covariance: float = 0.0

    @property
    def slope(self) -> float:
        """Slope of the line, from 0 to 1; 0 if it cannot be told.

        Who expects twice as many tokens gets at most twice as many events. A few
        streams that expect nearly the same could show any other slope.
        """
        if self.variance_x < _MIN_VARIANCE:
            return 0.0
        return min(max(self.covariance / self.variance_x, 0.0), 1.0)

    @property
    def spread(self) -> float:
        """Standard deviation of the streams from the line."""
        slope = self.slope
        explained = slope * (2 * self.covariance - slope * self.variance_x)
        return math.sqrt(max(0.0, self.variance_y - explained))

    def predict(self, x: float) -> float:
        """Return the point of the line at `x`."""
        return self.mean_y + self.slope * (x - self.mean_x)

    def add(self, x: float, y: float) -> None:
        """Add a stream."""
        self.samples += 1
        weight = max(_WEIGHT, 1 / self.samples)
        step_x, step_y = x - self.mean_x, y - self.mean_y
        self.mean_x += weight * step_x
        self.mean_y += weight * step_y
        rest_x, rest_y = x - self.mean_x, y - self.mean_y
        self.variance_x += weight * (step_x * rest_x - self.variance_x)
        self.variance_y += weight * (step_y * rest_y - self.variance_y)
        self.covariance += weight * (step_x * rest_y - self.covariance)


class StreamLengths:
    """Lengths of the latest streams, by route."""

    def __init__(self) -> None:
        self._fits: dict[str, _Fit] = {}

    def observe(
        self, route: str, expected_tokens: int, events: int, *, whole: bool
    ) -> None:
        """Learn from a stream that has ended.

        Args:
            route: Name of the route.
            expected_tokens: Tokens that its client expected.
            events: Events that it had; 0 teaches nothing.
            whole: Whether it reached its end.
        """
        if events <= 0 or expected_tokens <= 0:
            return
        fit = self._fits.get(route)
        if fit is None:
            if len(self._fits) >= _MAX_ROUTES:
                del self._fits[next(iter(self._fits))]
            fit = self._fits[route] = _Fit()
        x, y = math.log(expected_tokens), math.log(events)
        if not whole:
            y = max(y, fit.predict(x)) + _CUT_SPREAD * fit.spread
        fit.add(x, y)

    def required_events(self, route: str, expected_tokens: int) -> float:
        """Return the number of events for which a stream must have the time to start.

        Args:
            route: Name of the route.
            expected_tokens: Tokens that the client expects.

        Returns:
            0 while too few streams of the route have been observed.
        """
        fit = self._fits.get(route)
        if fit is None or fit.samples < _MIN_SAMPLES or expected_tokens <= 0:
            return 0.0
        line = fit.predict(math.log(expected_tokens))
        return math.exp(line + _MARGIN * fit.spread)
