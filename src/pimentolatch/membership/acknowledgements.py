"""Who has acknowledged a domain view, and what proves that a process has ended.

An instance that is not counted would be waited for by nobody, and the engine it still
routes to would be ordered away under its requests. So everyone who may route must be
known before the last acknowledgement counts. Three ways lead here:

* an instance registers in the store *before* it reads the views from there, and the
  holder reads the registrations *after* it wrote the view: whoever read an older view
  is in that listing;
* an instance that took its views from a peer was introduced by that peer, on every
  link, before that peer's next acknowledgement; introductions are passed on the same
  way, so they arrive before any acknowledgement that travelled with them;
* the platform's list names instances that nobody has heard of yet.

An incarnation stops counting only on proof that it has ended: its farewell; the
platform's list naming it as ended, or no longer holding its instance at that address,
in an answer younger than the incarnation by more than the list's lag; or a successor
that listens at the same address, which it can't while the old process is there, for an
instance closes that address last of all.
"""

import dataclasses
import datetime
from collections import abc

from pimentolatch import clock, store
from pimentolatch.membership import incarnations, registrations
from pimentolatch.protocol import messages

__all__ = ["UNREAD_REGISTRATIONS", "AcknowledgementTable"]

UNREAD_REGISTRATIONS = "registrations-not-read"
# More than two days of restarts at the size designed for, about 25 kB.
_ENDED_LIMIT = 800


@dataclasses.dataclass(frozen=True, slots=True)
class _Known:
    introduction: messages.Introduction
    since: datetime.timedelta


class AcknowledgementTable:
    """Incarnations that may route, and the view of each domain they route by.

    Args:
        own_instance: Name of this instance.
        list_lag: Bound on how late the platform's instance list may be.
    """

    def __init__(
        self, own_instance: str, time: clock.Clock, list_lag: datetime.timedelta
    ) -> None:
        self._own_instance = own_instance
        self._clock = time
        self._list_lag = list_lag
        self._known: dict[str, _Known] = {}
        self._ended: dict[str, None] = {}
        self._numbers: dict[str, dict[str, int]] = {}
        self._listed: frozenset[str] = frozenset()
        self._registrations_cover: dict[str, int] = {}
        self._changes = 0

    @property
    def changes(self) -> int:
        """Grows with each change of `known`."""
        return self._changes

    @property
    def known(self) -> tuple[messages.Introduction, ...]:
        """All incarnations that may route, in the order they became known."""
        return tuple(known.introduction for known in self._known.values())

    def introduce(self, introduction: messages.Introduction) -> bool:
        """Count an incarnation from now on; False if it was known or has ended."""
        name = introduction.incarnation
        if name in self._known or name in self._ended:
            return False
        self._known[name] = _Known(introduction, self._clock.monotonic())
        self._changes += 1
        return True

    def introduce_successor(self, successor: messages.Introduction) -> frozenset[str]:
        """Count an incarnation that listens; returns those it proves ended.

        What this instance hears can be old: after a freeze it may read the hello of
        an earlier process after that of its successor. So only a process that started
        later proves anything. If a machine's clock went back in between, nothing is
        proved here and the platform's list decides.
        """
        self.introduce(successor)
        started = incarnations.started_ms(successor.incarnation)
        instance = incarnations.instance_of(successor.incarnation)
        before = [
            name
            for name, known in self._known.items()
            if incarnations.instance_of(name) == instance
            and incarnations.started_ms(name) < started
            and known.introduction.host == successor.host
            and known.introduction.port == successor.port
        ]
        return self._remove_ended(before)

    def acknowledge(self, incarnation: str, failure_domain: str, number: int) -> bool:
        """Take note of an acknowledgement; False if it tells nothing new."""
        if incarnation not in self._known:
            return False
        numbers = self._numbers.setdefault(failure_domain, {})
        if numbers.get(incarnation, -1) >= number:
            return False
        numbers[incarnation] = number
        return True

    def farewell(self, incarnation: str) -> None:
        """Take note that an incarnation has finished."""
        self._remove_ended([incarnation])

    def apply_instance_list(
        self, rows: abc.Iterable[store.Instance], asked: datetime.timedelta
    ) -> frozenset[str]:
        """Take the platform's instance list; returns incarnations it proves ended.

        Args:
            rows: The list.
            asked: Monotonic time at which the list was asked for.
        """
        entries = {row.name: row for row in rows if row.kind == "entry"}
        self._listed = frozenset(entries)
        # A list that lacks this very instance, at the start or because nobody keeps
        # entry instances in it, says nothing by what else it lacks.
        credible = self._own_instance in entries
        ended = []
        for name, known in self._known.items():
            row = entries.get(incarnations.instance_of(name))
            old_enough = credible and asked - known.since >= self._list_lag
            named = row is not None and name in row.ended
            if named or (old_enough and not _is_at(row, known.introduction)):
                ended.append(name)
        return self._remove_ended(ended)

    def apply_registrations(
        self, rows: abc.Iterable[registrations.Registration], covers: dict[str, int]
    ) -> frozenset[str]:
        """Take a listing of registrations; returns incarnations it proves ended.

        Args:
            rows: The listing.
            covers: Numbers of the views that were written before the listing was
                asked for, by failure domain.
        """
        ended: frozenset[str] = frozenset()
        for row in rows:
            ended |= self.introduce_successor(row.introduction)
            for view in row.views:
                self.acknowledge(
                    row.introduction.incarnation, view.failure_domain, view.number
                )
        for failure_domain, number in covers.items():
            covered = max(number, self._registrations_cover.get(failure_domain, 0))
            self._registrations_cover[failure_domain] = covered
        return ended

    def numbers(self, failure_domain: str) -> dict[str, int]:
        """Return the highest number acknowledged, by incarnation."""
        return self._numbers.get(failure_domain, {})

    def numbers_of(self, incarnation: str) -> tuple[messages.ViewNumber, ...]:
        """Return what an incarnation acknowledged, by failure domain."""
        return tuple(
            messages.ViewNumber(failure_domain, numbers[incarnation])
            for failure_domain, numbers in self._numbers.items()
            if incarnation in numbers
        )

    def missing(self, failure_domain: str, number: int) -> frozenset[str]:
        """Return the instances that may still route by an older view."""
        numbers = self.numbers(failure_domain)
        behind = {
            incarnations.instance_of(name)
            for name in self._known
            if numbers.get(name, -1) < number
        }
        known_instances = {incarnations.instance_of(name) for name in self._known}
        unseen = self._listed - known_instances - self._ended_instances()
        if self._registrations_cover.get(failure_domain, 0) < number:
            behind.add(UNREAD_REGISTRATIONS)
        return frozenset(behind | unseen)

    def _ended_instances(self) -> set[str]:
        # The list lags, so it still names an instance whose last process has gone.
        return {incarnations.instance_of(name) for name in self._ended}

    def _remove_ended(self, names: abc.Iterable[str]) -> frozenset[str]:
        ended = frozenset(names)
        self._changes += len(ended)
        for name in sorted(ended):
            self._known.pop(name, None)
            self._ended[name] = None
            for numbers in self._numbers.values():
                numbers.pop(name, None)
        while len(self._ended) > _ENDED_LIMIT:
            del self._ended[next(iter(self._ended))]
        return ended


def _is_at(row: store.Instance | None, introduction: messages.Introduction) -> bool:
    if row is None:
        return False
    return (row.host, row.peer_port) == (introduction.host, introduction.port)
