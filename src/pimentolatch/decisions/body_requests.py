"""Decides whether a server has to ask for the body of a request before it is sent.

Load pattern: a server stands still for seconds while it is listed as ready, as its
process is suspended or its machine stalls. Its kernel goes on accepting connections and
bytes, and every instance goes on sending until its first request there takes too long.
When the server goes on it reads all of them, also those that were given up and answered
elsewhere: a reset does not recall what the kernel has acknowledged. By then the server
may have left.

With `Expect: 100-continue` (RFC 9110, section 10.1.1) only the head of a request is
sent, and a server that reads it asks for the body by an interim response. So no whole
request lies unread at a server that stands still, and once it goes on the sender
decides anew whether it gets the request.

Grounds: asking costs one round trip, a millisecond or two within a dispatch of tens of
them. HTTP/1.1 servers have to answer the expectation. One that has never asked may
ignore it, so it is probed if it does not ask in time: one that answers the probe reads,
and gets the body unasked; one that stands still does not answer.
"""

import datetime
from collections import abc

from pimentolatch.routes import servers

__all__ = ["BodyRequests"]

# Long for a server that reads, and short for a caller.
_FIRST_LIMIT = datetime.timedelta(milliseconds=100)
# Between two probes of a server that has answered none.
_NEXT_LIMIT = datetime.timedelta(milliseconds=500)


class BodyRequests:
    """Which servers ask for the bodies of requests that announce them."""

    def __init__(self) -> None:
        self._asking: set[servers.Incarnation] = set()
        self._ignoring: set[servers.Incarnation] = set()

    def are_expected(self, server: servers.Incarnation) -> bool:
        """Tell whether a request to a server waits until it is asked for its body."""
        return server not in self._ignoring

    def limit(
        self, server: servers.Incarnation, probes: int
    ) -> datetime.timedelta | None:
        """Return after what time a server is probed that has not asked for a body.

        Args:
            server: The server.
            probes: Probes that it has not answered meanwhile.

        Returns:
            The time; None for never, as the server will ask.
        """
        if server in self._asking:
            return None
        return _NEXT_LIMIT if probes else _FIRST_LIMIT

    def record(self, server: servers.Incarnation, *, asked: bool) -> None:
        """Record whether a server that has got a whole request asked for its body."""
        if asked:
            self._asking.add(server)
        elif server not in self._asking:
            self._ignoring.add(server)

    def reject(self, server: servers.Incarnation) -> None:
        """Record that a server has declined a request since it waited to be asked."""
        self._asking.discard(server)
        self._ignoring.add(server)

    def retain(self, listed: abc.Container[servers.Incarnation]) -> None:
        """Forget the servers that are no longer listed."""
        for known in (self._asking, self._ignoring):
            known.difference_update([name for name in known if name not in listed])
