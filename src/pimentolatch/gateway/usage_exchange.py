"""Counts what customers' requests begin to run here, and tells it to the holder."""

import datetime
import typing
from collections import abc

import logbook

from pimentolatch import clock, settings
from pimentolatch.decisions import subset, usage
from pimentolatch.gateway import datagrams, leadership, peer_table
from pimentolatch.protocol import usage_rows

__all__ = ["NullUsageCounter", "UsageCounter", "UsageExchange"]

_log = logbook.Logger("usage")
# Counts that an instance has not told are lost if it ends: a second of its requests.
_INTERVAL = datetime.timedelta(seconds=1)
# Neighbours that keep the counts of an instance which ends.
_BACKUPS = 2


class UsageCounter(typing.Protocol):
    """Takes note of requests that begin to run."""

    def record_start(self, customer: str | None, moment: datetime.datetime) -> None:
        """Count a request; None for one that belongs to nobody."""


class NullUsageCounter:
    """Counts nothing, where nobody asks for reports."""

    def record_start(self, customer: str | None, moment: datetime.datetime) -> None:
        """See `UsageCounter.began`."""


class UsageExchange(datagrams.DatagramSocket):
    """The socket by which instances tell each other their counts.

    Args:
        address: Where this instance hears the others; they use the same port.
        book: What is counted and heard.
        peers: Tells who else is there.
        held: Tells who reports.
        time: Clock of this instance.
    """

    def __init__(
        self,
        address: settings.Address,
        book: usage.UsageBook,
        peers: peer_table.PeerTable,
        own_leadership: leadership.Leadership,
        time: clock.Clock,
    ) -> None:
        super().__init__(address)
        self._book = book
        self._peers = peers
        self._leadership = own_leadership
        self._clock = time

    def record_start(self, customer: str | None, moment: datetime.datetime) -> None:
        """See `UsageCounter.began`."""
        if customer is not None and not self._book.began(customer, moment):
            _log.warn("began in a window that has settled", customer=customer)

    async def run(self) -> None:
        """Tell the counts again and again, for ever."""
        while True:
            self.send_counts()
            await self._clock.sleep(_INTERVAL)

    def send_counts(self) -> None:
        """Tell the counts of this instance, and of those that are gone, once."""
        own = self._book.own_rows(self._clock.now())
        live = self._peers.live()
        holder = self._leadership.host
        receivers = set(self._backup_hosts(live))
        if holder is not None and holder != self._address.host:
            receivers.add(holder)
            terminated = self._book.rows_of_ended(_names(live))
            self.send({holder}, _datagrams(terminated))
        self.send(receivers, _datagrams(own))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a row."""
        row = usage_rows.decode(data)
        if isinstance(row, usage_rows.Malformed):
            _log.warn("datagram dropped", sender=addr[0], reason=row.reason)
            return
        self._book.take(row)

    def _backup_hosts(self, live: abc.Iterable[peer_table.Peer]) -> list[str]:
        """Return the neighbours that keep this instance's counts."""
        hosts = (peer.host for peer in live)
        return sorted(hosts, key=lambda host: subset.rank(self._address.host, host))[
            :_BACKUPS
        ]


def _datagrams(rows: abc.Iterable[usage.Row]) -> list[bytes]:
    return [part for row in rows for part in usage_rows.encode(row)]


def _names(live: abc.Iterable[peer_table.Peer]) -> set[str]:
    return {peer.beacon.instance for peer in live}
