"""Decides by when the platform's store was back, from what several instances saw.

Load pattern: the store is away for some seconds, and each instance asks it again after
a pause of its own. One that asks late takes the store for away by up to a pause longer,
and uses servers that left meanwhile for as long. Its peers ask at other moments, and
the first that is answered says in its next beacon that it reads the store again.

An answer counts if it came after the last failure of a call here: a peer may have been
answered before the store went away, or while it turned this instance away.
"""

import datetime

__all__ = ["StoreReturn"]


class StoreReturn:
    """The first answer of the store to any instance since a call here failed."""

    def __init__(self) -> None:
        self._failed_at = datetime.timedelta()
        self._answered_by: datetime.timedelta | None = None

    @property
    def answered_by(self) -> datetime.timedelta | None:
        """Time by which the store had answered again; None if it is not known to."""
        return self._answered_by

    def record_failure(self, at: datetime.timedelta) -> None:
        """Record that a call of this instance failed."""
        self._failed_at = at
        self._answered_by = None

    def record_answer(self, by: datetime.timedelta) -> None:
        """Record that the store had answered this instance or a peer by a moment."""
        if by > self._failed_at and self._answered_by is None:
            self._answered_by = by
