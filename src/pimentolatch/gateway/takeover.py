"""Decides whether a request may leave a server that has fallen silent.

A sound server may fall silent for a second and go on with what it has. A request that
leaves it gains something only if another server can run it: the client's connection
would be closed otherwise, shortly before the answer goes on. So a place elsewhere is
found and paid for first, while the silent server may still answer. It can be lost all
the same before the request gets there: nothing is reserved at the other server.
"""

import dataclasses
import typing

from pimentolatch.decisions import engine_loads, placement_types, repeat_budget
from pimentolatch.gateway import client_request, request_progress
from pimentolatch.routes import servers

__all__ = ["Placer", "Takeover", "TakeoverFinder"]

# Dispatches that a prompt takes if it is prefilled on a separate engine.
_DISAGGREGATED_DISPATCHES = 2


class Placer(typing.Protocol):
    """Tells where a prompt could run."""

    def place_without(
        self,
        request: client_request.ClientRequest,
        progress: request_progress.Progress,
        engine: engine_loads.EngineLoad,
    ) -> placement_types.PlacementResult:
        """Return where a request could run now without an engine."""


@dataclasses.dataclass(frozen=True, slots=True)
class Takeover:
    """The chance that another server takes over from a silent engine.

    Attributes:
        request: The request that waits for the engine.
        progress: Progress of the request.
        engine: The engine.
        runs: Servers that may have run the request, the engine included if it is asked
            to decode.
    """

    request: client_request.ClientRequest
    progress: request_progress.Progress
    engine: engine_loads.EngineLoad
    runs: int
    _finder: "TakeoverFinder"

    @property
    def others(self) -> int:
        """Number of other engines that could decode now."""
        return self._finder.count_others(self)

    async def reserve(self) -> bool:
        """Secure a place elsewhere; False if the request should stay."""
        return await self._finder.reserve(self)


class TakeoverFinder:
    """Finds out whether requests could run elsewhere.

    Args:
        context: Components that all stream requests share.
        placer: Tells where a prompt could run.
        budget: Pays for the dispatches to another server.
    """

    def __init__(
        self,
        context: request_progress.Context,
        placer: Placer,
        budget: repeat_budget.RepeatBudget,
    ) -> None:
        self._context = context
        self._placer = placer
        self._budget = budget

    def from_engine(
        self,
        request: client_request.ClientRequest,
        progress: request_progress.Progress,
        engine: engine_loads.EngineLoad,
        *,
        runs: int,
    ) -> Takeover:
        """Return the chance of a request to leave an engine; see `Takeover`."""
        return Takeover(request, progress, engine, runs, self)

    def count_others(self, takeover: Takeover) -> int:
        """Return the number of other engines that could decode now."""
        left_out = takeover.progress.failed | {takeover.engine.server.incarnation}
        loads = self._context.loads(takeover.request)
        now = self._context.clock.monotonic()
        return len(loads.usable(servers.Stage.DECODE, now, left_out))

    async def reserve(self, takeover: Takeover) -> bool:
        """Secure a place elsewhere and pay for it; False if there is none."""
        request = takeover.request
        now = self._context.clock.monotonic()
        self._context.loads(request).silent(takeover.engine, now)
        # Requests that stay must not keep the instance from finding out that it is cut
        # off from the servers.
        self._context.monitor.suspect(takeover.engine.server)
        if takeover.runs >= max(1, request.route.max_attempts):
            return False
        if takeover.progress.placements + 1 >= request_progress.MAX_PLACEMENTS:
            return False
        if self._context.dispatch_check.refusal(request) is not None:
            return False
        await self._context.monitor.check(takeover.engine.server)
        dispatches = self._dispatches_elsewhere(takeover)
        if not dispatches:
            return False
        now = self._context.clock.monotonic()
        if not self._budget.spend(request.service.name, now, count=dispatches):
            return False
        takeover.progress.paid_dispatches += dispatches
        return True

    def _dispatches_elsewhere(self, takeover: Takeover) -> int:
        """Return the dispatches that a place elsewhere takes; 0 without a place."""
        request = takeover.request
        if self._context.peers.may_forward(request):
            return 1
        place = self._placer.place_without(request, takeover.progress, takeover.engine)
        if isinstance(place, placement_types.Disaggregated):
            return _DISAGGREGATED_DISPATCHES
        return 1 if isinstance(place, placement_types.Colocated) else 0
