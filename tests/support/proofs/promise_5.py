"""Promise 5: a request that is refused as "not run" did not run."""

from tests.support import fault_matrix, request_history, request_parts
from tests.support import request_world as calls
from tests.support import stream_world as streams

__all__ = ["PROOF", "TrueRefusals"]


class TrueRefusals:
    """See `matrix.Proof`."""

    promise = 5
    faults = tuple(calls.FAULTS)

    def run(
        self, faults: tuple[str, ...], seed: int, *, safeguards: bool = True
    ) -> fault_matrix.ProofRun:
        """Make one history of calls and one of streams, and check both."""
        switches = request_parts.Safeguards(distinguish_unknown=safeguards)
        called = calls.run(faults, seed, switches)
        at_engines = tuple(fault for fault in faults if fault in streams.FAULTS)
        seen = streams.run(at_engines, seed)
        return fault_matrix.ProofRun(
            self.promise,
            faults,
            seed,
            called.operations + seen.operations,
            called.unknown + seen.unknown,
            request_history.refusals_are_accurate(called)
            + request_history.refusals_are_accurate(seen),
        )


PROOF: fault_matrix.Proof = TrueRefusals()
