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
them. HTTP/1.1 servers have to answer the expectation; those that ignore it are told
from those that stand still by having asked once. Until then the body follows after a
limit, which is long for a server that reads and short for a caller.
"""

import datetime
from collections import abc

from pimentolatch.routes import servers

__all__ = ["BodyRequests"]

# For servers that have never asked for a body.
_FIRST_LIMIT = datetime.timedelta(milliseconds=100)


class BodyRequests:
    """Which servers ask for the bodies of requests that announce them."""

    def __init__(self) -> None:
        self._asking: set[servers.Incarnation] = set()
        self._ignoring: set[servers.Incarnation] = set()

    def are_expected(self, server: servers.Incarnation) -> bool:
        """Tell whether a request to a server waits until it is asked for its body."""
        return server not in self._ignoring

    def limit(self, server: servers.Incarnation) -> datetime.timedelta | None:
        """Return after what time the body is sent unasked; None for never."""
        return None if server in self._asking else _FIRST_LIMIT

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
