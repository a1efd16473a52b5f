"""Chooses a server for a short call and avoids servers that fail.

Load pattern: one of four servers fails every second call while its health check passes,
or accepts calls and never answers. With an even distribution it receives a quarter of
all calls, and a call that must not be repeated is lost there. Counting outstanding
calls keeps calls away from a slow server; a backoff after each failure keeps them away
from one that fails fast, which by that count looks least loaded.
"""

import collections
import dataclasses
import datetime
from collections import abc

from pimentolatch.routes import servers

__all__ = ["ServerChoice"]

# Cost of a call to another failure domain, as a share of a server's slots.
_REMOTE_COST = 0.35
# Backoff after a failure; it doubles with each further one. A server that fails two
# calls in five is avoided most of the time, one that failed once by chance hardly.
# Calls that fail within the first backoff after a failure were sent before it and have
# the same cause, such as a second of silence; they don't count again.
_INITIAL_BACKOFF = datetime.timedelta(milliseconds=300)
_MAX_BACKOFF = datetime.timedelta(seconds=5)
_MAX_DOUBLINGS = 5


@dataclasses.dataclass(slots=True)
class _Record:
    outstanding: int = 0
    failures: int = 0
    failed_at: datetime.timedelta | None = None
    avoid_until: datetime.timedelta = datetime.timedelta()


class ServerChoice:
    """Outstanding calls and failures of plain servers.

    Args:
        own_domain: Failure domain of this instance.
        is_avoided: Tells whether a server was silent to other instances.
    """

    def __init__(
        self,
        own_domain: str,
        is_avoided: abc.Callable[[servers.Incarnation], bool] = lambda server: False,
    ) -> None:
        self._domain = own_domain
        self._is_avoided = is_avoided
        self._records: dict[servers.Incarnation, _Record]
        self._records = collections.defaultdict(_Record)

    def choose(
        self,
        listed: abc.Sequence[servers.Server],
        now: datetime.timedelta,
        excluded: abc.Container[servers.Incarnation] = (),
    ) -> servers.Server | None:
        """Return the server with the least cost, or None if there is none."""
        return min(self.usable(listed, now, excluded), key=self._cost, default=None)

    def usable(
        self,
        listed: abc.Sequence[servers.Server],
        now: datetime.timedelta,
        excluded: abc.Container[servers.Incarnation] = (),
    ) -> list[servers.Server]:
        """Return the servers that are not avoided, or all of them if all are."""
        found = [server for server in listed if server.incarnation not in excluded]
        healthy = [
            server
            for server in found
            if now >= self._records[server.incarnation].avoid_until
            and not self._is_avoided(server.incarnation)
        ]
        return healthy or found

    def begin(self, server: servers.Server) -> None:
        """Count a call that is sent."""
        self._records[server.incarnation].outstanding += 1

    def end(
        self, server: servers.Server, now: datetime.timedelta, *, failed: bool
    ) -> None:
        """Count a call that ended."""
        record = self._records[server.incarnation]
        record.outstanding -= 1
        if not failed:
            record.failures = max(0, record.failures - 1)
            return
        if record.failed_at is not None and now - record.failed_at < _INITIAL_BACKOFF:
            return
        record.failed_at = now
        backoff = _INITIAL_BACKOFF * 2 ** min(record.failures, _MAX_DOUBLINGS)
        record.failures += 1
        record.avoid_until = now + min(backoff, _MAX_BACKOFF)

    def retain(self, listed: abc.Container[servers.Incarnation]) -> None:
        """Remove servers that are no longer listed and have no outstanding call."""
        for name in list(self._records):
            if name not in listed and self._records[name].outstanding <= 0:
                del self._records[name]

    def _cost(self, server: servers.Server) -> tuple[float, str]:
        cost = self._records[server.incarnation].outstanding / max(1, server.slots)
        if server.failure_domain != self._domain:
            cost += _REMOTE_COST
        return cost, server.server_id
