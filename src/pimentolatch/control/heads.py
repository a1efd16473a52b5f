"""The head object: the document in force and the submissions accepted before it."""

import dataclasses
import typing

__all__ = ["HEAD_KIND", "HEAD_NAME", "PART_KIND", "Head", "PastSubmission"]

HEAD_KIND = "configuration"
HEAD_NAME = "head"
PART_KIND = "configuration-parts"
# Operators retry within seconds or minutes. At 3,700 changes a day, 40 submissions
# cover more than 15 minutes.
REMEMBERED_SUBMISSIONS = 40


@dataclasses.dataclass(frozen=True, slots=True)
class PastSubmission:
    """An accepted submission and the number of its document."""

    submission_id: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head object.

    Attributes:
        number: Sequence number of the document, from 1.
        submission_id: Identifies the submission, so that a retry after a lost response
            finds its outcome.
        parts: Names of the parts that form the document's text, in order.
        past: Submissions accepted earlier, oldest first. Without them a document that
            was accepted and soon replaced would be reported as never in force.
    """

    number: int
    content_hash: str
    submission_id: str
    operator: str
    submitted_at: str
    parts: tuple[str, ...]
    past: tuple[PastSubmission, ...] = ()

    def number_of(self, submission_id: str) -> int | None:
        """Return the number of a submission's document, or None if not found."""
        if submission_id == self.submission_id:
            return self.number
        for past in self.past:
            if past.submission_id == submission_id:
                return past.number
        return None

    def to_json(self) -> dict[str, typing.Any]:
        """Return the stored form."""
        return dataclasses.asdict(self)

    @classmethod
    def from_json(cls, value: dict[str, typing.Any]) -> "Head":
        """Return the head that a stored value describes."""
        past = tuple(PastSubmission(**item) for item in value["past"])
        return cls(**{**value, "parts": tuple(value["parts"]), "past": past})
