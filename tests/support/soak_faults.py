"""The faults of a soak run, drawn from a seed; they come in series and overlap."""

import asyncio
import dataclasses
import random
import signal

from standins import relay
from tests.support import route_world

# What servers do wrong, one request at a time.
SERVER_FAULTS = (
    "decline",
    "reset",
    "cut",
    "cut",
    "no proof",
    "other first",
    "other first",
    "fail",
    "silent",
    "slow",
    "late",
    "from the start",
)
# What a request does that ends the servers which run it.
SERVER_ENDS = "server ends"
# Planned work; a gateway that meets nothing else cuts no request.
PLANNED = frozenset({"term", "drain", "configure", "hup"})
# Requests of one server that go wrong one after the other.
FAULTS_IN_A_ROW = 12
# Long enough for a request that comes too late to be seen.
DRAIN_TO_END_S = 5.0
LONGEST_S = 3.0


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault, as it was drawn."""

    at: float
    kind: str
    share: float
    span: float


@dataclasses.dataclass
class Struck:
    """What a fault did; `gateway` is empty if it concerns all of them."""

    kind: str
    gateway: str
    begin: float
    end: float


KINDS = (
    "kill",
    "term",
    "term",
    "pause",
    "hup",
    "store cut",
    "store cut one way",
    "store down",
    "store forgets",
    "server cut",
    "server cut one way",
    "server delayed",
    "server reset",
    "server crash",
    "server misbehaves",
    "server misbehaves",
    "server misbehaves",
    "server misbehaves",
    "drain",
    "drain",
    "configure",
    "configure",
    "clients reset",
    "clients delayed",
)


def draw(seed, seconds, often_s):
    """Return the faults of a run."""
    chance = random.Random(seed)
    faults = []
    at = 0.5
    while at < seconds:
        kind = chance.choice(KINDS)
        faults.append(Fault(at, kind, chance.random(), chance.uniform(0.3, LONGEST_S)))
        # Now and then two at one moment.
        at += chance.choice((0.0, 1.0, 1.0, 1.0)) * chance.uniform(0.2, 2 * often_s)
    return faults


class Striker:
    """Carries faults out and notes what they struck."""

    def __init__(self, world, clock):
        self._world = world
        self._clock = clock
        self.struck = []
        self.drained = {}
        self.added = {}

    async def strike(self, fault):
        """Carry one fault out, to its end."""
        method = getattr(self, "_" + fault.kind.replace(" ", "_"))
        struck = Struck(fault.kind, "", self._clock(), float("inf"))
        self.struck.append(struck)
        try:
            await method(fault, struck)
        finally:
            struck.end = self._clock()

    def _gateway(self, fault, struck):
        names = sorted(self._world.gateways)
        gateway = self._world.gateways[names[int(fault.share * len(names))]]
        struck.gateway = gateway.name
        return gateway

    def _server(self, fault):
        names = sorted(n for n, s in self._world.servers.items() if s.state == "ready")
        return self._world.servers[names[int(fault.share * len(names))]]

    async def _kill(self, fault, struck):
        gateway = self._gateway(fault, struck)
        if gateway.running:
            gateway.popen.kill()
        await self._back(gateway, fault)

    async def _term(self, fault, struck):
        gateway = self._gateway(fault, struck)
        if gateway.running:
            gateway.popen.send_signal(signal.SIGTERM)
        await self._back(gateway, fault)

    async def _back(self, gateway, fault):
        life = gateway.lives
        await self._world.until(lambda: not gateway.running)
        await asyncio.sleep(fault.span / 3)
        if gateway.lives == life:
            self._world.restart(gateway.name)
        await self._world.until_ready(gateway.name)

    async def _pause(self, fault, struck):
        gateway = self._gateway(fault, struck)
        if gateway.running:
            gateway.popen.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.span)
            gateway.popen.send_signal(signal.SIGCONT)

    async def _hup(self, fault, struck):
        gateway = self._gateway(fault, struck)
        # A process that has not yet set its handlers would end.
        if gateway.running and await self._world.is_ready(gateway.name):
            gateway.popen.send_signal(signal.SIGHUP)

    async def _cut(self, name, fault, *directions):
        for direction in directions:
            self._world.relays.cut(name, direction)
        await asyncio.sleep(fault.span)
        self._world.relays.heal(name)

    async def _store_cut(self, fault, struck):
        name = f"store of {self._gateway(fault, struck).name}"
        await self._cut(name, fault, relay.TO_SERVER, relay.TO_CLIENT)

    async def _store_cut_one_way(self, fault, struck):
        name = f"store of {self._gateway(fault, struck).name}"
        await self._cut(name, fault, relay.TO_CLIENT)

    async def _store_down(self, fault, struck):
        store = self._world.store
        if store.is_running:
            await store.stop()
            await asyncio.sleep(fault.span)
            await store.start()

    async def _store_forgets(self, fault, struck):
        self._world.platform.table.compact_history()

    async def _server_cut(self, fault, struck):
        name = self._server(fault).server_id
        await self._cut(name, fault, relay.TO_SERVER, relay.TO_CLIENT)

    async def _server_cut_one_way(self, fault, struck):
        await self._cut(self._server(fault).server_id, fault, relay.TO_SERVER)

    async def _server_delayed(self, fault, struck):
        name = self._server(fault).server_id
        self._world.relays.delay(name, 0.1)
        await asyncio.sleep(fault.span)
        self._world.relays.heal(name)

    async def _server_reset(self, fault, struck):
        self._world.relays.reset(self._server(fault).server_id)

    async def _server_crash(self, fault, struck):
        server = self._server(fault)
        if self._spare(server):
            await self._world.remove_server(server.server_id)
            await self._world.add_server(server.service, server.stage)

    async def _server_misbehaves(self, fault, struck):
        server = self._server(fault)
        chance = random.Random(fault.share)
        server.faults.extend(chance.choices(SERVER_FAULTS, k=FAULTS_IN_A_ROW))

    async def _drain(self, fault, struck):
        server = self._server(fault)
        if not self._spare(server):
            return
        server.state = "draining"
        await self._world.list_server(server.server_id)
        self.drained[server.server_id] = self._clock()
        await self._world.add_server(server.service, server.stage)
        await asyncio.sleep(DRAIN_TO_END_S)
        await self._world.remove_server(server.server_id)

    async def _configure(self, fault, struck):
        name = f"added{self._world.version}"
        await self._world.configure(route_world.route(name, "app", "safe"))
        self.added[name] = self._clock()

    async def _clients_reset(self, fault, struck):
        self._world.relays.reset(f"clients of {self._gateway(fault, struck).name}")

    async def _clients_delayed(self, fault, struck):
        name = f"clients of {self._gateway(fault, struck).name}"
        self._world.relays.delay(name, 0.2)
        await asyncio.sleep(fault.span)
        self._world.relays.heal(name)

    def _spare(self, server):
        """Tell whether another server of its kind remains."""
        alike = [
            other
            for other in self._world.servers.values()
            if (other.service, other.stage) == (server.service, server.stage)
            and other.state == "ready"
        ]
        return len(alike) > 1
