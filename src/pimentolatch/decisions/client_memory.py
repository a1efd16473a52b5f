"""Counts the memory that clients' connections occupy in this process.

Load pattern: clients that nobody controls open hundreds of connections and send bodies
of the largest size that is allowed, whole or up to their last byte, or do not read
their answers. Each connection is within its limits, their sum is the limit times the
number of connections.

Bytes are counted as they arrive. Announced lengths are not: a client that announces the
largest body and sends nothing would take the room of those that send.
"""

import dataclasses
import datetime
import enum

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


class Kind(enum.Enum):
    """What is held for a client, as the metrics name it."""

    ARRIVING = "arriving body"
    WHOLE = "whole body"
    UNREAD = "unread answer"


@dataclasses.dataclass(slots=True, eq=False)
class Holding:
    """What is held for one request, or for the answers of one connection.

    Attributes:
        kind: What it is.
        since: When its first byte was held.
        size: Number of bytes.
    """

    kind: Kind
    since: datetime.timedelta
    size: int = 0


class ClientMemory:
    """All that is held for the clients of one process.

    Args:
        machine_mb: Memory of the machine, in megabytes.

    Attributes:
        machine_bytes: The same in bytes.
    """

    def __init__(self, machine_mb: float = DEFAULT_MACHINE_MB) -> None:
        self.machine_bytes = machine_mb * _BYTES_PER_MB
        self._holdings: set[Holding] = set()

    def hold(self, kind: Kind, now: datetime.timedelta) -> Holding:
        """Begin to count what is held for a client."""
        holding = Holding(kind, now)
        self._holdings.add(holding)
        return holding

    def add(self, holding: Holding, size: int) -> None:
        """Count more bytes."""
        holding.size += size

    def release(self, holding: Holding) -> None:
        """Count a holding no longer; does nothing if it was released before."""
        self._holdings.discard(holding)

    def held_bytes(self, kind: Kind) -> int:
        """Return how many bytes of a kind are held."""
        return sum(one.size for one in self._holdings if one.kind is kind)
