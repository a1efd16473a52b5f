"""Requests in flight at a backend server, over all instances that may send there."""

import typing
from collections import abc

from pimentolatch.decisions import work_reports
from pimentolatch.membership import work_exchange

__all__ = ["SenderCounts"]


class SenderCounts:
    """Adds up what this instance has at a server and what its peers last told.

    The table that routing uses drops a peer that falls silent, so that a dead one does
    not keep its engines looking busy. For a drain that would be wrong: a peer that is
    cut off after its acknowledgement may still read a long answer from the engine,
    and the order would cut it. So here a peer's last word stands until the peer is
    proved ended or a new link brings its next word. A peer tells its work at withdrawn
    servers before it acknowledges, so its last word is never older than that.

    Args:
        own: Returns this instance's requests at a server.
        known: Returns the incarnations that have not been proved ended.
        routing: The table that routing uses.
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
        """Drop a silent peer for routing, but not for the drain."""
        self._routing.forget(peer)

    def in_flight(self, server: str) -> int | None:
        """See `drain.SenderCounts.in_flight`."""
        known = self._known()
        for peer in self._reported.keys() - known:
            del self._reported[peer]
        return self._own(server) + sum(
            reported.get(server, 0) for reported in self._reported.values()
        )
