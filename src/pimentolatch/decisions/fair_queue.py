"""Fair queue that decides which waiting request is served next.

Load pattern: one caller sends ten times as much as all others; briefings that take
seconds are mixed with drafts that take milliseconds; every request is marked urgent.
In first-come, first-served order all callers wait behind the hot caller and every draft
behind the briefings.

Between callers: start-time fair queueing, which gives each waiting caller engine time
by its weight. Deficit round robin does not fit: with requests from 200 to 100,000 units
there is no good quantum, and either a round serves one caller for seconds or thousands
of rounds pass before any request is served. The service of two waiting callers never
differs by more than one request of each, whatever the sizes.

Within a caller: by arrival, with a head start for short and urgent requests. Ordering
by `arrival + handicap` is shortest-first with ageing, at the cost of a heap: a request
can only be overtaken by those that arrive within its own handicap. Work adds a second
for each 4,000 units, so a draft of 600 overtakes a briefing of 20,000 that arrived up
to 5 s earlier; the cap of 5 s is half of the default wait limit. A step of priority is
worth half a second. So no request is overtaken by one that arrives more than 8.5 s
later. Priority counts only among the requests of one caller: across callers it could be
used to take the others' share.

An operation costs O(log n) in the waiting callers and requests; a forecast also visits
the caller's own requests and, up to 256, the waiting callers. A caller without waiting
requests is evicted as soon as the others have caught up with it.
"""

import dataclasses
import datetime
import heapq
import itertools

__all__ = ["MAX_OVERTAKING", "FairQueue", "QueuedRequest"]

_UNITS_PER_SECOND_OF_HANDICAP = 4000.0
_MAX_HANDICAP_S = 5.0
_PRIORITY_STEP_S = 0.5
_HIGHEST_PRIORITY = 7
# With more callers waiting than this, forecasts use a bound instead of a sum.
_MAX_CALLERS_SUMMED = 256
_CREDIT_UNITS = 40_000.0
_IDLE_LIMIT = 10_000

MAX_OVERTAKING = datetime.timedelta(
    seconds=_MAX_HANDICAP_S + _HIGHEST_PRIORITY * _PRIORITY_STEP_S
)


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits.

    Attributes:
        units: Expected work, in units.
        weight: The caller's share relative to other callers.
        priority: 0 to 7; higher goes first among the caller's own requests.
        arrived: Arrival time on the monotonic clock.
        latest_start: After this it is too late to start the request.
    """

    request_id: str
    caller: str
    units: float
    arrived: datetime.timedelta
    latest_start: datetime.timedelta
    weight: float = 1.0
    priority: int = 0

    @property
    def order(self) -> float:
        """Sort key among the caller's own requests; the lowest is next."""
        handicap = min(self.units / _UNITS_PER_SECOND_OF_HANDICAP, _MAX_HANDICAP_S)
        priority = min(max(self.priority, 0), _HIGHEST_PRIORITY)
        arrived = self.arrived.total_seconds()
        return arrived + handicap - priority * _PRIORITY_STEP_S


class _Flow:
    """The waiting requests of one caller."""

    def __init__(self, start: float, weight: float) -> None:
        self.start = start
        self.weight = weight
        self.debt = 0.0
        self.requests = 0
        self.units = 0.0
        self.heap: list[tuple[float, int, str]] = []


class FairQueue:
    """Waiting requests of many callers."""

    def __init__(self) -> None:
        self._count = itertools.count()
        self._virtual_time = 0.0
        self._waiting: dict[str, QueuedRequest] = {}
        self._flows: dict[str, _Flow] = {}
        self._turns: list[tuple[float, int, str]] = []
        self._latest: list[tuple[datetime.timedelta, int, str]] = []
        # Finish tags of callers without waiting requests; see `_evict_idle`.
        self._idle: dict[str, float] = {}
        self._idle_order: list[tuple[float, str]] = []
        self._units = 0.0
        self._weight = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def units(self) -> float:
        """Work of all waiting requests."""
        return max(0.0, self._units)

    @property
    def known_callers(self) -> int:
        """Number of callers that take up state."""
        return len(self._flows) + len(self._idle)

    def units_of(self, caller: str) -> float:
        """Return the work of one caller's waiting requests."""
        flow = self._flows.get(caller)
        return 0.0 if flow is None else flow.units

    def put(self, item: QueuedRequest) -> None:
        """Add a request."""
        flow = self._flows.get(item.caller)
        if flow is None:
            start = self._start(item.caller)
            self._idle.pop(item.caller, None)
            flow = self._flows[item.caller] = _Flow(start, item.weight)
            self._weight += flow.weight
            self._push_turn(item.caller, flow)
        number = next(self._count)
        heapq.heappush(flow.heap, (item.order, number, item.request_id))
        heapq.heappush(self._latest, (item.latest_start, number, item.request_id))
        self._waiting[item.request_id] = item
        self._count_item(flow, item, 1)

    def peek(self) -> QueuedRequest | None:
        """Return the request that `take` would return."""
        caller = self._next_caller()
        return None if caller is None else self._first(self._flows[caller])

    def take(self) -> QueuedRequest | None:
        """Remove and return the next request, or None if nothing waits."""
        caller = self._next_caller()
        if caller is None:
            return None
        flow = self._flows[caller]
        item = self._first(flow)
        self._virtual_time = max(self._virtual_time, flow.start)
        flow.start += item.units / flow.weight + flow.debt
        flow.debt = 0.0
        heapq.heappop(self._turns)
        self._push_turn(caller, flow)
        self._remove(item, flow)
        self._evict_idle()
        return item

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request whose caller disconnected."""
        item = self._waiting.get(request_id)
        if item is not None:
            self._remove(item, self._flows[item.caller])
        return item

    def expire(self, now: datetime.timedelta) -> list[QueuedRequest]:
        """Remove and return the requests that are too late to start."""
        expired = []
        while self._latest and self._latest[0][0] < now:
            _, _, request_id = heapq.heappop(self._latest)
            if item := self.remove(request_id):
                expired.append(item)
        return expired

    def next_expiry(self) -> datetime.timedelta | None:
        """Return when `expire` next has something to return, or None."""
        while self._latest and self._latest[0][2] not in self._waiting:
            heapq.heappop(self._latest)
        return self._latest[0][0] if self._latest else None

    def settle(self, caller: str, units: float, weight: float) -> None:
        """Charge a caller for work above (or below) the expected work."""
        if flow := self._flows.get(caller):
            flow.debt += units / weight
        elif caller in self._idle:
            self._set_idle(caller, self._idle[caller] + units / weight)

    def units_before(self, item: QueuedRequest) -> float:
        """Return the work that is served before a new request would start.

        While the caller's own earlier work is served, and until the others have caught
        up with its earlier service, every other caller gets at most its share by
        weight, and no more than it has waiting.
        """
        flow = self._flows.get(item.caller)
        own = 0.0 if flow is None else self._units_ahead(flow, item.order)
        start = self._start(item.caller) if flow is None else flow.start
        lead = max(0.0, start - self._virtual_time)
        share = lead + (own + item.units) / item.weight
        if len(self._flows) > _MAX_CALLERS_SUMMED:
            return min(self.units, own + share * self._weight)
        return own + sum(
            min(other.units, share * other.weight)
            for other in self._flows.values()
            if other is not flow
        )

    def _start(self, caller: str) -> float:
        earliest = self._virtual_time - _CREDIT_UNITS / max(1, self.known_callers)
        return max(earliest, self._idle.get(caller, earliest))

    def _next_caller(self) -> str | None:
        while self._turns:
            start, _, caller = self._turns[0]
            flow = self._flows.get(caller)
            if flow is not None and flow.start == start:
                return caller
            heapq.heappop(self._turns)
        return None

    def _first(self, flow: _Flow) -> QueuedRequest:
        while flow.heap[0][2] not in self._waiting:
            heapq.heappop(flow.heap)
        return self._waiting[flow.heap[0][2]]

    def _units_ahead(self, flow: _Flow, order: float) -> float:
        ahead = (name for place, _, name in flow.heap if place <= order)
        return sum(self._waiting[n].units for n in ahead if n in self._waiting)

    def _push_turn(self, caller: str, flow: _Flow) -> None:
        heapq.heappush(self._turns, (flow.start, next(self._count), caller))

    def _remove(self, item: QueuedRequest, flow: _Flow) -> None:
        del self._waiting[item.request_id]
        self._count_item(flow, item, -1)
        if flow.requests == 0:
            del self._flows[item.caller]
            self._weight -= flow.weight
            self._set_idle(item.caller, flow.start + flow.debt)

    def _count_item(self, flow: _Flow, item: QueuedRequest, sign: int) -> None:
        flow.requests += sign
        flow.units += sign * item.units
        self._units += sign * item.units

    def _set_idle(self, caller: str, finish: float) -> None:
        self._idle[caller] = finish
        heapq.heappush(self._idle_order, (finish, caller))

    def _evict_idle(self) -> None:
        """Evict idle callers that the others have caught up with.

        A caller that sends one request at a time is idle between them. Without its
        finish tag it would start afresh each time and overtake those that wait.
        """
        while self._idle_order:
            finish, caller = self._idle_order[0]
            caught_up = finish <= self._virtual_time - _CREDIT_UNITS
            if not caught_up and len(self._idle) <= _IDLE_LIMIT:
                return
            heapq.heappop(self._idle_order)
            if self._idle.get(caller) == finish:
                del self._idle[caller]
