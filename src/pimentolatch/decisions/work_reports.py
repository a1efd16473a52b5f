"""Work that the instances of a failure domain report to each other.

Load pattern: several instances send to the same engines and serve the same callers.
Without shared counts each would use the whole of an engine, or of a caller's limit, for
itself. Each instance knows exactly what it sent, so the sum over all instances is
nearly exact and only as old as the last message.
"""

import dataclasses
import datetime

from pimentolatch.decisions import demand

__all__ = ["CallerWork", "PeerReports", "ServerWork", "WorkReport"]

# Ten reports at the usual interval of a second. A peer that sends none for longer is
# partitioned or frozen; the engines' own reports then show its streams.
_REPORT_LIFETIME = datetime.timedelta(seconds=10)
_NEGLIGIBLE_RATE = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class ServerWork:
    """Work that one instance has at one backend server.

    Attributes:
        server: Name of the backend server.
        streams: Requests dispatched and still running.
        prompt_tokens: Prompt tokens not yet prefilled, as far as is known.
        output_tokens: Output tokens still expected.
    """

    server: str
    streams: int
    prompt_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerWork:
    """Recent demand of one caller at one instance, in units per second."""

    caller: str
    tokens_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorkReport:
    """The work of one instance.

    Attributes:
        servers: Work at each backend server.
        callers: Recent demand of each caller.
        totals: Counters of requested tokens, for the role planner; one entry, or none
            if unknown.
    """

    servers: tuple[ServerWork, ...] = ()
    callers: tuple[CallerWork, ...] = ()
    totals: tuple[demand.Totals, ...] = ()


@dataclasses.dataclass(slots=True)
class _ReceivedReport:
    work: WorkReport
    received_at: datetime.timedelta
    instances: int


class PeerReports:
    """Latest work reports of peers, with their sums kept up to date.

    A peer without a report for ten seconds no longer counts. Otherwise the work of a
    crashed instance would keep its engines looking busy forever.
    """

    def __init__(self) -> None:
        self._reports: dict[str, _ReceivedReport] = {}
        self._servers: dict[str, ServerWork] = {}
        self._callers: dict[str, float] = {}

    def update(
        self,
        instance: str,
        work: WorkReport,
        now: datetime.timedelta,
        instances: int = 1,
    ) -> None:
        """Store a report in place of the instance's previous one.

        Args:
            instance: The sender, or a failure domain whose instances the report sums
                up.
            work: The reported work.
            now: When the report arrived, on the clock of this instance.
            instances: Number of instances that the report sums up.
        """
        self.forget(instance)
        self._reports[instance] = _ReceivedReport(work, now, instances)
        self._add(work, 1)

    def forget(self, instance: str) -> None:
        """Remove an instance that left."""
        report = self._reports.pop(instance, None)
        if report is not None:
            self._add(report.work, -1)

    def expire(self, now: datetime.timedelta) -> None:
        """Remove instances whose last report is too old."""
        for instance, report in list(self._reports.items()):
            if now - report.received_at > _REPORT_LIFETIME:
                self.forget(instance)

    def instances(self) -> int:
        """Return the number of peers with a current report."""
        return sum(report.instances for report in self._reports.values())

    def server(self, name: str) -> ServerWork:
        """Return the peers' work at a backend server."""
        return self._servers.get(name) or ServerWork(name, 0, 0, 0)

    def caller(self, name: str) -> float:
        """Return the demand of a caller at the peers, in units per second."""
        return max(0.0, self._callers.get(name, 0.0))

    def _add(self, work: WorkReport, sign: int) -> None:
        for row in work.servers:
            before = self.server(row.server)
            total = ServerWork(
                row.server,
                before.streams + sign * row.streams,
                before.prompt_tokens + sign * row.prompt_tokens,
                before.output_tokens + sign * row.output_tokens,
            )
            if total.streams or total.prompt_tokens or total.output_tokens:
                self._servers[row.server] = total
            else:
                self._servers.pop(row.server, None)
        for caller_work in work.callers:
            before_rate = self._callers.get(caller_work.caller, 0.0)
            rate = before_rate + sign * caller_work.tokens_per_second
            if rate > _NEGLIGIBLE_RATE:
                self._callers[caller_work.caller] = rate
            else:
                self._callers.pop(caller_work.caller, None)
