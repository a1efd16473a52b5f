"""Orders the crash notices that are sent to peers.

Load pattern: after the loss of a failure domain thousands of requests have lost their
server. Sent in order of arrival, the notices about the request that crashes further
servers would be among the last.
"""

from collections import abc

from pimentolatch.decisions import crash_evidence
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["CrashNoticeQueue"]

# Bound on the queue. The newest are retained, since they include the crashes of a
# request that is being retried.
_MAX_QUEUED = 500

_Key = tuple[digests.RequestDigest, servers.Incarnation]


class CrashNoticeQueue:
    """Suspected crashes that are still to be sent to some peers.

    Args:
        transmissions: How often each one is sent; more than once where messages get
            lost.
    """

    def __init__(self, transmissions: int = 1) -> None:
        self._transmissions = transmissions
        self._pending: dict[_Key, tuple[crash_evidence.SuspectedCrash, int]] = {}

    def add(self, crash: crash_evidence.SuspectedCrash) -> None:
        """Queue a suspected crash."""
        key = crash.digest, crash.server
        self._pending.pop(key, None)
        self._pending[key] = crash, self._transmissions
        if len(self._pending) > _MAX_QUEUED:
            del self._pending[next(iter(self._pending))]

    def take(
        self, limit: int, crash_count: abc.Callable[[digests.RequestDigest], int]
    ) -> list[crash_evidence.SuspectedCrash]:
        """Return some of the queue, requests with the most crashes first.

        Args:
            limit: Largest number to return.
            crash_count: Returns the number of uncleared crashes of a request.
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
