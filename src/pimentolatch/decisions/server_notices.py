"""What backend servers state about themselves in their responses.

Load pattern: a server that is short of capacity, or about to leave, goes on answering,
and asks in its answers for less. Without a record of these requests it gets as much as
before, until it fails or is gone.

Responses overtake each other on their way. A response that no longer names a limit
lifts the limit only if its request was sent after the last response that named it had
arrived; and one that names a limit again counts under the same condition after a lift.
So no response that left the server earlier overrules a later one.

A server that leaves says so until it ends, so nothing lifts that. One that declines a
request may ask this instance for a rest, a time without requests; of several rests the
latest end counts.

Notices belong to an incarnation: a server that starts again has asked for nothing.
"""

import dataclasses
import datetime
import enum
from collections import abc

from pimentolatch.routes import notices, servers

__all__ = ["Change", "Evidence", "Kind", "ServerNotices"]


# Evidence that is older is not worth telling: the answers since then count.
_MAX_EVIDENCE_AGE = datetime.timedelta(seconds=10)
# Longer rests are cut: an erroneous value would exclude a server for ever.
_MAX_REST = datetime.timedelta(minutes=10)
# What a server stated is kept for so long after it is no longer listed: an entry may
# expire while the store is away, and come back.
_RETENTION = datetime.timedelta(minutes=1)


class Kind(enum.Enum):
    """Kinds of changes, as the log names them."""

    LIMIT = "limit"
    LIMIT_LIFTED = "limit lifted"
    LIMIT_UNREADABLE = "limit unreadable"
    LEAVING = "leaving"
    LEAVING_UNREADABLE = "leaving unreadable"
    REST = "rest"
    REST_UNREADABLE = "rest unreadable"


_UNREADABLE = {
    notices.Field.LEAVING: Kind.LEAVING_UNREADABLE,
    notices.Field.REST: Kind.REST_UNREADABLE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of what is known of a server.

    Attributes:
        server: The server's incarnation.
        value: The new value, for the log.
        known_for: For how long the previous value was known; zero without one.
    """

    server: servers.Incarnation
    kind: Kind
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
    """What is known of one incarnation.

    Attributes:
        rate: The limit that it named last; None for no limit.
        rate_since: When that became known; None if it never named a limit.
        evidence_at: Time of the latest answer that told of a limit or of its end.
        leaving: Whether it has said that it leaves.
        rest_until: End of the rest that it has asked for.
        unreadable: What had a value without meaning, each logged once.
        unlisted_at: Since when it is not listed; None while it is.
    """

    rate: float | None = None
    rate_since: datetime.timedelta | None = None
    evidence_at: datetime.timedelta | None = None
    leaving: bool = False
    rest_until: datetime.timedelta = datetime.timedelta()
    unreadable: set[Kind] = dataclasses.field(default_factory=set)
    unlisted_at: datetime.timedelta | None = None


class ServerNotices:
    """The newest notices of each server, by incarnation."""

    def __init__(self) -> None:
        self._records: dict[servers.Incarnation, _Record] = {}

    @property
    def known(self) -> abc.Set[servers.Incarnation]:
        """The servers of which something is known."""
        return self._records.keys()

    @property
    def limited(self) -> frozenset[servers.Incarnation]:
        """Servers that are under a limit."""
        return frozenset(
            server
            for server, record in self._records.items()
            if record.rate is not None
        )

    @property
    def leaving_count(self) -> int:
        """Number of servers that are about to leave."""
        return sum(record.leaving for record in self._records.values())

    def resting_count(self, now: datetime.timedelta) -> int:
        """Return the number of servers that have asked for a rest."""
        return sum(now < record.rest_until for record in self._records.values())

    def rest_until(self, server: servers.Incarnation) -> datetime.timedelta:
        """Return the end of the rest that a server has asked for; zero for none."""
        record = self._records.get(server)
        return datetime.timedelta() if record is None else record.rest_until

    def is_leaving(self, server: servers.Incarnation) -> bool:
        """Tell whether a server has said that it leaves."""
        record = self._records.get(server)
        return record is not None and record.leaving

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
    ) -> tuple[Change, ...]:
        """Record the notice of a response; return what it changes.

        Args:
            server: Incarnation that the request was sent to.
            notice: What its response states.
            sent_at: When the request was sent.
            now: When the header of the response arrived.
        """
        if notice == notices.Notice() and server not in self._records:
            return ()
        record = self._record(server)
        changes = [
            self._observe_limit(server, record, notice.limit, sent_at, now),
            self._observe_leaving(server, record, notice.leaving),
            self._observe_rest(server, record, notice.rest, now),
            *(
                self._unreadable(server, record, _UNREADABLE[field])
                for field in notice.unreadable
            ),
        ]
        return tuple(change for change in changes if change is not None)

    def merge(self, evidence: Evidence, now: datetime.timedelta) -> Change | None:
        """Record a peer's evidence unless it is older; return what it changes."""
        record = self._record(evidence.server)
        if record.evidence_at is not None and evidence.at <= record.evidence_at:
            return None
        record.evidence_at = evidence.at
        return self._set_rate(evidence.server, record, evidence.rate, now)

    def recent(self, now: datetime.timedelta) -> list[Evidence]:
        """Return the evidence that peers should know."""
        return [
            Evidence(server, record.rate, record.evidence_at)
            for server, record in self._records.items()
            if record.evidence_at is not None
            and now - record.evidence_at < _MAX_EVIDENCE_AGE
        ]

    def retain(
        self, listed: abc.Container[servers.Incarnation], now: datetime.timedelta
    ) -> None:
        """Forget the servers that have not been listed for some time."""
        for server, record in list(self._records.items()):
            if server in listed:
                record.unlisted_at = None
            elif record.unlisted_at is None:
                record.unlisted_at = now
            elif now - record.unlisted_at >= _RETENTION:
                del self._records[server]

    def _record(self, server: servers.Incarnation) -> _Record:
        return self._records.setdefault(server, _Record())

    def _observe_limit(
        self,
        server: servers.Incarnation,
        record: _Record,
        limit: notices.Limit,
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> Change | None:
        if isinstance(limit, notices.UnreadableLimit):
            return self._unreadable(server, record, Kind.LIMIT_UNREADABLE, limit.text)
        rate = limit.rate if isinstance(limit, notices.RateLimit) else None
        if rate is None and record.rate is None:
            return None
        contradicts = (rate is None) is not (record.rate is None)
        if contradicts and _crossed(sent_at, record.evidence_at):
            return None
        record.evidence_at = now
        return self._set_rate(server, record, rate, now)

    def _set_rate(
        self,
        server: servers.Incarnation,
        record: _Record,
        rate: float | None,
        now: datetime.timedelta,
    ) -> Change | None:
        if rate == record.rate:
            return None
        since = now if record.rate_since is None else record.rate_since
        record.rate, record.rate_since = rate, now
        if rate is None:
            return Change(server, Kind.LIMIT_LIFTED, "", now - since)
        return Change(server, Kind.LIMIT, str(rate), now - since)

    def _observe_leaving(
        self, server: servers.Incarnation, record: _Record, leaving: bool
    ) -> Change | None:
        if not leaving or record.leaving:
            return None
        record.leaving = True
        return Change(server, Kind.LEAVING, "1")

    def _observe_rest(
        self,
        server: servers.Incarnation,
        record: _Record,
        rest: datetime.timedelta | None,
        now: datetime.timedelta,
    ) -> Change | None:
        if rest is None:
            return None
        until = now + min(rest, _MAX_REST)
        if until <= record.rest_until:
            return None
        record.rest_until = until
        return Change(server, Kind.REST, str(rest.total_seconds()))

    def _unreadable(
        self,
        server: servers.Incarnation,
        record: _Record,
        kind: Kind,
        text: str = "",
    ) -> Change | None:
        """Return a change for the log, once for each incarnation and kind."""
        if kind in record.unreadable:
            return None
        record.unreadable.add(kind)
        return Change(server, kind, text)


def _crossed(
    sent_at: datetime.timedelta, evidence_at: datetime.timedelta | None
) -> bool:
    """Tell whether a request was sent before some evidence had arrived."""
    return evidence_at is not None and sent_at < evidence_at
