"""Interface between the fault matrix and the proofs of the promises."""

import dataclasses
import typing

__all__ = ["FAULTS", "Proof", "ProofRun"]

FAULTS = (
    "kill",
    "freeze",
    "cut",
    "platform_out",
    "platform_slow",
    "reply_lost",
    "engine_crash",
    "operator_race",
)


@dataclasses.dataclass(frozen=True, slots=True)
class ProofRun:
    """Result of checking one history.

    Attributes:
        operations: Number of operations in the history.
        unknown: Number of operations that ended in "outcome unknown".
        violations: A sentence for each violation that the checker found.
        longest_gap_s: Longest time without service, in seconds, by failure domain.
    """

    promise: int
    faults: tuple[str, ...]
    seed: int
    operations: int
    unknown: int
    violations: tuple[str, ...]
    longest_gap_s: dict[str, float] = dataclasses.field(default_factory=dict)


class Proof(typing.Protocol):
    """Checks one promise under the faults that can affect it."""

    promise: int
    faults: tuple[str, ...]

    def run(
        self, faults: tuple[str, ...], seed: int, *, safeguards: bool = True
    ) -> ProofRun:
        """Make one seeded history under faults and check it.

        With `safeguards` off, the code runs without the safeguard that ensures the
        promise. The checker must then reject some history; otherwise it checks nothing.
        """
