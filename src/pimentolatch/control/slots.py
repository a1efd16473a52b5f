"""Order slots: the one object that decides who may order an engine, and what.

Each engine that was ever changed has a slot in the platform's store. Every step of a
change is a conditional update of the slot at the version that the step was decided
on, so of two processes that decide on the same version only one goes on, and one that
was frozen in between fails at its next step. The slot's sequence number is the
fencing number of its order; it grows with each order and never repeats.
"""

import dataclasses
import enum
import typing

import transitions

from pimentolatch import store
from pimentolatch.document import schema

__all__ = [
    "SLOT_KIND",
    "Event",
    "Order",
    "Slot",
    "SlotChanged",
    "SlotObjects",
    "SlotState",
    "SlotUnknown",
    "Target",
    "slot_name",
]

SLOT_KIND = "order-slots"


class SlotState(enum.StrEnum):
    """Where an engine stands in its life cycle of changes."""

    SERVING = "serving"
    DRAINING = "draining"
    PENDING = "pending"
    SETTLED = "settled"


class Event(enum.StrEnum):
    """What moves a slot from one state to another."""

    DRAIN = "drain"
    ABANDON = "abandon"
    ORDER = "order"
    TAKE_OVER = "take_over"
    SETTLE = "settle"
    RETURN = "return_to_service"


# An engine returns to service only through its slot. A process frozen after it saw
# the engine drained would otherwise order an engine that another process has put
# back in service, and cut its streams; the return changes the slot's version, so the
# frozen process fails to make its order pending.
_LIFE_CYCLE = transitions.Machine(
    model=None,
    states=[state.value for state in SlotState],
    transitions=[
        [Event.DRAIN.value, SlotState.SERVING.value, SlotState.DRAINING.value],
        [Event.ABANDON.value, SlotState.DRAINING.value, SlotState.SERVING.value],
        [Event.ORDER.value, SlotState.DRAINING.value, SlotState.PENDING.value],
        [Event.ORDER.value, SlotState.SETTLED.value, SlotState.PENDING.value],
        [Event.TAKE_OVER.value, SlotState.PENDING.value, SlotState.PENDING.value],
        [Event.SETTLE.value, SlotState.PENDING.value, SlotState.SETTLED.value],
        [Event.RETURN.value, SlotState.SETTLED.value, SlotState.SERVING.value],
    ],
    initial=SlotState.SERVING.value,
    auto_transitions=False,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The whole state an engine is meant to be in.

    Orders carry the whole of it, not a difference, so giving one again is harmless.

    Attributes:
        models: Names of the models to hold, with the versions of their weights.
    """

    role: schema.Role
    models: tuple[tuple[str, str], ...]

    def to_json(self) -> dict[str, typing.Any]:
        """Return the stored form, which is also the form that engines receive."""
        return {"role": self.role, "models": dict(self.models)}

    @classmethod
    def from_json(cls, value: dict[str, typing.Any]) -> "Target":
        """Return the target that a stored value describes."""
        return cls(value["role"], tuple(sorted(value["models"].items())))


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order to one engine.

    Attributes:
        sequence: Fencing number; the higher one is always the later decision.
        sender: Incarnation of the process that may send it.
        reason: Why it is given, for the audit trail.
        document: Number of the document in force when it was given.
    """

    order_id: str
    sequence: int
    sender: str
    target: Target
    reason: str
    document: int

    def to_json(self) -> dict[str, typing.Any]:
        """Return the stored form."""
        return {
            "order": self.order_id,
            "sequence": self.sequence,
            "sender": self.sender,
            "target": self.target.to_json(),
            "reason": self.reason,
            "document": self.document,
        }

    @classmethod
    def from_json(cls, value: dict[str, typing.Any]) -> "Order":
        """Return the order that a stored value describes."""
        return cls(
            value["order"],
            value["sequence"],
            value["sender"],
            Target.from_json(value["target"]),
            value["reason"],
            value["document"],
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """The order slot of one engine.

    Attributes:
        version: Version of the stored object; 0 while there is none.
        role: Role the engine is meant to have, or None for the document's.
        document_role: The document's role when `role` was set; when the document
            states another one since, the document wins.
        order: The last order, in whatever state it is.
        engine_incarnation: The engine's incarnation at the last settlement.
        reason: Why the change under way was begun.
    """

    engine: str
    version: int = 0
    state: SlotState = SlotState.SERVING
    role: schema.Role | None = None
    document_role: schema.Role | None = None
    order: Order | None = None
    engine_incarnation: str = ""
    reason: str = ""

    @property
    def sequence(self) -> int:
        """Fencing number of the last order; 0 before the first."""
        return 0 if self.order is None else self.order.sequence

    def after_event(self, event: Event, **changes: typing.Any) -> "Slot":
        """Return the slot after an event.

        Raises:
            ValueError: The life cycle has no such step.
        """
        found = _LIFE_CYCLE.get_transitions(event.value, self.state.value)
        if not found:
            raise ValueError(f"{self.engine}: no {event} while {self.state}")
        state = SlotState(str(found[0].dest))
        return dataclasses.replace(self, state=state, **changes)

    def to_json(self) -> dict[str, typing.Any]:
        """Return the stored form; the version is the object's own."""
        return {
            "state": self.state.value,
            "role": self.role,
            "document_role": self.document_role,
            "order": None if self.order is None else self.order.to_json(),
            "engine_incarnation": self.engine_incarnation,
            "reason": self.reason,
        }

    @classmethod
    def from_json(
        cls, engine: str, version: int, value: dict[str, typing.Any]
    ) -> "Slot":
        """Return the slot that a stored value describes."""
        order = value["order"]
        return cls(
            engine,
            version,
            SlotState(value["state"]),
            value["role"],
            value["document_role"],
            None if order is None else Order.from_json(order),
            value["engine_incarnation"],
            value["reason"],
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SlotChanged:
    """Another process moved the slot first; the update had no effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class SlotUnknown:
    """The store did not tell whether the update took effect.

    Attributes:
        reason: What was seen, for the log.
    """

    reason: str


class SlotObjects:
    """The order slots of one failure domain in the platform's store."""

    def __init__(self, objects: store.Store, failure_domain: str) -> None:
        self._store = objects
        self._domain = failure_domain

    async def read_all(self) -> dict[str, Slot] | store.Unavailable:
        """Read every slot of the failure domain, by engine, in one call."""
        prefix = slot_name(self._domain, "")
        listing = await self._store.list_objects(SLOT_KIND, prefix)
        if isinstance(listing, store.Unavailable):
            return listing
        slots = (
            Slot.from_json(found.name.removeprefix(prefix), found.version, found.value)
            for found in listing.objects
        )
        return {slot.engine: slot for slot in slots}

    async def read(self, engine: str) -> Slot | store.Unavailable:
        """Read one slot; an engine without one has a slot of version 0."""
        found = await self._store.get(SLOT_KIND, slot_name(self._domain, engine))
        if isinstance(found, store.Unavailable):
            return found
        if isinstance(found, store.Absent):
            return Slot(engine)
        return Slot.from_json(engine, found.version, found.value)

    async def update(self, slot: Slot) -> Slot | SlotChanged | SlotUnknown:
        """Write a slot if nobody else has since `slot.version`."""
        outcome = await self._store.put(
            SLOT_KIND,
            slot_name(self._domain, slot.engine),
            slot.to_json(),
            if_version=slot.version,
        )
        if isinstance(outcome, store.Written):
            return dataclasses.replace(slot, version=outcome.version)
        if isinstance(outcome, store.Conflict):
            return SlotChanged()
        if not outcome.effect_unknown:
            return SlotUnknown(outcome.reason)
        return await self._read_back(slot)

    async def _read_back(self, slot: Slot) -> Slot | SlotChanged | SlotUnknown:
        """Settle a write whose answer was lost.

        Taking it for a failure leaves a pending order that nobody sends; taking it
        for a success sends an order that another process may have superseded. What
        stands in the store decides: each pending order has an id of its own, so a
        slot equal to ours at a newer version is the one that we wrote.
        """
        found = await self.read(slot.engine)
        if isinstance(found, store.Unavailable):
            return SlotUnknown(found.reason)
        if found.version == slot.version:
            return SlotUnknown("the write is not visible yet")
        if found == dataclasses.replace(slot, version=found.version):
            return found
        return SlotChanged()


def slot_name(failure_domain: str, engine: str) -> str:
    """Return the name of an engine's slot object.

    The failure domain comes first so that its slots are listed by prefix. An engine
    that moves to another failure domain is another machine and needs another name.
    """
    return f"{failure_domain}.{engine}"
