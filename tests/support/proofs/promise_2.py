"""Promise 2: no planned change aborts a request."""

from tests.support import (
    control_faults,
    control_proof,
    control_world,
    fault_matrix,
    order_checkers,
)

__all__ = ["PROOF"]


def _check(done: control_faults.Run) -> tuple[str, ...]:
    return order_checkers.aborted_requests(done.events)


PROOF: fault_matrix.Proof = control_proof.ControlProof(
    2,
    _check,
    control_world.Safeguards(acknowledgements=False, engine_counts=False),
    counts="requests",
)
