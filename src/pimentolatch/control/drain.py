"""Withdraws engines and leaving servers from routing, and detects idle engines.

The domain view depends only on the slots, the document and the platform's instance
list. A writer reads the view before the slots and writes at the version that it read.
So a writer that was paused in between fails, instead of returning an engine to service
that is being changed.
"""

import dataclasses
import typing
from collections import abc

from pimentolatch import store
from pimentolatch.backend import order_client
from pimentolatch.control import slots, targets
from pimentolatch.document import schema
from pimentolatch.membership import views

__all__ = [
    "Drained",
    "InUse",
    "SenderCounts",
    "SendersIdle",
    "ViewObjects",
    "Withdrawal",
    "desired_view",
    "engine_outcome",
    "leaving_servers",
    "senders_outcome",
]


class SenderCounts(typing.Protocol):
    """Requests in flight, counted by the instances that send them."""

    def in_flight(self, server: str) -> int | None:
        """Return the number of requests that instances have at a backend server.

        Each instance must have reported its count after it acknowledged the view that
        withdraws the server. Returns None while such a count is missing.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawal:
    """A view that was written after a slot was set to draining.

    Attributes:
        slot_version: Version of the draining slot that the writer read.
        view_number: Number of the view that withdraws the engine.
    """

    slot_version: int
    view_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Drained:
    """The engine is idle and gets no new requests."""

    state: order_client.EngineState


@dataclasses.dataclass(frozen=True, slots=True)
class SendersIdle:
    """No instance has requests at the engine or will send one."""


@dataclasses.dataclass(frozen=True, slots=True)
class InUse:
    """The engine may still have or receive requests."""

    reason: str


def senders_outcome(
    withdrawal: Withdrawal | None,
    slot: slots.Slot,
    missing: abc.Set[str],
    in_flight: int | None,
) -> SendersIdle | InUse:
    """Return whether any instance may still have or send requests at the engine.

    The engine's own count is not sufficient: a request in transit is counted only by
    its sender. The senders' counts are not sufficient either: an instance that was
    removed from the list may have streams that no listed instance counts. So the
    engine is queried after this check. Once every instance has acknowledged the view,
    zero at both sides is final.
    """
    if withdrawal is None or withdrawal.slot_version != slot.version:
        return InUse("the view that withdraws the engine is not written yet")
    if missing:
        return InUse(f"not acknowledged by {', '.join(sorted(missing))}")
    if in_flight is None:
        return InUse("some instances have not reported their requests in flight")
    if in_flight:
        return InUse(f"{in_flight} requests in flight")
    return SendersIdle()


def engine_outcome(
    state: order_client.EngineState | order_client.Unreachable | None,
) -> Drained | InUse:
    """Return whether the engine itself is idle."""
    if state is None:
        return InUse("the engine's state has not been read yet")
    if isinstance(state, order_client.Unreachable):
        return InUse(f"engine unreachable: {state.reason}")
    if state.streams:
        return InUse(f"{state.streams} streams at the engine")
    if state.changing:
        return InUse("the engine is executing a change")
    return Drained(state)


def leaving_servers(
    instances: abc.Iterable[store.Instance], failure_domain: str
) -> frozenset[str]:
    """Return a domain's backend servers that the platform lists as leaving."""
    return frozenset(
        instance.name
        for instance in instances
        if instance.kind != "entry"
        and instance.failure_domain == failure_domain
        and instance.state == "leaving"
    )


def desired_view(
    document: schema.FleetDocument,
    current: views.DomainView,
    slots_by_engine: abc.Mapping[str, slots.Slot],
    leaving: abc.Set[str] | None,
) -> views.DomainView:
    """Return the view that follows from the slots, the document and the list.

    Args:
        document: The document in force.
        current: The current view.
        slots_by_engine: The failure domain's slots, read after `current`.
        leaving: Leaving servers, or None while the list is not available.
    """
    domain = current.failure_domain
    servers = [s for s in document.backend_servers if s.failure_domain == domain]
    withdrawn = {server.name for server in servers if server.serving == "withdrawn"}
    withdrawn |= {
        slot.engine
        for slot in slots_by_engine.values()
        if slot.state is not slots.SlotState.SERVING
    }
    # Without the list it is unknown whether a leaving server is still leaving. New
    # requests there would be aborted when the server terminates.
    withdrawn |= current.withdrawn if leaving is None else leaving
    roles = {
        engine.name: targets.current_role(engine, slots_by_engine[engine.name])
        for engine in document.engines
        if engine.failure_domain == domain and engine.name in slots_by_engine
    }
    differing = tuple(
        (engine.name, roles[engine.name])
        for engine in sorted(document.engines, key=lambda engine: engine.name)
        if roles.get(engine.name, engine.role) != engine.role
    )
    return dataclasses.replace(current, withdrawn=frozenset(withdrawn), roles=differing)


class ViewObjects:
    """Reads and writes the view of one failure domain in the platform's store."""

    def __init__(self, objects: store.Store, failure_domain: str) -> None:
        self._store = objects
        self._domain = failure_domain

    async def read(self) -> views.DomainView | store.Unavailable:
        """Read the view; its number is 0 if none exists."""
        found = await self._store.get(views.DOMAIN_VIEW_KIND, self._domain)
        if isinstance(found, store.Unavailable):
            return found
        if isinstance(found, store.Absent):
            return views.DomainView(self._domain, 0)
        return views.DomainView.from_json(self._domain, found.version, found.value)

    async def write(self, view: views.DomainView) -> views.DomainView | None:
        """Write a view if the stored number is still `view.number`.

        Returns the view with its new number, or None if the write failed or its
        outcome is unknown. The next pass then reads the view and writes again, since
        an additional view does no harm.
        """
        outcome = await self._store.put(
            views.DOMAIN_VIEW_KIND,
            self._domain,
            view.to_json(),
            if_version=view.number,
        )
        if not isinstance(outcome, store.Written):
            return None
        return dataclasses.replace(view, number=outcome.version)
