"""Decides how long a request waits for an engine.

Load pattern: both decode engines crash within a second, or one crashes while the other
changes its stage. For two to five seconds no request can be served, then all can.
Refused at once, each request is retried after a second, finds the same and is lost,
while the engines of the other stage are idle.

So a request waits as long as its client does and checks repeatedly for an engine.
Requests of a higher rank check more often, so they get a returning engine first, and
random jitter keeps requests from checking all at once. Just before its client would
time out, the request is refused with a retry time. That guarantee lets a client retry a
request that is not repeatable; a missing response does not.

A prompt queued at an engine waits likewise, behind more urgent ones that arrive later
and are served first. No engine reports when it would start, so the prompt is withdrawn
and refused before its client times out without a response.

The number of waiting requests is bounded: requests beyond what a returning engine can
serve before their clients time out would only make all of them late.
"""

import collections
import contextlib
import datetime
from collections import abc

__all__ = [
    "MAX_WAITING",
    "Waiting",
    "client_timeout",
    "recheck_interval",
    "may_wait",
    "refusal_time",
    "retry_after",
]

# Clients disconnect after a gap of the longest of these.
_MIN_CLIENT_TIMEOUT = datetime.timedelta(seconds=2)
_CLIENT_TIMEOUT_TARGETS = 4
_CLIENT_TIMEOUT_PAUSES = 8

# Requests that wait in one instance. An engine decodes 64 requests at once and eight
# instances share it; prompts of 20 KB each stay within 1 MB of memory.
MAX_WAITING = 48
# Pause of the first rank, and the additional pause of each further rank. The engines'
# reported state is some tenths of a second old.
_RECHECK_MS = 60.0
_RANK_MS = 40.0
_MAX_RANKS = 3
# Time left for the refusal to reach the client before it disconnects, and for an engine
# to send a first event.
_MARGIN = datetime.timedelta(milliseconds=200)
# Crashed engines return after two to five seconds, so a request that has waited for
# most of that soon finds one. The spread keeps retries from arriving at once.
_MIN_RETRY_MS = 300.0
_RETRY_SPREAD_MS = 700.0
# Over how much longer the retries spread that have to wait for a permit, at most.
_MAX_PERMIT_SPREAD = datetime.timedelta(seconds=5)


class Waiting:
    """Requests that wait in one instance, by service and rank of their routes."""

    def __init__(self) -> None:
        self._counts: collections.defaultdict[str, collections.Counter[int]]
        self._counts = collections.defaultdict(collections.Counter)

    @property
    def total(self) -> int:
        """Number of waiting requests."""
        return sum(counts.total() for counts in self._counts.values())

    def ahead(self, service: str, rank: int) -> int:
        """Return how many waiting requests are sent before one of a rank."""
        counts = self._counts[service]
        return sum(count for other, count in counts.items() if other <= rank)

    def is_outranked(self, service: str, rank: int) -> bool:
        """Tell whether a request of a higher rank waits for the same service."""
        counts = self._counts[service]
        return any(count for other, count in counts.items() if other < rank)

    @contextlib.contextmanager
    def counted(self, service: str, rank: int) -> abc.Generator[None, None, None]:
        """Count a request of a rank as waiting."""
        counts = self._counts[service]
        counts[rank] += 1
        try:
            yield
        finally:
            counts[rank] -= 1


def recheck_interval(
    rank: int, jitter: float, client_wait: datetime.timedelta
) -> datetime.timedelta:
    """Return the pause before a waiting request checks for an engine again.

    It ends before the request has to be refused.

    Args:
        rank: Rank of its route, 0 first.
        jitter: Uniform random number from 0 to 1 of the request.
        client_wait: How much longer its client waits; see `may_wait`.
    """
    milliseconds = _RECHECK_MS + _RANK_MS * min(rank, _MAX_RANKS)
    pause = datetime.timedelta(milliseconds=milliseconds * (0.75 + 0.5 * jitter))
    return min(pause, client_wait - _MARGIN)


def client_timeout(
    latency_target: datetime.timedelta, event_gap_target: datetime.timedelta
) -> datetime.timedelta:
    """Return how long a client of a stream waits for an event before it disconnects.

    Args:
        latency_target: The route's target for the time to the first event.
        event_gap_target: The route's longest pause between events.
    """
    by_target = _CLIENT_TIMEOUT_TARGETS * latency_target
    return max(
        _MIN_CLIENT_TIMEOUT, by_target, _CLIENT_TIMEOUT_PAUSES * event_gap_target
    )


def refusal_time(client_gives_up_at: datetime.timedelta) -> datetime.timedelta:
    """Return when a request that still waits is refused.

    Args:
        client_gives_up_at: When its client disconnects without an event.
    """
    return client_gives_up_at - _MARGIN


def may_wait(client_wait: datetime.timedelta, waiting: int) -> bool:
    """Tell whether a request may wait or continue to wait.

    Args:
        client_wait: How much longer its client waits.
        waiting: Other requests that wait in this instance.
    """
    return client_wait > _MARGIN and waiting < MAX_WAITING


def retry_after(
    jitter: float, permit_wait: datetime.timedelta = datetime.timedelta()
) -> datetime.timedelta:
    """Return when a request that got no server in time should be retried.

    Args:
        jitter: Uniform random number from 0 to 1 of the request.
        permit_wait: When a server accepts a request again, if none does now.
    """
    spread = datetime.timedelta(milliseconds=_MIN_RETRY_MS + _RETRY_SPREAD_MS * jitter)
    return spread + permit_wait + min(permit_wait, _MAX_PERMIT_SPREAD) * jitter
