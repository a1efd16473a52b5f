"""Decides which servers are avoided because they were silent to other instances.

Load pattern: a failure domain with fifteen engines is partitioned for five seconds, or
a fifth of all engines falls silent. Sixty instances share the engines, so each of them
sends an engine only a few requests a second and finds it silent by one of its own,
which waits for most of a second: hundreds of callers pay for what a neighbour knows
already.

So an instance reports the servers that gave no sign to its request, neither a
connection nor an acknowledgement, and that it has not heard since. A server that two
instances of the own failure domain report is avoided until one of them has heard it,
unless it has answered here since. If at least half of a failure domain's servers are
reported, those that have not answered here lately are avoided too: one cut on the way
explains them.

One reporter is not enough, as it may be cut off itself. An instance that has heard no
server lately reports none: it is more likely cut off than all servers silent. Reports
of other failure domains do not count: what they can't reach may be in reach here.
Servers are avoided only while others can serve.

A few instances ask a server again before the others: if it is back they withdraw their
reports, and if it is still silent they renew them. Which ones follows from a hash of
both names, so nobody has to agree on it, and no instance asks for all servers. Without
them, all reports of a partition would expire at once, and every instance would find out
anew.

Grounds: an engine gets several requests a second from a domain's instances, so two
reports are heard within a second of the cut. The time after which all others ask again
leaves those few the time to ask, to wait in vain and to report.
"""

import collections
import dataclasses
import datetime
from collections import abc

from pimentolatch.decisions import rendezvous
from pimentolatch.routes import servers

__all__ = ["Report", "SilentServers"]

# Instances, this one included, that must have found a server silent.
_MIN_REPORTERS = 2
# Share of a failure domain's servers that must have been silent for all to count.
_DOMAIN_SHARE = 0.5
_EXPIRY = datetime.timedelta(milliseconds=3500)
# Share of the instances that ask a server again first, and after what time.
_TRIER_SHARE = 0.1
_TRIER_EXPIRY = datetime.timedelta(seconds=1)
# A server that answered within this time is not avoided with its failure domain.
_PROOF_LIFETIME = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A server that was silent to an instance and has not been heard there since.

    Attributes:
        server: The server.
        at: When it was silent, by this instance's clock.
    """

    server: servers.Incarnation
    at: datetime.timedelta


class SilentServers:
    """What the instances of a failure domain know of servers that are silent.

    Args:
        own_name: Name of this instance.
    """

    def __init__(self, own_name: str) -> None:
        self._name = own_name
        self._own: dict[servers.Incarnation, datetime.timedelta] = {}
        self._answered_at: dict[servers.Incarnation, datetime.timedelta] = {}
        self._last_answer_at: datetime.timedelta | None = None
        self._reports: dict[str, tuple[Report, ...]] = {}
        self._avoided: dict[servers.Incarnation, datetime.timedelta] = {}

    @property
    def avoids_any(self) -> bool:
        """Whether a server may be avoided."""
        return bool(self._avoided)

    def silent(self, server: servers.Server, now: datetime.timedelta) -> None:
        """Record that a server gave no sign to a request of this instance."""
        self._own[server.incarnation] = now

    def answered(self, server: servers.Server, now: datetime.timedelta) -> None:
        """Record that a server has answered this instance."""
        self._answered_at[server.incarnation] = now
        self._last_answer_at = now
        self._own.pop(server.incarnation, None)
        self._avoided.pop(server.incarnation, None)

    def receive(self, reporter: str, reports: abc.Iterable[Report]) -> None:
        """Replace what another instance of the own failure domain has reported."""
        current = tuple(reports)
        if current:
            self._reports[reporter] = current
        else:
            self._reports.pop(reporter, None)

    def own_reports(self, now: datetime.timedelta) -> tuple[Report, ...]:
        """Return the current reports of this instance, the newest first.

        There are none while it hears no server at all.
        """
        heard_at = self._last_answer_at
        if heard_at is None or now - heard_at > _PROOF_LIFETIME:
            return ()
        current = [
            Report(server, at)
            for server, at in self._own.items()
            if now - at <= _EXPIRY
        ]
        return tuple(sorted(current, key=lambda report: report.at, reverse=True))

    def update(
        self, listed: abc.Iterable[servers.Server], now: datetime.timedelta
    ) -> abc.Set[servers.Incarnation]:
        """Decide anew which servers are avoided; return those newly avoided.

        Args:
            listed: All listed servers.
            now: The current time.
        """
        before = self._avoided
        self._forget_expired(now)
        found = self._reported(now)
        self._avoided = {
            server: self._avoided_until(server, times.values())
            for server, times in found.items()
            if len(times) >= _MIN_REPORTERS
        }
        if found:
            self._avoid_domains(found, listed, now)
        return self._avoided.keys() - before.keys()

    def is_avoided(self, server: servers.Incarnation, now: datetime.timedelta) -> bool:
        """Tell whether a server gets no request while others can serve."""
        until = self._avoided.get(server)
        return until is not None and now < until

    def avoided_count(self, now: datetime.timedelta) -> int:
        """Return the number of servers that are avoided now."""
        return sum(now < until for until in self._avoided.values())

    def retain(self, listed: abc.Container[servers.Incarnation]) -> None:
        """Forget servers that are not listed any more."""
        for known in (self._own, self._answered_at, self._avoided):
            for server in [name for name in known if name not in listed]:
                del known[server]

    def _forget_expired(self, now: datetime.timedelta) -> None:
        """Forget instances whose reports have all expired, as they may have ended."""
        self._reports = {
            reporter: reports
            for reporter, reports in self._reports.items()
            if any(now - report.at <= _EXPIRY for report in reports)
        }

    def _reported(
        self, now: datetime.timedelta
    ) -> dict[servers.Incarnation, dict[str, datetime.timedelta]]:
        """Return who found which server silent when, if it has not answered since."""
        found: collections.defaultdict[
            servers.Incarnation, dict[str, datetime.timedelta]
        ] = collections.defaultdict(dict)
        everyone = {**self._reports, "": self.own_reports(now)}
        for reporter, reports in everyone.items():
            for report in reports:
                answered_at = self._answered_at.get(report.server)
                is_refuted = answered_at is not None and answered_at >= report.at
                if now - report.at <= _EXPIRY and not is_refuted:
                    found[report.server][reporter] = report.at
        return found

    def _avoid_domains(
        self,
        found: abc.Mapping[servers.Incarnation, abc.Mapping[str, datetime.timedelta]],
        listed: abc.Iterable[servers.Server],
        now: datetime.timedelta,
    ) -> None:
        """Avoid all servers of failure domains of which most servers are silent."""
        by_domain: collections.defaultdict[str, list[servers.Incarnation]]
        by_domain = collections.defaultdict(list)
        for server in listed:
            by_domain[server.failure_domain].append(server.incarnation)
        for members in by_domain.values():
            silent = [name for name in members if name in found]
            reporters = {reporter for name in silent for reporter in found[name]}
            if len(reporters) < _MIN_REPORTERS:
                continue
            if len(silent) < _DOMAIN_SHARE * len(members):
                continue
            times = [at for name in silent for at in found[name].values()]
            for name in members:
                if not self._has_proof(name, now):
                    self._avoided.setdefault(name, self._avoided_until(name, times))

    def _avoided_until(
        self, server: servers.Incarnation, times: abc.Iterable[datetime.timedelta]
    ) -> datetime.timedelta:
        """Return until when a server is avoided that was silent at some times."""
        asks_first = rendezvous.fraction(self._name, server.server_id) < _TRIER_SHARE
        return max(times) + (_TRIER_EXPIRY if asks_first else _EXPIRY)

    def _has_proof(self, server: servers.Incarnation, now: datetime.timedelta) -> bool:
        answered_at = self._answered_at.get(server)
        return answered_at is not None and now - answered_at <= _PROOF_LIFETIME
