"""Chooses which of the news of ended servers peers are told first.

Load pattern: after the loss of a failure domain thousands of requests have lost their
server. Told in order, the one that ends further servers would be among the last.
"""

from collections import abc

from pimentolatch.decisions import crash_evidence
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["CrashNews"]

# Pairs that wait to be told. The newest are kept, since those of a request that comes
# again are among them.
_MOST_WAITING = 500

_Key = tuple[digests.RequestDigest, servers.Incarnation]


class CrashNews:
    """Pairs that some peers have not been told of yet.

    Args:
        times_told: How often each pair is told; more than once where news get lost.
    """

    def __init__(self, times_told: int = 1) -> None:
        self._times_told = times_told
        self._left: dict[_Key, tuple[crash_evidence.Suspicion, int]] = {}

    def add(self, pair: crash_evidence.Suspicion) -> None:
        """Note a pair to be told."""
        key = pair.digest, pair.server
        self._left.pop(key, None)
        self._left[key] = pair, self._times_told
        if len(self._left) > _MOST_WAITING:
            del self._left[next(iter(self._left))]

    def take(
        self, most: int, crashes: abc.Callable[[digests.RequestDigest], int]
    ) -> list[crash_evidence.Suspicion]:
        """Return some pairs, those of requests with the most crashes first.

        Args:
            most: How many at the most.
            crashes: Under how many servers' ends a request is suspected.
        """
        newest = reversed(self._left.values())
        pairs = [pair for pair, _ in newest]
        pairs.sort(key=lambda pair: 0 if pair.cleared else -crashes(pair.digest))
        taken = pairs[:most]
        for pair in taken:
            key = pair.digest, pair.server
            left = self._left[key][1] - 1
            if left:
                self._left[key] = pair, left
            else:
                del self._left[key]
        return taken
