"""Counts what customers' requests begin to run here, and tells it to the holder."""

import datetime
import typing
from collections import abc

import logbook

from pimentolatch import clock, settings
from pimentolatch.decisions import subset, usage
from pimentolatch.gateway import datagrams, peer_table, tenure
from pimentolatch.protocol import usage_rows

__all__ = ["NoUsage", "UsageCounter", "UsageExchange"]

_log = logbook.Logger("usage")
# Counts that an instance has not told are lost if it ends: a second of its requests.
_INTERVAL = datetime.timedelta(seconds=1)
# Neighbours that keep the counts of an instance which ends.
_KEEPERS = 2


class UsageCounter(typing.Protocol):
    """Takes note of requests that begin to run."""

    def began(self, customer: str | None, moment: datetime.datetime) -> None:
        """Count a request; None for one that belongs to nobody."""


class NoUsage:
    """Counts nothing, where nobody asks for reports."""

    def began(self, customer: str | None, moment: datetime.datetime) -> None:
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
        book: usage.UsageCounter,
        peers: peer_table.PeerTable,
        held: tenure.Tenure,
        time: clock.Clock,
    ) -> None:
        super().__init__(address)
        self._book = book
        self._peers = peers
        self._tenure = held
        self._clock = time

    def began(self, customer: str | None, moment: datetime.datetime) -> None:
        """See `UsageCounter.began`."""
        if customer is not None and not self._book.count_started(customer, moment):
            _log.warn("began in a window that has settled", customer=customer)

    async def run(self) -> None:
        """Tell the counts again and again, for ever."""
        while True:
            self.tell()
            await self._clock.sleep(_INTERVAL)

    def tell(self) -> None:
        """Tell the counts of this instance, and of those that are gone, once."""
        own = self._book.own_rows(self._clock.now())
        live = self._peers.live()
        holder = self._tenure.host
        told = set(self._keepers(live))
        if holder is not None and holder != self._address.host:
            told.add(holder)
            ended = self._book.rows_of_terminated(_names(live))
            self.send({holder}, _datagrams(ended))
        self.send(told, _datagrams(own))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a row."""
        row = usage_rows.decode(data)
        if isinstance(row, usage_rows.Malformed):
            _log.warn("datagram dropped", sender=addr[0], reason=row.reason)
            return
        self._book.merge(row)

    def _keepers(self, live: abc.Iterable[peer_table.Peer]) -> list[str]:
        """Return the neighbours that keep this instance's counts."""
        hosts = (peer.host for peer in live)
        return sorted(hosts, key=lambda host: subset.rank(self._address.host, host))[
            :_KEEPERS
        ]


def _datagrams(rows: abc.Iterable[usage.Row]) -> list[bytes]:
    return [part for row in rows for part in usage_rows.encode(row)]


def _names(live: abc.Iterable[peer_table.Peer]) -> set[str]:
    return {peer.beacon.instance for peer in live}
