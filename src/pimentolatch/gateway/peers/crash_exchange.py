"""Exchanges evidence of crashes with peers."""

import datetime
import math
import typing

from pimentolatch import clock
from pimentolatch.decisions import crash_evidence, crash_notices, crash_suspects
from pimentolatch.protocol import beacons

__all__ = ["CrashExchange"]

# Suspected crashes in one beacon, some twenty bytes each.
_MAX_PAIRS = 24
# Suspects in or close to quarantine whose suspected crashes are added to each beacon,
# in rotation.
_MAX_REPEATED = 2
# How often each suspected crash is sent, since datagrams may be lost.
_SEND_COUNT = 3
_MILLISECOND = datetime.timedelta(milliseconds=1)

Pairs = typing.Iterable[crash_evidence.SuspectedCrash]


class CrashExchange:
    """Sends suspected crashes to peers and merges theirs.

    Args:
        suspects: All suspected crashes that this instance knows.
        time: Clock of this instance.

    Attributes:
        partial_view: Whether there are instances that exchange no beacons with each
            other, so that evidence from peers has to be forwarded.
    """

    def __init__(
        self, suspects: crash_suspects.CrashSuspects, time: clock.Clock
    ) -> None:
        self._suspects = suspects
        self._clock = time
        self._near = crash_notices.CrashNoticeQueue(_SEND_COUNT)
        self._far = crash_notices.CrashNoticeQueue(_SEND_COUNT)
        self._turn = 0
        self.partial_view = False

    def enqueue(self, pairs: Pairs) -> None:
        """Queue evidence that peers may not have."""
        for pair in pairs:
            self._near.add(pair)
            self._far.add(pair)

    def take_near(self) -> tuple[beacons.CrashReport, ...]:
        """Return the evidence to send to near peers."""
        evidence = self._near.take(_MAX_PAIRS, self._suspects.crash_count)
        return self._rows(evidence + self._next_repeated())

    def take_far(self) -> tuple[beacons.CrashReport, ...]:
        """Return the evidence to send to peers in other failure domains."""
        evidence = self._far.take(_MAX_PAIRS, self._suspects.crash_count)
        return self._rows(evidence + self._next_repeated())

    def receive(self, rows: typing.Iterable[beacons.CrashReport]) -> None:
        """Apply the evidence that a peer has sent."""
        now = self._clock.monotonic()
        pairs = [
            crash_evidence.SuspectedCrash(
                row.digest,
                row.server,
                row.cleared,
                now - row.age_ms * _MILLISECOND,
                row.ran_for_ms * _MILLISECOND,
                row.server_alive,
            )
            for row in rows
        ]
        fresh = self._suspects.merge(pairs, now)
        # A clearing that the peer has missed is sent back to it in any fleet.
        if not self.partial_view:
            fresh = [pair for pair in fresh if pair not in pairs]
        self.enqueue(fresh)

    def _next_repeated(self) -> list[crash_evidence.SuspectedCrash]:
        """Return all suspected crashes of the next suspects in the rotation."""
        repeated = self._suspects.repeated_crashes()
        if not repeated:
            return []
        self._turn += _MAX_REPEATED
        chosen = {(self._turn + n) % len(repeated) for n in range(_MAX_REPEATED)}
        return [pair for number in chosen for pair in repeated[number]]

    def _rows(self, pairs: Pairs) -> tuple[beacons.CrashReport, ...]:
        now = self._clock.monotonic()
        # Rounded up: evidence whose age is rounded down at each hop would never expire.
        return tuple(
            beacons.CrashReport(
                pair.digest,
                pair.server,
                pair.cleared,
                max(0, math.ceil((now - pair.at) / _MILLISECOND)),
                math.ceil(pair.ran_for / _MILLISECOND),
                pair.server_alive,
            )
            for pair in pairs
        )
