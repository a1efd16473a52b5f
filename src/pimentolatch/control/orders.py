"""Gives one order to one engine, and settles orders whose outcome is not known.

The order's connection stands before the slot goes to pending, and the order goes out
on that connection or not at all. See docs/ORDERS.md for what each kind of engine
needs besides.
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
    "OrderGiver",
    "OrderRequest",
    "OutcomeOpen",
    "Resolution",
    "Settle",
    "Superseded",
    "TakeOver",
    "Wait",
    "resolve",
    "takeover_wait",
]

# How far apart the rates of two machines' clocks may be. The takeover of a pending
# order at an engine without fencing waits by the successor's clock for a timeout
# that runs by the engine's.
CLOCK_RATE_BOUND = 0.05
# Covers the engine's own delay in acting on its timeout.
TAKEOVER_MARGIN = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRequest:
    """An order to be given.

    Attributes:
        slot: The engine's slot, at the version that the decision rests on.
        fence: Highest fencing number that the engine has reported.
    """

    slot: slots.Slot
    engine: schema.Engine
    target: slots.Target
    reason: str
    document: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Given:
    """The engine carried the order out and the slot is settled."""

    slot: slots.Slot


@dataclasses.dataclass(frozen=True, slots=True)
class NotGiven:
    """Nothing was sent."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Another process holds the slot; nothing was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeOpen:
    """The slot is pending and what became of the order is still to be read back."""

    reason: str


OrderOutcome = Given | NotGiven | Superseded | OutcomeOpen


class OrderGiver:
    """Gives orders as one incarnation of one instance.

    Args:
        sender: Incarnation; differs after each start of the process.
    """

    def __init__(
        self,
        own_slots: slots.SlotObjects,
        engines: order_client.OrderClient,
        sender: str,
    ) -> None:
        self._slots = own_slots
        self._engines = engines
        self._sender = sender

    async def give(self, request: OrderRequest) -> OrderOutcome:
        """Give an order, or take a pending one over with a newer order."""
        order = self._order(request)
        body = engine_body(order)
        attempt = await self._engines.open(request.engine.address, body)
        if isinstance(attempt, order_client.Unreachable):
            return NotGiven(attempt.reason)
        try:
            return await self._give(request.slot, order, attempt)
        finally:
            await attempt.aclose()

    async def settle(
        self, slot: slots.Slot, state: order_client.EngineState
    ) -> slots.Slot | slots.SlotChanged | slots.SlotUnknown:
        """Record that the slot's order took effect."""
        settled = slot.moved(slots.Event.SETTLE, engine_incarnation=state.incarnation)
        return await self._slots.update(settled)

    async def _give(
        self, slot: slots.Slot, order: slots.Order, attempt: order_client.Attempt
    ) -> OrderOutcome:
        taking_over = slot.state is slots.SlotState.PENDING
        event = slots.Event.TAKE_OVER if taking_over else slots.Event.ORDER
        pending = await self._slots.update(slot.moved(event, order=order))
        if isinstance(pending, slots.SlotChanged):
            return Superseded()
        # An update whose outcome is unknown may still make the slot pending. Nothing
        # is sent then: the order is read back and superseded like any other.
        if isinstance(pending, slots.SlotUnknown):
            return OutcomeOpen(pending.reason)
        sent = await attempt.send()
        if not isinstance(sent, order_client.Taken):
            return OutcomeOpen(sent.reason)
        if sent.state.last_order != order.order_id or sent.state.changing:
            return OutcomeOpen("the engine is in another change")
        settled = await self.settle(pending, sent.state)
        if isinstance(settled, slots.Slot):
            return Given(settled)
        return OutcomeOpen("the settlement was not written")

    def _order(self, request: OrderRequest) -> slots.Order:
        # The engine's own number counts too: a slot that was lost or removed must
        # not lead to orders that a fenced engine refuses for ever.
        sequence = max(request.slot.sequence, request.fence) + 1
        return slots.Order(
            identity.new_id(),
            sequence,
            self._sender,
            request.target,
            request.reason,
            request.document,
        )


def engine_body(order: slots.Order) -> dict[str, typing.Any]:
    """Return the body an engine receives."""
    head = {"order": order.order_id, "fence": order.sequence, "sender": order.sender}
    return head | order.target.to_json()


@dataclasses.dataclass(frozen=True, slots=True)
class Settle:
    """The pending order took effect; the slot can be settled."""

    state: order_client.EngineState


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOver:
    """A newer order may go out; the pending one has no effect any more."""

    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The pending order may still take effect."""

    reason: str


Resolution = Settle | TakeOver | Wait


def takeover_wait(engine: schema.Engine) -> datetime.timedelta:
    """Return how long a pending order must be seen before a newer one may go out.

    A sender may be frozen between its update of the slot and its write to the engine.
    An engine that checks fencing refuses the late order once it has taken a newer
    one, so the wait only spares a live sender needless competition. At any other
    engine the late order would undo the newer one; there the wait lasts until the
    engine has closed the late sender's connection.
    """
    if engine.checks_fencing:
        return TAKEOVER_MARGIN
    seconds = engine.reads_time_out_s * (1 + CLOCK_RATE_BOUND)
    return datetime.timedelta(seconds=seconds) + TAKEOVER_MARGIN


def resolve(
    slot: slots.Slot,
    engine: schema.Engine,
    state: order_client.EngineState | order_client.Unreachable,
    seen_pending: datetime.timedelta,
) -> Resolution:
    """Decide what to do about a pending order that this process is not sending.

    Args:
        slot: A pending slot.
        engine: The slot's engine, as the document describes it.
        state: The engine's state, asked for after `seen_pending` was taken.
        seen_pending: How long this process has seen this very order pending.
    """
    if isinstance(state, order_client.Unreachable):
        return Wait(f"engine unreachable: {state.reason}")
    if state.changing:
        return Wait("the engine is changing")
    if slot.order is not None and state.last_order == slot.order.order_id:
        return Settle(state)
    if seen_pending < takeover_wait(engine):
        return Wait("the order may still be on its way")
    return TakeOver(state.fence)
