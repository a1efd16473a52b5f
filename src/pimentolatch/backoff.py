"""Pauses between attempts: exponential, with full jitter."""

import datetime
import random

__all__ = ["Backoff"]


class Backoff:
    """Pauses that grow while attempts fail.

    Each pause is drawn evenly from zero to a bound that doubles. With a fixed pause,
    all instances that lost the platform at one moment would call it again at one
    moment; drawn from the whole range, their calls are spread evenly over it.

    Args:
        initial: Bound of the first pause.
        maximum: Bound that the others grow to.
    """

    def __init__(
        self,
        initial: datetime.timedelta,
        maximum: datetime.timedelta,
        rng: random.Random,
    ) -> None:
        self._initial = initial
        self._maximum = maximum
        self._rng = rng
        self._bound = initial

    def next_pause(self) -> datetime.timedelta:
        """Return the pause after one more failure."""
        pause = self._bound * self._rng.random()
        self._bound = min(self._maximum, self._bound * 2)
        return pause

    def reset(self) -> None:
        """Start again after a success."""
        self._bound = self._initial
