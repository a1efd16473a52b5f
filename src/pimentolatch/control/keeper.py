"""Holds the document in force with its parts, and puts later ones in force."""

import dataclasses
import datetime
import json
import typing

import logbook

from pimentolatch import clock, fleet, validation
from pimentolatch.control import configuration, heads, parts
from pimentolatch.document import schema

__all__ = ["Adopted", "DocumentKeeper", "Stale", "Unreadable"]

_log = logbook.Logger("configuration")


@dataclasses.dataclass(frozen=True, slots=True)
class Adopted:
    """The document is in force here."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Stale:
    """This document or a later one is known already."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """The parts don't make the document that the head describes."""

    reason: str


class DocumentKeeper:
    """The document in force, as text in parts for peers and parsed for use.

    Args:
        own_fleet: Where documents are put in force.
        adopted: Called after a document came into force.
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
        self._waiting: fleet.Configuration | None = None
        self._released = False
        self._delay: datetime.timedelta | None = None

    @property
    def head(self) -> heads.Head | None:
        """The head of the document in force, or that waits for the views."""
        return self._head

    @property
    def number(self) -> int:
        """Number of the document in force, 0 for none."""
        return self._head.number if self._head is not None and self._released else 0

    @property
    def known_number(self) -> int:
        """Number of the latest document held here, in force or not."""
        return 0 if self._head is None else self._head.number

    @property
    def delay(self) -> datetime.timedelta | None:
        """Time from the submission to the adoption here, by two machines' clocks."""
        return self._delay

    def on_adopted(self, adopted: typing.Callable[[], None]) -> None:
        """Set what is called after a document came into force."""
        self._adopted = adopted

    def part(self, name: str) -> str | None:
        """Return the text of a part of the document held here."""
        return self._parts.get(name)

    def missing(self, head: heads.Head) -> tuple[str, ...]:
        """Return the parts of a document that are not held here."""
        return tuple(dict.fromkeys(n for n in head.parts if n not in self._parts))

    def release(self) -> None:
        """Allow documents to come into force: the domain views are known.

        An instance that serves without them would send work to engines that are
        withdrawn, for it does not know of the withdrawal.
        """
        if self._released:
            return
        self._released = True
        if self._waiting is not None:
            self._put_in_force(self._waiting)
            self._waiting = None

    def adopt(
        self, head: heads.Head, new: dict[str, str]
    ) -> Adopted | Stale | Unreadable:
        """Put a document in force unless a later one is known.

        Args:
            head: The head that names the parts.
            new: Texts of the parts that were missing, by name.
        """
        if head.number <= self.known_number:
            return Stale()
        held = {name: new.get(name, self._parts.get(name)) for name in head.parts}
        present = {name: text for name, text in held.items() if text is not None}
        if len(present) != len(held):
            return Unreadable("parts are missing")
        text = "".join(present[name] for name in head.parts)
        if parts.content_hash(text) != head.content_hash:
            return Unreadable("the parts don't match the hash")
        # Stored text is plain JSON: no comments to strip, which a large one feels.
        document = validation.check_value(schema.FleetDocument, json.loads(text))
        if isinstance(document, validation.Problems):
            return Unreadable(str(document))
        return self._take(head, present, document)

    def _take(
        self, head: heads.Head, texts: dict[str, str], document: schema.FleetDocument
    ) -> Adopted:
        self._head = head
        self._parts = texts
        found = fleet.Configuration(head.number, head.content_hash, document)
        if self._released:
            self._put_in_force(found)
        else:
            self._waiting = found
        return Adopted(head.number)

    def adopt_submitted(
        self, head: heads.Head, submission: configuration.Submission
    ) -> Adopted | Stale | Unreadable:
        """Put a document in force that was accepted through this instance.

        If the platform goes down just after it accepted a document, nobody may have
        read it. Then the operator was told that it is in force, and only this instance
        can make that true, here and through its peers.
        """
        pieces = submission.pieces
        if len(pieces) != len(head.parts):
            return Unreadable("the head names other parts")
        if head.number <= self.known_number:
            return Stale()
        named = zip(head.parts, (piece.text for piece in pieces), strict=True)
        return self._take(head, dict(named), submission.document)

    def _put_in_force(self, found: fleet.Configuration) -> None:
        if not self._fleet.adopt(found):
            return
        if self._head is not None:
            submitted = datetime.datetime.fromisoformat(self._head.submitted_at)
            self._delay = self._clock.now() - submitted
        _log.info("configuration in force", number=found.number)
        self._adopted()
