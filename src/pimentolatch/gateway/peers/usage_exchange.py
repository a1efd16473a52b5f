"""Counts started executions of customers' requests and sends the counts to the leader.

Other instances keep a copy, so that counts survive the crash of the one that made them.
"""

import datetime
import typing
from collections import abc

import logbook

from pimentolatch import clock, settings
from pimentolatch.decisions import rendezvous, usage
from pimentolatch.gateway.leader import leadership
from pimentolatch.gateway.peers import datagrams, peer_table
from pimentolatch.protocol import beacons, usage_rows

__all__ = ["NullUsageCounter", "UsageCounter", "UsageExchange"]

_log = logbook.Logger("usage")
# Counts that were not sent yet are lost if the instance crashes: at most those of this
# interval.
_INTERVAL = datetime.timedelta(seconds=1)
# Number of peers that keep a copy of an instance's counts in case it crashes.
_BACKUPS = 2


class UsageCounter(typing.Protocol):
    """Counts requests that start to execute."""

    def record_start(self, customer: str | None, moment: datetime.datetime) -> None:
        """Count a request; `customer` is None if it belongs to no customer."""


class NullUsageCounter:
    """Counts nothing; used if usage reports are not enabled."""

    def record_start(self, customer: str | None, moment: datetime.datetime) -> None:
        """See `UsageCounter.record_start`."""


class UsageExchange(datagrams.DatagramSocket):
    """Socket over which instances exchange their usage counts.

    Args:
        address: Local address; all instances use the same port.
        counter: Counts of this instance and those received from peers.
        peers: The live peers.
        own_leadership: Tells which instance is the leader and sends the reports.
        time: Clock of this instance.
    """

    def __init__(
        self,
        address: settings.Address,
        counter: usage.UsageCounter,
        peers: peer_table.PeerTable,
        own_leadership: leadership.Leadership,
        time: clock.Clock,
    ) -> None:
        super().__init__(address)
        self._counter = counter
        self._peers = peers
        self._leadership = own_leadership
        self._clock = time
        own_leadership.subscribe(self._notify_peers)

    def record_start(self, customer: str | None, moment: datetime.datetime) -> None:
        """See `UsageCounter.record_start`."""
        if customer is not None and not self._counter.count_started(customer, moment):
            _log.warn("began in a window that has settled", customer=customer)

    async def run(self) -> None:
        """Send the counts periodically; runs until cancelled."""
        while True:
            self.send_counts()
            self._repeat_notice()
            await self._clock.sleep(_INTERVAL)

    def send_counts(self) -> None:
        """Send the counts of this instance, and of terminated ones, once."""
        own = self._counter.own_rows(self._clock.now())
        live = self._peers.live()
        leader_host = self._leadership.host
        receivers = set(self._backup_hosts(live))
        if leader_host is not None and leader_host != self._address.host:
            receivers.add(leader_host)
            terminated = self._counter.rows_of_terminated(_names(live))
            self.send({leader_host}, _datagrams(terminated))
        self.send(receivers, _datagrams(own))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a row of counts from a peer."""
        found = usage_rows.decode(data)
        if isinstance(found, usage_rows.Malformed):
            _log.warn(
                "malformed usage datagram dropped", sender=addr[0], reason=found.reason
            )
        elif isinstance(found, usage_rows.LeaderNotice):
            self._receive_notice(found)
        else:
            self._counter.merge(found)

    def _receive_notice(self, notice: usage_rows.LeaderNotice) -> None:
        """Process a peer's notice; answer a new leader with all counts at once."""
        self._leadership.receive(
            beacons.Leader(notice.host, notice.fence, notice.released, 0)
        )
        if not notice.released and self._leadership.host == notice.host:
            self.send_counts()

    def _notify_peers(self, leader: beacons.Leader) -> None:
        """Tell all peers who leads, which beacons would take up to two seconds for."""
        notice = usage_rows.LeaderNotice(leader.host, leader.fence, leader.released)
        hosts = [peer.host for peer in self._peers.live()]
        self.send(hosts, [usage_rows.encode_notice(notice)])

    def _repeat_notice(self) -> None:
        now, since = self._clock.now(), self._leadership.since
        leader = self._leadership.announcement()
        if (
            self._leadership.active
            and leader is not None
            and self._counter.collecting(now, since)
        ):
            self._notify_peers(leader)

    def _backup_hosts(self, live: abc.Iterable[peer_table.Peer]) -> list[str]:
        """Return the hosts of the peers that keep a copy of this instance's counts."""
        hosts = (peer.host for peer in live)
        return sorted(
            hosts, key=lambda host: rendezvous.rank(self._address.host, host)
        )[:_BACKUPS]


def _datagrams(rows: abc.Iterable[usage.Row]) -> list[bytes]:
    return [part for row in rows for part in usage_rows.encode(row)]


def _names(live: abc.Iterable[peer_table.Peer]) -> set[str]:
    return {peer.beacon.instance for peer in live}
