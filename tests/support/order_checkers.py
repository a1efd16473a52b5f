"""Checkers of the guarantees on orders and planned changes; each reads one history."""

import collections
from collections import abc

from tests.support import control_history

__all__ = [
    "aborted_requests",
    "conflicting_orders",
    "late_work",
    "longest_gap",
    "stale_orders",
]

Events = abc.Sequence[control_history.Event]


def conflicting_orders(events: Events) -> tuple[str, ...]:
    """Check that no engine accepts two conflicting orders.

    Two orders conflict if they differ but have the same fencing token, or if one is
    accepted while the engine still executes the other.
    """
    found: list[str] = []
    by_fence: dict[tuple[str, int], control_history.OrderAccepted] = {}
    running: dict[str, str] = {}
    for event in events:
        if isinstance(
            event, control_history.OrderCompleted | control_history.EngineCrashed
        ):
            running.pop(event.engine, None)
        if not isinstance(event, control_history.OrderAccepted):
            continue
        other = by_fence.setdefault((event.engine, event.fence), event)
        if (other.order, other.target) != (event.order, event.target):
            found.append(
                f"{event.engine}: {other} and {event} have the same fencing token"
            )
        if event.engine in running:
            found.append(f"{event.engine}: {event} during {running[event.engine]}")
        running[event.engine] = event.order
    return tuple(found)


def stale_orders(events: Events) -> tuple[str, ...]:
    """Check that no order takes effect after a newer one has superseded it.

    At an engine that checks fencing tokens, an order is superseded when the engine
    accepts a newer one; at any other engine, when the slot contains a newer one. An
    order must also have been pending in its slot before the engine accepts it.
    """
    found: list[str] = []
    newest_taken: collections.Counter[str] = collections.Counter()
    newest_in_slot: collections.Counter[str] = collections.Counter()
    pending: set[str] = set()
    for event in events:
        if isinstance(event, control_history.SlotWritten):
            newest_in_slot[event.engine] = event.sequence
            if event.state == "pending" and event.order is not None:
                pending.add(event.order)
        if not isinstance(event, control_history.OrderAccepted):
            continue
        if event.order not in pending:
            found.append(f"{event.engine}: {event} was never pending in its slot")
        newest = newest_taken if event.fenced else newest_in_slot
        if event.fence < newest[event.engine]:
            found.append(f"{event.engine}: {event} after {newest[event.engine]}")
        newest_taken[event.engine] = max(newest_taken[event.engine], event.fence)
    return tuple(found)


def aborted_requests(events: Events) -> tuple[str, ...]:
    """Check that no order aborts a request."""
    return tuple(
        f"{event.engine}: {event.request} was aborted at {event.at}"
        for event in events
        if isinstance(event, control_history.StreamAborted) and event.cause == "order"
    )


def late_work(events: Events, allowed_s: float) -> tuple[str, ...]:
    """Check that a leaving server receives no new requests after `allowed_s`."""
    known: dict[tuple[str, str], float] = {}
    found: list[str] = []
    for event in events:
        if isinstance(event, control_history.LeavingShown):
            known[event.server, event.sender] = event.at
        if not isinstance(event, control_history.StreamStarted):
            continue
        since = known.get((event.engine, event.sender))
        if since is not None and event.at > since + allowed_s:
            found.append(
                f"{event} came {event.at - since:.1f} s after the sender could know it"
            )
    return tuple(found)


def longest_gap(events: Events, end: float) -> float:
    """Return the longest time, in seconds, without a request starting anywhere."""
    times = [
        event.at for event in events if isinstance(event, control_history.StreamStarted)
    ]
    if not times:
        return end
    points = [0.0, *times, end]
    return max(b - a for a, b in zip(points, points[1:], strict=False))
