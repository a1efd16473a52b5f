"""Promise 6: a request that must not be repeated runs at most once."""

from tests.support import fault_matrix, request_history, request_parts, request_world

__all__ = ["PROOF", "AtMostOnceRuns"]


class AtMostOnceRuns:
    """See `matrix.Proof`."""

    promise = 6
    faults = tuple(request_world.FAULTS)

    def run(
        self, faults: tuple[str, ...], seed: int, *, safeguards: bool = True
    ) -> fault_matrix.ProofRun:
        """Make and check one history of retried calls with idempotency keys."""
        switches = request_parts.Safeguards(claims=safeguards)
        called = request_world.run(faults, seed, switches)
        return fault_matrix.ProofRun(
            self.promise,
            faults,
            seed,
            called.operations,
            called.unknown,
            request_history.at_most_once(called),
        )


PROOF: fault_matrix.Proof = AtMostOnceRuns()
