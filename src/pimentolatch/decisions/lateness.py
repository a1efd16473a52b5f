"""Finds out what made an answer late.

Load pattern: at the peak of a wave a tenth of the answers miss their target. Prompts
wait in the queues of prefill engines, decode engines are full, transfers of KV cache
share one link, and streams pause while their engine prefills for others. Each asks for
another remedy, and the duration of an answer alone does not tell which.

The time to the first event of a stream, or to the answer of a plain call, is divided
into phases that follow one another. An answer that misses its target is put down to the
phase that took longest. A stream that began in time and then paused for longer than its
route allows is put down to that pause. The targets are those of the route: callers
notice nothing below them.
"""

import dataclasses
import datetime
import enum

__all__ = ["Cause", "Lateness", "Phase", "Targets", "Timeline"]

_NO_TIME = datetime.timedelta()


class Phase(enum.Enum):
    """What a request that has no answer yet is waiting for.

    `HELD` is the time at this instance: reading the request, and waiting for an engine
    or a permit. `QUEUE` is the time of a prefill beyond that of its own tokens.
    `TRANSFER` lasts from the dispatch to a decode engine to the head of its response,
    `FIRST_EVENT` from there to the first event. `SERVER` is a plain call. `RETRY` is
    the time of dispatches that came to nothing, and `PEER` that of a peer.
    """

    HELD = "held"
    QUEUE = "queue"
    PREFILL = "prefill"
    TRANSFER = "transfer"
    FIRST_EVENT = "first event"
    SERVER = "server"
    RETRY = "retry"
    PEER = "peer"


class Cause(enum.Enum):
    """What made an answer late: one of the phases, or a gap within the stream.

    `PAUSE` is a gap of the server, `RESUMPTION` one in which the stream moved to
    another server, and `CLIENT` one in which the client did not read.
    """

    HELD = Phase.HELD.value
    QUEUE = Phase.QUEUE.value
    PREFILL = Phase.PREFILL.value
    TRANSFER = Phase.TRANSFER.value
    FIRST_EVENT = Phase.FIRST_EVENT.value
    SERVER = Phase.SERVER.value
    RETRY = Phase.RETRY.value
    PEER = Phase.PEER.value
    PAUSE = "pause"
    RESUMPTION = "resumption"
    CLIENT = "client"


@dataclasses.dataclass(frozen=True, slots=True)
class Targets:
    """What a route's callers need.

    Attributes:
        first: Time to the first event, or to the answer of a plain call.
        gap: Time between two events; None for plain calls.
    """

    first: datetime.timedelta
    gap: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Lateness:
    """Why an answer is late.

    Attributes:
        cause: The cause.
        over: By how much the target was missed.
    """

    cause: Cause
    over: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class _Gap:
    length: datetime.timedelta = _NO_TIME
    cause: Cause = Cause.PAUSE


class Timeline:
    """The moments of one request, over all its dispatches.

    Args:
        arrived_at: When the request arrived.

    Attributes:
        placed_after: Time from its arrival to its last placement; None before.
        expected: Time from there to the first event, as predicted.
    """

    def __init__(self, arrived_at: datetime.timedelta) -> None:
        self._arrived_at = arrived_at
        self._phase = Phase.HELD
        self._since = arrived_at
        self._own_work = _NO_TIME
        self._spent: dict[Phase, datetime.timedelta] = {}
        self._first_after: datetime.timedelta | None = None
        self._last_event_at = arrived_at
        self._write_time = _NO_TIME
        self._is_resuming = False
        self._longest_gap = _Gap()
        self.placed_after: datetime.timedelta | None = None
        self.expected: datetime.timedelta | None = None

    @property
    def first_after(self) -> datetime.timedelta | None:
        """Time to the first event, or to a plain call's answer; None before."""
        return self._first_after

    @property
    def longest_gap(self) -> datetime.timedelta:
        """Longest time between two events."""
        return self._longest_gap.length

    def spent(self, phase: Phase) -> datetime.timedelta:
        """Return the time to the first event that a phase took."""
        return self._spent.get(phase, _NO_TIME)

    def placed(self, now: datetime.timedelta, expected: datetime.timedelta) -> None:
        """Record a placement and its prediction of the time to the first event."""
        self.placed_after = now - self._arrived_at
        self.expected = expected

    def enter(
        self,
        phase: Phase,
        now: datetime.timedelta,
        own_work: datetime.timedelta = _NO_TIME,
    ) -> None:
        """Begin a phase, which ends the one before.

        Args:
            phase: The phase.
            now: The current time.
            own_work: Time of a prefill without a queue.
        """
        self._close(now)
        if phase is Phase.PREFILL:
            # A prompt is prefilled again if the result of the first time is lost.
            for earlier in (Phase.QUEUE, Phase.PREFILL, Phase.TRANSFER):
                self._add(Phase.RETRY, self._spent.pop(earlier, _NO_TIME))
        self._phase, self._own_work = phase, own_work

    def dispatch_failed(self, now: datetime.timedelta) -> None:
        """Record that the current dispatch came to nothing."""
        self._is_resuming = True
        if self._phase is not Phase.HELD:
            self._phase = Phase.RETRY
        self.enter(Phase.HELD, now)

    def answered(self, now: datetime.timedelta) -> None:
        """Record the answer of a plain call, or an event of a stream."""
        if self._first_after is None:
            self._close(now)
            self._first_after = now - self._arrived_at
        else:
            length = now - self._last_event_at
            if length > self._longest_gap.length:
                self._longest_gap = self._gap(length)
        self._is_resuming = False
        self._last_event_at = now

    def written(self, now: datetime.timedelta) -> None:
        """Record that the last event has been written to the client."""
        self._write_time = now - self._last_event_at

    def lateness(self, targets: Targets) -> Lateness | None:
        """Return why the answer is late; None if it is not, or if there is none."""
        first, gap = self._first_after, self._longest_gap
        if first is None:
            return None
        if first > targets.first:
            longest = max(Phase, key=self.spent)
            return Lateness(Cause(longest.value), first - targets.first)
        if targets.gap is not None and gap.length > targets.gap:
            return Lateness(gap.cause, gap.length - targets.gap)
        return None

    def _gap(self, length: datetime.timedelta) -> _Gap:
        if self._is_resuming:
            return _Gap(length, Cause.RESUMPTION)
        if 2 * self._write_time > length:
            return _Gap(length, Cause.CLIENT)
        return _Gap(length)

    def _close(self, now: datetime.timedelta) -> None:
        """Add the time of the current phase, unless the answer has begun."""
        if self._first_after is None:
            took = now - self._since
            if self._phase is Phase.PREFILL:
                work = min(took, self._own_work)
                self._add(Phase.QUEUE, took - work)
                took = work
            self._add(self._phase, took)
        self._since = now

    def _add(self, phase: Phase, took: datetime.timedelta) -> None:
        self._spent[phase] = self.spent(phase) + took
