"""Exchanges domain views with peers and derives this instance's acknowledgements."""

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
    """Requests views from peers, sends views to them and acknowledges own ones.

    Args:
        own: Identity of this process.
        network: Sends messages.
        table: The domain views by which this instance routes.
        work: Work of this instance at backend servers.
        acknowledged: Acknowledgements of all instances.
        send_heartbeats: Sends a heartbeat on every link.
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
        """Adopt newer views.

        Returns:
            The servers that the adopted views withdraw; None if nothing changed.
        """
        adopted = [view for view in found if self._table.adopt(view)]
        if complete:
            self._table.set_complete()
        if not adopted and not complete:
            return None
        return frozenset().union(*(view.withdrawn for view in adopted))

    def acknowledge(self) -> None:
        """Update the view numbers that this instance acknowledges.

        Work reports are not sent across failure domains. So a view of another domain is
        acknowledged only when this instance has no work left at the servers that the
        view withdraws.
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
        """Record the views by which a peer routes, and request newer ones."""
        offers = self._offers.setdefault(link, {})
        offers |= {view.failure_domain: view.number for view in numbers}
        self._request(link)

    def retry_requests(self) -> None:
        """Request offered views that were not received; called at each heartbeat.

        A peer offers a view once. If the response is lost with its link, or a newer
        view is offered while an older one is in transit, no peer offers it again.
        """
        for link in list(self._offers):
            self._request(link)

    def closed(self, link: int) -> None:
        """Drop the offers of a closed link."""
        self._offers.pop(link, None)

    def send_views(
        self, link: int, peer: messages.Hello, wanted: messages.WantViews
    ) -> None:
        """Send views to a peer, after introducing the peer to all others.

        The peer may start to route by these views. If only this instance knew of it, a
        later view could seem acknowledged by all while the peer still dispatches to an
        engine that the view withdraws.
        """
        if not self._table.complete:
            return
        self._acknowledged.introduce(
            messages.Introduction(peer.incarnation, peer.host, peer.port)
        )
        self._send_heartbeats()
        chosen = self._table.selected(wanted.failure_domains)
        stored = tuple(view_table.stored_view(view) for view in chosen)
        complete = not wanted.failure_domains
        self._network.send(link, messages.DomainViews(complete, stored))

    def _request(self, link: int) -> None:
        now = self._clock.monotonic()
        behind = [
            name
            for name, number in self._offers[link].items()
            if number > self._table.number(name)
        ]
        if not self._table.complete:
            # Until all views are known, one peer at a time is asked for all of them.
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
