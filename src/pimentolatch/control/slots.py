"""Order slots: the stored object that decides which process may order an engine.

Each engine that was ever changed has a slot in the platform's store. Every step of a
change is a conditional update at the slot version that the step is based on. Of two
processes that decide on the same version only one succeeds, and a process that was
paused in between fails at its next step. The sequence number of the slot's order is its
fencing token; it increases with each order and is never reused.
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
    """State of an engine in the life cycle of a change."""

    SERVING = "serving"
    DRAINING = "draining"
    PENDING = "pending"
    SETTLED = "settled"


class Event(enum.StrEnum):
    """Event that changes the state of a slot."""

    DRAIN = "drain"
    ABANDON = "abandon"
    ORDER = "order"
    TAKE_OVER = "take_over"
    SETTLE = "settle"
    RETURN = "return_to_service"


# An engine returns to service only through its slot, which changes the slot's version.
# Otherwise a process that was paused after it saw the engine drained could order an
# engine that another process has returned to service, and abort its streams. With the
# new version the paused process fails to make its order pending.
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
    """The full target state of an engine.

    Orders carry the full state, not a difference, so they are idempotent.

    Attributes:
        models: Names of the models to hold, with the versions of their weights.
    """

    role: schema.Role
    models: tuple[tuple[str, str], ...]

    def to_json(self) -> dict[str, typing.Any]:
        """Return the form that is stored and sent to engines."""
        return {"role": self.role, "models": dict(self.models)}

    @classmethod
    def from_json(cls, value: dict[str, typing.Any]) -> "Target":
        """Return the target from its stored form."""
        return cls(value["role"], tuple(sorted(value["models"].items())))


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine.

    Attributes:
        sequence: Fencing token; a higher one always belongs to a later decision.
        sender: Incarnation of the process that may send the order.
        reason: Reason for the order, for the audit trail.
        document: Number of the document in force when the order was created.
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
        """Return the order from its stored form."""
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
        version: Version of the stored object; 0 if there is none.
        role: Target role of the engine, or None for the document's role.
        document_role: The document's role when `role` was set. If the document has
            another role now, the document takes precedence.
        order: The last order, in any state.
        engine_incarnation: The engine's incarnation when the last order was settled.
        reason: Reason for the change in progress.
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
        """Fencing token of the last order; 0 before the first order."""
        return 0 if self.order is None else self.order.sequence

    def after_event(self, event: Event, **changes: typing.Any) -> "Slot":
        """Return the slot after an event.

        Raises:
            ValueError: The event is not allowed in the slot's state.
        """
        found = _LIFE_CYCLE.get_transitions(event.value, self.state.value)
        if not found:
            raise ValueError(
                f"{self.engine}: event {event} is not allowed in state {self.state}"
            )
        state = SlotState(str(found[0].dest))
        return dataclasses.replace(self, state=state, **changes)

    def to_json(self) -> dict[str, typing.Any]:
        """Return the stored form; the version is part of the stored object itself."""
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
        """Return the slot from its stored form."""
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
    """Another process updated the slot first; this update had no effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class SlotUnknown:
    """It is unknown whether the update took effect.

    Attributes:
        reason: Cause, for the log.
    """

    reason: str


class SlotObjects:
    """Reads and updates the order slots of one failure domain in the store."""

    def __init__(self, objects: store.Store, failure_domain: str) -> None:
        self._store = objects
        self._domain = failure_domain

    async def read_all(self) -> dict[str, Slot] | store.Unavailable:
        """Read all slots of the failure domain in one call, by engine."""
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
        """Read one slot; returns a slot of version 0 if the engine has none."""
        found = await self._store.get(SLOT_KIND, slot_name(self._domain, engine))
        if isinstance(found, store.Unavailable):
            return found
        if isinstance(found, store.Absent):
            return Slot(engine)
        return Slot.from_json(engine, found.version, found.value)

    async def update(self, slot: Slot) -> Slot | SlotChanged | SlotUnknown:
        """Write a slot if the stored version is still `slot.version`."""
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
        """Determine the outcome of a write whose response was lost.

        Assuming failure could leave a pending order that no process sends; assuming
        success could send an order that another process has superseded. The stored
        slot decides: each order has a unique id, so an equal slot at a newer version
        was written by this update.
        """
        found = await self.read(slot.engine)
        if isinstance(found, store.Unavailable):
            return SlotUnknown(found.reason)
        if found.version == slot.version:
            return SlotUnknown("the response was lost and the write is not visible yet")
        if found == dataclasses.replace(slot, version=found.version):
            return found
        return SlotChanged()


def slot_name(failure_domain: str, engine: str) -> str:
    """Return the name of an engine's slot object.

    The name begins with the failure domain, so that its slots can be listed by prefix.
    An engine in another failure domain is a different machine and needs another name.
    """
    return f"{failure_domain}.{engine}"
