"""Decides whether an idle connection to a server serves a request, and why not.

Load pattern: an instance of a large fleet sends to one server every few seconds only.
In between, connections grow too old: for any request once the server is about to close
them, and sooner for one that must not be repeated, since its outcome would be unknown
if the server, or the path to it, has gone meanwhile. Why connections are opened tells
whether the fleet has too many instances for its load, servers that time out too soon,
or requests that cannot be repeated.
"""

import datetime
import enum

__all__ = ["Opening", "obstacle"]


class Opening(enum.Enum):
    """Why a connection is opened.

    `REQUIRED` is a request that must use no kept one. `NONE_IDLE`: the server is new to
    this instance, or its connections are all in use. `TOO_OLD`: the idle ones are too
    old for a request that must not be repeated. `EXPIRED`: the server has closed the
    idle ones or is about to. `CARRIED`: the idle ones have carried the same request.
    """

    REQUIRED = "required"
    NONE_IDLE = "none idle"
    TOO_OLD = "too old"
    EXPIRED = "expired"
    CARRIED = "carried"


def obstacle(
    idle: datetime.timedelta,
    keep_alive: datetime.timedelta,
    max_idle: datetime.timedelta | None,
) -> Opening | None:
    """Return why a request cannot use an open idle connection; None if it can.

    Args:
        idle: For how long it has been idle.
        keep_alive: For how long the server keeps it at least.
        max_idle: For how long it may have been idle for the request; None for any time.
    """
    if idle >= keep_alive:
        return Opening.EXPIRED
    if max_idle is not None and idle > max_idle:
        return Opening.TOO_OLD
    return None
