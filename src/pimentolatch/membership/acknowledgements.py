"""Acknowledgements of domain views, and proof that an incarnation has terminated.

If the leader of a failure domain does not know of an instance, it does not wait for its
acknowledgement and reassigns an engine to which that instance still routes, which cuts
the instance's requests. So each instance that may route must be known before the last
acknowledgement counts. Three rules ensure this:

* An instance registers in the store *before* it reads the views from there, and the
  leader reads the registrations *after* it wrote the view. So the listing includes each
  instance that read an older view.
* A peer that sends its views to an instance introduces that instance on every link
  before its own next acknowledgement. Introductions are relayed in the same way, so
  they arrive before any acknowledgement that was sent with them.
* The platform's list names instances that no peer knows yet.

An incarnation is removed only on proof that it has terminated:

* its farewell;
* the platform's list, if it names the incarnation as ended, or if it no longer has the
  instance at that address and was requested later than the incarnation became known by
  at least the list's maximum lag;
* a successor that listens at the same address. It can't do so while the old process
  runs, since an instance closes that socket last.
"""

import dataclasses
import datetime
from collections import abc

from pimentolatch import clock, store
from pimentolatch.membership import incarnations, registrations
from pimentolatch.protocol import messages

__all__ = ["UNREAD_REGISTRATIONS", "AcknowledgementTable"]

UNREAD_REGISTRATIONS = "registrations-not-read"
# More than two days of restarts at the design size, about 25 kB.
_ENDED_LIMIT = 800


@dataclasses.dataclass(frozen=True, slots=True)
class _Known:
    introduction: messages.Introduction
    since: datetime.timedelta


class AcknowledgementTable:
    """Incarnations that may route, and the domain views that they acknowledged.

    Args:
        own_instance: Name of this instance.
        list_lag: Maximum age of the information in the platform's instance list.
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
        """A number that grows with each change of `known`."""
        return self._changes

    @property
    def known(self) -> tuple[messages.Introduction, ...]:
        """All incarnations that may route, in the order they became known."""
        return tuple(known.introduction for known in self._known.values())

    def introduce(self, introduction: messages.Introduction) -> bool:
        """Add an incarnation; False if it was known or has terminated."""
        name = introduction.incarnation
        if name in self._known or name in self._ended:
            return False
        self._known[name] = _Known(introduction, self._clock.monotonic())
        self._changes += 1
        return True

    def introduce_successor(self, successor: messages.Introduction) -> frozenset[str]:
        """Add an incarnation that listens; returns those it proves terminated.

        A received hello can be old: after a pause this instance may read the hello of
        an earlier process after that of its successor. So only a process that started
        later is proof. If the machine's clock was set back in between, the successor
        proves nothing and the platform's list decides.
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
        """Record an acknowledgement; False if it is not newer than the last one."""
        if incarnation not in self._known:
            return False
        numbers = self._numbers.setdefault(failure_domain, {})
        if numbers.get(incarnation, -1) >= number:
            return False
        numbers[incarnation] = number
        return True

    def farewell(self, incarnation: str) -> None:
        """Record the farewell of an incarnation."""
        self._remove_ended([incarnation])

    def apply_instance_list(
        self, rows: abc.Iterable[store.Instance], requested_at: datetime.timedelta
    ) -> frozenset[str]:
        """Apply the platform's instance list; returns incarnations proved terminated.

        Args:
            rows: The list.
            requested_at: Monotonic time at which the list was requested.
        """
        entries = {row.name: row for row in rows if row.kind == "entry"}
        self._listed = frozenset(entries)
        # A list without this instance is too old or does not include entry instances
        # at all, so an instance that it lacks may still run.
        credible = self._own_instance in entries
        ended = []
        for name, known in self._known.items():
            row = entries.get(incarnations.instance_of(name))
            old_enough = credible and requested_at - known.since >= self._list_lag
            named = row is not None and name in row.ended
            if named or (old_enough and not _is_at(row, known.introduction)):
                ended.append(name)
        return self._remove_ended(ended)

    def apply_registrations(
        self, rows: abc.Iterable[registrations.Registration], covers: dict[str, int]
    ) -> frozenset[str]:
        """Apply a listing of registrations; returns incarnations proved terminated.

        Args:
            rows: The listing.
            covers: Numbers of the views that were written before the listing was
                requested, by failure domain.
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
        """Return the highest view number acknowledged, by incarnation."""
        return self._numbers.get(failure_domain, {})

    def numbers_of(self, incarnation: str) -> tuple[messages.ViewNumber, ...]:
        """Return the view numbers that an incarnation acknowledged."""
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
        # The list lags, so it may name an instance whose last process has terminated.
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
