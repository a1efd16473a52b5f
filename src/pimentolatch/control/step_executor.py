"""Executes the steps that the reconciler decides on, and audits them."""

import asyncio
import functools

import logbook

from pimentolatch.audit import trail
from pimentolatch.control import orders, reconciler, slots

__all__ = ["StepExecutor"]

_log = logbook.Logger("changes")


class StepExecutor:
    """Executes steps; orders take long, so each is sent in a task of its own.

    The executor outlives a leadership: an order that has been started is completed
    under its slot, whichever instance holds the lease by then.
    """

    def __init__(
        self,
        slot_objects: slots.SlotObjects,
        order_sender: orders.OrderSender,
        audit: trail.AuditTrail,
    ) -> None:
        self._slots = slot_objects
        self._order_sender = order_sender
        self._audit = audit
        self._order_tasks: dict[str, asyncio.Task[None]] = {}

    @property
    def busy(self) -> frozenset[str]:
        """Engines to which this process is sending an order."""
        return frozenset(e for e, task in self._order_tasks.items() if not task.done())

    async def execute(self, step: reconciler.Step, document: int) -> None:
        """Execute one step; a failed step is decided on again in the next pass."""
        await _execute(step, self, document)

    async def wait(self) -> None:
        """Wait until no order is being sent."""
        await asyncio.gather(*self._order_tasks.values(), return_exceptions=True)

    def cancel(self) -> None:
        """Cancel the sending of orders; the next leader resolves pending ones."""
        for task in self._order_tasks.values():
            task.cancel()

    async def update_slot(
        self, slot: slots.Slot, action: str, document: int, detail: str
    ) -> None:
        """Update a slot and record the outcome in the audit trail."""
        outcome = await self._slots.update(slot)
        result = "done" if isinstance(outcome, slots.Slot) else str(outcome)
        self._audit.add(document, action, slot.engine, result, detail)
        _log.info(action, engine=slot.engine, outcome=result, detail=detail)

    def start_order(self, request: orders.OrderRequest) -> None:
        """Start a task that sends an order."""
        task = asyncio.create_task(self._send(request))
        self._order_tasks[request.engine.name] = task

    async def settle(self, step: reconciler.SettleOrder, document: int) -> None:
        """Settle an order that took effect although its sender does not know it."""
        outcome = await self._order_sender.settle(step.slot, step.state)
        result = "done" if isinstance(outcome, slots.Slot) else str(outcome)
        detail = str(step.slot.order)
        self._audit.add(document, "settle", step.slot.engine, result, detail)

    async def _send(self, request: orders.OrderRequest) -> None:
        superseded = request.slot.order if _is_pending(request.slot) else None
        detail = f"{request.target}; {request.reason}; supersedes {superseded}"
        engine = request.engine.name
        # Written before the order is sent. After a crash in between, the intended order
        # is on record, and the next leader records its outcome.
        self._audit.add(request.document, "order", engine, "intended", detail)
        await self._audit.flush()
        outcome = await self._order_sender.send(request)
        result = type(outcome).__name__
        self._audit.add(request.document, "order", engine, result, str(outcome))
        _log.info("order", engine=engine, outcome=result)


@functools.singledispatch
async def _execute(
    step: reconciler.Step, executor: StepExecutor, document: int
) -> None:
    raise TypeError(f"unknown type of step: {step!r}")


@_execute.register
async def _(step: reconciler.Blocked, executor: StepExecutor, document: int) -> None:
    pass


@_execute.register
async def _(step: reconciler.BeginDrain, executor: StepExecutor, document: int) -> None:
    updated = step.slot.after_event(
        slots.Event.DRAIN,
        role=step.role,
        document_role=step.document_role,
        reason=step.reason,
    )
    await executor.update_slot(
        updated, "drain", document, f"{step.reason}; role {step.role}"
    )


@_execute.register
async def _(
    step: reconciler.AbandonDrain, executor: StepExecutor, document: int
) -> None:
    updated = step.slot.after_event(slots.Event.ABANDON)
    await executor.update_slot(
        updated, "abandon drain", document, "no change is needed"
    )


@_execute.register
async def _(
    step: reconciler.ReturnToService, executor: StepExecutor, document: int
) -> None:
    updated = step.slot.after_event(slots.Event.RETURN)
    await executor.update_slot(updated, "return to service", document, step.slot.reason)


@_execute.register
async def _(
    step: reconciler.SettleOrder, executor: StepExecutor, document: int
) -> None:
    await executor.settle(step, document)


@_execute.register
async def _(step: reconciler.SendOrder, executor: StepExecutor, document: int) -> None:
    executor.start_order(step.request)


def _is_pending(slot: slots.Slot) -> bool:
    return slot.state is slots.SlotState.PENDING
