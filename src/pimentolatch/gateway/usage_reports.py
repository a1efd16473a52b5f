"""Reports what customers' requests began, once for each window."""

import dataclasses
import datetime
import typing

import logbook

from pimentolatch import clock, store
from pimentolatch.decisions import usage
from pimentolatch.gateway import peer_table, tenure
from pimentolatch.platform import control_api, objects

__all__ = ["UsageReporter"]

_log = logbook.Logger("usage")
_KIND = "pimentolatch-usage"
_NAME = "windows"
_INTERVAL = datetime.timedelta(milliseconds=500)
# Pause after a call that was not accepted.
_PAUSE = datetime.timedelta(seconds=1)
# Windows whose content the store keeps; a report that is later than this is of no use.
_KEPT = 8
# Calls in a row that did not reach the receiver before the tenure is left to others.
_MOST_OUT_OF_REACH = 2

_Counts = dict[str, int]


@dataclasses.dataclass(slots=True)
class _Record:
    """What the store holds: the content of each report, fixed before it is sent."""

    version: int
    windows: dict[int, _Counts]


class UsageReporter:
    """Sends reports while this instance does the duties of one holder.

    What a window's report says is written to the store under a condition before it is
    sent. So whoever takes over sends the same once more, which changes nothing, and
    never another content for the same window.

    Args:
        holder: Name of this instance.
        length: Length of a window.
        book: What is counted and heard.
        peers: Tells from whom counts are expected.
        held: The tenure.
        source: The platform's store.
        receiver: Takes the reports.
        time: Clock of this instance.
    """

    def __init__(
        self,
        holder: str,
        length: datetime.timedelta,
        book: usage.UsageCounter,
        peers: peer_table.PeerTable,
        held: tenure.Tenure,
        source: objects.ObjectStore,
        receiver: control_api.ControlApi,
        time: clock.Clock,
    ) -> None:
        self._name = holder
        self._length = length
        self._book = book
        self._peers = peers
        self._tenure = held
        self._store = source
        self._receiver = receiver
        self._clock = time
        self._record: _Record | None = None
        self._record_fence = 0
        self._accepted: set[int] = set()
        self._unanswered: set[int] = set()
        self._out_of_reach = 0

    async def run(self) -> None:
        """Report windows when they are complete, for ever."""
        while True:
            await self._clock.sleep(_INTERVAL)
            if self._tenure.active and not await self.look():
                await self._clock.sleep(_PAUSE)

    async def look(self) -> bool:
        """Report what is complete; False if a call was not accepted."""
        newest = usage.window_of(self._clock.now(), self._length)
        counted = range(newest - usage.RETAINED_WINDOWS + 1, newest)
        oldest = newest - _KEPT + 1
        self._accepted = {window for window in self._accepted if window >= oldest}
        self._unanswered = {window for window in self._unanswered if window >= oldest}
        for window in sorted({*self._unanswered, *counted} - self._accepted):
            counts = await self._fixed(window)
            if counts is None:
                continue
            if not await self._send(window, counts):
                return False
        return True

    async def _fixed(self, window: int) -> _Counts | None:
        """Return what a window's report says; None if that is not settled yet."""
        if not await self._read_record():
            return None
        assert self._record is not None
        known = self._record.windows.get(window)
        if known is not None:
            return known
        live = [peer.beacon.instance for peer in self._peers.live()]
        total = self._book.total(window, live, self._clock.now(), self._tenure.since)
        if total is None:
            return None
        if not await self._fix(window, dict(total.counts)):
            return None
        _log.info(
            "usage of a window fixed",
            window=window,
            requests=sum(count for _, count in total.counts),
            customers=len(total.counts),
            missing=list(total.missing),
        )
        return self._record.windows[window]

    async def _read_record(self) -> bool:
        """Know what the store holds, read anew in each tenure."""
        if not await self._tenure.acquire():
            return False
        if self._record is not None and self._record_fence == self._tenure.fence:
            return True
        found = await self._store.get(_KIND, _NAME)
        if isinstance(found, store.Unavailable):
            _log.warn("usage record not read", reason=found.reason)
            return False
        self._record = _record_of(found)
        self._record_fence = self._tenure.fence
        return True

    async def _fix(self, window: int, counts: _Counts) -> bool:
        """Write what a window's report says; False if it is not certain."""
        assert self._record is not None
        windows = self._record.windows | {window: counts}
        kept = dict(sorted(windows.items())[-_KEPT:])
        value = {"windows": {str(number): found for number, found in kept.items()}}
        outcome = await self._store.put(
            _KIND, _NAME, value, if_version=self._record.version
        )
        if isinstance(outcome, store.Written):
            self._record = _Record(outcome.version, kept)
            return True
        # Somebody else may have written, or this write may yet count: read it back.
        self._record = None
        _log.warn("usage record not written", window=window, reason=repr(outcome))
        return False

    async def _send(self, window: int, counts: _Counts) -> bool:
        if not await self._tenure.acquire() or not self._tenure.valid():
            return False
        holder = control_api.Holder(self._name, self._tenure.fence)
        outcome = await self._receiver.report_usage(holder, window, counts)
        _log.info(
            "usage reported",
            window=window,
            requests=sum(counts.values()),
            fence=holder.fence,
            outcome=repr(outcome),
        )
        return self._note(window, outcome)

    def _note(self, window: int, outcome: control_api.Outcome) -> bool:
        """Note what became of a report; False if it was not accepted."""
        if isinstance(outcome, control_api.Accepted):
            self._accepted.add(window)
            self._unanswered.discard(window)
            self._out_of_reach = 0
            return True
        self._unanswered.add(window)
        if isinstance(outcome, control_api.FencedOff):
            self._tenure.fenced_off()
        elif isinstance(outcome, control_api.Unanswered):
            self._out_of_reach += 1
            if self._out_of_reach >= _MOST_OUT_OF_REACH:
                self._out_of_reach = 0
                self._tenure.out_of_reach()
        return False


def _record_of(found: store.Found | store.Absent) -> _Record:
    if isinstance(found, store.Absent):
        return _Record(0, {})
    windows: dict[int, _Counts] = {
        int(number): {str(name): int(count) for name, count in counts.items()}
        for number, counts in _windows(found.value).items()
    }
    return _Record(found.version, windows)


def _windows(value: typing.Any) -> dict[str, typing.Any]:
    windows = value.get("windows") if isinstance(value, dict) else None
    return windows if isinstance(windows, dict) else {}
