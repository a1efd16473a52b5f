"""Requests in flight at a backend server, summed over all instances."""

import typing
from collections import abc

from pimentolatch.decisions import work_reports
from pimentolatch.membership import work_exchange

__all__ = ["SenderCounts"]


class SenderCounts:
    """Adds up this instance's requests at a server and those last reported by peers.

    The table for routing drops an unresponsive peer, so that a crashed one does not
    keep its engines looking busy. For a drain that would be wrong: a peer that is
    partitioned after its acknowledgement may still receive a long response from the
    engine, which the order would cut. So here a peer's last report counts until the
    peer is proved to have terminated or sends a report on a new link. A peer reports
    its work at withdrawn servers before it acknowledges, so its last report is never
    older than its acknowledgement.

    Args:
        own: Returns this instance's number of requests at a server.
        known: Returns the incarnations that are not proved to have terminated.
        routing: The table that is used for routing.
    """

    def __init__(
        self,
        own: typing.Callable[[str], int],
        known: typing.Callable[[], abc.Set[str]],
        routing: work_exchange.PeerWorkTable,
    ) -> None:
        self._own = own
        self._known = known
        self._routing = routing
        self._reported: dict[str, dict[str, int]] = {}

    def update(self, peer: str, work: work_reports.WorkReport) -> None:
        """See `work_exchange.PeerWorkTable.update`."""
        self._reported[peer] = {row.server: row.streams for row in work.servers}
        self._routing.update(peer, work)

    def forget(self, peer: str) -> None:
        """Drop an unresponsive peer for routing, but keep it for drains."""
        self._routing.forget(peer)

    def in_flight(self, server: str) -> int | None:
        """See `drain.SenderCounts.in_flight`."""
        known = self._known()
        for peer in self._reported.keys() - known:
            del self._reported[peer]
        return self._own(server) + sum(
            reported.get(server, 0) for reported in self._reported.values()
        )
