"""Common base of the proofs on orders, planned changes and leaving servers."""

import asyncio
import typing

from tests.support import (
    control_faults,
    control_history,
    control_world,
    fault_matrix,
    order_checkers,
)

__all__ = ["ControlProof", "unsettled_orders"]

Checker = typing.Callable[[control_faults.Run], tuple[str, ...]]
_SEED_STRIDE = 1_000_000


class ControlProof:
    """See `matrix.Proof`.

    Args:
        promise: Number of the promise.
        checker: Returns the violations in a run.
        weakened: Safeguards with those that ensure the promise disabled.
        counts: Whether operations are orders or requests.
    """

    faults: tuple[str, ...] = fault_matrix.FAULTS

    def __init__(
        self,
        promise: int,
        checker: Checker,
        weakened: control_world.Safeguards,
        *,
        counts: typing.Literal["orders", "requests"],
    ) -> None:
        self.promise = promise
        self._checker = checker
        self._weakened = weakened
        self._counts = counts

    def run(
        self, faults: tuple[str, ...], seed: int, *, safeguards: bool = True
    ) -> fault_matrix.ProofRun:
        """See `matrix.Proof.run`."""
        chosen = control_world.Safeguards() if safeguards else self._weakened
        # Gives each promise histories of its own.
        own_seed = seed + _SEED_STRIDE * self.promise
        done = asyncio.run(control_faults.run(faults, own_seed, chosen))
        orders = self._counts == "orders"
        return fault_matrix.ProofRun(
            self.promise,
            faults,
            seed,
            operations=_count(done, orders),
            unknown=len(unsettled_orders(done.events)) if orders else 0,
            violations=self._checker(done),
            longest_gap_s={
                control_world.DOMAIN: order_checkers.longest_gap(
                    done.events, done.end_s
                )
            },
        )


def _count(done: control_faults.Run, orders: bool) -> int:
    if orders:
        return len(_orders(done.events, "pending"))
    return sum(
        isinstance(event, control_history.StreamStarted) for event in done.events
    )


def unsettled_orders(events: typing.Iterable[control_history.Event]) -> set[str]:
    """Return the orders that became pending but were superseded before they settled."""
    listed = tuple(events)
    return _orders(listed, "pending") - _orders(listed, "settled")


def _orders(events: typing.Iterable[control_history.Event], state: str) -> set[str]:
    return {
        event.order
        for event in events
        if isinstance(event, control_history.SlotWritten)
        and event.state == state
        and event.order is not None
    }
