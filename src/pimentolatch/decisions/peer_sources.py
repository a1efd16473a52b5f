"""Decides from which peer an instance fetches what it lacks.

Load pattern: dozens of peers announce a newer list within a second of a change, and
some of them can't be reached, though their beacons arrive: a failure domain has lost
the connections to the others, or a few instances to all. Each attempt at one of these
takes up to a second.

Without this decision the peer that was furthest ahead was asked, and after a failure
the next one. With two peers out of reach and ahead, the attempts went back and forth
between them, while others of the same failure domain had what was needed.

So a peer that was asked and has not answered is asked again only if that holds for all,
the one that was asked first before the others. The rest are asked by failure domain,
the own one first, since traffic between domains is dear. Cuts mostly run between
domains, so the next attempt goes to the domain with the fewest peers that have not
answered.
"""

import collections
import dataclasses
import datetime
from collections import abc

__all__ = ["PeerSources", "Source"]

# Partitions last for minutes. A peer that was only busy is not needed meanwhile, as
# long as others answer.
_MEMORY = datetime.timedelta(minutes=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """A peer that announces something newer.

    Attributes:
        name: Name of the peer.
        failure_domain: Its failure domain.
        version: What it announces.
    """

    name: str
    failure_domain: str
    version: int


class PeerSources:
    """Remembers which peers were asked and have not answered.

    Args:
        own_domain: Failure domain of this instance.
    """

    def __init__(self, own_domain: str) -> None:
        self._domain = own_domain
        self._asked_at: dict[str, datetime.timedelta] = {}

    def choose(
        self, ahead: abc.Iterable[Source], now: datetime.timedelta
    ) -> Source | None:
        """Return the peer to fetch from; None if nobody is ahead."""
        self._forget(now)
        ahead = list(ahead)
        unanswered = collections.Counter(
            source.failure_domain for source in ahead if source.name in self._asked_at
        )
        never = datetime.timedelta.min
        return min(
            ahead,
            key=lambda source: (
                self._asked_at.get(source.name, never),
                unanswered[source.failure_domain],
                source.failure_domain != self._domain,
                -source.version,
            ),
            default=None,
        )

    def record_attempt(self, name: str, now: datetime.timedelta) -> None:
        """Record that a peer is asked."""
        self._asked_at[name] = now

    def record_answer(self, name: str) -> None:
        """Record that a peer has answered."""
        self._asked_at.pop(name, None)

    def _forget(self, now: datetime.timedelta) -> None:
        self._asked_at = {
            name: at for name, at in self._asked_at.items() if now - at < _MEMORY
        }
