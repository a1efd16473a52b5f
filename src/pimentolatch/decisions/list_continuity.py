"""Tells which servers an instance can't have seen in its lists of servers.

Load pattern: an instance is cut off, or stands still, for some seconds. The next list
that it gets shows the servers that are there then. A release that was begun and undone
meanwhile has left no trace in it.

Without this decision the instance would take the versions in its lists for all that
were in use. If each interruption counted as hiding a version, no stream without a
record would be resumed for a minute after each outage of the store, although the
store's history nearly always shows that no server came and went.

Grounds: the entry of a server is there for some seconds at least. That of a server that
crashes expires after three missed heartbeats, and a planned end is announced seconds
before. So no server is missed between two lists that follow each other faster.
"""

import dataclasses
import datetime
from collections import abc

__all__ = ["Gap", "ListContinuity"]

# Shorter than the entry of any server exists, and longer than the interval at which
# lists are confirmed.
_MAX_INTERVAL = datetime.timedelta(seconds=2.5)


@dataclasses.dataclass(frozen=True, slots=True)
class Gap:
    """An interval for which the list of servers is not known.

    Attributes:
        revision: Revision of the last list before it.
        ended_at: Monotonic time at which the next list was known.
    """

    revision: int
    ended_at: datetime.timedelta


class ListContinuity:
    """The lists of servers that an instance has had, and the gaps between them."""

    def __init__(self) -> None:
        self._revision = 0
        self._names: frozenset[str] = frozenset()
        self._gap: Gap | None = None

    @property
    def gap(self) -> Gap | None:
        """The gap in which servers may have come and gone; None if there is none."""
        return self._gap

    def observe(
        self,
        revision: int,
        names: abc.Iterable[str],
        confirmed_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Update the known list.

        Args:
            revision: Revision of the store that the new list reflects.
            names: Ids of the servers in it.
            confirmed_at: When the list before last matched the store.
            now: Monotonic time.
        """
        if revision == self._revision:
            return
        if self._revision and now - confirmed_at > _MAX_INTERVAL:
            before = self._revision if self._gap is None else self._gap.revision
            self._gap = Gap(before, now)
        # A server that was seen and has gone since is no unseen one.
        known = self._names if self._gap is not None else frozenset()
        self._names = known.union(names)
        self._revision = revision

    def close(self, gap: Gap, removed: abc.Iterable[str]) -> bool:
        """Apply the changes since the list before a gap.

        Args:
            gap: The gap.
            removed: Ids of all servers whose entries were removed since.

        Returns:
            Whether servers were there that no list has shown.
        """
        unseen = not self._names.issuperset(removed)
        self.drop(gap)
        return unseen

    def drop(self, gap: Gap) -> None:
        """Apply that what happened in a gap counts as known or is beyond recovery."""
        if self._gap == gap:
            self._gap = None
