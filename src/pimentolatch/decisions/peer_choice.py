"""Chooses the peer that serves a request in place of an instance without servers.

Load pattern: an instance, or half of the fleet, has lost the path to the servers of a
service, and forwards each request for it to a peer. If all use the same peer, it is
overloaded; if a peer is used that is cut off itself, the request is lost a second time.

The peer with the fewest requests forwarded from here is used, one of another failure
domain only if it has fewer by one, since traffic between domains is expensive. Peers
that have just failed are passed over for a second, and so are those with an older
configuration than a client of this instance has seen the effect of.
"""

import dataclasses
import datetime
from collections import abc

from pimentolatch.decisions import rendezvous

__all__ = ["Candidate", "PeerChoice"]

_REMOTE_COST = 1
_BACKOFF = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A live peer that reaches the servers of a service.

    Attributes:
        instance: Its name.
        host: Its host.
        failure_domain: Its failure domain.
        configuration: Version of the configuration in force there.
    """

    instance: str
    host: str
    failure_domain: str
    configuration: int


class PeerChoice:
    """Requests forwarded to each peer, and the peers that failed lately.

    Args:
        own_domain: Failure domain of the instance.
    """

    def __init__(self, own_domain: str) -> None:
        self._domain = own_domain
        self._outstanding: dict[str, int] = {}
        self._failed_at: dict[str, datetime.timedelta] = {}
        self._seen_configuration = 0

    def required_configuration(self, own: int) -> int:
        """Return the oldest configuration by which a request may be served.

        Args:
            own: Version of the configuration in force at this instance.
        """
        return max(own, self._seen_configuration)

    def choose(
        self,
        candidates: abc.Iterable[Candidate],
        request_id: str,
        own_configuration: int,
        now: datetime.timedelta,
        tried: abc.Container[str] = (),
    ) -> Candidate | None:
        """Return the peer to forward a request to; None if there is none.

        Args:
            candidates: The peers that reach the servers.
            request_id: Spreads requests over peers that are alike.
            own_configuration: Version of the configuration at this instance.
            now: The time.
            tried: Names of the peers that could not serve the request.
        """
        required = self.required_configuration(own_configuration)
        usable = [
            peer
            for peer in candidates
            if peer.instance not in tried
            and peer.configuration >= required
            and not self._in_backoff(peer.instance, now)
        ]
        return min(usable, key=lambda peer: self._cost(peer, request_id), default=None)

    def begin(self, peer: Candidate) -> None:
        """Count a request that is forwarded."""
        self._outstanding[peer.instance] = self._outstanding.get(peer.instance, 0) + 1
        self._seen_configuration = max(self._seen_configuration, peer.configuration)

    def end(self, peer: Candidate) -> None:
        """Count a forwarded request that has ended."""
        self._outstanding[peer.instance] -= 1
        if not self._outstanding[peer.instance]:
            del self._outstanding[peer.instance]

    def failed(self, peer: Candidate, now: datetime.timedelta) -> None:
        """Record that a peer could not serve a request."""
        self._failed_at = {
            name: at for name, at in self._failed_at.items() if now - at < _BACKOFF
        }
        self._failed_at[peer.instance] = now

    def _in_backoff(self, instance: str, now: datetime.timedelta) -> bool:
        failed_at = self._failed_at.get(instance)
        return failed_at is not None and now - failed_at < _BACKOFF

    def _cost(self, peer: Candidate, request_id: str) -> tuple[int, int]:
        cost = self._outstanding.get(peer.instance, 0)
        if peer.failure_domain != self._domain:
            cost += _REMOTE_COST
        return cost, rendezvous.rank(request_id, peer.instance)
