"""Asks peers for domain views, hands them on, and says what is acknowledged here."""

import datetime
import typing
from collections import abc

from pimentolatch import clock
from pimentolatch.membership import (
    acknowledgements,
    incarnations,
    view_table,
    views,
    work_exchange,
)
from pimentolatch.protocol import messages

__all__ = ["ViewExchange"]

_RETRY_AFTER = datetime.timedelta(seconds=1)


class _Sender(typing.Protocol):
    def send(self, link: int, message: messages.Message) -> None:
        """Queue a message."""


class ViewExchange:
    """The domain views of one instance among its peers.

    Args:
        changed: Sends a heartbeat on every link.
    """

    def __init__(
        self,
        own: incarnations.Identity,
        *,
        network: _Sender,
        table: view_table.ViewTable,
        work: work_exchange.WorkExchange,
        acknowledged: acknowledgements.AcknowledgementTable,
        time: clock.Clock,
        send_heartbeats: typing.Callable[[], None],
    ) -> None:
        self._own = own
        self._network = network
        self._table = table
        self._work = work
        self._acknowledged = acknowledged
        self._clock = time
        self._send_heartbeats = send_heartbeats
        self._offers: dict[int, dict[str, int]] = {}
        self._requested: dict[str, datetime.timedelta] = {}
        self._own_numbers: dict[str, int] = {}

    @property
    def own_numbers(self) -> dict[str, int]:
        """Views that this instance acknowledges, by failure domain."""
        return self._own_numbers

    def adopt(
        self, found: abc.Iterable[views.DomainView], *, complete: bool
    ) -> frozenset[str] | None:
        """Adopt later views; returns the servers withdrawn, None if nothing is new."""
        adopted = [view for view in found if self._table.adopt(view)]
        if complete:
            self._table.set_complete()
        if not adopted and not complete:
            return None
        return frozenset().union(*(view.withdrawn for view in adopted))

    def acknowledge(self) -> None:
        """Work out again what this instance acknowledges.

        Counts of work don't travel across failure domains. So a view of another one is
        acknowledged only when no work is left here at what it withdraws.
        """
        if not self._table.complete:
            return
        self._own_numbers = {
            view.failure_domain: view.number
            for view in self._table.selected(())
            if view.failure_domain == self._own.failure_domain
            or not self._work.has_work_at(view.withdrawn)
        }
        for name, number in self._own_numbers.items():
            self._acknowledged.acknowledge(self._own.incarnation, name, number)

    def receive_offer(
        self, link: int, numbers: tuple[messages.ViewNumber, ...]
    ) -> None:
        """Take note of the views that a peer routes by, and ask for later ones."""
        offers = self._offers.setdefault(link, {})
        offers |= {view.failure_domain: view.number for view in numbers}
        self._request(link)

    def retry_requests(self) -> None:
        """Ask for views that were offered and have not come; called now and then.

        A peer offers a view once. If the answer is lost with its link, or if a later
        view was offered while an earlier one was on its way, nobody offers it again.
        """
        for link in list(self._offers):
            self._request(link)

    def closed(self, link: int) -> None:
        """Take note that a link is gone."""
        self._offers.pop(link, None)

    def send_views(
        self, link: int, peer: messages.Hello, wanted: messages.WantViews
    ) -> None:
        """Hand views to a peer, and name the peer to all others first.

        The peer may start to route by these views. If nobody but this instance knew
        of it, a later view could be taken for acknowledged by all while the peer
        still sends to an engine that it withdraws.
        """
        if not self._table.complete:
            return
        self._acknowledged.introduce(
            messages.Introduction(peer.incarnation, peer.host, peer.port)
        )
        self._send_heartbeats()
        chosen = self._table.selected(wanted.failure_domains)
        stored = tuple(view_table.stored_view(view) for view in chosen)
        whole = not wanted.failure_domains
        self._network.send(link, messages.DomainViews(whole, stored))

    def _request(self, link: int) -> None:
        now = self._clock.monotonic()
        behind = [
            name
            for name, number in self._offers[link].items()
            if number > self._table.number(name)
        ]
        if not self._table.complete:
            # Until all views are here, one peer at a time is asked for all of them.
            behind = [""]
        due = [
            name
            for name in behind
            if now - self._requested.get(name, -_RETRY_AFTER) >= _RETRY_AFTER
        ]
        if due:
            self._requested |= dict.fromkeys(due, now)
            named = tuple(name for name in due if name)
            self._network.send(link, messages.WantViews(named))
