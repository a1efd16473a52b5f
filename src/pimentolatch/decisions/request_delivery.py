"""Decides when a request that its peer does not acknowledge has timed out.

Load pattern: a network partition delays requests that were written to open
connections. Their callers are served by other servers, and when the partition heals,
seconds later, the delayed requests arrive: at servers that have announced meanwhile
that they leave, or that then run them for nobody.

A sender can cancel a delayed request by resetting its connection, and only while the
connection exists. An operating system that ends a connection by limits of its own
(keep-alive, `TCP_USER_TIMEOUT`) leaves nothing to reset, and the request still arrives.
So the sender has to give up first: the time that an acknowledgement may take is limited
here, and the limits of the operating system are far longer.

A long body on a slow link is acknowledged bit by bit, and a peer that has no room for
more has acknowledged all that was sent. Neither times out.
"""

import dataclasses
import datetime
import enum

__all__ = [
    "CHECKS",
    "Delivery",
    "DeliveryCheck",
    "Transmission",
    "acknowledgement_limit",
]

# Watches and answers take the other part of the time until a change is in force; see
# `watch_schedule`. A request that was sent just before its sender learned of the change
# then times out when that time ends. At two seconds, a lost packet is sent again twice
# within the limit.
_LIMIT_SHARE = 0.4
# The kernel ends a connection a minute after the last byte that it received, and an
# idle one is used for half of that.
_MAX_LIMIT = datetime.timedelta(seconds=10)
# Checks in the time of one limit. A process that was suspended checks once as soon as
# it continues, before its kernel has received what arrived meanwhile.
CHECKS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Transmission:
    """What a connection has not delivered yet.

    Attributes:
        unacknowledged_bytes: Bytes written and not acknowledged, sent or not.
        segments_in_flight: Segments sent and not acknowledged.
    """

    unacknowledged_bytes: int
    segments_in_flight: int


class Delivery(enum.Enum):
    """State of a request that was written to a connection."""

    ACKNOWLEDGED = "acknowledged"
    IN_PROGRESS = "being sent"
    TIMED_OUT = "not acknowledged"


class DeliveryCheck:
    """Follows a request from its writing on.

    Args:
        written: What was not delivered right after the request was written.
    """

    def __init__(self, written: Transmission) -> None:
        self._earlier = written
        self._checks_without_progress = 0

    def observe(self, now: Transmission) -> Delivery:
        """Return the state of the request; called `CHECKS` times in each limit."""
        if not now.unacknowledged_bytes:
            return Delivery.ACKNOWLEDGED
        progress = now.unacknowledged_bytes < self._earlier.unacknowledged_bytes
        self._earlier = now
        if progress or not now.segments_in_flight:
            self._checks_without_progress = 0
            return Delivery.IN_PROGRESS
        self._checks_without_progress += 1
        if self._checks_without_progress < CHECKS:
            return Delivery.IN_PROGRESS
        return Delivery.TIMED_OUT


def acknowledgement_limit(in_force_within: datetime.timedelta) -> datetime.timedelta:
    """Return how long a request may go without an acknowledgement.

    Args:
        in_force_within: Time in which instances have to observe that a server leaves.
    """
    return min(_LIMIT_SHARE * in_force_within, _MAX_LIMIT)
