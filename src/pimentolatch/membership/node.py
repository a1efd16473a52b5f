"""The peer protocol of an instance as a state machine that does no I/O itself.

Each link carries a heartbeat at a fixed interval, and at once after a change, with the
number of the document in force, the views adopted and the incarnations that became
known. An instance that receives a higher number than its own requests the content from
the sender. So a change costs a few bytes on each link, and its content is sent once to
each instance.
"""

import dataclasses
import datetime
from collections import abc

import logbook

from pimentolatch import clock, store
from pimentolatch.membership import (
    acknowledgement_relay,
    acknowledgements,
    failure_detector,
    incarnations,
    indirect_liveness,
    interfaces,
    leaving_servers,
    registrations,
    view_exchange,
    view_table,
    views,
    work_exchange,
)
from pimentolatch.protocol import messages

__all__ = ["Node"]

_log = logbook.Logger("membership")
# Incarnations queried in one heartbeat. Without a limit the outage of a failure domain
# would cause a burst of queries. Later heartbeats query the rest.
_MAX_QUERIED = 8
# Crash reports that may be sent between two heartbeats, each as soon as the crash is
# detected. After the loss of many engines the rest follows with later heartbeats.
_CRASHES_PER_HEARTBEAT = 64


@dataclasses.dataclass(slots=True)
class _Link:
    peer: messages.Hello
    views_sent: dict[str, int] = dataclasses.field(default_factory=dict)
    introduced: set[str] = dataclasses.field(default_factory=set)
    introduced_change: int = -1
    finished: bool = False


class Node:
    """The state of one instance and its links to peers.

    Args:
        own: Identity of this process.
        network: Sends messages and closes links.
        documents: Transfers documents.
        crashes: Records of completions during which engines crashed.
        table: The domain views by which this instance routes.
        work: Exchanges work reports with the peers.
        leaving: Backend servers that the platform lists as leaving.
        suspect_after: Time without a message after which a peer is suspected.
        list_lag: Maximum age of the information in the platform's instance list.
    """

    def __init__(
        self,
        own: incarnations.Identity,
        *,
        network: interfaces.Network,
        documents: interfaces.ConfigurationPeer,
        crashes: interfaces.CrashTable,
        table: view_table.ViewTable,
        work: work_exchange.WorkExchange,
        leaving: leaving_servers.LeavingServers,
        time: clock.Clock,
        suspect_after: datetime.timedelta,
        list_lag: datetime.timedelta,
    ) -> None:
        self._own = own
        self._network = network
        self._documents = documents
        self._table = table
        self._work = work
        self._leaving = leaving
        self._crashes = crashes
        self._crashes_left = _CRASHES_PER_HEARTBEAT
        self._clock = time
        self.detector = failure_detector.FailureDetector(time, suspect_after)
        self.acknowledged = acknowledgements.AcknowledgementTable(
            own.instance, time, list_lag
        )
        self._introduction = messages.Introduction(own.incarnation, own.host, own.port)
        self.acknowledged.introduce(self._introduction)
        self._links: dict[int, _Link] = {}
        self._sequence = 0
        self._is_leader = False
        self._relay = acknowledgement_relay.AcknowledgementRelay(
            own.failure_domain, self.detector, self.acknowledged
        )
        self._views = view_exchange.ViewExchange(
            own,
            network=network,
            table=table,
            work=work,
            acknowledged=self.acknowledged,
            time=time,
            send_heartbeats=self._send_heartbeats,
        )

    @property
    def peers(self) -> dict[int, messages.Hello]:
        """The peers of the open links, by link number."""
        return {number: link.peer for number, link in self._links.items()}

    def opened(self, number: int, peer: messages.Hello) -> None:
        """Start to use a link after the handshake.

        The peer listens at the address in its hello, so an earlier process of the same
        instance at that address has terminated. Links to that process are left to time
        out.
        """
        self._links[number] = _Link(peer)
        self._relay.opened(number)
        # The peer sends all of its work on a new link, so older entries are stale.
        self._work.forget(peer.incarnation)
        self.detector.record_message(peer.incarnation, peer.failure_domain)
        self._remove_ended(
            self.acknowledged.introduce_successor(
                messages.Introduction(peer.incarnation, peer.host, peer.port)
            )
        )
        if peer.failure_domain == self._own.failure_domain:
            # Work is sent first, since a later message may acknowledge a view; see
            # `_send_work_at`.
            for delta in self._work.snapshot():
                self._network.send(number, delta)
            if self._is_leader:
                notice = messages.LeaderNotice(self._own.failure_domain)
                self._network.send(number, notice)
        crashes = self._crashes.repeated_crashes()
        if crashes:
            self._network.send(number, messages.CrashNotice(crashes))
        self._send_heartbeats()

    def closed(self, number: int) -> None:
        """Drop a link that is closed."""
        link = self._links.pop(number, None)
        if link is None:
            return
        self._documents.closed(number)
        self._views.closed(number)
        self._relay.closed(number)
        incarnation = link.peer.incarnation
        if all(o.peer.incarnation != incarnation for o in self._links.values()):
            self.detector.record_link_loss(incarnation)
            self._work.forget(incarnation)

    def handle(self, number: int, message: messages.Message) -> None:
        """Handle a message of an open link."""
        link = self._links.get(number)
        # A heartbeat can follow a farewell on the same link. If it counted, the peer
        # would be monitored again and suspected seconds later.
        if link is None or link.finished:
            return
        self.detector.record_message(link.peer.incarnation, link.peer.failure_domain)
        match message:
            case messages.Heartbeat():
                self._receive_heartbeat(number, link, message)
            case messages.LivenessReport():
                indirect_liveness.receive(message, self.detector, self.acknowledged)
            case messages.Farewell():
                link.finished = True
                self.acknowledged.farewell(link.peer.incarnation)
                self._remove_ended({link.peer.incarnation})
            case messages.LeaderNotice():
                self._relay.receive_leader_notice(number, message)
                self._relay_acknowledgements(number, link)
            case messages.RelayedAcknowledgements():
                self._relay.receive(message)
            case messages.WantViews():
                self._views.send_views(number, link.peer, message)
            case messages.DomainViews():
                self._take_views(message)
            case messages.WorkDelta():
                self._work.receive(link.peer.incarnation, message)
            case messages.LeavingNotice():
                self._leaving.receive(message.servers)
            case messages.CrashNotice():
                near = link.peer.failure_domain == self._own.failure_domain
                self._crashes.receive(message.crashes, near=near)
            case messages.Hello():
                self._network.close(number, "unexpected second hello")
            case _:
                self._documents.handle(number, message)

    def tick(self) -> None:
        """Send heartbeats, relayed acknowledgements, crash notices and a work delta.

        Called at the heartbeat interval.
        """
        self._views.acknowledge()
        self._views.retry_requests()
        self._crashes_left = _CRASHES_PER_HEARTBEAT
        self.send_crash_notices()
        for number, link in list(self._links.items()):
            self._send_heartbeat(number)
            self._relay_acknowledgements(number, link)
        near = self._own_domain_links()
        delta = self._work.next_delta(len(near))
        if delta is not None:
            for number in near:
                self._network.send(number, delta)

    def announce(self, view: views.DomainView) -> None:
        """Adopt a view that this instance wrote and collect its acknowledgements."""
        if not self._is_leader:
            self._is_leader = True
            notice = messages.LeaderNotice(view.failure_domain)
            for number, link in self._links.items():
                if link.peer.failure_domain == self._own.failure_domain:
                    self._network.send(number, notice)
        self.adopt_views((view,), complete=False)

    def adopt_views(
        self, found: abc.Iterable[views.DomainView], *, complete: bool
    ) -> None:
        """Adopt views from the store or a peer and notify the peers at once.

        Args:
            found: The views.
            complete: Whether `found` includes the views of all failure domains.
        """
        withdrawn = self._views.adopt(found, complete=complete)
        if withdrawn is not None:
            self._send_work_at(withdrawn)
            self._views.acknowledge()
            self._send_heartbeats()

    def send_crash_notices(self) -> None:
        """Report completions during which engines crashed to the peers at once."""
        if not self._crashes_left:
            return
        near = self._crashes.take_near(self._crashes_left)
        far = self._crashes.take_far(self._crashes_left)
        self._crashes_left -= max(len(near), len(far))
        for number, link in self._links.items():
            own_domain = link.peer.failure_domain == self._own.failure_domain
            if crashes := near if own_domain else far:
                self._network.send(number, messages.CrashNotice(crashes))

    def configuration_changed(self) -> None:
        """Notify the peers at once that another document is in force here."""
        self._send_heartbeats()

    def apply_registrations(
        self,
        rows: abc.Iterable[registrations.Registration],
        covers: dict[str, int],
    ) -> None:
        """See `AcknowledgementTable.apply_registrations`."""
        self._remove_ended(self.acknowledged.apply_registrations(rows, covers))

    def apply_instance_list(
        self, rows: abc.Iterable[store.Instance], requested_at: datetime.timedelta
    ) -> None:
        """See `AcknowledgementTable.apply_instance_list`."""
        rows = tuple(rows)
        self._remove_ended(self.acknowledged.apply_instance_list(rows, requested_at))
        new = self._leaving.apply_instance_list(rows)
        if new:
            for number in self._links:
                self._network.send(number, messages.LeavingNotice(new))

    def farewell(self) -> None:
        """Notify the peers that this process sends no more requests."""
        for number in self._links:
            self._network.send(number, messages.Farewell())

    def _remove_ended(self, ended: abc.Iterable[str]) -> None:
        for incarnation in ended:
            self.detector.remove(incarnation)
            self._work.forget(incarnation)

    def _send_heartbeats(self) -> None:
        for number in list(self._links):
            self._send_heartbeat(number)

    def _send_work_at(self, servers: frozenset[str]) -> None:
        """Report the work at withdrawn servers before the view is acknowledged.

        The leader reassigns an engine once all instances have acknowledged and none
        has work there. If the report came after the acknowledgement, the leader would
        miss a request that was dispatched just before this instance adopted the view.
        """
        delta = self._work.delta_for(servers)
        if delta is not None:
            for number in self._own_domain_links():
                self._network.send(number, delta)

    def _own_domain_links(self) -> list[int]:
        return [
            number
            for number, link in self._links.items()
            if link.peer.failure_domain == self._own.failure_domain
        ]

    def _send_heartbeat(self, number: int) -> None:
        link = self._links[number]
        self._sequence += 1
        changed = {
            name: view
            for name, view in self._views.own_numbers.items()
            if link.views_sent.get(name) != view
        }
        link.views_sent |= changed
        to_query = self.detector.to_query()
        first = self._sequence % max(1, len(to_query))
        self._network.send(
            number,
            messages.Heartbeat(
                self._sequence,
                self._documents.number,
                tuple(messages.ViewNumber(*item) for item in changed.items()),
                self._introductions(link),
                (to_query[first:] + to_query[:first])[:_MAX_QUERIED],
            ),
        )

    def _introductions(self, link: _Link) -> tuple[messages.Introduction, ...]:
        if link.introduced_change == self.acknowledged.changes:
            return ()
        known = self.acknowledged.known
        new = tuple(k for k in known if k.incarnation not in link.introduced)
        link.introduced = {item.incarnation for item in known}
        link.introduced_change = self.acknowledged.changes
        return new

    def _receive_heartbeat(
        self, number: int, link: _Link, heartbeat: messages.Heartbeat
    ) -> None:
        for introduction in heartbeat.introduced:
            self.acknowledged.introduce(introduction)
        for view in heartbeat.views:
            self.acknowledged.acknowledge(
                link.peer.incarnation, view.failure_domain, view.number
            )
        self._views.receive_offer(number, heartbeat.views)
        self._documents.offered(number, heartbeat.configuration)
        if heartbeat.queried:
            self._report_liveness(number, heartbeat.queried)

    def _take_views(self, message: messages.DomainViews) -> None:
        found = [view_table.view_from_message(stored) for stored in message.views]
        readable = [view for view in found if view is not None]
        complete = message.complete and len(readable) == len(found)
        self.adopt_views(readable, complete=complete)

    def _report_liveness(self, number: int, queried: tuple[str, ...]) -> None:
        entries = indirect_liveness.report(
            queried[:_MAX_QUERIED], self.detector, self.acknowledged
        )
        if entries:
            self._network.send(number, messages.LivenessReport(entries))

    def _relay_acknowledgements(self, number: int, link: _Link) -> None:
        for message in self._relay.next_messages(number, link.peer):
            # The heartbeat carries introductions that arrived before these
            # acknowledgements, so that the receiver also gets them first.
            self._send_heartbeat(number)
            self._network.send(number, message)
