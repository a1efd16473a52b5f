"""Promise 4: a caller receives the complete response to its own request.

Streams are checked with the production parser and stream resumption, on engines that
crash, freeze, truncate streams, duplicate tokens and send events of other streams.
Responses of services are checked with calls that have idempotency keys and are retried
through several instances.
"""

from tests.support import fault_matrix, request_history, request_parts
from tests.support import request_world as calls
from tests.support import stream_world as streams

__all__ = ["PROOF", "WholeAnswers"]


class WholeAnswers:
    """See `matrix.Proof`."""

    promise = 4
    faults = ("kill", "freeze", "cut", "reply_lost", "engine_crash")

    def run(
        self, faults: tuple[str, ...], seed: int, *, safeguards: bool = True
    ) -> fault_matrix.ProofRun:
        """Make one history of streams and one of calls, and check both."""
        seen = streams.run(faults, seed, safeguards=safeguards)
        switches = request_parts.Safeguards(match_answers=safeguards)
        called = calls.run(faults, seed, switches)
        return fault_matrix.ProofRun(
            self.promise,
            faults,
            seed,
            seen.operations + called.operations,
            seen.unknown + called.unknown,
            request_history.streams_are_complete(seen)
            + request_history.responses_match_keys(called),
        )


PROOF: fault_matrix.Proof = WholeAnswers()
