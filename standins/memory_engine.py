"""A model engine in memory, and the client through which one actor orders it."""

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
    """How an engine is made.

    Attributes:
        checks_fencing: Whether it refuses an order with an old fencing number.
        closes_late: Whether it closes a connection whose order is late. Only a test
            of what happens without the safeguard turns it off.
        counts_streams: Whether its state tells of its streams; likewise.
    """

    checks_fencing: bool
    closes_late: bool = True
    counts_streams: bool = True
    read_timeout_s: float = 2.0
    change_s: float = 1.0


class MemoryEngine:
    """One engine; a start loses everything but its kind."""

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
        self._first_models = models
        self.crash_in_change = 0
        self._start()

    def _start(self) -> None:
        self.incarnation = f"{self.name}/{next(_incarnations)}"
        self.role = "mixed"
        self.models = self._first_models
        self.fence = 0
        self.changing = False
        self.last_order: str | None = None
        self.streams: dict[str, asyncio.Event] = {}

    def state(self) -> order_client.EngineState:
        """Return what the engine says of itself."""
        return order_client.EngineState(
            self.role,
            self.models,
            self.fence,
            self.changing,
            self.last_order,
            len(self.streams) if self.kind.counts_streams else 0,
            self.incarnation,
        )

    async def crash(self, down: datetime.timedelta) -> None:
        """Lose everything and come back after a while."""
        if not self.up:
            return
        self.up = False
        self._cut("crash")
        self._recorder.add(
            control_history.EngineCrashed(self._scheduler.now, self.name)
        )
        await self._scheduler.time.sleep(down)
        self._start()
        self.up = True

    def begin_stream(self, request: str, sender: str) -> asyncio.Event | None:
        """Take a request; returns the event of its being cut, or None if refused."""
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
        """Finish a request."""
        if self.streams.pop(request, None) is not None:
            self._recorder.add(
                control_history.StreamEnded(self._scheduler.now, self.name, request)
            )

    async def take(
        self, body: dict[str, typing.Any], opened: float
    ) -> order_client.Sent:
        """Take an order whose last byte has just arrived."""
        if (
            self.kind.closes_late
            and self._scheduler.now > opened + self.kind.read_timeout_s
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
        if self.crash_in_change > 0:
            self.crash_in_change -= 1
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
        part = self._scheduler.random.uniform(0.1, 0.9)
        await self._scheduler.time.sleep(
            seeded_scheduler.seconds(part * self.kind.change_s)
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
    """Cut links: (from, to) pairs, one direction each."""

    cut: set[tuple[str, str]] = dataclasses.field(default_factory=set)

    def carries(self, sender: str, receiver: str) -> bool:
        """Tell whether messages pass in this direction."""
        # A link belongs to an instance, whichever start of it.
        return (sender.split("/")[0], receiver.split("/")[0]) not in self.cut


class MemoryOrderClient:
    """`orders.OrderClient` of one actor; engines are told apart by their ports."""

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
        answer = engine.state()
        reached = engine.up and self._reaches(engine)
        await self._scheduler.point(self._actor, "state seen")
        return answer if reached else order_client.Unreachable("no answer")

    async def open(
        self, address: settings.Address, body: dict[str, typing.Any]
    ) -> order_client.Attempt | order_client.Unreachable:
        """See `orders.OrderClient.open`."""
        engine = self._engines[address.port]
        await self._scheduler.point(self._actor, "open")
        if not engine.up or not self._reaches(engine):
            return order_client.Unreachable("no connection")
        attempt = _Attempt(self, engine, body, self._scheduler.now)
        await self._scheduler.point(self._actor, "opened")
        return attempt

    def _reaches(self, engine: MemoryEngine) -> bool:
        out = self._links.carries(self._actor, engine.name)
        return out and self._links.carries(engine.name, self._actor)

    async def exchange(self, attempt: "_Attempt") -> order_client.Sent:
        """Write the order's bytes and wait for the answer."""
        await self._scheduler.point(self._actor, "send")
        # Once written, the bytes are on their way whatever becomes of the sender.
        on_the_way = self._scheduler.start(self._deliver(attempt))
        sent: order_client.Sent = await asyncio.shield(on_the_way)
        await self._scheduler.point(self._actor, "sent")
        if not self._links.carries(attempt.engine.name, self._actor):
            return order_client.Unreachable("the answer was lost")
        return sent

    async def _deliver(self, attempt: "_Attempt") -> order_client.Sent:
        engine = attempt.engine
        late = self._scheduler.random.choices((0.001, 0.01, 0.2, 3.0), (50, 30, 15, 5))[
            0
        ]
        await self._scheduler.time.sleep(seeded_scheduler.seconds(late))
        reached = self._links.carries(self._actor, engine.name)
        # A connection belongs to one start of the engine.
        if engine.incarnation != attempt.incarnation or not engine.up or not reached:
            return order_client.Unreachable("connection reset")
        return await engine.take(attempt.body, attempt.opened)


class _Attempt:
    def __init__(
        self,
        client: MemoryOrderClient,
        engine: MemoryEngine,
        body: dict[str, typing.Any],
        opened: float,
    ) -> None:
        self._client = client
        self.engine = engine
        self.incarnation = engine.incarnation
        self.body = body
        self.opened = opened

    async def send(self) -> order_client.Sent:
        """See `orders.Attempt.send`."""
        return await self._client.exchange(self)

    async def aclose(self) -> None:
        """See `orders.Attempt.aclose`."""
