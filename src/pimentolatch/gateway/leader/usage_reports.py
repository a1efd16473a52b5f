"""Reports started executions of customers' requests, once for each window."""

import dataclasses
import datetime
import typing

import logbook

from pimentolatch import clock, store
from pimentolatch.decisions import usage
from pimentolatch.gateway.leader import leadership
from pimentolatch.gateway.peers import peer_table
from pimentolatch.platform import control_api, objects

__all__ = ["UsageReporter"]

_log = logbook.Logger("usage")
_KIND = "pimentolatch-usage"
_NAME = "windows"
_INTERVAL = datetime.timedelta(milliseconds=500)
# Pause after a report that was not accepted.
_RETRY_PAUSE = datetime.timedelta(seconds=1)
# Number of windows that the store keeps; a report of an older window is of no use.
_STORED_WINDOWS = 8
# After this many consecutive unanswered calls to the receiver, or to the store,
# leadership is yielded to a peer.
_MAX_UNREACHABLE_CALLS = 2

_Counts = dict[str, int]
# Exceptions raised by decoding a record that another writer has changed.
_DECODE_ERRORS = (AttributeError, OverflowError, TypeError, ValueError)


@dataclasses.dataclass(slots=True)
class _Record:
    """Content of the store: the counts of each report, committed before it is sent."""

    version: int
    windows: dict[int, _Counts]


class UsageReporter:
    """Sends usage reports while this instance is the leader.

    The counts of a window are committed to the store by a conditional write before
    they are sent. A new leader therefore repeats the same report, which the receiver
    handles idempotently, and never sends different counts for the same window.

    Args:
        own_name: Name of this instance.
        length: Length of a window.
        counter: Counts of this instance and those received from peers.
        peers: The live peers, from which counts are expected.
        own_leadership: Tells whether this instance is the leader.
        source: The platform's store.
        receiver: API to which the reports are sent.
        time: Clock of this instance.
    """

    def __init__(
        self,
        own_name: str,
        length: datetime.timedelta,
        counter: usage.UsageCounter,
        peers: peer_table.PeerTable,
        own_leadership: leadership.Leadership,
        source: objects.ObjectStore,
        receiver: control_api.ControlApi,
        time: clock.Clock,
    ) -> None:
        self._name = own_name
        self._length = length
        self._counter = counter
        self._peers = peers
        self._leadership = own_leadership
        self._store = source
        self._receiver = receiver
        self._clock = time
        self._record: _Record | None = None
        self._record_fence = 0
        self._accepted: set[int] = set()
        self._unanswered: set[int] = set()
        self._unreachable_calls = 0
        self._failed_commits = 0

    async def run(self) -> None:
        """Report windows when they are complete; runs until cancelled."""
        while True:
            await self._clock.sleep(_INTERVAL)
            if self._leadership.active and not await self.report_due():
                await self._clock.sleep(_RETRY_PAUSE)

    async def report_due(self) -> bool:
        """Report complete windows; False if a report was not accepted."""
        newest = usage.window_of(self._clock.now(), self._length)
        counted = range(newest - usage.RETAINED_WINDOWS + 1, newest)
        oldest = newest - _STORED_WINDOWS + 1
        self._accepted = {window for window in self._accepted if window >= oldest}
        self._unanswered = {window for window in self._unanswered if window >= oldest}
        for window in sorted({*self._unanswered, *counted} - self._accepted):
            counts = await self._committed_counts(window)
            if counts is None:
                continue
            if not await self._send(window, counts):
                return False
        return True

    async def _committed_counts(self, window: int) -> _Counts | None:
        """Return the committed counts of a window; None if not committed yet."""
        if not await self._read_record():
            return None
        assert self._record is not None
        known = self._record.windows.get(window)
        if known is not None:
            return known
        live = [peer.beacon.instance for peer in self._peers.live()]
        total = self._counter.total(
            window, live, self._clock.now(), self._leadership.since
        )
        if total is None:
            return None
        if not await self._commit(window, dict(total.counts)):
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
        """Load the stored record, once per leadership; False if that fails."""
        if not await self._leadership.acquire():
            return False
        if self._record is not None and self._record_fence == self._leadership.fence:
            return True
        found = await self._store.get(_KIND, _NAME)
        if isinstance(found, store.Unavailable):
            _log.warn("usage record not read", reason=found.reason)
            self._record_failed_call()
            return False
        self._record = _record_of(found)
        self._record_fence = self._leadership.fence
        return True

    async def _commit(self, window: int, counts: _Counts) -> bool:
        """Commit the counts of a window; False if it is not certain that it worked."""
        assert self._record is not None
        windows = self._record.windows | {window: counts}
        recent = dict(sorted(windows.items())[-_STORED_WINDOWS:])
        value = {"windows": {str(number): found for number, found in recent.items()}}
        outcome = await self._store.put(
            _KIND, _NAME, value, if_version=self._record.version
        )
        if isinstance(outcome, store.Written):
            self._record = _Record(outcome.version, recent)
            self._failed_commits = 0
            return True
        # Another instance may have written, or this write may have taken effect after
        # all: the record must be read again.
        self._record = None
        _log.warn(
            "usage record not written",
            window=window,
            reason=repr(outcome),
        )
        if isinstance(outcome, store.Unavailable):
            self._record_failed_call()
        return False

    def _record_failed_call(self) -> None:
        """Yield if the store can't be reached while a report is due."""
        self._failed_commits += 1
        if self._failed_commits >= _MAX_UNREACHABLE_CALLS:
            self._failed_commits = 0
            self._leadership.store_unreachable()

    async def _send(self, window: int, counts: _Counts) -> bool:
        if not await self._leadership.acquire() or not self._leadership.valid():
            return False
        holder = control_api.Holder(self._name, self._leadership.fence)
        with self._leadership.call():
            outcome = await self._receiver.report_usage(holder, window, counts)
        _log.info(
            "usage reported",
            window=window,
            requests=sum(counts.values()),
            fence=holder.fence,
            outcome=repr(outcome),
        )
        return self._record_outcome(window, outcome)

    def _record_outcome(self, window: int, outcome: control_api.Outcome) -> bool:
        """Record the outcome of a report; False if it was not accepted."""
        if isinstance(outcome, control_api.Accepted):
            self._accepted.add(window)
            self._unanswered.discard(window)
            self._unreachable_calls = 0
            return True
        self._unanswered.add(window)
        if isinstance(outcome, control_api.FencedOff):
            self._leadership.fenced_off()
        elif isinstance(outcome, control_api.Unanswered):
            self._unreachable_calls += 1
            if self._unreachable_calls >= _MAX_UNREACHABLE_CALLS:
                self._unreachable_calls = 0
                self._leadership.receiver_unreachable()
        return False


def _record_of(found: store.Found | store.Absent) -> _Record:
    if isinstance(found, store.Absent):
        return _Record(0, {})
    windows: dict[int, _Counts] = {}
    for number, counts in _windows(found.value).items():
        try:
            windows[int(number)] = {
                str(name): int(count) for name, count in counts.items()
            }
        except _DECODE_ERRORS as error:
            _log.error("usage record not understood", reason=f"{error!r:.100}")
    return _Record(found.version, windows)


def _windows(value: typing.Any) -> dict[str, typing.Any]:
    windows = value.get("windows") if isinstance(value, dict) else None
    if isinstance(windows, dict):
        return windows
    _log.error("usage record not understood", reason="no windows")
    return {}
