"""Refusals and late copies of answers, for the stand-in of a backend server.

A server that refuses answers a request or a question and does nothing else. One that
copies sends a whole answer once more on the same connection: at once, or before an
answer that is due there later.
"""

import dataclasses
import random

__all__ = ["Copy", "Manner", "Manners", "OwedCopies"]

_NOT_EXECUTED = (b"x-not-executed", b"1")
_MISDIRECTED = 421
# How many answers precede a copy, and how often; one with 0 is sent at once. A request
# that comes again is mostly preceded by a question, so its answer is the second one.
_ANSWERS_BEFORE = (0, 1, 2, 3, 4)
_WEIGHTS = (1, 2, 4, 1, 1)
# Of two copies that are due at once so many begin with the same answer.
_TWICE_SHARE = 0.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Manner:
    """Shares of what a server refuses and copies, from 0 to 1.

    Attributes:
        refused_runs: Of the requests to run or to prefill.
        refused_questions: Of the health checks and requests for its report.
        copied_refusals: Of the refusals.
        copied_answers: Of the other answers to requests.
        cut: Of the copies; they end after their head, and so does the connection.
        together: Of the copies; they leave in one packet with the answer beside them.
    """

    refused_runs: float = 0.0
    refused_questions: float = 0.0
    copied_refusals: float = 0.0
    copied_answers: float = 0.0
    cut: float = 0.0
    together: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """A copy of an answer.

    Attributes:
        data: What is sent of it.
        is_cut: Whether the connection ends with it.
        is_together: Whether it leaves in one packet with the answer beside it.
    """

    data: bytes
    is_cut: bool
    is_together: bool


@dataclasses.dataclass(slots=True)
class _Owed:
    copy: Copy
    answers_before: int


class Manners:
    """How a server behaves at the moment.

    Args:
        seed: Seed of its choices.

    Attributes:
        current: What it refuses and copies.
        refused: Number of requests and questions that it refused.
        sent: Number of copies that it sent.
    """

    def __init__(self, seed: str) -> None:
        self.current = Manner()
        self.refused = 0
        self.sent = 0
        self.rng = random.Random(seed)

    def refusal_of_run(self) -> int | None:
        """Return the status with which the next request is refused, if it is."""
        if not self._drawn(self.current.refused_runs):
            return None
        self.refused += 1
        return self.rng.choice((503, 503, 429, _MISDIRECTED))

    def refusal_of_question(self) -> int | None:
        """Return the status with which the next question is refused, if it is."""
        if not self._drawn(self.current.refused_questions):
            return None
        self.refused += 1
        return self.rng.choice((503, 429))

    def copies_of(self, answer: bytes) -> list[Copy]:
        """Return the copies of an answer that are sent later, or none."""
        is_refusal = _NOT_EXECUTED[0] in answer.partition(b"\r\n\r\n")[0].lower()
        shares = self.current
        share = shares.copied_refusals if is_refusal else shares.copied_answers
        if not answer or not self._drawn(share):
            return []
        head, end, _ = answer.partition(b"\r\n\r\n")
        is_cut = self._drawn(shares.cut)
        data = head + end if is_cut else answer
        copy = Copy(data, is_cut, self._drawn(shares.together))
        return [copy, copy] if self._drawn(_TWICE_SHARE) else [copy]

    def answers_before(self) -> int:
        """Return how many answers precede a copy; 0 sends it at once."""
        return self.rng.choices(_ANSWERS_BEFORE, _WEIGHTS)[0]

    def _drawn(self, share: float) -> bool:
        return share > 0 and self.rng.random() < share


class OwedCopies:
    """Copies that are to be sent over one connection.

    Args:
        manners: How the server behaves.
    """

    def __init__(self, manners: Manners) -> None:
        self._manners = manners
        self._owed: list[_Owed] = []

    def due(self) -> list[Copy]:
        """Return the copies to send before an answer that is about to begin."""
        for owed in self._owed:
            owed.answers_before -= 1
        return self._take()

    def after(self, answer: bytes) -> list[Copy]:
        """Note an answer; return the copies to send right behind it."""
        for copy in self._manners.copies_of(answer):
            self._owed.append(_Owed(copy, self._manners.answers_before()))
        return self._take()

    def _take(self) -> list[Copy]:
        due = [owed.copy for owed in self._owed if owed.answers_before <= 0]
        self._owed = [owed for owed in self._owed if owed.answers_before > 0]
        self._manners.sent += len(due)
        return due
