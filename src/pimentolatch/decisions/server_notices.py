"""What backend servers state about themselves in their responses.

Load pattern: a server that is short of capacity goes on answering, and asks in its
answers for less. Without a record of these requests it gets as much as before, until
it fails.

Responses overtake each other on their way. A response that no longer names a limit
lifts the limit only if its request was sent after the last response that named it had
arrived; and one that names a limit again counts under the same condition after a lift.
So no response that left the server earlier overrules a later one.

Notices belong to an incarnation: a server that starts again has asked for nothing.
"""

import dataclasses
import datetime
from collections import abc

from pimentolatch.routes import notices, servers

__all__ = ["Change", "Evidence", "ServerNotices"]

# Evidence that is older is not worth telling: the answers since then count.
_MAX_EVIDENCE_AGE = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of what is known of a server.

    Attributes:
        server: The server's incarnation.
        what: Kind of the change: `limit`, `limit lifted` or `limit unreadable`.
        value: The new value, for the log.
        known_for: For how long the previous value was known; zero without one.
    """

    server: servers.Incarnation
    what: str
    value: str
    known_for: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What the latest answer told of a server's limit.

    Attributes:
        rate: Requests per second that it accepts; None for no limit.
        at: Time of the answer, on the clock of this instance.
    """

    server: servers.Incarnation
    rate: float | None
    at: datetime.timedelta


@dataclasses.dataclass(slots=True)
class _Record:
    rate: float | None = None
    evidence_at: datetime.timedelta = datetime.timedelta()
    since: datetime.timedelta = datetime.timedelta()
    unreadable: bool = False


class ServerNotices:
    """The newest notice of each server, by incarnation."""

    def __init__(self) -> None:
        self._records: dict[servers.Incarnation, _Record] = {}

    @property
    def limited(self) -> int:
        """Number of servers that are under a limit."""
        return sum(record.rate is not None for record in self._records.values())

    def limit(self, server: servers.Incarnation) -> float | None:
        """Return the requests per second that a server accepts; None for no limit."""
        record = self._records.get(server)
        return None if record is None else record.rate

    def observe(
        self,
        server: servers.Incarnation,
        notice: notices.Notice,
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> Change | None:
        """Record the notice of a response; return what it changes.

        Args:
            server: Incarnation that the request was sent to.
            notice: What its response states.
            sent_at: When the request was sent.
            now: When the header of the response arrived.
        """
        if isinstance(notice.limit, notices.UnreadableLimit):
            return self._unreadable(server, notice.limit.text)
        record = self._records.get(server)
        rate = (
            notice.limit.rate if isinstance(notice.limit, notices.RateLimit) else None
        )
        if record is None:
            if rate is None:
                return None
            record = self._records[server] = _Record(since=now)
        elif (rate is None) is not (record.rate is None):
            if sent_at < record.evidence_at:
                return None
        elif rate is None:
            return None
        record.evidence_at = now
        return self._changed(server, record, rate, now)

    def merge(self, evidence: Evidence, now: datetime.timedelta) -> Change | None:
        """Record a peer's evidence unless it is older; return what it changes."""
        record = self._records.get(evidence.server)
        if record is None:
            record = self._records[evidence.server] = _Record(since=now)
        elif evidence.at <= record.evidence_at:
            return None
        record.evidence_at = evidence.at
        return self._changed(evidence.server, record, evidence.rate, now)

    def recent(self, now: datetime.timedelta) -> list[Evidence]:
        """Return the evidence that peers should know."""
        return [
            Evidence(server, record.rate, record.evidence_at)
            for server, record in self._records.items()
            if now - record.evidence_at < _MAX_EVIDENCE_AGE
        ]

    def retain(self, listed: abc.Container[servers.Incarnation]) -> None:
        """Forget the servers that are no longer listed."""
        self._records = {
            server: record
            for server, record in self._records.items()
            if server in listed
        }

    def _changed(
        self,
        server: servers.Incarnation,
        record: _Record,
        rate: float | None,
        now: datetime.timedelta,
    ) -> Change | None:
        if rate == record.rate:
            return None
        known_for, record.rate, record.since = now - record.since, rate, now
        if rate is None:
            return Change(server, "limit lifted", "", known_for)
        return Change(server, "limit", str(rate), known_for)

    def _unreadable(self, server: servers.Incarnation, text: str) -> Change | None:
        """Return a change for the log, once for each incarnation."""
        record = self._records.setdefault(server, _Record())
        if record.unreadable:
            return None
        record.unreadable = True
        return Change(server, "limit unreadable", text)
