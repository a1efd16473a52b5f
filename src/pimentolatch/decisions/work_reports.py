"""What instances of a failure domain tell each other of the work they carry.

Load pattern: several instances send to the same engines and serve the same callers.
Without shared counts each would take the whole of an engine, or of a caller's limit,
for its own. What one instance sent is known exactly there, so the sum over instances
is nearly exact and only as old as the last message.
"""

import dataclasses
import datetime

from pimentolatch.decisions import demand

__all__ = ["CallerWork", "PeerReports", "ServerWork", "WorkReport"]

# Ten reports at the usual second between them. A link that is silent for longer is
# cut or its instance frozen; its streams are then the engines' reports to find.
_REPORT_LIFETIME = datetime.timedelta(seconds=10)
_NEGLIGIBLE_RATE = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class ServerWork:
    """Work that one instance has at one backend server.

    Attributes:
        streams: Requests sent and not yet ended.
        prompt_tokens: Prompt tokens not yet read, as far as is known.
        output_tokens: Tokens still expected.
    """

    server: str
    streams: int
    prompt_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerWork:
    """Work that one caller lately asked of one instance, in units a second."""

    caller: str
    tokens_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorkReport:
    """The work of one instance.

    Attributes:
        totals: Totals of what callers asked of it, for the planner of roles; one
            entry, or none where nothing is known.
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
    """What peers last told of their work, with its sums kept up to date.

    A peer that is silent for ten seconds no longer counts: the work of a dead instance
    would otherwise keep its engines looking busy for ever.
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
        """Take in a report; it replaces the instance's earlier one.

        Args:
            instance: Who told it, or a failure domain that sums up its instances.
            work: The work.
            now: When it arrived, on the clock of this instance.
            instances: How many instances the report sums up.
        """
        self.forget(instance)
        self._reports[instance] = _ReceivedReport(work, now, instances)
        self._add(work, 1)

    def forget(self, instance: str) -> None:
        """Drop an instance that left."""
        report = self._reports.pop(instance, None)
        if report is not None:
            self._add(report.work, -1)

    def expire(self, now: datetime.timedelta) -> None:
        """Drop the instances that have been silent for too long."""
        for instance, report in list(self._reports.items()):
            if now - report.received_at > _REPORT_LIFETIME:
                self.forget(instance)

    def instances(self) -> int:
        """Return how many peers are heard."""
        return sum(report.instances for report in self._reports.values())

    def server(self, name: str) -> ServerWork:
        """Return the peers' work at a backend server."""
        return self._servers.get(name) or ServerWork(name, 0, 0, 0)

    def caller(self, name: str) -> float:
        """Return the peers' demand by a caller, in units a second."""
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
