"""Promise 3: an order from a process that has been superseded has no effect."""

from tests.support import (
    control_faults,
    control_proof,
    control_world,
    fault_matrix,
    order_checkers,
)

__all__ = ["PROOF"]


def _check(done: control_faults.Run) -> tuple[str, ...]:
    return order_checkers.stale_orders(done.events)


PROOF: fault_matrix.Proof = control_proof.ControlProof(
    3,
    _check,
    control_world.Safeguards(late_orders_rejected=False),
    counts="orders",
)
