"""Limits how many engines of a failure domain are out of service at once.

Load pattern: a document that names a new model changes every engine while requests
keep arriving. Without a limit all engines would drain together and none would serve.
Grounds for the limits: operators set them in the document. The minimum share applies
to each model separately, since an engine cannot serve requests for models that it
does not hold.
"""

import collections
from collections import abc

from pimentolatch.decisions import serving_floor
from pimentolatch.document import schema

__all__ = ["ChangeBudget"]


class ChangeBudget:
    """Changes and weight loads that may still start in one pass.

    Args:
        active: Engines with `serving` set to active in the document.
        in_service: Active engines that accept requests now.
        changing: Number of active engines with a change in progress.
        loads: Number of orders that may fetch weights.
    """

    def __init__(
        self,
        policy: schema.RolePolicy,
        *,
        active: abc.Iterable[schema.Engine],
        in_service: abc.Iterable[schema.Engine],
        changing: int,
        loads: int,
    ) -> None:
        self._changes = policy.concurrent_changes - changing
        self._loads = loads
        self._spare = _models_of(in_service)
        for model, count in _models_of(active).items():
            min_serving = serving_floor.min_serving(count, policy.least_serving_share)
            self._spare[model] -= min_serving

    def reserve_change(self, engine: schema.Engine, in_service: bool) -> str | None:
        """Reserve one change, or return the reason why none may start.

        Only the number of changes limits an engine that is not in service, since
        changing it does not reduce serving capacity.
        """
        if self._changes <= 0:
            return "concurrent_changes are under way"
        if in_service and any(self._spare[model] <= 0 for model in engine.models):
            return "least_serving_share would not be kept"
        self._changes -= 1
        if in_service:
            self._spare.subtract(engine.models)
        return None

    def reclaim_change(self, engine: schema.Engine) -> bool:
        """Return whether a drain should be abandoned, and count it as abandoned.

        An engine that crashes or leaves while others drain can leave too few engines
        in service; a draining engine is the fastest to return. Also, two leaders that
        did not see each other's slots can start more changes than
        `concurrent_changes`; a leader that sees all of them abandons the excess.
        """
        below_minimum = any(self._spare[model] < 0 for model in engine.models)
        if not below_minimum and self._changes >= 0:
            return False
        self._changes += 1
        self._spare.update(engine.models)
        return True

    def reserve_load(self) -> bool:
        """Reserve one weight load; returns False if none may start now."""
        if self._loads <= 0:
            return False
        self._loads -= 1
        return True


def _models_of(engines: abc.Iterable[schema.Engine]) -> collections.Counter[str]:
    return collections.Counter(model for e in engines for model in e.models)
