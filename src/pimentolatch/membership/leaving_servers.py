"""Backend servers that the platform lists as leaving.

The list names all servers of the fleet. At the design size it is more than half a
megabyte, and an instance can read it about once a minute within its share of the
network. So the instances of a failure domain read it in turn, one every two seconds,
and send each other what is new in it.
"""

import datetime
import typing
from collections import abc

from pimentolatch import clock, store

__all__ = ["LeavingServers"]


class LeavingServers:
    """Leaving servers from this instance's last read and from peers' notices.

    Args:
        hold: Time for which a peer's notice counts if no own read confirms it.
        changed: Called with the servers that must get no new work.
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
        """Servers that must get no new work."""
        return self._listed.union(self._reported)

    @property
    def known(self) -> frozenset[str] | None:
        """Servers that must get no new work; None before this instance read the list.

        A leader that took an unread list for an empty one would return a leaving
        server to service.
        """
        return self.servers if self._has_list else None

    def apply_instance_list(
        self, rows: abc.Iterable[store.Instance]
    ) -> tuple[str, ...]:
        """Apply the platform's list; returns the leaving servers to notify peers of."""
        now = self._clock.monotonic()
        before = self.servers
        self._has_list = True
        self._listed = frozenset(
            row.name for row in rows if row.kind != "entry" and row.state == "leaving"
        )
        # Copies of the list differ in age. If a peer's notice did not count for some
        # time, an instance that reads an older copy later would send the server work.
        self._reported = {
            name: since
            for name, since in self._reported.items()
            if now - since < self._hold
        }
        self._changed(self.servers)
        return tuple(sorted(self._listed - before))

    def receive(self, names: abc.Iterable[str]) -> None:
        """Record the leaving servers in a peer's notice."""
        now = self._clock.monotonic()
        self._reported |= dict.fromkeys(names, now)
        self._changed(self.servers)
