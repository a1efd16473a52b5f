"""Tells peers of the work carried here, within a fixed number of bytes a second.

All peers of a failure domain get the same entries, and links lose nothing while they
last, so only entries that changed have to go out, the largest changes first. The
receiving side puts them together again.
"""

import datetime
import typing

from pimentolatch import clock
from pimentolatch.decisions import demand, work_reports
from pimentolatch.protocol import messages

__all__ = ["PeerWorkTable", "WorkExchange"]

# A sixth of the 18 KB/s that control may take, sent on all links together; as much
# comes in. Heartbeats with their headers take most of the rest.
_BYTES_PER_SECOND = 3000
# An entry as encoded, with a name of some fifteen bytes.
_ENTRY_BYTES = 26
_MIN_ENTRIES = 3
# Of the entries of one delta, so many may be callers'.
_CALLERS_DIVISOR = 3
_MAX_ENTRIES = 64
_SNAPSHOT_ENTRIES = 500
# An entry that is off by less than this share is left for later.
_CHANGE_SHARE = 0.05
# The planner of roles takes a sample every five seconds; fresher ones tell no more.
_DEMAND_INTERVAL = datetime.timedelta(seconds=5)


class PeerWorkTable(typing.Protocol):
    """Holds the shares of peers for decisions."""

    def update(self, peer: str, work: work_reports.WorkReport) -> None:
        """Take a peer's whole work as it now stands."""

    def forget(self, peer: str) -> None:
        """Drop a peer that can't be heard."""


class WorkExchange:
    """Selects what to send and keeps what came in.

    Args:
        source: Returns the work of this instance.
        table: Takes the work of the peers.
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
        """Return what a new link has to carry before its first delta.

        Never nothing: a peer keeps the last word of a broken link, and without an
        empty one it would go on counting work that ended while the link was down.
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
        """Return the largest changes that `links` links may carry, or None."""
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
        """Return the work at these servers, however small the change."""
        if not servers:
            return None
        work = tuple(s for s in self._source().servers if s.server in servers)
        if not work:
            return None
        delta = messages.WorkDelta(work, ())
        _apply(delta, self._sent_servers, self._sent_callers)
        return delta

    def has_work_at(self, servers: frozenset[str]) -> bool:
        """Tell whether this instance has work at one of these servers."""
        if not servers:
            return False
        return any(s.streams and s.server in servers for s in self._source().servers)

    def receive(self, peer: str, delta: messages.WorkDelta) -> None:
        """Add a peer's delta to what is known of it."""
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
        """Drop a peer whose link is gone; a new link starts with a snapshot."""
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
