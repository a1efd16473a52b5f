"""Gathers what an instance knows of the backend servers that it may send to.

Load pattern: many instances before many engines that come, go, slow down and take work
from all of them. What each instance sent is counted at once; peers and answers tell
the rest. `choice` chooses by it.
"""

import datetime
import typing
from collections import abc

from pimentolatch import fleet
from pimentolatch.decisions import (
    choice,
    health,
    outstanding,
    prefixes,
    shares,
    subset,
)
from pimentolatch.document import schema

__all__ = ["Router", "role_of", "serving"]


def serving(view: fleet.View, model: str) -> list[schema.Engine]:
    """Return the engines that take new work for a model."""
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
    """Return the role an engine has: the view's, or else the document's."""
    for name, role in view.roles:
        if name == engine.name:
            return typing.cast(schema.Role, role)
    return engine.role


class Router:
    """Gathers what is known of engines, for `choice.choose`.

    Args:
        own_instance: Name of this instance.
        own_domain: Its failure domain.
        counted: Work this instance sent.
        peers: Work its peers sent.
        known: Slow and failing servers.
        cached: Prefixes lately sent.
    """

    def __init__(
        self,
        own_instance: str,
        own_domain: str,
        *,
        counted: outstanding.Outstanding,
        peers: shares.PeerShares,
        known: health.ServerHealth,
        cached: prefixes.PrefixMemory,
    ) -> None:
        self._own_instance = own_instance
        self._own_domain = own_domain
        self._counted = counted
        self._peers = peers
        self._health = known
        self._prefixes = cached
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
        """Return the engines of a model that this instance sends to."""
        if self._reachable_for != (view, self._instances):
            self._reachable_for = view, self._instances
            self._reachable = {}
        if model not in self._reachable:
            self._reachable[model] = self._choose_reachable(view, model)
        return self._reachable[model]

    def load(self, engine: str) -> outstanding.Load:
        """Return the work at an engine from all instances that are heard."""
        told = self._peers.server(engine)
        return self._counted.load(engine).plus(
            outstanding.Load(told.streams, told.prompt_tokens, told.output_tokens)
        )

    def candidates(
        self,
        view: fleet.View,
        model: str,
        prompt: str,
        now: datetime.timedelta,
        avoid: abc.Set[str] = frozenset(),
    ) -> list[choice.Candidate]:
        """Return the engines that may be chosen for a request.

        Engines that only prefill are left out unless there are no others.
        """
        engines = self.engines(view, model)
        whole = [e for e in engines if role_of(view, e) != "prefill"]
        names = [engine.name for engine in whole or engines]
        self._health.update_ejections(names, now)
        cached = self._prefixes.cached_tokens(prompt, now)
        return [
            self._candidate(engine, names, cached.get(engine.name, 0), now)
            for engine in whole or engines
            if engine.name not in avoid
        ]

    def readers(self, view: fleet.View, model: str) -> list[schema.Engine]:
        """Return the engines of the own failure domain that only read prompts."""
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
    ) -> choice.Candidate:
        ejected = self._health.ejected(engine.name)
        return choice.Candidate(
            engine,
            self.load(engine.name),
            self._counted.load(engine.name),
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
        for engine in serving(view, model):
            by_domain.setdefault(engine.failure_domain, {})[engine.name] = engine
        found: list[schema.Engine] = []
        for domain, engines in sorted(by_domain.items()):
            if domain == self._own_domain:
                assert view.document is not None
                size = view.document.routing.engine_subset
                chosen = subset.own_engines(self._instances, engines.keys(), size)
                names = chosen[self._own_instance]
            else:
                names = subset.foreign_engines(self._own_instance, engines.keys())
            # The order differs by instance, so that equal engines are not all
            # tried in the order of their names.
            found += [engines[name] for name in sorted(names, key=self._rank)]
        return tuple(found)

    def _rank(self, engine: str) -> int:
        return subset.rank(self._own_instance, engine)
