"""State reports of model engines."""

import dataclasses

from pimentolatch.routes import servers

__all__ = ["EngineReport"]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's state; it may be some hundred milliseconds old.

    Attributes:
        stage: Stage that the engine runs.
        changing: Whether it is carrying out an order to change its stage.
        accepted_orders: Number of orders accepted in this incarnation.
        queued: Number of queued requests.
        running: Number of running requests.
        decoding_ids: Ids of the running requests that are in the decode stage.
        started_ms: Unix time of the engine's start, in milliseconds; None if it does
            not report one.
    """

    stage: servers.Stage
    changing: bool
    accepted_orders: int
    queued: int = 0
    running: int = 0
    decoding_ids: frozenset[str] = frozenset()
    started_ms: int | None = None
