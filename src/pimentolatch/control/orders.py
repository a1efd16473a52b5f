"""Sends an order to an engine, and resolves orders whose outcome is unknown.

The connection for the order is opened before the slot becomes pending. The order is
sent on that connection or not at all. See docs/ORDERS.md for the further requirements
of each kind of engine.
"""

import dataclasses
import datetime
import typing

from pimentolatch.backend import order_client
from pimentolatch.control import slots
from pimentolatch.document import schema
from pimentolatch.requests import identity

__all__ = [
    "Given",
    "NotGiven",
    "OrderRequest",
    "OrderSender",
    "OutcomeOpen",
    "Resolution",
    "Settle",
    "Superseded",
    "TakeOver",
    "Wait",
    "resolve",
    "takeover_wait",
]

# Bound on the relative clock drift between two machines. The takeover of a pending
# order at an engine that does not check fencing tokens waits, by the new sender's
# clock, for a timeout that runs by the engine's clock.
CLOCK_RATE_BOUND = 0.05
# Covers the engine's delay in acting on its timeout.
TAKEOVER_MARGIN = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRequest:
    """An order to be sent.

    Attributes:
        slot: The engine's slot, at the version that the decision is based on.
        fence: Highest fencing token that the engine has reported.
    """

    slot: slots.Slot
    engine: schema.Engine
    target: slots.Target
    reason: str
    document: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Given:
    """The engine executed the order and the slot is settled."""

    slot: slots.Slot


@dataclasses.dataclass(frozen=True, slots=True)
class NotGiven:
    """Nothing was sent."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Another process updated the slot first; nothing was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeOpen:
    """The slot may be pending; the order's outcome must be read from the engine."""

    reason: str


OrderOutcome = Given | NotGiven | Superseded | OutcomeOpen


class OrderSender:
    """Sends orders on behalf of one incarnation of an instance.

    Args:
        sender: Incarnation; differs after each start of the process.
    """

    def __init__(
        self,
        slot_objects: slots.SlotObjects,
        engines: order_client.OrderClient,
        sender: str,
    ) -> None:
        self._slots = slot_objects
        self._engines = engines
        self._sender = sender

    async def send(self, request: OrderRequest) -> OrderOutcome:
        """Send an order, or supersede a pending order with a newer one."""
        order = self._order(request)
        body = order_body(order)
        attempt = await self._engines.open(request.engine.address, body)
        if isinstance(attempt, order_client.Unreachable):
            return NotGiven(attempt.reason)
        try:
            return await self._send(request.slot, order, attempt)
        finally:
            await attempt.aclose()

    async def settle(
        self, slot: slots.Slot, state: order_client.EngineState
    ) -> slots.Slot | slots.SlotChanged | slots.SlotUnknown:
        """Record in the slot that its order took effect."""
        settled = slot.after_event(
            slots.Event.SETTLE, engine_incarnation=state.incarnation
        )
        return await self._slots.update(settled)

    async def _send(
        self, slot: slots.Slot, order: slots.Order, attempt: order_client.Attempt
    ) -> OrderOutcome:
        taking_over = slot.state is slots.SlotState.PENDING
        event = slots.Event.TAKE_OVER if taking_over else slots.Event.ORDER
        pending = await self._slots.update(slot.after_event(event, order=order))
        if isinstance(pending, slots.SlotChanged):
            return Superseded()
        # An update whose outcome is unknown may still make the slot pending. Nothing
        # is sent then; a later pass resolves the order like any other pending one.
        if isinstance(pending, slots.SlotUnknown):
            return OutcomeOpen(pending.reason)
        sent = await attempt.send()
        if not isinstance(sent, order_client.Taken):
            return OutcomeOpen(sent.reason)
        if sent.state.last_order != order.order_id or sent.state.changing:
            return OutcomeOpen("the engine is executing another change")
        settled = await self.settle(pending, sent.state)
        if isinstance(settled, slots.Slot):
            return Given(settled)
        return OutcomeOpen(
            "the order took effect, but the slot update to settled failed"
        )

    def _order(self, request: OrderRequest) -> slots.Order:
        # The token that the engine reported counts too: otherwise, after the loss of a
        # slot, an engine that checks tokens would refuse all further orders.
        sequence = max(request.slot.sequence, request.fence) + 1
        return slots.Order(
            identity.new_id(),
            sequence,
            self._sender,
            request.target,
            request.reason,
            request.document,
        )


def order_body(order: slots.Order) -> dict[str, typing.Any]:
    """Return the request body of an order."""
    head = {"order": order.order_id, "fence": order.sequence, "sender": order.sender}
    return head | order.target.to_json()


@dataclasses.dataclass(frozen=True, slots=True)
class Settle:
    """The pending order took effect; the slot can be settled."""

    state: order_client.EngineState


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOver:
    """A newer order may be sent; the pending one can no longer take effect."""

    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The pending order may still take effect."""

    reason: str


Resolution = Settle | TakeOver | Wait


def takeover_wait(engine: schema.Engine) -> datetime.timedelta:
    """Return how long an order must have been pending before a newer one is sent.

    A sender may be paused between its update of the slot and its write to the engine.
    An engine that checks fencing tokens refuses the late order once it has accepted a
    newer one, so the wait only avoids conflicts with a live sender. At other engines
    the late order would undo the newer one; there the wait lasts until the engine has
    closed the late sender's connection.
    """
    if engine.checks_fencing:
        return TAKEOVER_MARGIN
    seconds = engine.reads_time_out_s * (1 + CLOCK_RATE_BOUND)
    return datetime.timedelta(seconds=seconds) + TAKEOVER_MARGIN


def resolve(
    slot: slots.Slot,
    engine: schema.Engine,
    state: order_client.EngineState | order_client.Unreachable,
    pending_age: datetime.timedelta,
) -> Resolution:
    """Decide how to resolve a pending order that this process is not sending.

    Args:
        slot: A pending slot.
        engine: The slot's engine, as described in the document.
        state: The engine's state, queried after `pending_age` was determined.
        pending_age: Time for which this process has seen this order pending.
    """
    if isinstance(state, order_client.Unreachable):
        return Wait(f"engine unreachable: {state.reason}")
    if state.changing:
        return Wait("the engine is executing a change")
    if slot.order is not None and state.last_order == slot.order.order_id:
        return Settle(state)
    if pending_age < takeover_wait(engine):
        return Wait("the order may still be in transit to the engine")
    return TakeOver(state.fence)
