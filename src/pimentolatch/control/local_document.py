"""The fleet document on this instance: stores its parts and puts it in force."""

import dataclasses
import datetime
import json
import typing

import logbook

from pimentolatch import clock, fleet, validation
from pimentolatch.control import configuration, heads, parts
from pimentolatch.document import schema

__all__ = ["Adopted", "LocalDocument", "Stale", "Unreadable"]

_log = logbook.Logger("configuration")


@dataclasses.dataclass(frozen=True, slots=True)
class Adopted:
    """The document is in force here."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Stale:
    """This instance already has this document or a later one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """The parts do not form the document that the head describes."""

    reason: str


class LocalDocument:
    """The latest document of this instance, as text in parts and parsed.

    Peers fetch the parts; the parsed document is put in force in `own_fleet`.

    Args:
        own_fleet: State in which documents are put in force.
        adopted: Called after a document was put in force.
    """

    def __init__(
        self,
        own_fleet: fleet.Fleet,
        time: clock.Clock,
        adopted: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self._fleet = own_fleet
        self._clock = time
        self._adopted = adopted
        self._head: heads.Head | None = None
        self._parts: dict[str, str] = {}
        self._withheld: fleet.Configuration | None = None
        self._views_known = False
        self._adoption_delay: datetime.timedelta | None = None

    @property
    def head(self) -> heads.Head | None:
        """Head of the latest document, in force or waiting for the domain views."""
        return self._head

    @property
    def number(self) -> int:
        """Number of the document in force, 0 for none."""
        return self._head.number if self._head is not None and self._views_known else 0

    @property
    def known_number(self) -> int:
        """Number of the latest document on this instance, in force or not."""
        return 0 if self._head is None else self._head.number

    @property
    def adoption_delay(self) -> datetime.timedelta | None:
        """Time from submission to adoption here; compares clocks of two machines."""
        return self._adoption_delay

    def on_adopted(self, adopted: typing.Callable[[], None]) -> None:
        """Set the function that is called after a document was put in force."""
        self._adopted = adopted

    def part_text(self, name: str) -> str | None:
        """Return the text of a part of this document, or None if not found."""
        return self._parts.get(name)

    def missing_parts(self, head: heads.Head) -> tuple[str, ...]:
        """Return names of the parts of a document that this instance lacks."""
        return tuple(dict.fromkeys(n for n in head.parts if n not in self._parts))

    def set_views_known(self) -> None:
        """Allow documents to be put in force, since the domain views are known.

        Without the views an instance would send requests to withdrawn engines.
        """
        if self._views_known:
            return
        self._views_known = True
        if self._withheld is not None:
            self._put_in_force(self._withheld)
            self._withheld = None

    def adopt(
        self, head: heads.Head, new: dict[str, str]
    ) -> Adopted | Stale | Unreadable:
        """Put a document in force unless this instance has it or a later one.

        Args:
            head: Head of the document.
            new: Texts of the parts that were missing, by name.
        """
        if head.number <= self.known_number:
            return Stale()
        text_by_name = {
            name: new.get(name, self._parts.get(name)) for name in head.parts
        }
        present = {
            name: text for name, text in text_by_name.items() if text is not None
        }
        if len(present) != len(text_by_name):
            return Unreadable("some parts of the document are missing")
        text = "".join(present[name] for name in head.parts)
        if parts.content_hash(text) != head.content_hash:
            return Unreadable("the parts do not match the content hash of the head")
        # Stored documents are plain JSON; searching a large one for comments to strip
        # would take noticeable time.
        document = validation.check_value(schema.FleetDocument, json.loads(text))
        if isinstance(document, validation.Problems):
            return Unreadable(str(document))
        return self._accept(head, present, document)

    def _accept(
        self, head: heads.Head, texts: dict[str, str], document: schema.FleetDocument
    ) -> Adopted:
        self._head = head
        self._parts = texts
        found = fleet.Configuration(head.number, head.content_hash, document)
        if self._views_known:
            self._put_in_force(found)
        else:
            self._withheld = found
        return Adopted(head.number)

    def adopt_submitted(
        self, head: heads.Head, submission: configuration.Submission
    ) -> Adopted | Stale | Unreadable:
        """Put a document in force that was submitted through this instance.

        If the platform becomes unavailable right after accepting a document, no other
        instance may have read it, although the operator was told that it is in force.
        Then only this instance can put it in force and pass it on to peers.
        """
        pieces = submission.pieces
        if len(pieces) != len(head.parts):
            return Unreadable(
                "the head and the submission have different numbers of parts"
            )
        if head.number <= self.known_number:
            return Stale()
        named = zip(head.parts, (piece.text for piece in pieces), strict=True)
        return self._accept(head, dict(named), submission.document)

    def _put_in_force(self, found: fleet.Configuration) -> None:
        if not self._fleet.adopt(found):
            return
        if self._head is not None:
            submitted = datetime.datetime.fromisoformat(self._head.submitted_at)
            self._adoption_delay = self._clock.now() - submitted
        _log.info("configuration in force", number=found.number)
        self._adopted()
