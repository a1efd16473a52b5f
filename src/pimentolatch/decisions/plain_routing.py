"""Chooses the plain server for a call.

Load pattern: many short calls to a few equal servers, of which one breaks every call at
once. It never has outstanding work, so by outstanding work alone it looks least loaded
and gets most of the calls; each of those that must not be repeated ends as "outcome
unknown". If its answers are evaluated, it costs three calls and then only probes.

Probes are calls that may be repeated: if a probe breaks, the call is sent to another
server and its caller notices nothing.

Grounds: see `health` for those of its figures. Answers of plain servers are compared by
their duration alone, since all servers of a service get the same mix of calls.
"""

import datetime
from collections import abc

from pimentolatch import fleet
from pimentolatch.decisions import health, outstanding_work
from pimentolatch.document import schema

__all__ = ["PlainRouter"]


class PlainRouter:
    """Chooses plain servers for one instance and learns from their answers.

    Args:
        own_domain: Failure domain of the instance; its servers are preferred, since the
            connection to another one may be cut.
        counted: Counts the outstanding calls.
    """

    def __init__(
        self, own_domain: str, counted: outstanding_work.OutstandingWork
    ) -> None:
        self._own_domain = own_domain
        self._counted = counted
        self._health = health.ServerHealth()

    def choose(
        self,
        view: fleet.View,
        servers: abc.Sequence[schema.PlainServer],
        now: datetime.timedelta,
        *,
        repeatable: bool,
        avoid: abc.Set[str] = frozenset(),
    ) -> schema.PlainServer | None:
        """Return the server for a call, or None if none is available.

        Args:
            view: The fleet as this instance knows it.
            servers: The document's servers of the call's service.
            now: The current time.
            repeatable: Whether the call may run twice, and so may be a probe.
            avoid: Servers that have already failed this call.
        """
        candidates = [
            server
            for server in servers
            if server.serving == "active"
            and server.name not in view.withdrawn
            and server.name not in avoid
        ]
        names = [server.name for server in candidates]
        self._health.update_ejections(names, now)
        if repeatable and (probe := self._due_probe(candidates, now)):
            return probe
        return min(
            candidates, key=lambda server: self._preference(server, names), default=None
        )

    def answered(
        self, server: str, duration: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Record a complete answer."""
        self._health.observe(server, duration.total_seconds(), now)

    def failed(self, server: str, now: datetime.timedelta) -> None:
        """Record a call that broke or was not accepted."""
        self._health.failed(server, now)

    def forget(self, servers: abc.Set[str]) -> None:
        """Remove all servers except these, which are the document's."""
        self._health.retain(servers)

    def _due_probe(
        self, candidates: abc.Sequence[schema.PlainServer], now: datetime.timedelta
    ) -> schema.PlainServer | None:
        for server in candidates:
            if self._health.ejected(server.name) and self._health.may_probe(
                server.name, now
            ):
                self._health.probed(server.name, now)
                return server
        return None

    def _preference(
        self, server: schema.PlainServer, names: abc.Collection[str]
    ) -> tuple[bool, bool, bool, float, str]:
        requests = self._counted.requests(server.name)
        slowness = self._health.slowness(server.name, names)
        return (
            self._health.ejected(server.name),
            requests >= server.concurrent_calls,
            server.failure_domain != self._own_domain,
            (requests + 1) * slowness / server.concurrent_calls,
            server.name,
        )
