"""Takes the steps that the reconciler decides on, and records them."""

import asyncio
import functools

import logbook

from pimentolatch.audit import trail
from pimentolatch.control import orders, reconciler, slots

__all__ = ["StepTaker"]

_log = logbook.Logger("changes")


class StepTaker:
    """Takes steps; orders, which last, go on in tasks of their own.

    It outlives the tenures of the duty: an order that was begun is carried to its end
    by its slot, whoever holds the lease by then.
    """

    def __init__(
        self,
        own_slots: slots.SlotObjects,
        giver: orders.OrderGiver,
        audit: trail.AuditTrail,
    ) -> None:
        self._slots = own_slots
        self._giver = giver
        self._audit = audit
        self._giving: dict[str, asyncio.Task[None]] = {}

    @property
    def busy(self) -> frozenset[str]:
        """Engines that are being given an order by this process."""
        return frozenset(e for e, task in self._giving.items() if not task.done())

    async def take(self, step: reconciler.Step, document: int) -> None:
        """Take one step; a step that fails is decided on anew in the next pass."""
        await _take(step, self, document)

    async def wait(self) -> None:
        """Wait until no order is being given."""
        await asyncio.gather(*self._giving.values(), return_exceptions=True)

    def cancel(self) -> None:
        """Break off; what is pending is settled by whoever holds the duty next."""
        for task in self._giving.values():
            task.cancel()

    async def move(
        self, slot: slots.Slot, action: str, document: int, detail: str
    ) -> None:
        """Update a slot and record what came of it."""
        outcome = await self._slots.update(slot)
        shown = "done" if isinstance(outcome, slots.Slot) else str(outcome)
        self._audit.add(document, action, slot.engine, shown, detail)
        _log.info(action, engine=slot.engine, outcome=shown, detail=detail)

    def begin_order(self, request: orders.OrderRequest) -> None:
        """Give an order in a task of its own."""
        task = asyncio.create_task(self._give(request))
        self._giving[request.engine.name] = task

    async def settle(self, step: reconciler.SettleOrder, document: int) -> None:
        """Settle an order that took effect without its sender's knowledge."""
        outcome = await self._giver.settle(step.slot, step.state)
        shown = "done" if isinstance(outcome, slots.Slot) else str(outcome)
        detail = str(step.slot.order)
        self._audit.add(document, "settle", step.slot.engine, shown, detail)

    async def _give(self, request: orders.OrderRequest) -> None:
        superseded = request.slot.order if _pending(request.slot) else None
        detail = f"{request.target}; {request.reason}; supersedes {superseded}"
        engine = request.engine.name
        # Written before the order goes out, so that a crash in between leaves the
        # intention on record and the successor's record tells the rest.
        self._audit.add(request.document, "order", engine, "intended", detail)
        await self._audit.flush()
        outcome = await self._giver.give(request)
        shown = type(outcome).__name__
        self._audit.add(request.document, "order", engine, shown, str(outcome))
        _log.info("order", engine=engine, outcome=shown)


@functools.singledispatch
async def _take(step: reconciler.Step, taker: StepTaker, document: int) -> None:
    raise TypeError(f"no such step: {step!r}")


@_take.register
async def _(step: reconciler.Hold, taker: StepTaker, document: int) -> None:
    pass


@_take.register
async def _(step: reconciler.BeginDrain, taker: StepTaker, document: int) -> None:
    moved = step.slot.moved(
        slots.Event.DRAIN,
        role=step.role,
        document_role=step.document_role,
        reason=step.reason,
    )
    await taker.move(moved, "drain", document, f"{step.reason}; role {step.role}")


@_take.register
async def _(step: reconciler.Abandon, taker: StepTaker, document: int) -> None:
    moved = step.slot.moved(slots.Event.ABANDON)
    await taker.move(moved, "abandon drain", document, "no change is needed")


@_take.register
async def _(step: reconciler.ReturnToService, taker: StepTaker, document: int) -> None:
    moved = step.slot.moved(slots.Event.RETURN)
    await taker.move(moved, "return to service", document, step.slot.reason)


@_take.register
async def _(step: reconciler.SettleOrder, taker: StepTaker, document: int) -> None:
    await taker.settle(step, document)


@_take.register
async def _(step: reconciler.GiveOrder, taker: StepTaker, document: int) -> None:
    taker.begin_order(step.request)


def _pending(slot: slots.Slot) -> bool:
    return slot.state is slots.SlotState.PENDING
