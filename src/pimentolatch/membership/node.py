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
    acknowledgements,
    gathering,
    incarnations,
    interfaces,
    leaving,
    members,
    registrations,
    share_spread,
    testimony,
    view_exchange,
    view_table,
    views,
)
from pimentolatch.protocol import messages

__all__ = ["Node"]

_log = logbook.Logger("membership")
# A peer asked about is one of a few; more would make each outage of a failure domain
# a burst of questions. The rest is asked about in later heartbeats.
_ASKED_AT_ONCE = 8
# Ends of engines that are told between two heartbeats, at once as they are noticed.
# After the loss of many engines the rest follows with later heartbeats.
_ENDS_PER_HEARTBEAT = 64


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
        spread: share_spread.ShareSpread,
        leaving_servers: leaving.LeavingServers,
        time: clock.Clock,
        suspect_after: datetime.timedelta,
        list_lag: datetime.timedelta,
    ) -> None:
        self._own = own
        self._network = network
        self._documents = documents
        self._table = table
        self._spread = spread
        self._leaving = leaving_servers
        self._crashes = crashes
        self._ends_left = _ENDS_PER_HEARTBEAT
        self._clock = time
        self.members = members.Members(time, suspect_after)
        self.acknowledged = acknowledgements.AcknowledgementTable(
            own.instance, time, list_lag
        )
        self._introduction = messages.Introduction(own.incarnation, own.host, own.port)
        self.acknowledged.introduce(self._introduction)
        self._links: dict[int, _Link] = {}
        self._sequence = 0
        self._holds = False
        self._gathering = gathering.Gathering(
            own.failure_domain, self.members, self.acknowledged
        )
        self._views = view_exchange.ViewExchange(
            own,
            network=network,
            table=table,
            spread=spread,
            acknowledged=self.acknowledged,
            time=time,
            changed=self._changed,
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
        self._gathering.opened(number)
        # A new link starts with all of the peer's work; what a lost one left is stale.
        self._spread.forget(peer.incarnation)
        self.members.heard(peer.incarnation, peer.failure_domain)
        self._forget(
            self.acknowledged.succeed(
                messages.Introduction(peer.incarnation, peer.host, peer.port)
            )
        )
        if peer.failure_domain == self._own.failure_domain:
            # Work goes first: what follows may acknowledge a view.
            for delta in self._spread.snapshot():
                self._network.send(number, delta)
            if self._holds:
                notice = messages.HolderNotice(self._own.failure_domain)
                self._network.send(number, notice)
        serious = self._crashes.serious()
        if serious:
            self._network.send(number, messages.CrashNotice(serious))
        self._changed()

    def closed(self, number: int) -> None:
        """Take note that a link is gone."""
        link = self._links.pop(number, None)
        if link is None:
            return
        self._documents.closed(number)
        self._views.closed(number)
        self._gathering.closed(number)
        incarnation = link.peer.incarnation
        if all(o.peer.incarnation != incarnation for o in self._links.values()):
            self.members.lost(incarnation)
            self._spread.forget(incarnation)

    def handle(self, number: int, message: messages.Message) -> None:
        """Handle a message of an open link."""
        link = self._links.get(number)
        # A heartbeat can follow a farewell on its link. Counted as a sign of life it
        # would have the peer listened for again, and suspected seconds later.
        if link is None or link.finished:
            return
        self.members.heard(link.peer.incarnation, link.peer.failure_domain)
        match message:
            case messages.Heartbeat():
                self._heartbeat(number, link, message)
            case messages.Testimony():
                testimony.take(message, self.members, self.acknowledged)
            case messages.Farewell():
                link.finished = True
                self.acknowledged.farewell(link.peer.incarnation)
                self._forget({link.peer.incarnation})
            case messages.HolderNotice():
                self._gathering.noticed(number, message)
                self._pass_on(number, link)
            case messages.Acknowledged():
                self._gathering.take(message)
            case messages.WantViews():
                self._views.hand(number, link.peer, message)
            case messages.DomainViews():
                self._take_views(message)
            case messages.SharesDelta():
                self._spread.received(link.peer.incarnation, message)
            case messages.LeavingNotice():
                self._leaving.noticed(message.servers)
            case messages.CrashNotice():
                near = link.peer.failure_domain == self._own.failure_domain
                self._crashes.take(message.ends, near=near)
            case messages.Hello():
                self._network.close(number, "second hello")
            case _:
                self._documents.handle(number, message)

    def tick(self) -> None:
        """Send a heartbeat on every link; called at the heartbeat interval."""
        self._views.acknowledge()
        self._views.ask_again()
        self._ends_left = _ENDS_PER_HEARTBEAT
        self.tell_crashes()
        for number, link in list(self._links.items()):
            self._beat(number)
            self._pass_on(number, link)
        near = self._near_links()
        delta = self._spread.next_delta(len(near))
        if delta is not None:
            for number in near:
                self._network.send(number, delta)

    def announce(self, view: views.DomainView) -> None:
        """Adopt a view that this instance wrote and gather its acknowledgements."""
        if not self._holds:
            self._holds = True
            notice = messages.HolderNotice(view.failure_domain)
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
            self._tell_work_at(withdrawn)
            self._views.acknowledge()
            self._changed()

    def tell_crashes(self) -> None:
        """Tell the peers at once which completions have ended engines."""
        if not self._ends_left:
            return
        near = self._crashes.take_near(self._ends_left)
        far = self._crashes.take_far(self._ends_left)
        self._ends_left -= max(len(near), len(far))
        for number, link in self._links.items():
            own_domain = link.peer.failure_domain == self._own.failure_domain
            if ends := near if own_domain else far:
                self._network.send(number, messages.CrashNotice(ends))

    def configuration_changed(self) -> None:
        """Tell the peers at once that another document is in force here."""
        self._changed()

    def registered(
        self,
        rows: abc.Iterable[registrations.Registration],
        covers: dict[str, int],
    ) -> None:
        """Take a listing of registrations; see `AcknowledgementTable.registered`."""
        self._forget(self.acknowledged.registered(rows, covers))

    def listed(
        self, rows: abc.Iterable[store.Instance], asked: datetime.timedelta
    ) -> None:
        """Take the platform's instance list; see `AcknowledgementTable.listed`."""
        rows = tuple(rows)
        self._forget(self.acknowledged.listed(rows, asked))
        new = self._leaving.listed(rows)
        if new:
            for number in self._links:
                self._network.send(number, messages.LeavingNotice(new))

    def farewell(self) -> None:
        """Tell the peers that this process sends nothing to anybody any more."""
        for number in self._links:
            self._network.send(number, messages.Farewell())

    def _forget(self, ended: abc.Iterable[str]) -> None:
        for incarnation in ended:
            self.members.forget(incarnation)
            self._spread.forget(incarnation)

    def _changed(self) -> None:
        for number in list(self._links):
            self._beat(number)

    def _tell_work_at(self, servers: frozenset[str]) -> None:
        """Tell the work at withdrawn servers before the acknowledgement goes out.

        The holder orders an engine away when all have acknowledged and nobody has work
        there. A request that this instance chose the engine for just before it adopted
        the view would be unknown to the holder if the count came later.
        """
        delta = self._spread.delta_of(servers)
        if delta is not None:
            for number in self._near_links():
                self._network.send(number, delta)

    def _near_links(self) -> list[int]:
        return [
            number
            for number, link in self._links.items()
            if link.peer.failure_domain == self._own.failure_domain
        ]

    def _beat(self, number: int) -> None:
        link = self._links[number]
        self._sequence += 1
        changed = {
            name: view
            for name, view in self._views.own_numbers.items()
            if link.views_sent.get(name) != view
        }
        link.views_sent |= changed
        quiet = self.members.quiet()
        first = self._sequence % max(1, len(quiet))
        self._network.send(
            number,
            messages.Heartbeat(
                self._sequence,
                self._documents.number,
                tuple(messages.ViewNumber(*item) for item in changed.items()),
                self._introductions(link),
                (quiet[first:] + quiet[:first])[:_ASKED_AT_ONCE],
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

    def _heartbeat(
        self, number: int, link: _Link, heartbeat: messages.Heartbeat
    ) -> None:
        for introduction in heartbeat.introduced:
            self.acknowledged.introduce(introduction)
        for view in heartbeat.views:
            self.acknowledged.acknowledge(
                link.peer.incarnation, view.failure_domain, view.number
            )
        self._views.offered(number, heartbeat.views)
        self._documents.offered(number, heartbeat.configuration)
        if heartbeat.asking:
            self._testify(number, heartbeat.asking)

    def _take_views(self, message: messages.DomainViews) -> None:
        found = [view_table.view_from_message(stored) for stored in message.views]
        readable = [view for view in found if view is not None]
        complete = message.complete and len(readable) == len(found)
        self.adopt_views(readable, complete=complete)

    def _testify(self, number: int, asking: tuple[str, ...]) -> None:
        evidence = testimony.evidence(
            asking[:_ASKED_AT_ONCE], self.members, self.acknowledged
        )
        if evidence:
            self._network.send(number, messages.Testimony(evidence))

    def _pass_on(self, number: int, link: _Link) -> None:
        for message in self._gathering.unsent(number, link.peer):
            # Introductions that came before travel before.
            self._beat(number)
            self._network.send(number, message)
