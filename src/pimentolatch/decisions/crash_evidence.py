"""Weighs whether a request is the cause of the ends of the servers that ran it.

Load pattern: servers end under a dozen requests each, and all of these are sent again.
When half of a fleet is lost within a second, or two requests end servers at once, a
request can lose three servers in a row and have caused none of these ends. Judged by
their number alone, it is refused for as long as one that ends every server it reaches.

What tells the two apart, all of it known from the ends themselves:

- A request that ends its servers does so at about the same time after each sending.
  One that is struck by other causes had run for any time by then.
- A request that had run clearly longer than another one, on servers that ended under
  both, is the less likely cause. Ends that a likelier cause explains prove nothing.
- Ends of as many other servers around the same time have a cause of their own, and so
  do three ends that several requests share.

A doubt lets a request be sent once more, after which the evidence differs: an innocent
one runs to its end. Doubts are bounded, since each may cost a server.
"""

import dataclasses
import datetime
import typing
from collections import abc

from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["MOST_DOUBTED", "Known", "Suspicion", "is_cause"]

# Ends this close together may have one cause.
_SAME_CAUSE = datetime.timedelta(seconds=1)
# Sendings this close together may have been begun in either order.
_SAME_MOMENT = datetime.timedelta(milliseconds=10)
# The longest time that a request took to end a server, as a multiple of the shortest.
# One server may be slower than another, or have more work ahead of the request.
_LARGEST_SPREAD = 3.0
# Other requests with as many ends from which on none of them is taken for the cause.
_SHARED_BY = 2
# Servers that may end after the first doubt. The next end is taken for proof.
MOST_DOUBTED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A server's connection ended while it ran a request.

    Attributes:
        cleared: The server lives on, or the request has run to its end since.
        at: When it ended, as far as this instance knows.
        lasted: How long the server had had the request by then; zero if not known.
        server_lives: The server has answered since, so that it has not ended.
    """

    digest: digests.RequestDigest
    server: servers.Incarnation
    cleared: bool
    at: datetime.timedelta
    lasted: datetime.timedelta = datetime.timedelta()
    server_lives: bool = False


class Known(typing.Protocol):
    """What an instance knows of servers' ends."""

    def ended_under(self, digest: digests.RequestDigest) -> list[Suspicion]:
        """Return the pairs of a request that are not cleared."""

    def victims(self, server: servers.Incarnation) -> list[Suspicion]:
        """Return the pairs of all requests that a server's end broke off."""

    def ended_servers(self) -> abc.Iterable[servers.Incarnation]:
        """Return the servers under whose ends any request is or was suspected."""


_Ends = abc.Sequence[Suspicion]


def is_cause(ended: _Ends, known: Known, enough: int) -> bool:
    """Tell whether a request is the likely cause of the ends of its servers.

    Args:
        ended: Its pairs that are not cleared, `enough` or more.
        known: All that is known of ends.
        enough: Ends from which on a request may be the cause.
    """
    # Two that end servers together would explain each other's ends for ever.
    if len(ended) >= enough + MOST_DOUBTED:
        return True
    others = _beside(ended, known)
    if len(_unexplained(ended, others)) < enough:
        return False
    return not _is_in_doubt(ended, others, known, enough)


def _beside(ended: _Ends, known: Known) -> list[_Ends]:
    """Return the ends of the requests beside one that have as many."""
    digest = ended[0].digest
    victims = (pair for end in ended for pair in known.victims(end.server))
    beside = {pair.digest for pair in victims} - {digest}
    found = (known.ended_under(other) for other in beside)
    return [ends for ends in found if len(ends) >= len(ended)]


def _unexplained(
    ended: _Ends, others: abc.Iterable[_Ends]
) -> frozenset[servers.Incarnation]:
    """Return the servers that have ended under a request and under no likelier cause.

    A request whose own ends are unlike each other is hardly a cause, so any request
    with more ends explains them better.
    """
    likelier = (
        ends
        for ends in others
        if _is_likelier(ends, ended) and (_are_alike(ends) or not _are_alike(ended))
    )
    explained = {pair.server for ends in likelier for pair in ends}
    return frozenset(pair.server for pair in ended) - explained


def _is_in_doubt(
    ended: _Ends, others: abc.Sequence[_Ends], known: Known, enough: int
) -> bool:
    if not _are_alike(ended):
        return True
    if len(ended) == enough and len(others) >= _SHARED_BY:
        return True
    if any(_are_alike(ends) and not _is_newer(ended, ends) for ends in others):
        return True
    return _ended_elsewhere(ended, known, enough) >= len(ended)


def _ended_elsewhere(ended: _Ends, known: Known, enough: int) -> int:
    """Count the servers that ended around the same time and not under a request.

    Those under which another request is suspected of as many ends don't count: it is
    another cause of the same kind, and says nothing of this one.
    """
    own = {pair.server for pair in ended}
    count = 0
    for server in known.ended_servers():
        victims = known.victims(server)
        if server in own or not victims:
            continue
        at = min(pair.at for pair in victims)
        near = any(abs(at - pair.at) <= _SAME_CAUSE for pair in ended)
        count += near and not any(
            len(ends) >= enough and _are_alike(ends)
            for ends in (known.ended_under(pair.digest) for pair in victims)
        )
    return count


def _is_likelier(ends: _Ends, than: _Ends) -> bool:
    """Tell whether a request is the likelier cause than another one."""
    if len(ends) != len(than):
        return len(ends) > len(than)
    return _longest(ends) < _longest(than) - _SAME_MOMENT


def _is_newer(ends: _Ends, than: _Ends) -> bool:
    """Tell whether each server that both lost had had a request clearly shorter."""
    lasted = {pair.server: pair.lasted for pair in than}
    return len(ends) >= len(than) and all(
        pair.lasted < lasted[pair.server] - _SAME_MOMENT
        for pair in ends
        if pair.server in lasted
    )


def _are_alike(ends: _Ends) -> bool:
    """Tell whether servers ended at about the same time after they had a request."""
    lasted = [pair.lasted for pair in ends if pair.lasted]
    if not lasted:
        return True
    return max(lasted) <= _LARGEST_SPREAD * max(min(lasted), _SAME_MOMENT)


def _longest(ends: _Ends) -> datetime.timedelta:
    return max(pair.lasted for pair in ends)
