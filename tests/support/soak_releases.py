"""Runs of the soak in which software is released while a gateway is out of step.

A gateway is cut off from its peers and the store, or stands still. Engines of another
version join meanwhile and the earlier ones drain, or engines start again under their
ids at the other version. Clients disconnect from streams in the midst and resume them,
most of them at that gateway. No stream may go on at another version than it began at.
"""

import asyncio
import itertools
import random
import signal
import time

from standins import relay
from tests.support import soak_clients, soak_faults, version_world

__all__ = [
    "GATEWAYS",
    "ReleaseInjector",
    "clients",
    "draw",
    "prepare",
    "version_violations",
]

GATEWAYS = 4
RELEASE_KINDS = (
    "release beside a cut",
    "release beside a cut",
    "release beside a standstill",
    "restarts beside a cut",
)
PLANNED_KINDS = ("configure", "hup")
# Before a release all engines have one version for longer than a stream may last.
FIRST_RELEASE_S = (3.0, 4.0)
RELEASE_INTERVAL_S = (6.0, 8.0)
PLANNED_INTERVAL_S = (1.0, 3.0)
OUT_OF_STEP_S = (1.0, 4.0)
# From the begin of that time to the release.
BEFORE_RELEASE_S = (0.0, 0.6)
# Those that drain serve on for longer than a stream lasts.
DRAINING_S = 1.0
TIMEOUT_MS = 2_500
RESTART_INTERVAL_S = 0.1
FIRST_START_MS = 1_000
EVENT_COUNT = 10
EVENT_PAUSE_S = 0.06
CLIENTS = 40
MAX_ATTEMPTS = 4
RETURN_S = (0.05, 1.0)
# Share of resumptions that go to the gateway which is out of step.
RESUMED_THERE = 0.7


def draw(seed, seconds):
    """Return the releases and planned operations of a run, in order."""
    rng = random.Random(f"releases of {seed}")
    faults = []
    for kinds, first_s, interval_s in (
        (RELEASE_KINDS, FIRST_RELEASE_S, RELEASE_INTERVAL_S),
        (PLANNED_KINDS, PLANNED_INTERVAL_S, PLANNED_INTERVAL_S),
    ):
        at = rng.uniform(*first_s)
        while at < seconds:
            duration_s = rng.uniform(*OUT_OF_STEP_S)
            kind = rng.choice(kinds)
            faults.append(soak_faults.Fault(at, kind, rng.random(), duration_s))
            at += rng.uniform(*interval_s)
    return sorted(faults, key=lambda fault: fault.at)


def prepare(world, seed):
    """Give a world streams that last, and engines that tell when they started."""
    world.event_count = EVENT_COUNT
    world.event_pause_s = EVENT_PAUSE_S
    world.first_start_ms = FIRST_START_MS
    world.routes = [route | {"timeout_ms": TIMEOUT_MS} for route in world.routes]


class StreamClient(soak_clients.Client):
    """Begins streams, disconnects in their midst, and resumes them elsewhere.

    Attributes:
        streams: Attempts of each stream, in order.
        out_of_step: Name of the gateway to resume at; None for any.
    """

    def __init__(self, world, number, seed, clock):
        super().__init__(world, number, seed, clock, keeps_connection=False)
        self.streams = []
        self.out_of_step = None
        self._leaves_after = EVENT_COUNT

    async def run(self, stop):
        """Read streams, one after another, until `stop` is set."""
        while not stop.is_set():
            self.streams.append([])
            for _ in range(MAX_ATTEMPTS):
                await self._read_on()
                if stop.is_set() or self._is_read():
                    break
                await asyncio.sleep(self._rng.uniform(*RETURN_S))

    async def _read_on(self):
        self._leaves_after = self._rng.randint(1, EVENT_COUNT)
        request_id = f"{self._number:02x}{self._rng.getrandbits(56):014x}"
        known = len(self.attempts)
        await self.send("digest", request_id)
        self.streams[-1] += self.attempts[known:]

    def _is_read(self):
        attempts = self.streams[-1]
        return bool(attempts) and attempts[-1].complete and attempts[-1].status == 200

    def _fields(self):
        events = _events(self.streams[-1])
        if not events:
            return {}
        first = next(a for a in self.streams[-1] if _events([a]))
        return {"last_event_id": str(events[-1].number), "resumes": first.request_id}

    def _leaves(self, attempt):
        if len(_events([attempt])) < self._leaves_after:
            return False
        attempt.left = True
        return True

    def _choose_gateway(self):
        resumes = self.streams[-1] and self.out_of_step is not None
        if resumes and self._rng.random() < RESUMED_THERE:
            return self.out_of_step
        return super()._choose_gateway()


def _events(attempts):
    return [
        event
        for attempt in attempts
        if attempt.status == 200
        for event in version_world.events_of(attempt.response_body)
    ]


def clients(world, seed, clock):
    """Return clients that resume streams."""
    return [
        StreamClient(world, number, seed * 1000 + number, clock)
        for number in range(CLIENTS)
    ]


class ReleaseInjector(soak_faults.FaultInjector):
    """Injects releases beside a gateway that is out of step."""

    def __init__(self, world, clock, clients):
        super().__init__(world, clock, clients)
        self._versions = (f"v{number}" for number in itertools.count(2))
        self._releasing = asyncio.Lock()

    async def _release_beside_a_cut(self, fault, injected):
        await self._beside(fault, injected, self._cut_off, self._release)

    async def _release_beside_a_standstill(self, fault, injected):
        await self._beside(fault, injected, self._stand_still, self._release)

    async def _restarts_beside_a_cut(self, fault, injected):
        await self._beside(fault, injected, self._cut_off, self._restart_engines)

    async def _beside(self, fault, injected, harm, release):
        rng = random.Random(fault.selector)
        async with self._releasing:
            gateway = self._gateway(fault, injected)
            for client in self._clients:
                client.out_of_step = gateway.name
            harmed = asyncio.create_task(harm(gateway, fault.duration_s))
            await asyncio.sleep(rng.uniform(*BEFORE_RELEASE_S))
            version = next(self._versions)
            self._world.versions = itertools.repeat(version)
            await asyncio.gather(harmed, release(version))
            for client in self._clients:
                client.out_of_step = None

    async def _cut_off(self, gateway, seconds):
        """Cut a gateway off from its peers and the store."""
        begin = self._clock()
        relays, own = self._world.relays, gateway.name
        cuts = [
            cut
            for other in self._world.gateways
            if other != own
            for ends in ((own, other), (other, own))
            for cut in (
                *self._world.connection_cuts(*ends),
                *self._world.datagram_cuts(*ends),
            )
        ]
        relays.add_cuts(cuts)
        for direction in (relay.TO_SERVER, relay.TO_CLIENT):
            relays.cut(f"store of {own}", direction)
        await asyncio.sleep(seconds)
        relays.remove_cuts(cuts)
        relays.heal(f"store of {own}")
        self._record("store cut", own, begin)

    async def _stand_still(self, gateway, seconds):
        begin = self._clock()
        gateway.popen.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        gateway.popen.send_signal(signal.SIGCONT)
        self._record("pause", gateway.name, begin)

    def _record(self, kind, gateway, begin):
        fault = soak_faults.InjectedFault(kind, gateway, begin, self._clock())
        self.injected.append(fault)

    def _engines(self):
        servers = self._world.servers.values()
        return [s for s in servers if s.stage is not None and s.state == "ready"]

    async def _release(self, version):
        """Add an engine of a version for each engine, and drain the earlier ones."""
        earlier = self._engines()
        for engine in earlier:
            await self._world.add_server(engine.service, engine.stage)
        for engine in earlier:
            engine.state = "draining"
            await self._world.list_server(engine.server_id)
            self.drains_started_at[engine.server_id] = self._clock()
        await asyncio.sleep(DRAINING_S)
        for engine in earlier:
            await self._world.remove_server(engine.server_id)

    async def _restart_engines(self, version):
        """Start all engines again under their ids, one after the other."""
        begin = self._clock()
        for engine in self._engines():
            engine.restart(round(time.time() * 1000), version)
            await self._world.list_server(engine.server_id)
            await asyncio.sleep(RESTART_INTERVAL_S)
        self._record("server crash", "", begin)

    def streams(self):
        """Return the attempts of each stream of all clients."""
        return [stream for client in self._clients for stream in client.streams]


def version_violations(attempts, servers, injector, margin_s):
    """Yield a line for each stream that went on at another version, or not in order."""
    for stream in injector.streams():
        events = _events(stream)
        numbers = [event.number for event in events]
        versions = sorted({event.version for event in events})
        ways = ", ".join(f"{a.request_id} at {a.gateway}" for a in stream)
        if len(versions) > 1:
            yield f"a stream has events of {versions}: {ways}"
        if numbers != list(range(1, len(numbers) + 1)):
            yield f"a stream has the events {numbers}: {ways}"
