"""Chooses which of the news of ended servers peers are told first.

Load pattern: after the loss of a failure domain thousands of requests have lost their
server. Told in order, the one that ends further servers would be among the last.
"""

from collections import abc

from pimentolatch.decisions import crash_evidence
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["CrashNoticeQueue"]

# Pairs that wait to be told. The newest are kept, since those of a request that comes
# again are among them.
_MAX_QUEUED = 500

_Key = tuple[digests.RequestDigest, servers.Incarnation]


class CrashNoticeQueue:
    """Pairs that some peers have not been told of yet.

    Args:
        transmissions: How often each pair is told; more than once where news get lost.
    """

    def __init__(self, transmissions: int = 1) -> None:
        self._transmissions = transmissions
        self._pending: dict[_Key, tuple[crash_evidence.SuspectedCrash, int]] = {}

    def add(self, crash: crash_evidence.SuspectedCrash) -> None:
        """Note a pair to be told."""
        key = crash.digest, crash.server
        self._pending.pop(key, None)
        self._pending[key] = crash, self._transmissions
        if len(self._pending) > _MAX_QUEUED:
            del self._pending[next(iter(self._pending))]

    def take(
        self, limit: int, crash_count: abc.Callable[[digests.RequestDigest], int]
    ) -> list[crash_evidence.SuspectedCrash]:
        """Return some pairs, those of requests with the most crashes first.

        Args:
            limit: How many at the most.
            crash_count: Under how many servers' ends a request is suspected.
        """
        newest = reversed(self._pending.values())
        crashes_to_send = [crash for crash, _ in newest]
        crashes_to_send.sort(
            key=lambda crash: 0 if crash.cleared else -crash_count(crash.digest)
        )
        taken = crashes_to_send[:limit]
        for crash in taken:
            key = crash.digest, crash.server
            left = self._pending[key][1] - 1
            if left:
                self._pending[key] = crash, left
            else:
                del self._pending[key]
        return taken
