"""Exchanges work reports with peers, within a fixed number of bytes a second.

All peers of a failure domain get the same entries, and an open link loses no messages.
So only changed entries are sent, the largest changes first, and the receiver merges
them into the sender's whole report.
"""

import datetime
import typing

from pimentolatch import clock
from pimentolatch.decisions import demand, work_reports
from pimentolatch.protocol import messages

__all__ = ["PeerWorkTable", "WorkExchange"]

# Limit for all links together: a sixth of the 18 KB/s that control traffic may use. As
# much is received, and heartbeats with their headers use most of the rest.
_BYTES_PER_SECOND = 3000
# Size of an encoded entry with a name of about 15 bytes.
_ENTRY_BYTES = 26
_MIN_ENTRIES = 3
# A third of a delta's entries is reserved for callers.
_CALLERS_DIVISOR = 3
_MAX_ENTRIES = 64
_SNAPSHOT_ENTRIES = 500
# Entries that changed by no more than this share are not sent.
_CHANGE_SHARE = 0.05
# The role planner samples demand every five seconds, so more updates gain nothing.
_DEMAND_INTERVAL = datetime.timedelta(seconds=5)


class PeerWorkTable(typing.Protocol):
    """Holds the work reports of peers."""

    def update(self, peer: str, work: work_reports.WorkReport) -> None:
        """Replace the work report of a peer."""

    def forget(self, peer: str) -> None:
        """Drop the report of a peer that can't be reached."""


class WorkExchange:
    """Selects the entries to send, and merges those received from peers.

    Args:
        source: Returns the work report of this instance.
        table: Receives the work reports of the peers.
        interval: Time between two deltas.
    """

    def __init__(
        self,
        source: typing.Callable[[], work_reports.WorkReport],
        table: PeerWorkTable,
        time: clock.Clock,
        interval: datetime.timedelta,
    ) -> None:
        self._source = source
        self._table = table
        self._clock = time
        self._interval = interval
        self._sent_servers: dict[str, work_reports.ServerWork] = {}
        self._sent_callers: dict[str, work_reports.CallerWork] = {}
        self._sent_demand: tuple[demand.Totals, ...] = ()
        self._demand_due = datetime.timedelta()
        self._peers: dict[str, _PeerWork] = {}

    def snapshot(self) -> tuple[messages.WorkDelta, ...]:
        """Return the messages to send on a new link before its first delta.

        There is at least one, if need be an empty one. A peer keeps the last report of
        a broken link, and without a new one it would go on counting work that ended
        while the link was down.
        """
        servers = tuple(self._sent_servers.values())
        callers = tuple(self._sent_callers.values())
        longest = max(len(servers), len(callers))
        return tuple(
            messages.WorkDelta(
                servers[start : start + _SNAPSHOT_ENTRIES],
                callers[start : start + _SNAPSHOT_ENTRIES],
            )
            for start in range(0, max(1, longest), _SNAPSHOT_ENTRIES)
        )

    def next_delta(self, links: int) -> messages.WorkDelta | None:
        """Return the largest changes that fit the byte limit, None without changes.

        Args:
            links: Number of links on which the delta is sent.
        """
        if links == 0:
            return None
        budget = _BYTES_PER_SECOND * self._interval.total_seconds() / links
        most = max(_MIN_ENTRIES, min(_MAX_ENTRIES, int(budget / _ENTRY_BYTES)))
        current = self._source()
        servers = _changed_servers(current.servers, self._sent_servers)
        callers = _changed_callers(current.callers, self._sent_callers)
        callers = callers[: max(most // _CALLERS_DIVISOR, most - len(servers))]
        servers = servers[: most - len(callers)]
        totals = self._due_demand(current)
        if not servers and not callers and not totals:
            return None
        delta = messages.WorkDelta(tuple(servers), tuple(callers), totals)
        _apply(delta, self._sent_servers, self._sent_callers)
        return delta

    def delta_for(self, servers: frozenset[str]) -> messages.WorkDelta | None:
        """Return the work at some servers, also where it changed little or not."""
        if not servers:
            return None
        work = tuple(s for s in self._source().servers if s.server in servers)
        if not work:
            return None
        delta = messages.WorkDelta(work, ())
        _apply(delta, self._sent_servers, self._sent_callers)
        return delta

    def has_work_at(self, servers: frozenset[str]) -> bool:
        """Return whether this instance has work at any of some servers."""
        if not servers:
            return False
        return any(s.streams and s.server in servers for s in self._source().servers)

    def receive(self, peer: str, delta: messages.WorkDelta) -> None:
        """Merge a peer's delta into its report."""
        work = self._peers.setdefault(peer, _PeerWork({}, {}))
        _apply(delta, work.servers, work.callers)
        report = work_reports.WorkReport(
            tuple(work.servers.values()), tuple(work.callers.values()), delta.totals
        )
        self._table.update(peer, report)

    def _due_demand(
        self, current: work_reports.WorkReport
    ) -> tuple[demand.Totals, ...]:
        now = self._clock.monotonic()
        if now < self._demand_due or current.totals == self._sent_demand:
            return ()
        self._demand_due = now + _DEMAND_INTERVAL
        self._sent_demand = current.totals
        return current.totals

    def forget(self, peer: str) -> None:
        """Drop a peer whose link is closed; a new link starts with a snapshot."""
        if self._peers.pop(peer, None) is not None:
            self._table.forget(peer)


class _PeerWork(typing.NamedTuple):
    servers: dict[str, work_reports.ServerWork]
    callers: dict[str, work_reports.CallerWork]


def _apply(
    delta: messages.WorkDelta,
    servers: dict[str, work_reports.ServerWork],
    callers: dict[str, work_reports.CallerWork],
) -> None:
    for server in delta.servers:
        servers[server.server] = server
        if not server.streams:
            del servers[server.server]
    for caller in delta.callers:
        callers[caller.caller] = caller
        if not caller.tokens_per_second:
            del callers[caller.caller]


def _changed_servers(
    current: tuple[work_reports.ServerWork, ...],
    sent: dict[str, work_reports.ServerWork],
) -> list[work_reports.ServerWork]:
    now = {work.server: work for work in current if work.streams}
    changes: list[tuple[float, work_reports.ServerWork]] = []
    for name, work in now.items():
        size = _relative_change(_tokens(work), _tokens(sent.get(name)))
        streams = sent[name].streams if name in sent else 0
        if size > _CHANGE_SHARE or streams != work.streams:
            changes.append((size, work))
    for name in sent.keys() - now.keys():
        changes.append((1.0, work_reports.ServerWork(name, 0, 0, 0)))
    return [work for _, work in sorted(changes, key=_sort_key)]


def _changed_callers(
    current: tuple[work_reports.CallerWork, ...],
    sent: dict[str, work_reports.CallerWork],
) -> list[work_reports.CallerWork]:
    now = {work.caller: work for work in current if work.tokens_per_second}
    changes: list[tuple[float, work_reports.CallerWork]] = []
    for name, work in now.items():
        before = sent[name].tokens_per_second if name in sent else 0.0
        size = _relative_change(work.tokens_per_second, before)
        if size > _CHANGE_SHARE:
            changes.append((size, work))
    for name in sent.keys() - now.keys():
        changes.append((1.0, work_reports.CallerWork(name, 0.0)))
    return [work for _, work in sorted(changes, key=_sort_key)]


def _sort_key(change: tuple[float, typing.Any]) -> tuple[float, str]:
    return (-change[0], str(change[1]))


def _tokens(work: work_reports.ServerWork | None) -> float:
    return 0.0 if work is None else float(work.prompt_tokens + work.output_tokens)


def _relative_change(now: float, before: float) -> float:
    return abs(now - before) / max(now, before, 1.0)
