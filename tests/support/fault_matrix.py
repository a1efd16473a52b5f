"""Contract between the fault matrix and the scenarios that prove a promise."""

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
    """One history and what its checker found.

    Attributes:
        operations: Invocations in the history.
        unknown: Invocations that ended in "outcome unknown".
        violations: What the checker rejected, a sentence each.
        longest_gap_s: Longest time without service, by failure domain.
    """

    promise: int
    faults: tuple[str, ...]
    seed: int
    operations: int
    unknown: int
    violations: tuple[str, ...]
    longest_gap_s: dict[str, float] = dataclasses.field(default_factory=dict)


class Proof(typing.Protocol):
    """Proves one promise of the brief under the faults that can touch it."""

    promise: int
    faults: tuple[str, ...]

    def run(
        self, faults: tuple[str, ...], seed: int, *, safeguards: bool = True
    ) -> ProofRun:
        """Make one seeded history under faults and check it.

        With `safeguards` off, the same logic runs without the safeguard, so that the
        checker is seen to reject its history.
        """
