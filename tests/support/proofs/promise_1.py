"""Promise 1: an engine never accepts conflicting orders and settles after faults."""

from tests.support import (
    control_faults,
    control_proof,
    control_world,
    fault_matrix,
    order_checkers,
)

__all__ = ["PROOF"]


def _check(done: control_faults.Run) -> tuple[str, ...]:
    conflicts = order_checkers.conflicting_orders(done.events)
    if done.settled:
        return conflicts
    return (
        *conflicts,
        "the engines did not reach their planned state after the faults ended",
    )


PROOF: fault_matrix.Proof = control_proof.ControlProof(
    1,
    _check,
    control_world.Safeguards(conditional_updates=False),
    counts="orders",
)
