"""What model engines report of themselves."""

import dataclasses

from pimentolatch.routes import servers

__all__ = ["EngineReport"]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's state as of some hundred milliseconds ago.

    Attributes:
        stage: What it does.
        changing: It is carrying out an order.
        accepted_orders: Orders that it has accepted in this life.
        queued: Requests that wait.
        running: Requests that it works on.
        decoding_ids: Ids of those of them that write an answer.
        started_ms: Unix time of its start in milliseconds; None if it does not say.
    """

    stage: servers.Stage
    changing: bool
    accepted_orders: int
    queued: int = 0
    running: int = 0
    decoding_ids: frozenset[str] = frozenset()
    started_ms: int | None = None
