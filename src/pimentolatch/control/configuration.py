"""Submits documents to the platform's store.

The *head* object names the document in force. A conditional update of the head decides
between concurrent submissions. The parts of a document are written before the head, so
a reader of the head can read the whole document.
"""

import asyncio
import dataclasses
import datetime
import random
import secrets

from pimentolatch import backoff, clock, store
from pimentolatch.control import heads, parts
from pimentolatch.document import schema

__all__ = [
    "Accepted",
    "ConfigurationObjects",
    "Lost",
    "NotSubmitted",
    "Submission",
    "SubmissionUnknown",
    "with_pieces",
]

_ATTEMPT_TIME = datetime.timedelta(seconds=15)
_MIN_PAUSE = datetime.timedelta(seconds=0.1)
_MAX_PAUSE = datetime.timedelta(seconds=2)
_MAX_ROUNDS = 5
_CONCURRENT_WRITES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A document to be written to the store.

    Attributes:
        submission_id: Idempotency key; the same in every retry of a submission.
        expected_number: Number of the document that the operator's change is based
            on, or None for any. Without it, a retry through another instance, or
            through one that was paused, can put the document in force after the
            operator was told that another document won.
        pieces: The parts of the document's text; see `with_pieces`.
    """

    submission_id: str
    operator: str
    document: schema.FleetDocument
    submitted_at: datetime.datetime
    expected_number: int | None = None
    pieces: tuple[parts.PartText, ...] = ()

    @property
    def content_hash(self) -> str:
        """Hash of the document's text; needs `pieces`, see `with_pieces`."""
        return parts.content_hash("".join(piece.text for piece in self.pieces))


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The document was put in force, with the number in its head.

    Attributes:
        replaced_by: Head of the document now in force, if it is a later one.
    """

    head: heads.Head
    replaced_by: heads.Head | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Another document was put in force; this one has no effect."""

    winner: heads.Head


@dataclasses.dataclass(frozen=True, slots=True)
class NotSubmitted:
    """This attempt did not write the head; an earlier attempt may have."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionUnknown:
    """The outcome could not be read from the store; the document may be in force."""

    reason: str


Outcome = Accepted | Lost | NotSubmitted | SubmissionUnknown


@dataclasses.dataclass(frozen=True, slots=True)
class Current:
    """The head object and its version in the store."""

    version: int
    head: heads.Head | None


@dataclasses.dataclass(frozen=True, slots=True)
class _HeadChanged:
    """The version of the head changed, but it names the same document."""


def with_pieces(submission: Submission) -> Submission:
    """Return the submission with its document split into parts.

    This takes 0.1 s of processor time at the largest document size, so a process
    that serves requests must run it in a thread.
    """
    if submission.pieces:
        return submission
    return dataclasses.replace(submission, pieces=parts.split(submission.document))


class ConfigurationObjects:
    """Reads and submits documents in the platform's store.

    Args:
        attempt_time: Time limit for the retries of a submission.
    """

    def __init__(
        self,
        objects: store.Store,
        time: clock.Clock,
        rng: random.Random,
        attempt_time: datetime.timedelta = _ATTEMPT_TIME,
    ) -> None:
        self._store = objects
        self._clock = time
        self._rng = rng
        self._attempt_time = attempt_time

    async def current(self) -> Current | store.Unavailable:
        """Read the head object."""
        found = await self._store.get(heads.HEAD_KIND, heads.HEAD_NAME)
        if isinstance(found, store.Unavailable):
            return found
        if isinstance(found, store.Absent):
            return Current(0, None)
        return Current(found.version, heads.Head.from_json(found.value))

    async def read_parts(
        self, names: tuple[str, ...]
    ) -> dict[str, str] | store.Unavailable:
        """Read parts by name; returns their texts."""
        found: dict[str, str] = {}
        for name in names:
            part = await self._store.get(heads.PART_KIND, name)
            if isinstance(part, store.Unavailable):
                return part
            if isinstance(part, store.Absent):
                return store.Unavailable(
                    f"document part {name} does not exist in the store", False
                )
            found[name] = part.value
        return found

    async def submit(self, submission: Submission) -> Outcome:
        """Put a document in force; returns the outcome."""
        submission = with_pieces(submission)
        deadline = self._clock.monotonic() + self._attempt_time
        for _ in range(_MAX_ROUNDS):
            outcome = await self._submit_once(submission, deadline)
            if not isinstance(outcome, _HeadChanged):
                return outcome
        return NotSubmitted("the head changed during every attempt; submit again")

    async def _submit_once(
        self, submission: Submission, deadline: datetime.timedelta
    ) -> Outcome | _HeadChanged:
        base = await self._read_until(deadline)
        if isinstance(base, store.Unavailable):
            return NotSubmitted(base.reason)
        decided = _decided_outcome(submission, base)
        if decided is not None:
            return decided
        names = await self._write_parts(submission.pieces, base.head)
        if isinstance(names, store.Unavailable):
            return NotSubmitted(names.reason)
        head = _next_head(submission, base.head, names)
        return await self._write_head(submission, head, base.version, deadline)

    async def _read_until(
        self, deadline: datetime.timedelta
    ) -> Current | store.Unavailable:
        pauses = self._pauses()
        while True:
            current = await self.current()
            if isinstance(current, Current) or self._clock.monotonic() >= deadline:
                return current
            await self._clock.sleep(pauses.next_pause())

    async def _write_head(
        self,
        submission: Submission,
        head: heads.Head,
        version: int,
        deadline: datetime.timedelta,
    ) -> Outcome | _HeadChanged:
        """Write the head, and retry until the outcome is known.

        A write whose response is lost may have taken effect, or may still be in
        transit and take effect after a read that does not show it. So a read cannot
        determine the outcome. Repeating the write at the same version can: at most
        one of the writes takes effect, and after a conflict none of them can any
        more, so the head that is read then is final.
        """
        pauses = self._pauses()
        effect_known = True
        while True:
            outcome = await self._store.put(
                heads.HEAD_KIND, heads.HEAD_NAME, head.to_json(), if_version=version
            )
            if isinstance(outcome, store.Written):
                return Accepted(head)
            if isinstance(outcome, store.Conflict):
                return await self._after_conflict(
                    submission, head, effect_known, deadline
                )
            effect_known = effect_known and not outcome.effect_unknown
            if self._clock.monotonic() >= deadline:
                return _failed_outcome(outcome.reason, effect_known)
            await self._clock.sleep(pauses.next_pause())

    async def _after_conflict(
        self,
        submission: Submission,
        head: heads.Head,
        effect_known: bool,
        deadline: datetime.timedelta,
    ) -> Outcome | _HeadChanged:
        current = await self._read_until(deadline)
        if isinstance(current, store.Unavailable):
            return _failed_outcome(f"conflict, then {current.reason}", effect_known)
        decided = _decided_outcome(submission, current)
        if decided is not None:
            return decided
        if current.head is None or current.head.number < head.number:
            return _HeadChanged()
        return Lost(current.head)

    async def _write_parts(
        self, part_texts: tuple[parts.PartText, ...], base: heads.Head | None
    ) -> tuple[str, ...] | store.Unavailable:
        """Write the parts that the base document lacks; returns all part names.

        A part is reused only if the base head references it. Such a part is removed
        only after another head has replaced the base head, and then this submission
        fails. Any other part with the same content may be about to be removed by the
        garbage collector, so new parts get unique names.
        """
        known = {name.split(".")[0]: name for name in base.parts} if base else {}
        token = secrets.token_hex(4)
        names = tuple(
            known.get(part.content_hash, f"{part.content_hash}.{token}")
            for part in part_texts
        )
        new = {
            name: part.text
            for name, part in zip(names, part_texts, strict=True)
            if name.endswith(token)
        }
        semaphore = asyncio.Semaphore(_CONCURRENT_WRITES)
        outcomes = await asyncio.gather(
            *(self._write_part(name, text, semaphore) for name, text in new.items())
        )
        for outcome in outcomes:
            if isinstance(outcome, store.Unavailable):
                return outcome
        return names

    async def _write_part(
        self, name: str, text: str, semaphore: asyncio.Semaphore
    ) -> store.Written | store.Conflict | store.Unavailable:
        pauses = self._pauses()
        deadline = self._clock.monotonic() + self._attempt_time
        async with semaphore:
            while True:
                outcome = await self._store.put(
                    heads.PART_KIND, name, text, if_version=0
                )
                # The name is unique to this submission, so a conflict means that an
                # earlier attempt has written the part.
                if not isinstance(outcome, store.Unavailable):
                    return outcome
                if self._clock.monotonic() >= deadline:
                    return outcome
                await self._clock.sleep(pauses.next_pause())

    def _pauses(self) -> backoff.Backoff:
        return backoff.Backoff(_MIN_PAUSE, _MAX_PAUSE, self._rng)


def _decided_outcome(
    submission: Submission, current: Current
) -> Accepted | Lost | None:
    head = current.head
    number = 0 if head is None else head.number
    if head is not None:
        accepted = head.number_of(submission.submission_id)
        if accepted == head.number:
            return Accepted(head)
        if accepted is not None:
            return Accepted(_past_head(submission, accepted), replaced_by=head)
        if submission.expected_number not in (None, number):
            return Lost(head)
    return None


def _past_head(submission: Submission, number: int) -> heads.Head:
    return heads.Head(
        number,
        submission.content_hash,
        submission.submission_id,
        submission.operator,
        submission.submitted_at.isoformat(),
        (),
    )


def _next_head(
    submission: Submission, base: heads.Head | None, names: tuple[str, ...]
) -> heads.Head:
    past: tuple[heads.PastSubmission, ...] = ()
    if base is not None:
        last = heads.PastSubmission(base.submission_id, base.number)
        past = (*base.past, last)[-heads.REMEMBERED_SUBMISSIONS :]
    number = 1 if base is None else base.number + 1
    head = _past_head(submission, number)
    return dataclasses.replace(head, parts=names, past=past)


def _failed_outcome(
    reason: str, effect_known: bool
) -> NotSubmitted | SubmissionUnknown:
    return NotSubmitted(reason) if effect_known else SubmissionUnknown(reason)
