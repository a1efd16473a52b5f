"""Relays acknowledgements of other failure domains to the leader of a failure domain.

Most instances of other failure domains have no link to the leader. Those with a link to
any instance of the leader's domain relay the acknowledgements that they know. That
instance relays them to the leader, which has sent a `LeaderNotice` to all instances of
its own domain.
"""

import dataclasses

from pimentolatch.membership import acknowledgements, failure_detector
from pimentolatch.protocol import messages

__all__ = ["AcknowledgementRelay"]

# Several times the instances of the fleet; bounds the rows of terminated incarnations.
_RELAYED_LIMIT = 4096


@dataclasses.dataclass(slots=True)
class _Link:
    leads: set[str] = dataclasses.field(default_factory=set)
    relayed: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)


class AcknowledgementRelay:
    """Selects the acknowledgements to relay on each link.

    Args:
        own_domain: Failure domain of this instance.
        known: Failure domains of the peers.
        acknowledged: Acknowledgements that this instance knows.
    """

    def __init__(
        self,
        own_domain: str,
        known: failure_detector.FailureDetector,
        acknowledged: acknowledgements.AcknowledgementTable,
    ) -> None:
        self._own_domain = own_domain
        self._detector = known
        self._acknowledged = acknowledged
        self._links: dict[int, _Link] = {}

    def opened(self, link: int) -> None:
        """Add a link."""
        self._links[link] = _Link()

    def closed(self, link: int) -> None:
        """Drop a link that is closed."""
        self._links.pop(link, None)

    def receive_leader_notice(self, link: int, notice: messages.LeaderNotice) -> None:
        """Record that the peer of a link is the leader of its failure domain."""
        self._links[link].leads = {notice.failure_domain}

    def receive(self, message: messages.RelayedAcknowledgements) -> None:
        """Record acknowledgements that a peer relayed."""
        for row in message.rows:
            self._acknowledged.acknowledge(
                row.incarnation, message.failure_domain, row.number
            )

    def next_messages(
        self, link: int, peer: messages.Hello
    ) -> tuple[messages.RelayedAcknowledgements, ...]:
        """Return the acknowledgements to relay on a link, and mark them as sent."""
        state = self._links[link]
        wanted = set(state.leads)
        if peer.failure_domain != self._own_domain:
            wanted.add(peer.failure_domain)
        found = []
        for failure_domain in sorted(wanted):
            rows = self._unsent_rows(state, peer, failure_domain)
            if rows:
                found.append(messages.RelayedAcknowledgements(failure_domain, rows))
        return tuple(found)

    def _unsent_rows(
        self, state: _Link, peer: messages.Hello, failure_domain: str
    ) -> tuple[messages.Acknowledgement, ...]:
        if len(state.relayed) > _RELAYED_LIMIT:
            state.relayed.clear()
        rows = []
        for name, number in self._acknowledged.numbers(failure_domain).items():
            domain = self._detector.failure_domain(name)
            # The leader gets acknowledgements of its own domain directly or by query.
            if name == peer.incarnation or domain == peer.failure_domain:
                continue
            if state.relayed.get((failure_domain, name)) != number:
                state.relayed[failure_domain, name] = number
                rows.append(messages.Acknowledgement(name, number))
        return tuple(rows)
