"""How far the dispatch of a request has got."""

import dataclasses
import datetime

__all__ = ["Delivery"]


@dataclasses.dataclass(slots=True)
class Delivery:
    """How far a dispatch has got.

    Attributes:
        repeatable: Whether the request may go to another server after it was sent.
        sent_at: When it was sent. None before, when the server can't have run it.
    """

    repeatable: bool = True
    sent_at: datetime.timedelta | None = None

    @property
    def may_leave(self) -> bool:
        """Whether the request may be sent to another server now."""
        return self.repeatable or self.sent_at is None
