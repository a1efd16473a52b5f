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
        first: Bound of the first pause.
        longest: Bound that the others grow to.
    """

    def __init__(
        self,
        first: datetime.timedelta,
        longest: datetime.timedelta,
        chance: random.Random,
    ) -> None:
        self._first = first
        self._longest = longest
        self._chance = chance
        self._bound = first

    def next_pause(self) -> datetime.timedelta:
        """Return the pause after one more failure."""
        pause = self._bound * self._chance.random()
        self._bound = min(self._longest, self._bound * 2)
        return pause

    def reset(self) -> None:
        """Start again after a success."""
        self._bound = self._first
