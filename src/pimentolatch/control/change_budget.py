"""How many engines of a failure domain may be taken out of service at once.

Load pattern: a document that names a new model touches every engine while callers go
on. Without a bound all of them would drain together and nobody would serve. Grounds
for the bounds: they are the operators' own, from the document; the share counts for
each model by itself, since an engine of one model is no help to callers of another.
"""

import collections
from collections import abc

from pimentolatch.decisions import serving_floor
from pimentolatch.document import schema

__all__ = ["ChangeBudget"]


class ChangeBudget:
    """What may still be begun in one pass.

    Args:
        active: Engines that the document has in service.
        in_service: Those of them that take work now.
        changing: Number of them that are being changed.
        loads: Orders that may fetch weights.
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
        """Take one change, or return why there is none.

        An engine that does not serve anyway is no loss, so it is bound only by the
        number of changes.
        """
        if self._changes <= 0:
            return "concurrent_changes are under way"
        if in_service and any(self._spare[model] <= 0 for model in engine.models):
            return "least_serving_share would not be kept"
        self._changes -= 1
        if in_service:
            self._spare.subtract(engine.models)
        return None

    def reclaim(self, engine: schema.Engine) -> bool:
        """Tell whether a drain should be given up, and count it as given up.

        An engine that crashes or leaves while others drain can leave nobody to
        serve; an engine that still drains is the quickest to have back. And two
        holders that did not see each other's slots can begin more changes than
        `concurrent_changes`; whoever sees all of them gives the excess up.
        """
        below_minimum = any(self._spare[model] < 0 for model in engine.models)
        if not below_minimum and self._changes >= 0:
            return False
        self._changes += 1
        self._spare.update(engine.models)
        return True

    def reserve_load(self) -> bool:
        """Take one load; False if none may begin now."""
        if self._loads <= 0:
            return False
        self._loads -= 1
        return True


def _models_of(engines: abc.Iterable[schema.Engine]) -> collections.Counter[str]:
    return collections.Counter(model for e in engines for model in e.models)
