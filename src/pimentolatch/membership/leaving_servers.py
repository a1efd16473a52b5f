"""Backend servers that the platform's list shows as leaving.

The list names all servers of the fleet; at the size designed for it is more than half
a megabyte, and an instance can read it about once a minute within its share of the
network. So the instances of a failure domain read it in turn, one every two seconds,
and tell each other what is new in it.
"""

import datetime
import typing
from collections import abc

from pimentolatch import clock, store

__all__ = ["LeavingServers"]


class LeavingServers:
    """What this instance read itself, and what peers read since.

    Args:
        hold: How long a peer's word stands if an own reading does not confirm it.
        changed: Called with the servers that take no new work.
    """

    def __init__(
        self,
        time: clock.Clock,
        hold: datetime.timedelta,
        changed: typing.Callable[[frozenset[str]], None],
    ) -> None:
        self._clock = time
        self._hold = hold
        self._changed = changed
        self._listed: frozenset[str] = frozenset()
        self._reported: dict[str, datetime.timedelta] = {}
        self._has_list = False

    @property
    def servers(self) -> frozenset[str]:
        """Servers that take no new work."""
        return self._listed.union(self._reported)

    @property
    def known(self) -> frozenset[str] | None:
        """Servers that take no new work; None before this instance read the list.

        A duty holder that took an unread list for an empty one would put a leaving
        server back to work.
        """
        return self.servers if self._has_list else None

    def apply_instance_list(
        self, rows: abc.Iterable[store.Instance]
    ) -> tuple[str, ...]:
        """Take a reading of the list; returns what peers should be told."""
        now = self._clock.monotonic()
        before = self.servers
        self._has_list = True
        self._listed = frozenset(
            row.name for row in rows if row.kind != "entry" and row.state == "leaving"
        )
        # Readings differ in age. A server that a peer saw leaving stays out for a
        # time, or it would get work again from whoever read an older list after that.
        self._reported = {
            name: since
            for name, since in self._reported.items()
            if now - since < self._hold
        }
        self._changed(self.servers)
        return tuple(sorted(self._listed - before))

    def receive(self, names: abc.Iterable[str]) -> None:
        """Take a peer's word for what it read."""
        now = self._clock.monotonic()
        self._reported |= dict.fromkeys(names, now)
        self._changed(self.servers)
