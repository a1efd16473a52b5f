"""Exponential backoff with full jitter."""

import datetime
import random

__all__ = ["Backoff"]


class Backoff:
    """Pauses between failed attempts.

    Each pause is drawn uniformly from zero to a bound that doubles per failure. With
    fixed pauses, all instances that lost the platform at the same time would retry at
    the same time; full jitter spreads their calls evenly.

    Args:
        initial: Upper bound of the first pause.
        maximum: Limit of the upper bound.
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
        """Return the pause before the next attempt and double the bound."""
        pause = self._bound * self._rng.random()
        self._bound = min(self._maximum, self._bound * 2)
        return pause

    def reset(self) -> None:
        """Return to the initial bound, after a success."""
        self._bound = self._initial
