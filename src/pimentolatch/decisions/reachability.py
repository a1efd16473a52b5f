"""Tells an instance that has lost the path to servers from servers that are down.

Load pattern: one instance, or all of a failure domain, is partitioned from all servers
for seconds, while clients and peers still reach it. If each request tries one server
after the other, each for the time limit of a connection, nearly all requests of the
instance fail although its peers could serve them.

A failed dispatch raises the question for the servers of the same service and stage. It
is answered by a harmless request to a few of them over new connections: one answer
shows that there is a path. If none answers, the instance counts as cut off from them
until one does. Open connections say nothing about it: during a partition they may live
on while new ones are refused, or stay open and deliver nothing. A new one that opens
shows little: a device on the way may accept it. But servers under load may keep a probe
waiting, so one that is only silent counts if nothing else is heard from them meanwhile.

Whether the servers are down or only out of reach, peers know: they report what they are
cut off from. A request goes to a peer that does not, so if all servers are down no
request is forwarded once the peers have noticed as well.

Grounds: four servers, since a path to any of them is found with fewer in most partial
partitions, and a mistake costs a hop through a peer for half a second. The answer holds
for 300 ms, since a burst of failed dispatches needs one probe, not hundreds.
"""

import dataclasses
import datetime
import enum
import random
from collections import abc

from pimentolatch.routes import servers

__all__ = ["MAX_PROBED", "Group", "ProbeResult", "Reachability", "group_of"]

MAX_PROBED = 4
_VALIDITY = datetime.timedelta(milliseconds=300)


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Servers that can stand in for each other.

    Attributes:
        service: Their service.
        stage: Stage of engines; None for other servers.
    """

    service: str
    stage: servers.Stage | None


def group_of(server: servers.Server) -> Group:
    """Return the group of a server."""
    return Group(server.service, server.stage)


class ProbeResult(enum.Enum):
    """Outcome of a request over a new connection."""

    ANSWERED = "answered"
    SILENT = "accepted and not answered"
    NOT_REACHED = "not reached"


@dataclasses.dataclass(frozen=True, slots=True)
class _Verdict:
    cut_off: bool
    at: datetime.timedelta


class Reachability:
    """What one instance knows about its path to each group of servers.

    Args:
        own_domain: Failure domain of the instance.
        rng: Picks the servers to probe.
    """

    def __init__(self, own_domain: str, rng: random.Random) -> None:
        self._domain = own_domain
        self._rng = rng
        self._verdicts: dict[Group, _Verdict] = {}
        self._answered_at: dict[Group, datetime.timedelta] = {}

    @property
    def cut_off_groups(self) -> list[Group]:
        """Groups to which no connection could be opened."""
        return [group for group, known in self._verdicts.items() if known.cut_off]

    @property
    def cut_off_services(self) -> frozenset[str]:
        """Services of which a group is out of reach."""
        return frozenset(group.service for group in self.cut_off_groups)

    def is_cut_off(self, service: str) -> bool:
        """Tell whether a group of a service is out of reach."""
        return any(group.service == service for group in self.cut_off_groups)

    def is_current(self, group: Group, now: datetime.timedelta) -> bool:
        """Tell whether a group was probed so recently that the answer still holds."""
        known = self._verdicts.get(group)
        return known is not None and now - known.at < _VALIDITY

    def record_answer(self, group: Group, now: datetime.timedelta) -> None:
        """Record that a server has answered a request on any connection."""
        self._answered_at[group] = now

    def shows_path(
        self, result: ProbeResult, group: Group, since: datetime.timedelta
    ) -> bool:
        """Tell whether a probe that began at `since` shows a path to its group."""
        if result is ProbeResult.SILENT:
            answered_at = self._answered_at.get(group)
            return answered_at is not None and answered_at >= since
        return result is ProbeResult.ANSWERED

    def record(self, group: Group, *, reached: bool, now: datetime.timedelta) -> bool:
        """Record the outcome of a probe; return whether it changes the verdict."""
        before = self._verdicts.get(group)
        self._verdicts[group] = _Verdict(not reached, now)
        return (before is not None and before.cut_off) == reached

    def retain(self, listed: abc.Set[Group]) -> None:
        """Forget groups that have no servers any more."""
        for group in self._verdicts.keys() - listed:
            del self._verdicts[group]
        for group in self._answered_at.keys() - listed:
            del self._answered_at[group]

    def to_probe(self, listed: abc.Iterable[servers.Server]) -> list[servers.Server]:
        """Return the servers of a group to probe, in order.

        Servers of the own domain and of others alternate, since a partition usually
        lies between failure domains.
        """
        own: list[servers.Server] = []
        remote: list[servers.Server] = []
        for server in listed:
            (own if server.failure_domain == self._domain else remote).append(server)
        self._rng.shuffle(own)
        self._rng.shuffle(remote)
        half = MAX_PROBED // 2
        chosen = [*own[:half], *remote[: MAX_PROBED - min(half, len(own))]]
        return [*chosen, *own[half:]][:MAX_PROBED]
