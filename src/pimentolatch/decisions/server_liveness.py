"""Decides whether a server has shown lately enough that it reads what it is sent.

Load pattern: a server stands still for seconds while it is listed as ready, as its
process is suspended or its machine stalls. Its kernel goes on accepting connections and
bytes, and every instance goes on sending until its first request there takes too long.
When the server goes on it reads all of them, also those that were given up and answered
elsewhere: a reset does not recall what the kernel has acknowledged. By then the server
may have left, and a server may begin to work on the head of a request alone.

So nothing of a request is written to a server that has not been heard just before: it
is first asked for something that has no effect. Any data of a server, over whichever
connection, shows that it reads. A request that must not be repeated also has to be sure
of its own connection, which may have fallen silent alone: if nobody answers there, it
could be sent nowhere else.

Grounds: asking costs a round trip, a millisecond or two within a dispatch of tens of
them, and an engine that streams to an instance need not be asked. Instances of a large
fleet seldom hear a server, and ask before most requests.
"""

import datetime
from collections import abc

from pimentolatch.routes import servers

__all__ = ["ServerLiveness"]

# What a server that stops has not read was sent to it within this time or was on its
# way. Engines that stream to an instance are heard about as often.
_LIFETIME = datetime.timedelta(milliseconds=5)


class ServerLiveness:
    """When data of each server last arrived, over whichever connection."""

    def __init__(self) -> None:
        self._heard_at: dict[servers.Incarnation, datetime.timedelta] = {}
        self._valid_from = datetime.timedelta.min

    def record(self, server: servers.Incarnation, now: datetime.timedelta) -> None:
        """Record that data of a server has arrived."""
        self._heard_at[server] = now

    def heard_at(self, server: servers.Incarnation) -> datetime.timedelta | None:
        """Return when a server was last heard; None if it never was."""
        return self._heard_at.get(server)

    def is_recent(
        self, heard_at: datetime.timedelta | None, now: datetime.timedelta
    ) -> bool:
        """Tell whether data that arrived at some time shows that its sender reads."""
        return (
            heard_at is not None
            and heard_at > self._valid_from
            and now - heard_at <= _LIFETIME
        )

    def forget_earlier(self, now: datetime.timedelta) -> None:
        """Have nothing count that arrived until now.

        After a pause of this process, data that arrived in it seems to have just come.
        """
        self._valid_from = now

    def retain(self, listed: abc.Container[servers.Incarnation]) -> None:
        """Forget the servers that are no longer listed."""
        for server in [name for name in self._heard_at if name not in listed]:
            del self._heard_at[server]
