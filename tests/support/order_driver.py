"""A process that sends one order and can freeze itself between two steps of it.

It takes `--settings FILE`: `instance`, `failure_domain`, the platform's `address`, the
`engine` as in the fleet document, the `role` to order, and `freeze_at`: `opened`
(connected, slot unchanged), `pending` (slot updated, nothing sent) or empty. It exits
once the engine has its role and the slot is settled, or another process has taken the
slot over, and prints the outcome.
"""

import argparse
import asyncio
import datetime
import json
import os
import pathlib
import signal
import typing

from pimentolatch import clock, settings
from pimentolatch.backend import order_client
from pimentolatch.control import orders, slots
from pimentolatch.document import schema
from pimentolatch.platform import objects
from pimentolatch.requests import identity

__all__ = ["main"]

_PAUSE_S = 0.1
_MODELS = (("badge-draft", "1"),)


def _freeze() -> None:
    os.kill(os.getpid(), signal.SIGSTOP)


class _FreezingClient:
    """Freezes the process at the step given by `freeze_at`."""

    def __init__(self, inner: order_client.HttpOrderClient, freeze_at: str) -> None:
        self._inner = inner
        self._freeze_at = freeze_at

    async def state(
        self, address: settings.Address
    ) -> order_client.EngineState | order_client.Unreachable:
        """See `order_client.OrderClient.state`."""
        return await self._inner.state(address)

    async def open(
        self, address: settings.Address, body: dict[str, typing.Any]
    ) -> order_client.Attempt | order_client.Unreachable:
        """See `order_client.OrderClient.open`."""
        attempt = await self._inner.open(address, body)
        if self._freeze_at == "opened":
            _freeze()
        if isinstance(attempt, order_client.Unreachable):
            return attempt
        return _FreezingAttempt(attempt, self._freeze_at)


class _FreezingAttempt:
    def __init__(self, inner: order_client.Attempt, freeze_at: str) -> None:
        self._inner = inner
        self._freeze_at = freeze_at

    async def send(self) -> order_client.Sent:
        """See `order_client.Attempt.send`."""
        if self._freeze_at == "pending":
            _freeze()
        return await self._inner.send()

    async def aclose(self) -> None:
        """See `order_client.Attempt.aclose`."""
        await self._inner.aclose()


class _Driver:
    def __init__(self, config: dict[str, typing.Any]) -> None:
        self._sender = f"{config['instance']}/{identity.new_id()}"
        self._once = bool(config["freeze_at"])
        self._engine = schema.Engine(**config["engine"])
        self._target = slots.Target(config["role"], _MODELS)
        platform = settings.PlatformSettings(address=config["address"])
        self._clock = clock.SystemClock()
        limit = datetime.timedelta(seconds=platform.call_timeout_s)
        self._store = objects.ObjectStore(platform.address, limit, self._clock)
        self._slots = slots.SlotObjects(self._store, config["failure_domain"])
        inner = order_client.HttpOrderClient(config["instance"])
        self._client = _FreezingClient(inner, config["freeze_at"])
        self._order_sender = orders.OrderSender(self._slots, self._client, self._sender)

    async def run(self) -> str:
        """Run until the order has an outcome and return it."""
        last_version, last_change = -1, self._clock.monotonic()
        while True:
            slot = await self._slots.read(self._engine.name)
            if isinstance(slot, slots.Slot):
                if slot.version != last_version:
                    last_version, last_change = slot.version, self._clock.monotonic()
                pending_age = self._clock.monotonic() - last_change
                state = await self._client.state(self._engine.address)
                outcome = await self._step(slot, state, pending_age)
                if outcome is not None:
                    self._store.close()
                    return outcome
            await asyncio.sleep(_PAUSE_S)

    async def _step(
        self, slot: slots.Slot, state: typing.Any, pending_age: typing.Any
    ) -> str | None:
        if slot.state is slots.SlotState.SERVING:
            await self._slots.update(slot.after_event(slots.Event.DRAIN))
            return None
        own = slot.order is not None and slot.order.target == self._target
        if slot.state is slots.SlotState.SETTLED and own:
            return "settled"
        if isinstance(state, order_client.Unreachable):
            return None
        if slot.state is not slots.SlotState.PENDING:
            return await self._send_order(slot, state.fence)
        resolution = orders.resolve(slot, self._engine, state, pending_age)
        if isinstance(resolution, orders.Settle):
            await self._order_sender.settle(slot, state)
        if isinstance(resolution, orders.TakeOver):
            return await self._send_order(slot, resolution.fence)
        return None

    async def _send_order(self, slot: slots.Slot, fence: int) -> str | None:
        request = orders.OrderRequest(
            slot, self._engine, self._target, "test", 1, fence
        )
        outcome = await self._order_sender.send(request)
        # A process that was frozen makes one attempt, reports its outcome and exits.
        return type(outcome).__name__ if self._once else None


def main() -> None:
    """Run the driver from a settings file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", required=True, type=pathlib.Path)
    text = parser.parse_args().settings.read_text(encoding="utf-8")
    print(f"outcome: {asyncio.run(_Driver(json.loads(text)).run())}", flush=True)


if __name__ == "__main__":
    main()
