"""Takes engines and leaving servers out of routing, and tells when one is idle.

A view follows from the slots, the document and the platform's list; nothing else
decides what is withdrawn. Whoever writes a view has read the view before the slots
and writes at the version it read, so a writer that was frozen in between fails
instead of putting an engine back that is being changed.
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
    "Quiet",
    "SenderCounts",
    "ViewObjects",
    "Withdrawal",
    "desired_view",
    "engine_outcome",
    "leaving_servers",
    "senders_outcome",
]


class SenderCounts(typing.Protocol):
    """Requests in flight, as the instances that send them count them."""

    def in_flight(self, server: str) -> int | None:
        """Return the requests that instances now have at a backend server.

        Each instance's count must be one it gave after its acknowledgement of the
        view that withdraws the server. None while such a count is still missing.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawal:
    """A view that was written after a slot began to drain.

    Attributes:
        slot_version: Version of the draining slot that the writer had read.
        view_number: Number of the view that withdraws the engine.
    """

    slot_version: int
    view_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Drained:
    """Nothing runs at the engine and nothing new can come."""

    state: order_client.EngineState


@dataclasses.dataclass(frozen=True, slots=True)
class Quiet:
    """No instance has or will send anything to the engine."""


@dataclasses.dataclass(frozen=True, slots=True)
class InUse:
    """The engine may still get or hold requests."""

    reason: str


def senders_outcome(
    withdrawal: Withdrawal | None,
    slot: slots.Slot,
    missing: abc.Set[str],
    in_flight: int | None,
) -> Quiet | InUse:
    """Tell whether any instance may still have or send requests at the engine.

    An engine's own count is not enough: a request on its way to the engine is in no
    count but its sender's. The senders' counts are not enough either: one that was
    dropped from the list may have streams that nobody here knows of. So the engine is
    asked after this, and with every instance's acknowledgement a zero at both sides
    is final.
    """
    if withdrawal is None or withdrawal.slot_version != slot.version:
        return InUse("the view that withdraws it is not written yet")
    if missing:
        return InUse(f"not acknowledged by {', '.join(sorted(missing))}")
    if in_flight is None:
        return InUse("senders' counts are missing")
    if in_flight:
        return InUse(f"{in_flight} requests in flight")
    return Quiet()


def engine_outcome(
    state: order_client.EngineState | order_client.Unreachable | None,
) -> Drained | InUse:
    """Tell whether the engine itself is at rest."""
    if state is None:
        return InUse("the engine's state is not known")
    if isinstance(state, order_client.Unreachable):
        return InUse(f"engine unreachable: {state.reason}")
    if state.streams:
        return InUse(f"{state.streams} streams at the engine")
    if state.changing:
        return InUse("the engine is changing")
    return Drained(state)


def leaving_servers(
    instances: abc.Iterable[store.Instance], failure_domain: str
) -> frozenset[str]:
    """Return the backend servers of a domain that the platform's list shows leaving."""
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
    own_slots: abc.Mapping[str, slots.Slot],
    leaving: abc.Set[str] | None,
) -> views.DomainView:
    """Return the view that the slots, the document and the list ask for.

    Args:
        document: The document in force.
        current: The view as it stands.
        own_slots: The failure domain's slots, read after `current`.
        leaving: Leaving servers, or None while the list can't be read.
    """
    domain = current.failure_domain
    servers = [s for s in document.backend_servers if s.failure_domain == domain]
    withdrawn = {server.name for server in servers if server.serving == "withdrawn"}
    withdrawn |= {
        slot.engine
        for slot in own_slots.values()
        if slot.state is not slots.SlotState.SERVING
    }
    # Without the list nobody knows whether a leaving server still is one, and giving
    # it work again would break off that work when it goes.
    withdrawn |= current.withdrawn if leaving is None else leaving
    roles = {
        engine.name: targets.current_role(engine, own_slots[engine.name])
        for engine in document.engines
        if engine.failure_domain == domain and engine.name in own_slots
    }
    differing = tuple(
        (engine.name, roles[engine.name])
        for engine in sorted(document.engines, key=lambda engine: engine.name)
        if roles.get(engine.name, engine.role) != engine.role
    )
    return dataclasses.replace(current, withdrawn=frozenset(withdrawn), roles=differing)


class ViewObjects:
    """The domain view of one failure domain in the platform's store."""

    def __init__(self, objects: store.Store, failure_domain: str) -> None:
        self._store = objects
        self._domain = failure_domain

    async def read(self) -> views.DomainView | store.Unavailable:
        """Read the view; number 0 while there is none."""
        found = await self._store.get(views.DOMAIN_VIEW_KIND, self._domain)
        if isinstance(found, store.Unavailable):
            return found
        if isinstance(found, store.Absent):
            return views.DomainView(self._domain, 0)
        return views.DomainView.from_json(self._domain, found.version, found.value)

    async def write(self, view: views.DomainView) -> views.DomainView | None:
        """Write a view at its number; returns it with its new one.

        None if it was not or may not have been written; the next pass reads the view
        and writes again, since a view more does no harm.
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
