"""Applies what servers ask for in their responses, and logs it."""

import datetime
from collections import abc

import logbook

from pimentolatch import clock
from pimentolatch.decisions import (
    log_budget,
    neighbours,
    rendezvous,
    server_limits,
    server_notices,
)
from pimentolatch.protocol import beacons
from pimentolatch.routes import notices, servers

__all__ = ["FlowControl"]

_log = logbook.Logger("flow")
_CHANGED = "server notice"
# Limits that a beacon tells; the others follow in the next ones.
_MAX_REPORTED = 8
# After a rest the instances return within this time, each at a time of its own.
_RETURN_SPREAD = datetime.timedelta(milliseconds=500)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class FlowControl:
    """What the servers have asked this instance for.

    Args:
        own: This instance.
        time: Clock of this instance.
    """

    def __init__(self, own: neighbours.Place, time: clock.Clock) -> None:
        self._own = own
        self._clock = time
        self._notices = server_notices.ServerNotices()
        self._limits = server_limits.ServerLimits(own)
        self._log_budget = log_budget.LogBudget()
        self._turn = 0
        self._on_leaving: list[abc.Callable[[servers.Server], None]] = []

    @property
    def limited_servers(self) -> frozenset[servers.Incarnation]:
        """Servers that are under a limit."""
        return self._notices.limited

    @property
    def leaving_count(self) -> int:
        """Number of servers that said in an answer that they leave."""
        return self._notices.leaving_count

    @property
    def resting_count(self) -> int:
        """Number of servers that have asked for a rest."""
        return self._notices.resting_count(self._clock.monotonic())

    def set_members(self, others: abc.Iterable[neighbours.Place]) -> None:
        """Set the other instances of the fleet, which share the servers' limits."""
        self._limits.set_members(others)

    def on_leaving(self, call: abc.Callable[[servers.Server], None]) -> None:
        """Register a callback for a server that says that it leaves."""
        self._on_leaving.append(call)

    def is_leaving(self, server: servers.Incarnation) -> bool:
        """Tell whether a server has said that it leaves."""
        return self._notices.is_leaving(server)

    def limit(self, server: servers.Server) -> float | None:
        """Return the requests per second that a server accepts; None for no limit."""
        return self._notices.limit(server.incarnation)

    def withheld(
        self, listed: abc.Iterable[servers.Server], *, is_outranked: bool = False
    ) -> frozenset[servers.Incarnation]:
        """Return those of some servers that must not be sent a request now.

        Args:
            listed: The servers.
            is_outranked: Whether more urgent requests wait, which get all permits of
                limited servers. They look for one several times a second.
        """
        if not self._notices.known:
            return frozenset()
        now = self._clock.monotonic()
        return frozenset(
            server.incarnation
            for server in listed
            if self._is_closed(server, now)
            or not self._limits.may_send(server, now)
            or (is_outranked and self.limit(server) is not None)
        )

    def take(self, server: servers.Server) -> bool:
        """Use a permit to send a request to a server now; False if there is none."""
        now = self._clock.monotonic()
        if self._is_closed(server, now):
            return False
        return self._limits.take(server, now)

    def permit_wait(
        self, listed: abc.Iterable[servers.Server], ahead: int
    ) -> datetime.timedelta:
        """Return when a request may be sent to one of several servers.

        Args:
            listed: The servers.
            ahead: Waiting requests that are sent before it.
        """
        # Each waiting request asks several times a second, for dozens of engines.
        if not self._notices.known:
            return datetime.timedelta()
        now = self._clock.monotonic()
        rests = [
            (server, max(self._rest_ends_at(server) - now, datetime.timedelta()))
            for server in listed
            if not self.is_leaving(server.incarnation)
        ]
        if not rests:
            return datetime.timedelta()
        open_servers = [server for server, rest in rests if not rest]
        if not open_servers:
            return min(rest for _, rest in rests)
        return self._limits.permit_wait(open_servers, ahead, now)

    def observe(
        self,
        server: servers.Server,
        notice: notices.Notice,
        sent_at: datetime.timedelta,
        source: str,
    ) -> None:
        """Record the notice in the header of a response that has just arrived.

        Args:
            server: The server that responded.
            notice: What the response states.
            sent_at: When its request was sent.
            source: Kind of the response, for the log.
        """
        now = self._clock.monotonic()
        changes = self._notices.observe(server.incarnation, notice, sent_at, now)
        if isinstance(notice.limit, notices.RateLimit):
            self._set_limit(server, now, now)
        for change in changes:
            self._on_change(server, change, source, now)

    def reports(self) -> tuple[beacons.ServerLimit, ...]:
        """Return the limits to tell peers, some at a time."""
        now = self._clock.monotonic()
        recent = self._notices.recent(now)
        self._turn += _MAX_REPORTED
        if not recent:
            return ()
        chosen = sorted({(self._turn + n) % len(recent) for n in range(_MAX_REPORTED)})
        return tuple(
            beacons.ServerLimit(
                recent[n].server,
                _millihertz(recent[n].rate),
                beacons.passed_on_age_ms(now - recent[n].at),
            )
            for n in chosen
        )

    def receive(
        self, reported: abc.Iterable[beacons.ServerLimit], table: servers.ServerTable
    ) -> None:
        """Apply the limits that a peer tells; those of unlisted servers are dropped."""
        now = self._clock.monotonic()
        for item in reported:
            server = table.get(item.server.server_id)
            if server is None or server.incarnation != item.server:
                continue
            rate = None if item.millihertz is None else item.millihertz / 1000
            named_at = now - item.age_ms * _MILLISECOND
            evidence = server_notices.Evidence(item.server, rate, named_at)
            change = self._notices.merge(evidence, now)
            self._set_limit(server, named_at, now)
            if change is not None:
                self._on_change(server, change, "peer", now)

    def retain(self, listed: abc.Container[servers.Incarnation]) -> None:
        """Forget the servers that are no longer listed."""
        self._notices.retain(listed, self._clock.monotonic())
        self._limits.retain(self._notices.known)

    def _is_closed(self, server: servers.Server, now: datetime.timedelta) -> bool:
        """Tell whether a server wants no request at all from this instance now."""
        return self.is_leaving(server.incarnation) or now < self._rest_ends_at(server)

    def _rest_ends_at(self, server: servers.Server) -> datetime.timedelta:
        """Return when this instance may use a server again that asked for a rest."""
        until = self._notices.rest_until(server.incarnation)
        if not until:
            return until
        delay = rendezvous.fraction(self._own.host, server.server_id)
        return until + delay * _RETURN_SPREAD

    def _set_limit(
        self,
        server: servers.Server,
        named_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        limit = self._notices.limit(server.incarnation)
        if limit is not None:
            self._limits.set_limit(server, limit, named_at, now)

    def _on_change(
        self,
        server: servers.Server,
        change: server_notices.Change,
        source: str,
        now: datetime.timedelta,
    ) -> None:
        if self._notices.limit(server.incarnation) is None:
            self._limits.lift(server.incarnation)
        if change.kind is server_notices.Kind.LEAVING:
            for call in self._on_leaving:
                call(server)
        self._log_change(change, source, now)

    def _log_change(
        self, change: server_notices.Change, source: str, now: datetime.timedelta
    ) -> None:
        dropped = self._log_budget.take(_CHANGED, now, wrong=False)
        if dropped is None:
            return
        _log.info(
            _CHANGED,
            server=change.server.server_id,
            started_ms=change.server.started_ms,
            what=change.kind.value,
            value=change.value,
            source=source,
            known_for_ms=round(change.known_for / datetime.timedelta(milliseconds=1)),
            dropped_before=dropped,
        )


def _millihertz(rate: float | None) -> int | None:
    return None if rate is None else round(1000 * rate)
