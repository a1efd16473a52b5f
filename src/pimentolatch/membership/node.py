"""The protocol between instances, without network: messages in, messages out.

Every link carries a heartbeat at a fixed interval and at once when something changed:
the number of the document in force, the views adopted, and who became known. Whoever
sees a higher number than its own asks the sender for the rest. So a change travels as
a few bytes on each link and its content once to each instance.
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
# A peer asked about is one of a few; more would make each outage of a failure domain
# a burst of questions. The rest is asked about in later heartbeats.
_MAX_QUERIED = 8
# Ends of engines that are told between two heartbeats, at once as they are noticed.
# After the loss of many engines the rest follows with later heartbeats.
_CRASHES_PER_HEARTBEAT = 64


@dataclasses.dataclass(slots=True)
class _Link:
    peer: messages.Hello
    views_sent: dict[str, int] = dataclasses.field(default_factory=dict)
    introduced: set[str] = dataclasses.field(default_factory=set)
    introduced_change: int = -1
    finished: bool = False


class Node:
    """One instance among its peers.

    Args:
        own: This process.
        documents: Moves documents.
        table: The domain views routed by here.
        suspect_after: Silence after which a peer is suspected.
        list_lag: Bound on how late the platform's instance list may be.
        spread: Tells peers of the work carried here, and holds theirs.
        leaving_servers: Backend servers that the platform's list shows as leaving.
        crashes: Completions that have ended engines.
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
        """The peers at the open links, by link."""
        return {number: link.peer for number, link in self._links.items()}

    def opened(self, number: int, peer: messages.Hello) -> None:
        """Start to use a link whose peer has said who it is.

        The peer listens at the address it names, so an earlier process of the same
        instance there has ended. Its other links are left to end by silence.
        """
        self._links[number] = _Link(peer)
        self._relay.opened(number)
        # A new link starts with all of the peer's work; what a lost one left is stale.
        self._work.forget(peer.incarnation)
        self.detector.record_message(peer.incarnation, peer.failure_domain)
        self._remove_ended(
            self.acknowledged.introduce_successor(
                messages.Introduction(peer.incarnation, peer.host, peer.port)
            )
        )
        if peer.failure_domain == self._own.failure_domain:
            # Work goes first: what follows may acknowledge a view.
            for delta in self._work.snapshot():
                self._network.send(number, delta)
            if self._is_leader:
                notice = messages.LeaderNotice(self._own.failure_domain)
                self._network.send(number, notice)
        serious = self._crashes.serious()
        if serious:
            self._network.send(number, messages.CrashNotice(serious))
        self._send_heartbeats()

    def closed(self, number: int) -> None:
        """Take note that a link is gone."""
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
        # A heartbeat can follow a farewell on its link. Counted as a sign of life it
        # would have the peer listened for again, and suspected seconds later.
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
                self._crashes.take(message.crashes, near=near)
            case messages.Hello():
                self._network.close(number, "second hello")
            case _:
                self._documents.handle(number, message)

    def tick(self) -> None:
        """Send a heartbeat on every link; called at the heartbeat interval."""
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
        """Adopt a view that this instance wrote and gather its acknowledgements."""
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
        """Adopt views from the store or a peer and tell the peers at once."""
        withdrawn = self._views.adopt(found, complete=complete)
        if withdrawn is not None:
            self._send_work_at(withdrawn)
            self._views.acknowledge()
            self._send_heartbeats()

    def send_crash_notices(self) -> None:
        """Tell the peers at once which completions have ended engines."""
        if not self._crashes_left:
            return
        near = self._crashes.take_near(self._crashes_left)
        far = self._crashes.take_far(self._crashes_left)
        self._crashes_left -= max(len(near), len(far))
        for number, link in self._links.items():
            own_domain = link.peer.failure_domain == self._own.failure_domain
            if ends := near if own_domain else far:
                self._network.send(number, messages.CrashNotice(ends))

    def configuration_changed(self) -> None:
        """Tell the peers at once that another document is in force here."""
        self._send_heartbeats()

    def apply_registrations(
        self,
        rows: abc.Iterable[registrations.Registration],
        covers: dict[str, int],
    ) -> None:
        """Take a listing of registrations; see `AcknowledgementTable.registered`."""
        self._remove_ended(self.acknowledged.apply_registrations(rows, covers))

    def apply_instance_list(
        self, rows: abc.Iterable[store.Instance], asked: datetime.timedelta
    ) -> None:
        """Take the platform's instance list; see `AcknowledgementTable.listed`."""
        rows = tuple(rows)
        self._remove_ended(self.acknowledged.apply_instance_list(rows, asked))
        new = self._leaving.apply_instance_list(rows)
        if new:
            for number in self._links:
                self._network.send(number, messages.LeavingNotice(new))

    def farewell(self) -> None:
        """Tell the peers that this process sends nothing to anybody any more."""
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
        """Tell the work at withdrawn servers before the acknowledgement goes out.

        The holder orders an engine away when all have acknowledged and nobody has work
        there. A request that this instance chose the engine for just before it adopted
        the view would be unknown to the holder if the count came later.
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
            # Introductions that came before travel before.
            self._send_heartbeat(number)
            self._network.send(number, message)
