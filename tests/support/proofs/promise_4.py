"""Promise 4: a caller receives the whole answer to its own request.

Streams are proved with the product's reader and resumption on engines that crash,
freeze, cut, repeat and cross their answers; answers of services with keyed calls that
are retried through several instances.
"""

from tests.support import matrix, request_history, request_parts
from tests.support import request_world as calls
from tests.support import stream_world as streams

__all__ = ["PROOF", "WholeAnswers"]


class WholeAnswers:
    """See `matrix.Proof`."""

    promise = 4
    faults = ("kill", "freeze", "cut", "reply_lost", "engine_crash")

    def run(
        self, faults: tuple[str, ...], seed: int, *, safeguards: bool = True
    ) -> matrix.ProofRun:
        """Make one history of streams and one of calls, and check both."""
        seen = streams.run(faults, seed, safeguards=safeguards)
        switches = request_parts.Safeguards(match_answers=safeguards)
        called = calls.run(faults, seed, switches)
        return matrix.ProofRun(
            self.promise,
            faults,
            seed,
            seen.operations + called.operations,
            seen.unknown + called.unknown,
            request_history.streams_are_whole(seen)
            + request_history.answers_belong(called),
        )


PROOF: matrix.Proof = WholeAnswers()
