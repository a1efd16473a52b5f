"""Measures for how long an instance has known that its peers have newer state.

Load pattern: beacons are datagrams, while configurations and lists of servers come over
connections. Either may work without the other, or in one direction only. An instance
then hears of a newer version and does not get it. Without the time for which this has
lasted, its log shows single failed calls, and nothing tells whether a late request was
sent by an instance that knew that it was behind.
"""

import dataclasses
import datetime

__all__ = ["PeerLag"]


@dataclasses.dataclass(slots=True)
class PeerLag:
    """What peers announce of one kind of state, compared with what is known here.

    Attributes:
        announced: Newest version that a live peer announces.
        since: Since when this instance has been behind, without a break; None if it is
            not.
    """

    announced: int = 0
    since: datetime.timedelta | None = None

    def observe(self, known: int, announced: int, now: datetime.timedelta) -> None:
        """Compare the version that is known with the newest that is announced."""
        self.announced = announced
        if announced <= known:
            self.since = None
        elif self.since is None:
            self.since = now

    def duration(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return for how long this instance has been behind."""
        return datetime.timedelta() if self.since is None else now - self.since
