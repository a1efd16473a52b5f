"""Promise 7: a leaving backend server gets no new requests after a few seconds."""

from tests.support import (
    control_faults,
    control_proof,
    control_world,
    fault_matrix,
    order_checkers,
)

__all__ = ["PROOF"]

# In addition to the time an instance has for reading the platform's list.
_ALLOWED_S = 3.0


def _check(done: control_faults.Run) -> tuple[str, ...]:
    return order_checkers.late_work(done.events, _ALLOWED_S)


PROOF: fault_matrix.Proof = control_proof.ControlProof(
    7, _check, control_world.Safeguards(instance_list=False), counts="requests"
)
