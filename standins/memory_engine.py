"""In-memory model engine, and the client through which an actor sends it orders."""

import asyncio
import dataclasses
import datetime
import itertools
import json
import typing

from pimentolatch import settings
from pimentolatch.backend import order_client
from tests.support import control_history, seeded_scheduler

__all__ = ["EngineKind", "Links", "MemoryEngine", "MemoryOrderClient"]

_incarnations = itertools.count(1)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineKind:
    """Properties of an engine.

    Attributes:
        checks_fencing: Whether orders with an old fencing token are refused.
        rejects_late_orders: Whether an order is rejected if its body arrives after
            the read timeout. Only a test of the effect of this safeguard disables it.
        reports_streams: Whether the reported state counts the running streams. Only a
            test of the effect of this safeguard disables it.
        read_timeout_s: Timeout for receiving an order, in seconds.
        change_s: Duration of a change, in seconds.
    """

    checks_fencing: bool
    rejects_late_orders: bool = True
    reports_streams: bool = True
    read_timeout_s: float = 2.0
    change_s: float = 1.0


class MemoryEngine:
    """An engine; a restart loses all state but its kind.

    Attributes:
        crashes_during_change: Number of the next changes during which it crashes.
    """

    def __init__(
        self,
        name: str,
        kind: EngineKind,
        scheduler: seeded_scheduler.Scheduler,
        recorder: control_history.Recorder,
        models: tuple[tuple[str, str], ...],
    ) -> None:
        self.name = name
        self.kind = kind
        self.up = True
        self._scheduler = scheduler
        self._recorder = recorder
        self._initial_models = models
        self.crashes_during_change = 0
        self._start()

    def _start(self) -> None:
        self.incarnation = f"{self.name}/{next(_incarnations)}"
        self.role = "mixed"
        self.models = self._initial_models
        self.fence = 0
        self.changing = False
        self.last_order: str | None = None
        self.streams: dict[str, asyncio.Event] = {}

    def state(self) -> order_client.EngineState:
        """Return the state that the engine reports."""
        return order_client.EngineState(
            self.role,
            self.models,
            self.fence,
            self.changing,
            self.last_order,
            len(self.streams) if self.kind.reports_streams else 0,
            self.incarnation,
        )

    async def crash(self, downtime: datetime.timedelta) -> None:
        """Lose all state and restart after `downtime`."""
        if not self.up:
            return
        self.up = False
        self._cut("crash")
        self._recorder.add(
            control_history.EngineCrashed(self._scheduler.now, self.name)
        )
        await self._scheduler.time.sleep(downtime)
        self._start()
        self.up = True

    def begin_stream(self, request: str, sender: str) -> asyncio.Event | None:
        """Accept a request.

        Returns:
            An event that is set when the stream is cut; None if the request is refused.
        """
        if not self.up or self.changing:
            return None
        cut = self.streams[request] = asyncio.Event()
        self._recorder.add(
            control_history.StreamStarted(
                self._scheduler.now, self.name, request, sender
            )
        )
        return cut

    def end_stream(self, request: str) -> None:
        """Record the end of a request; no effect if it was cut."""
        if self.streams.pop(request, None) is not None:
            self._recorder.add(
                control_history.StreamEnded(self._scheduler.now, self.name, request)
            )

    async def handle_order(
        self, body: dict[str, typing.Any], opened_at: float
    ) -> order_client.Sent:
        """Handle an order whose last byte has just arrived on a connection."""
        if (
            self.kind.rejects_late_orders
            and self._scheduler.now > opened_at + self.kind.read_timeout_s
        ):
            return order_client.Refused("too slow")
        if self.kind.checks_fencing and body["fence"] < self.fence:
            return order_client.Refused("old fence")
        self.fence = max(self.fence, body["fence"])
        if body["order"] == self.last_order:
            return order_client.Taken(self.state())
        if self.changing:
            return order_client.Refused("changing")
        return await self._change(body)

    async def _change(self, body: dict[str, typing.Any]) -> order_client.Sent:
        incarnation = self.incarnation
        self.changing = True
        self.last_order = body["order"]
        target = {"role": body["role"], "models": body["models"]}
        self._recorder.add(
            control_history.OrderAccepted(
                self._scheduler.now,
                self.name,
                body["order"],
                body["fence"],
                body["sender"],
                json.dumps(target, sort_keys=True),
                len(self.streams),
                self.kind.checks_fencing,
            )
        )
        self._cut("order")
        if self.crashes_during_change > 0:
            self.crashes_during_change -= 1
            self._scheduler.start(self._crash_soon())
        await self._scheduler.time.sleep(seeded_scheduler.seconds(self.kind.change_s))
        if self.incarnation != incarnation or not self.up:
            return order_client.Unreachable("crashed")
        self.role = body["role"]
        self.models = tuple(sorted(body["models"].items()))
        self.changing = False
        self._recorder.add(
            control_history.OrderCompleted(
                self._scheduler.now, self.name, body["order"]
            )
        )
        return order_client.Taken(self.state())

    async def _crash_soon(self) -> None:
        fraction = self._scheduler.random.uniform(0.1, 0.9)
        await self._scheduler.time.sleep(
            seeded_scheduler.seconds(fraction * self.kind.change_s)
        )
        await self.crash(
            seeded_scheduler.seconds(self._scheduler.random.uniform(0.5, 4))
        )

    def _cut(self, cause: str) -> None:
        for request, cut in self.streams.items():
            self._recorder.add(
                control_history.StreamAborted(
                    self._scheduler.now, self.name, request, cause
                )
            )
            cut.set()
        self.streams.clear()


@dataclasses.dataclass(slots=True)
class Links:
    """Network partitions between actors.

    Attributes:
        cut: (sender, receiver) pairs, each for one direction.
    """

    cut: set[tuple[str, str]] = dataclasses.field(default_factory=set)

    def can_reach(self, sender: str, receiver: str) -> bool:
        """Return whether messages get through in this direction."""
        # A partition applies to all incarnations of an instance.
        return (sender.split("/")[0], receiver.split("/")[0]) not in self.cut


class MemoryOrderClient:
    """`orders.OrderClient` of one actor; the port of an address selects the engine."""

    def __init__(
        self,
        actor: str,
        scheduler: seeded_scheduler.Scheduler,
        engines: dict[int, MemoryEngine],
        links: Links,
    ) -> None:
        self._actor = actor
        self._scheduler = scheduler
        self._engines = engines
        self._links = links

    async def state(
        self, address: settings.Address
    ) -> order_client.EngineState | order_client.Unreachable:
        """See `orders.OrderClient.state`."""
        engine = self._engines[address.port]
        await self._scheduler.point(self._actor, "state")
        state = engine.state()
        reached = engine.up and self._is_connected(engine)
        await self._scheduler.point(self._actor, "state seen")
        return state if reached else order_client.Unreachable("no response")

    async def open(
        self, address: settings.Address, body: dict[str, typing.Any]
    ) -> order_client.Attempt | order_client.Unreachable:
        """See `orders.OrderClient.open`."""
        engine = self._engines[address.port]
        await self._scheduler.point(self._actor, "open")
        if not engine.up or not self._is_connected(engine):
            return order_client.Unreachable("no connection")
        attempt = _Attempt(self, engine, body, self._scheduler.now)
        await self._scheduler.point(self._actor, "opened")
        return attempt

    def _is_connected(self, engine: MemoryEngine) -> bool:
        outbound = self._links.can_reach(self._actor, engine.name)
        return outbound and self._links.can_reach(engine.name, self._actor)

    async def exchange(self, attempt: "_Attempt") -> order_client.Sent:
        """Send the order and wait for the response."""
        await self._scheduler.point(self._actor, "send")
        # Once sent, the bytes are delivered even if the sender is cancelled.
        delivery = self._scheduler.start(self._deliver(attempt))
        sent: order_client.Sent = await asyncio.shield(delivery)
        await self._scheduler.point(self._actor, "sent")
        if not self._links.can_reach(attempt.engine.name, self._actor):
            return order_client.Unreachable("response lost")
        return sent

    async def _deliver(self, attempt: "_Attempt") -> order_client.Sent:
        engine = attempt.engine
        latency = self._scheduler.random.choices(
            (0.001, 0.01, 0.2, 3.0), (50, 30, 15, 5)
        )[0]
        await self._scheduler.time.sleep(seeded_scheduler.seconds(latency))
        reached = self._links.can_reach(self._actor, engine.name)
        # A connection does not survive a restart of the engine.
        if engine.incarnation != attempt.incarnation or not engine.up or not reached:
            return order_client.Unreachable("connection reset")
        return await engine.handle_order(attempt.body, attempt.opened_at)


class _Attempt:
    def __init__(
        self,
        client: MemoryOrderClient,
        engine: MemoryEngine,
        body: dict[str, typing.Any],
        opened_at: float,
    ) -> None:
        self._client = client
        self.engine = engine
        self.incarnation = engine.incarnation
        self.body = body
        self.opened_at = opened_at

    async def send(self) -> order_client.Sent:
        """See `orders.Attempt.send`."""
        return await self._client.exchange(self)

    async def aclose(self) -> None:
        """See `orders.Attempt.aclose`."""
