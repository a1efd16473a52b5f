"""Collects what an instance knows of the engines that it may dispatch to.

Load pattern: many instances before many engines that join, leave, slow down and take
work from all instances. Each instance counts its own dispatches at once and learns the
rest from peers and answers. `engine_selection` selects an engine by it.
"""

import datetime
import typing
from collections import abc

from pimentolatch import fleet
from pimentolatch.decisions import (
    engine_selection,
    health,
    outstanding_work,
    recent_prefixes,
    rendezvous,
    work_reports,
)
from pimentolatch.document import schema

__all__ = ["Router", "active_engines", "role_of"]


def active_engines(view: fleet.View, model: str) -> list[schema.Engine]:
    """Return the engines that accept new work for a model."""
    if view.document is None:
        return []
    return [
        engine
        for engine in view.document.engines
        if model in engine.models
        and engine.serving == "active"
        and engine.name not in view.withdrawn
    ]


def role_of(view: fleet.View, engine: schema.Engine) -> schema.Role:
    """Return the role of an engine: the view's, or else the document's."""
    for name, role in view.roles:
        if name == engine.name:
            return typing.cast(schema.Role, role)
    return engine.role


class Router:
    """Collects the candidates for `engine_selection.choose`.

    Args:
        own_instance: Name of this instance.
        own_domain: Its failure domain.
        outstanding: Work this instance dispatched.
        peers: Work its peers dispatched.
        server_health: Knows slow and failing servers.
        prefixes: Prefixes recently dispatched.
    """

    def __init__(
        self,
        own_instance: str,
        own_domain: str,
        *,
        outstanding: outstanding_work.OutstandingWork,
        peers: work_reports.PeerReports,
        server_health: health.ServerHealth,
        prefixes: recent_prefixes.RecentPrefixes,
    ) -> None:
        self._own_instance = own_instance
        self._own_domain = own_domain
        self._outstanding = outstanding
        self._peers = peers
        self._health = server_health
        self._prefixes = prefixes
        self._instances = frozenset({own_instance})
        self._reachable: dict[str, tuple[schema.Engine, ...]] = {}
        self._reachable_for: tuple[fleet.View, frozenset[str]] | None = None

    @property
    def instances(self) -> frozenset[str]:
        """Live instances of the own failure domain."""
        return self._instances

    def set_instances(self, instances: abc.Set[str]) -> None:
        """Set the live instances of the own failure domain."""
        self._instances = frozenset(instances) | {self._own_instance}

    def engines(self, view: fleet.View, model: str) -> tuple[schema.Engine, ...]:
        """Return the engines of a model that this instance dispatches to."""
        if self._reachable_for != (view, self._instances):
            self._reachable_for = view, self._instances
            self._reachable = {}
        if model not in self._reachable:
            self._reachable[model] = self._choose_reachable(view, model)
        return self._reachable[model]

    def load(self, engine: str) -> outstanding_work.Load:
        """Return the work at an engine from all instances that report."""
        reported = self._peers.server(engine)
        return self._outstanding.load(engine).plus(
            outstanding_work.Load(
                reported.streams, reported.prompt_tokens, reported.output_tokens
            )
        )

    def candidates(
        self,
        view: fleet.View,
        model: str,
        prompt: str,
        now: datetime.timedelta,
        avoid: abc.Set[str] = frozenset(),
    ) -> list[engine_selection.Candidate]:
        """Return the engines that may be selected for a request.

        Engines with the role prefill are left out unless there are no others.
        """
        engines = self.engines(view, model)
        answering = [e for e in engines if role_of(view, e) != "prefill"]
        names = [engine.name for engine in answering or engines]
        self._health.update_ejections(names, now)
        cached = self._prefixes.cached_tokens(prompt, now)
        return [
            self._candidate(engine, names, cached.get(engine.name, 0), now)
            for engine in answering or engines
            if engine.name not in avoid
        ]

    def prefill_engines(self, view: fleet.View, model: str) -> list[schema.Engine]:
        """Return the healthy prefill engines of the own failure domain."""
        return [
            engine
            for engine in self.engines(view, model)
            if role_of(view, engine) == "prefill"
            and engine.failure_domain == self._own_domain
            and not self._health.ejected(engine.name)
        ]

    def _candidate(
        self,
        engine: schema.Engine,
        peers: abc.Collection[str],
        cached: int,
        now: datetime.timedelta,
    ) -> engine_selection.Candidate:
        ejected = self._health.ejected(engine.name)
        return engine_selection.Candidate(
            engine,
            self.load(engine.name),
            self._outstanding.load(engine.name),
            len(self._instances),
            engine.failure_domain == self._own_domain,
            self._health.slowness(engine.name, peers),
            ejected,
            ejected and self._health.may_probe(engine.name, now),
            cached,
        )

    def _choose_reachable(
        self, view: fleet.View, model: str
    ) -> tuple[schema.Engine, ...]:
        by_domain: dict[str, dict[str, schema.Engine]] = {}
        for engine in active_engines(view, model):
            by_domain.setdefault(engine.failure_domain, {})[engine.name] = engine
        found: list[schema.Engine] = []
        for domain, engines in sorted(by_domain.items()):
            if domain == self._own_domain:
                assert view.document is not None
                size = view.document.routing.engine_subset
                chosen = rendezvous.own_engines(self._instances, engines.keys(), size)
                names = chosen[self._own_instance]
            else:
                names = rendezvous.remote_engines(self._own_instance, engines.keys())
            # The order differs by instance, so that instances do not all try equal
            # engines in the order of their names.
            found += [engines[name] for name in sorted(names, key=self._rank)]
        return tuple(found)

    def _rank(self, engine: str) -> int:
        return rendezvous.rank(self._own_instance, engine)
