"""Decides whose requests are refused when clients fill the memory of a process.

Load pattern: clients that nobody controls open hundreds of connections and send bodies
of the largest size that is allowed, whole or up to their last byte, send requests
ahead, or do not read their answers. Each connection is within its limits; their sum is
the limit times the number of connections. Ordinary clients with small bodies go on
beside them.

Bytes are counted as they arrive. Announced lengths are not: a client that announces the
largest body and sends nothing would take the room of those that send. For the same
reason no room is reserved ahead, and nobody waits for room: bodies that each hold a
part of it would wait for each other.

Over the limit, what has held the most byte-seconds ends first, among large bodies that
still arrive and answers that are not read. A body that stopped short of its end goes
before one that is being sent, and either before whole ones: these end by themselves. If
nothing can end, what has asked for more is refused. Small holdings never end for others
and may take a reserve of a quarter on top, so that ordinary requests are served while
whole large bodies fill the rest. One large body alone is always admitted.

Grounds: an eighth of the machine's memory is counted. A body is held once here and once
more in the buffer of its server's connection, and copies of the moment and fragments
take some more. A process at rest takes 50 to 65 MB. On a machine of 300 MB the limit
holds nine of the largest bodies of 4 MB at once, where ordinary ones have some
kilobytes. A search for what ends visits all holdings, and frees a large one each time.
"""

import dataclasses
import datetime
import enum
from collections import abc

__all__ = [
    "DEFAULT_MACHINE_MB",
    "LEAST_MACHINE_MB",
    "ClientMemory",
    "Holding",
    "Kind",
]

# Memory of the machines that the instances are designed for, in megabytes.
DEFAULT_MACHINE_MB = 300.0
# Less is not enough for an instance and its clients.
LEAST_MACHINE_MB = 96.0
_BYTES_PER_MB = 1_000_000
# Share of the machine's memory that clients may fill.
_SHARE = 1 / 8
# Share of that on top, which small holdings may fill.
_RESERVE = 1 / 4
_SMALL_BYTES = 65_536


class Kind(enum.Enum):
    """What is held for a client, as the metrics name it."""

    ARRIVING = "arriving body"
    WHOLE = "whole body"
    WAITING = "waiting requests"
    UNREAD = "unread answer"


@dataclasses.dataclass(slots=True, eq=False)
class Holding:
    """What is held for one request, or for one connection.

    Attributes:
        kind: What it is.
        since: When its first byte was held.
        end: Called when it has to end for others.
        size: Number of bytes.
    """

    kind: Kind
    since: datetime.timedelta
    end: abc.Callable[[], None]
    size: int = 0

    @property
    def is_small(self) -> bool:
        """Whether it never ends for others."""
        return self.size <= _SMALL_BYTES

    def byte_seconds(self, now: datetime.timedelta) -> float:
        """Return the product of its size and its age."""
        return self.size * (now - self.since).total_seconds()


class ClientMemory:
    """All that is held for the clients of one process.

    Args:
        machine_mb: Memory of the machine, in megabytes.

    Attributes:
        machine_bytes: The same in bytes.
        limit_bytes: How much is held before requests are refused.
        ended: Number of holdings that have ended for others.
    """

    def __init__(self, machine_mb: float = DEFAULT_MACHINE_MB) -> None:
        self.machine_bytes = machine_mb * _BYTES_PER_MB
        self.limit_bytes = self.machine_bytes * _SHARE
        self.ended = 0
        self._holdings: set[Holding] = set()
        self._held = 0

    def hold(
        self, kind: Kind, now: datetime.timedelta, end: abc.Callable[[], None]
    ) -> Holding:
        """Begin to count what is held for a client; see `Holding`."""
        holding = Holding(kind, now, end)
        self._holdings.add(holding)
        return holding

    def add(self, holding: Holding, size: int) -> None:
        """Count more bytes, or fewer; does nothing once it is released."""
        if holding in self._holdings:
            holding.size += size
            self._held += size

    def release(self, holding: Holding) -> None:
        """Count a holding no longer; does nothing if it was released before."""
        if holding in self._holdings:
            self._holdings.remove(holding)
            self._held -= holding.size

    def has_room(self, asking: Holding) -> bool:
        """Return whether a holding that has grown may stay as it is."""
        if self._held <= self.limit_bytes:
            return True
        if asking.is_small:
            return self._held <= self.limit_bytes * (1 + _RESERVE)
        # One alone is admitted whatever its size; its own limit bounds it.
        return all(one is asking or one.is_small for one in self._holdings)

    def make_room(self, asking: Holding, now: datetime.timedelta) -> None:
        """End what has to end now that a holding has grown; it may be itself.

        Args:
            asking: The holding that has grown.
            now: Time on the clock of the holdings.
        """
        while asking in self._holdings and not self.has_room(asking):
            chosen = self._largest(now) or asking
            self.release(chosen)
            self.ended += 1
            chosen.end()

    def held_bytes(self, kind: Kind) -> int:
        """Return how many bytes of a kind are held."""
        return sum(one.size for one in self._holdings if one.kind is kind)

    def _largest(self, now: datetime.timedelta) -> Holding | None:
        """Return what ends first, if anything can."""
        return max(
            (
                one
                for one in self._holdings
                if one.kind in (Kind.ARRIVING, Kind.UNREAD) and not one.is_small
            ),
            key=lambda one: (one.byte_seconds(now), one.size),
            default=None,
        )
