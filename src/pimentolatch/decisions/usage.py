"""Counts the requests of customers that started, per window and over the whole fleet.

Load pattern: thousands of requests a second start at hundreds of instances, any of
which may terminate at any moment, while the platform accepts one report per window and
never a second one that differs. If the instances were polled after the end of a window,
those that terminated since would be missing with all their counts.

So each instance sends its counts of the running window repeatedly, as sums from its
start: a lost or repeated message changes nothing, and the larger of two sums is the
later one. Besides the reporting instance, two neighbours receive them and pass them on
once the instance no longer responds. A window is complete when every expected instance
has sent its final count of it. Instances that are still missing when the report is due
are named, and nothing is estimated in their place.
"""

import collections
import dataclasses
import datetime
from collections import abc

__all__ = [
    "RETAINED_WINDOWS",
    "Origin",
    "Row",
    "Total",
    "UsageCounter",
    "window_end",
    "window_of",
]

# Windows in memory: the running one and those whose report may still be due.
RETAINED_WINDOWS = 4
# A request is counted in the window in which it started, which is known when its server
# has answered. Nearly all complete answers arrive within this time.
_FINAL_AFTER = datetime.timedelta(milliseconds=1800)
# How long after its end a window waits for instances that don't respond. Reports are
# due 5 s after the end of the next window; 2 s of that are left to the successor of a
# reporter that terminates.
_MAX_REPORT_DELAY = datetime.timedelta(seconds=7)
# How long a new reporter first receives the counts of the others. Without this, the few
# counts that a neighbour of some had cached would pass for those of all. It asks for
# them at once and a second later, so that one lost message does not matter.
_COLLECTION_TIME = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """One incarnation of an instance."""

    instance: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Counts of one incarnation of an instance in a window, or a part of them.

    Attributes:
        window: Number of the window.
        final: Nothing will be added.
        total: Sum over all customers, including those in other parts.
        counts: Requests that started, by customer.
    """

    origin: Origin
    window: int
    final: bool
    total: int
    counts: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Total:
    """Report of a window.

    Attributes:
        counts: Requests that started, by customer; customers without any are left out.
        missing: Instances whose final count was not received.
    """

    counts: tuple[tuple[str, int], ...]
    missing: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Received:
    final: bool = False
    total: int = 0
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def merge(self, row: Row) -> None:
        self.final = self.final or row.final
        self.total = max(self.total, row.total)
        for customer, count in row.counts:
            self.counts[customer] = max(self.counts[customer], count)

    @property
    def complete(self) -> bool:
        return self.final and self.counts.total() >= self.total


def window_of(moment: datetime.datetime, length: datetime.timedelta) -> int:
    """Return the number of the window that a moment is in, counted from 1970."""
    return int(moment.timestamp() // length.total_seconds())


def window_end(window: int, length: datetime.timedelta) -> datetime.datetime:
    """Return when a window ends."""
    seconds = (window + 1) * length.total_seconds()
    return datetime.datetime.fromtimestamp(seconds, datetime.UTC)


class UsageCounter:
    """Counts of one instance, and the counts received from others.

    Args:
        own: This incarnation of this instance.
        length: Length of a window.
        now: When this instance began to count; it knows nothing of earlier windows.
    """

    def __init__(
        self, own: Origin, length: datetime.timedelta, now: datetime.datetime
    ) -> None:
        self._own = own
        self._length = length
        self._first = window_of(now, length)
        self._windows: dict[int, dict[Origin, _Received]] = {}

    def count_started(self, customer: str, moment: datetime.datetime) -> bool:
        """Count a request that started; False if its window is already final."""
        own = self._counts_of(window_of(moment, self._length), self._own)
        if own.final:
            return False
        own.counts[customer] += 1
        own.total += 1
        return True

    def own_rows(self, now: datetime.datetime) -> list[Row]:
        """Return the counts of this instance to send, the newest window first."""
        newest = window_of(now, self._length)
        self._remove_before(newest - RETAINED_WINDOWS + 1)
        rows = []
        for window in range(
            newest, max(newest - RETAINED_WINDOWS, self._first - 1), -1
        ):
            received = self._counts_of(window, self._own)
            final_at = window_end(window, self._length) + _FINAL_AFTER
            received.final = received.final or now >= final_at
            rows.append(_row(self._own, window, received))
        return rows

    def merge(self, row: Row) -> None:
        """Merge counts of another instance, sent by itself or by a neighbour."""
        if row.origin != self._own:
            self._counts_of(row.window, row.origin).merge(row)

    def rows_of_terminated(self, live: abc.Container[str]) -> list[Row]:
        """Return the counts received from instances that are no longer live."""
        return [
            _row(origin, window, received)
            for window, by_origin in self._windows.items()
            for origin, received in by_origin.items()
            if origin != self._own and origin.instance not in live
        ]

    def collecting(self, now: datetime.datetime, since: datetime.datetime) -> bool:
        """Tell whether a reporter since some time still asks the others for counts."""
        return now < since + _COLLECTION_TIME

    def total(
        self,
        window: int,
        live: abc.Iterable[str],
        now: datetime.datetime,
        since: datetime.datetime,
    ) -> Total | None:
        """Return the report of a window.

        None while it is not complete, and if no counts of it were received.

        Args:
            window: Its number.
            live: Other instances that are expected to send counts.
            now: The time.
            since: When this instance began to report.
        """
        end = window_end(window, self._length)
        collected_at = since + _COLLECTION_TIME
        if now < max(end + _FINAL_AFTER, collected_at):
            return None
        by_origin = self._windows.get(window)
        if not by_origin:
            return None
        before = self._windows.get(window - 1, {})
        complete = {
            o.instance for o, received in by_origin.items() if received.complete
        }
        expected = {origin.instance for origin in (*by_origin, *before)} | set(live)
        missing = tuple(sorted(expected - complete))
        if missing and now < end + _MAX_REPORT_DELAY:
            return None
        counts: collections.Counter[str] = collections.Counter()
        for received in by_origin.values():
            counts.update(received.counts)
        return Total(tuple(sorted((+counts).items())), missing)

    def _counts_of(self, window: int, origin: Origin) -> _Received:
        return self._windows.setdefault(window, {}).setdefault(origin, _Received())

    def _remove_before(self, window: int) -> None:
        for number in [n for n in self._windows if n < window]:
            del self._windows[number]


def _row(origin: Origin, window: int, received: _Received) -> Row:
    counts = tuple(sorted(received.counts.items()))
    return Row(origin, window, received.final, received.total, counts)
