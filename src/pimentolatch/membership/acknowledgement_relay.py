"""Passes acknowledgements on towards the holder of a failure domain's duty.

Instances of another failure domain have no link to the holder. Those that have one to
any instance of the holder's failure domain pass on what they heard, and that instance
passes it on to the holder, which has told its own failure domain that it gathers.
"""

import dataclasses

from pimentolatch.membership import acknowledgements, failure_detector
from pimentolatch.protocol import messages

__all__ = ["AcknowledgementRelay"]

# Several times the instances of the fleet, so that rows of ended ones don't pile up.
_RELAYED_LIMIT = 4096


@dataclasses.dataclass(slots=True)
class _Link:
    leads: set[str] = dataclasses.field(default_factory=set)
    relayed: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)


class AcknowledgementRelay:
    """What has been passed on, by link."""

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
        """Start to use a link."""
        self._links[link] = _Link()

    def closed(self, link: int) -> None:
        """Take note that a link is gone."""
        self._links.pop(link, None)

    def receive_leader_notice(self, link: int, notice: messages.LeaderNotice) -> None:
        """Take note that the peer at a link gathers acknowledgements."""
        self._links[link].leads = {notice.failure_domain}

    def receive(self, message: messages.RelayedAcknowledgements) -> None:
        """Take acknowledgements that a peer passed on."""
        for row in message.rows:
            self._acknowledged.acknowledge(
                row.incarnation, message.failure_domain, row.number
            )

    def next_messages(
        self, link: int, peer: messages.Hello
    ) -> tuple[messages.RelayedAcknowledgements, ...]:
        """Return what the peer at a link has to be told, and count it as told."""
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
            # The holder hears its own failure domain itself, or asks for it.
            if name == peer.incarnation or domain == peer.failure_domain:
                continue
            if state.relayed.get((failure_domain, name)) != number:
                state.relayed[failure_domain, name] = number
                rows.append(messages.Acknowledgement(name, number))
        return tuple(rows)
