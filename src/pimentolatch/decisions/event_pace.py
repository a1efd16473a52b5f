"""Knows how fast an engine sends the events of its streams at the moment.

Load pattern: the time between events grows threefold while a burst fills an engine's
batch, and is back to normal within a second of its end. It is asked for to tell whether
a long stream would end in time. A mean without a memory of its own age would go on to
refuse long streams after the burst: those that are refused show nothing, and a few
short ones correct it too slowly.

So the mean begins anew after a second without an event, and counts from some events on.
It is a mean of the time for each event: engines, busy instances and clients that read
slowly have several events arrive at a time.

Grounds: twenty observations are half a second of ten streams at the usual pace.
"""

import datetime

__all__ = ["EventPace"]

# Weight of one observation: the mean of about the last twenty.
_WEIGHT = 0.05
# Observations from which on the pace is known.
_MIN_SAMPLES = 5
# Time without an observation after which nothing is known any more.
_EXPIRY = datetime.timedelta(seconds=1)
# No time limit is as long: a day. The number of events follows what clients expect,
# which has no bound that a duration could hold.
_MAX_STREAM_MS = 86_400_000.0
_MILLISECOND = datetime.timedelta(milliseconds=1)


class EventPace:
    """Mean time for an event of an engine's streams, as of the last second."""

    def __init__(self) -> None:
        self._samples = 0
        self._mean_ms = 0.0
        self._observed_at = datetime.timedelta()

    def observe(
        self, took: datetime.timedelta, events: int, now: datetime.timedelta
    ) -> None:
        """Learn from events that arrived together.

        Args:
            took: Time since the last events of the same stream.
            events: How many arrived.
            now: The current time.
        """
        if now - self._observed_at > _EXPIRY:
            self._samples = 0
            self._mean_ms = 0.0
        self._samples += 1
        self._observed_at = now
        weight = max(_WEIGHT, 1 / self._samples)
        self._mean_ms += weight * (took / _MILLISECOND / events - self._mean_ms)

    def stream_time(
        self, events: float, now: datetime.timedelta, *, may_be_old: bool = False
    ) -> datetime.timedelta:
        """Return how long so many events take; 0 if the pace is not known.

        Args:
            events: Number of events.
            now: The current time.
            may_be_old: Whether to go by the last events, however long ago they were.
        """
        is_old = now - self._observed_at > _EXPIRY
        if self._samples < _MIN_SAMPLES or (is_old and not may_be_old):
            return datetime.timedelta()
        return min(events * self._mean_ms, _MAX_STREAM_MS) * _MILLISECOND
