"""Faults of a soak run, drawn from a seed; they come in bursts and overlap."""

import asyncio
import dataclasses
import random
import signal

from standins import relay
from tests.support import route_world, soak_clients

# Faults of a server; each applies to one request.
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
# Recorded when a request has crashed the server that ran it.
CRASHED_BY_REQUEST = "server ends"
# Planned operations; a gateway that meets no other fault aborts no request.
PLANNED = frozenset({"term", "drain", "configure", "hup"})
# Number of consecutive requests of one server that a fault affects.
CONSECUTIVE_FAULTS = 12
# A drained server runs on this long, so that requests sent too late are detected.
REMOVAL_DELAY_S = 5.0
# How long a server names a limit, and the limits that are drawn, in requests a second.
LIMIT_S = 8.0
LIMITS = (0.0, 1.0, 2.5, 4.0)
# How long a server says in its answers that it leaves before the store's list does.
LEAVE_UNLISTED_S = 3.5
# How long a server declines, and the rests that it asks for, in seconds.
DECLINE_S = 4.0
RESTS = ("0.8", "2", "3.5")
# Mean time between two faults that servers announce in their answers.
NOTICE_INTERVAL_S = 2.5
MAX_DURATION_S = 3.0


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault as drawn from the seed.

    Attributes:
        at: Seconds from the start of the run.
        selector: Uniform random number that selects the gateway or server.
        duration_s: How long the fault lasts, if it doesn't end at once.
    """

    at: float
    kind: str
    selector: float
    duration_s: float


@dataclasses.dataclass
class InjectedFault:
    """Effect of an injected fault; an empty `gateway` means that all are affected."""

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


def draw(seed, seconds, interval_s):
    """Return the faults of a run, about `interval_s` apart, for `seconds`."""
    rng = random.Random(seed)
    faults = []
    at = 0.5
    while at < seconds:
        kind = rng.choice(KINDS)
        faults.append(Fault(at, kind, rng.random(), rng.uniform(0.3, MAX_DURATION_S)))
        # One fault in four coincides with the one before.
        at += rng.choice((0.0, 1.0, 1.0, 1.0)) * rng.uniform(0.2, 2 * interval_s)
    return faults


NOTICE_KINDS = ("server limits", "server leaves", "server rests")


def draw_notices(seed, seconds):
    """Return the faults of a run that servers announce in their answers.

    They are drawn apart from the others, whose seeds go on drawing what they drew.
    """
    rng = random.Random(f"notices of {seed}")
    faults = []
    at = 0.2
    while at < seconds:
        kind = rng.choice(NOTICE_KINDS)
        faults.append(Fault(at, kind, rng.random(), rng.uniform(0.3, MAX_DURATION_S)))
        at += rng.uniform(0.2, 2 * NOTICE_INTERVAL_S)
    return faults


# About the size of plain answers and of streams, of which some are cut at any byte.
ANSWER_BYTES = (100, 400)
CUT_INTERVAL_S = 2.0
CUTS = 6


def draw_cuts(seed, seconds):
    """Return the faults of a run in which answers of a server are cut at any byte."""
    rng = random.Random(f"cuts of {seed}")
    faults = []
    at = rng.uniform(0.3, CUT_INTERVAL_S)
    while at < seconds:
        faults.append(Fault(at, "answers cut", rng.random(), 0.0))
        at += rng.uniform(0.2, 2 * CUT_INTERVAL_S)
    return faults


# Faults that silence open connections for good.
SILENCE_KINDS = (
    "store silent",
    "all stores silent",
    "server silent",
    "clients silent",
    "changes in silence",
    "changes in silence",
)
# Silence that may abort a response. What instances learn is never excused by it.
SILENCE_ABORTS = frozenset({"server silent", "clients silent"})
# Mean time between two faults of silence.
SILENCE_INTERVAL_S = 1.5


def draw_silence(seed, seconds):
    """Return the faults of a run in which connections fall silent.

    Half of them coincide with the one before, and many with faults of other kinds.
    """
    rng = random.Random(f"silence of {seed}")
    faults = []
    at = 0.5
    while at < seconds:
        kind = rng.choice(SILENCE_KINDS)
        faults.append(Fault(at, kind, rng.random(), rng.uniform(0.0, 1.0)))
        at += rng.choice((0.0, 2.0)) * rng.uniform(0.5, 1.5) * SILENCE_INTERVAL_S
    return faults


@dataclasses.dataclass
class NamedLimit:
    """A limit that a server named, with the span of time."""

    server_id: str
    rate: float
    begin: float
    end: float


@dataclasses.dataclass
class ServerSilence:
    """A span in which a server could not be reached."""

    server_id: str
    begin: float
    end: float


class FaultInjector:
    """Injects faults and records their effect.

    Args:
        world: The gateways.
        clock: Returns the time in seconds.
        clients: Clients of the run, to which some faults add.

    Attributes:
        injected: The faults injected so far.
        drains_started_at: Time at which each drain began, by server id.
        routes_added_at: Time at which each route was added, by route name.
        routes_dropped_at: Time at which each route was dropped, by route name.
        silences: Spans in which a server could not be reached.
        limits: Limits that servers named.
        leaves_said_at: Time from which a server says that it leaves, by server id.
        rests: Rest that a server asks for in seconds, by server id.
    """

    def __init__(self, world, clock, clients):
        self._world = world
        self._clock = clock
        self._clients = clients
        self.injected = []
        self.drains_started_at = {}
        self.routes_added_at = {}
        self.routes_dropped_at = {}
        self.silences = []
        self.limits = []
        self.leaves_said_at = {}
        self.rests = {}

    def requested_routes(self):
        """Return the names of the routes that clients use, repeated by weight."""
        return [*soak_clients.ROUTES, *self.routes_added_at]

    def was_on_its_way(self, server_id, sent_at, arrived_at):
        """Return whether a request may have been on its way as a server stood still."""
        return False

    async def inject(self, fault):
        """Inject one fault and return once it has ended."""
        method = getattr(self, "_" + fault.kind.replace(" ", "_"))
        injected = InjectedFault(fault.kind, "", self._clock(), float("inf"))
        self.injected.append(injected)
        try:
            await method(fault, injected)
        finally:
            injected.end = self._clock()

    def _gateway(self, fault, injected):
        names = sorted(self._world.gateways)
        gateway = self._world.gateways[names[int(fault.selector * len(names))]]
        injected.gateway = gateway.name
        return gateway

    def _server(self, fault):
        names = sorted(n for n, s in self._world.servers.items() if s.state == "ready")
        return self._world.servers[names[int(fault.selector * len(names))]]

    async def _kill(self, fault, injected):
        gateway = self._gateway(fault, injected)
        if gateway.running:
            gateway.popen.kill()
        await self._restart(gateway, fault)

    async def _term(self, fault, injected):
        gateway = self._gateway(fault, injected)
        if gateway.running:
            gateway.popen.send_signal(signal.SIGTERM)
        await self._restart(gateway, fault)

    async def _restart(self, gateway, fault):
        incarnation = gateway.incarnation
        await self._world.wait_until(lambda: not gateway.running)
        await asyncio.sleep(fault.duration_s / 3)
        if gateway.incarnation == incarnation:
            self._world.restart(gateway.name)
        await self._world.wait_until_ready(gateway.name)

    async def _pause(self, fault, injected):
        gateway = self._gateway(fault, injected)
        if gateway.running:
            gateway.popen.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.duration_s)
            gateway.popen.send_signal(signal.SIGCONT)

    async def _hup(self, fault, injected):
        gateway = self._gateway(fault, injected)
        # SIGHUP terminates a process that has not installed its signal handlers yet.
        if gateway.running and await self._world.is_ready(gateway.name):
            gateway.popen.send_signal(signal.SIGHUP)

    async def _cut(self, name, fault, *directions):
        for direction in directions:
            self._world.relays.cut(name, direction)
        await asyncio.sleep(fault.duration_s)
        self._world.relays.heal(name)

    async def _store_cut(self, fault, injected):
        name = f"store of {self._gateway(fault, injected).name}"
        await self._cut(name, fault, relay.TO_SERVER, relay.TO_CLIENT)

    async def _store_cut_one_way(self, fault, injected):
        name = f"store of {self._gateway(fault, injected).name}"
        await self._cut(name, fault, relay.TO_CLIENT)

    async def _store_down(self, fault, injected):
        store = self._world.store
        if store.is_running:
            await store.stop()
            await asyncio.sleep(fault.duration_s)
            await store.start()

    async def _store_forgets(self, fault, injected):
        self._world.platform.table.compact_history()

    async def _server_cut(self, fault, injected):
        name = self._server(fault).server_id
        await self._cut(name, fault, relay.TO_SERVER, relay.TO_CLIENT)

    async def _server_cut_one_way(self, fault, injected):
        await self._cut(self._server(fault).server_id, fault, relay.TO_SERVER)

    async def _server_delayed(self, fault, injected):
        name = self._server(fault).server_id
        self._world.relays.delay(name, 0.1)
        await asyncio.sleep(fault.duration_s)
        self._world.relays.heal(name)

    async def _server_reset(self, fault, injected):
        self._world.relays.reset(self._server(fault).server_id)

    async def _server_crash(self, fault, injected):
        server = self._server(fault)
        if self._has_alternative(server):
            await self._world.remove_server(server.server_id)
            await self._world.add_server(server.service, server.stage)

    async def _server_misbehaves(self, fault, injected):
        server = self._server(fault)
        rng = random.Random(fault.selector)
        server.faults.extend(rng.choices(SERVER_FAULTS, k=CONSECUTIVE_FAULTS))

    async def _answers_cut(self, fault, injected):
        rng = random.Random(fault.selector)
        for _ in range(CUTS):
            how, size = rng.choice(("ends", "reset")), rng.choice(ANSWER_BYTES)
            self._server(fault).faults.append(f"{how} after {rng.randint(0, size)}")

    async def _drain(self, fault, injected):
        server = self._server(fault)
        if not self._has_alternative(server):
            return
        server.state = "draining"
        await self._world.list_server(server.server_id)
        self.drains_started_at[server.server_id] = self._clock()
        await self._world.add_server(server.service, server.stage)
        await asyncio.sleep(REMOVAL_DELAY_S)
        await self._world.remove_server(server.server_id)

    async def _server_limits(self, fault, injected):
        server = self._server(fault)
        if server.notices or not self._has_alternative(server):
            return
        rate = LIMITS[int(fault.selector * 1000) % len(LIMITS)]
        server.notices[:] = [(b"server-limit", str(rate).encode())]
        begin = self._clock()
        await asyncio.sleep(LIMIT_S)
        server.notices.clear()
        self.limits.append(NamedLimit(server.server_id, rate, begin, self._clock()))

    async def _server_leaves(self, fault, injected):
        server = self._server(fault)
        if server.notices or not self._has_alternative(server):
            return
        server.notices[:] = [(b"server-leaving", b"1")]
        self.leaves_said_at[server.server_id] = self._clock()
        await self._world.add_server(server.service, server.stage)
        await asyncio.sleep(LEAVE_UNLISTED_S)
        # Another fault may have ended it meanwhile.
        if server.server_id in self._world.servers:
            server.state = "draining"
            await self._world.list_server(server.server_id)
        await asyncio.sleep(REMOVAL_DELAY_S)
        await self._world.remove_server(server.server_id)

    async def _server_rests(self, fault, injected):
        server = self._server(fault)
        if server.retry_after is not None or not self._has_alternative(server):
            return
        rest = RESTS[int(fault.selector * 1000) % len(RESTS)]
        # One rest for a server, so that its declined requests tell which rest they got.
        server.retry_after = self.rests.setdefault(server.server_id, rest)
        await asyncio.sleep(DECLINE_S)
        server.retry_after = None

    async def _store_silent(self, fault, injected):
        gateway = self._gateway(fault, injected)
        self._silence(f"store of {gateway.name}", fault)

    async def _all_stores_silent(self, fault, injected):
        for name in self._world.gateways:
            self._silence(f"store of {name}", fault)

    async def _server_silent(self, fault, injected):
        self._silence(self._server(fault).server_id, fault)

    async def _clients_silent(self, fault, injected):
        gateway = self._gateway(fault, injected)
        self._silence(f"clients of {gateway.name}", fault)

    async def _changes_in_silence(self, fault, injected):
        """Change routes and servers right after all gateways' watches fell silent."""
        await self._all_stores_silent(fault, injected)
        await asyncio.sleep(fault.duration_s)
        await asyncio.gather(
            self._configure(fault, injected), self._drain(fault, injected)
        )

    def _silence(self, relay_name, fault):
        """Silence a relay's connections, in half of the cases for answers only."""
        answers_only = int(fault.selector * 1000) % 2
        self._world.relays.silence(
            relay_name, *([relay.TO_CLIENT] if answers_only else [])
        )

    async def _configure(self, fault, injected):
        name = f"added{self._world.version}"
        await self._world.configure(route_world.route(name, "app", "safe"))
        self.routes_added_at[name] = self._clock()

    async def _clients_reset(self, fault, injected):
        self._world.relays.reset(f"clients of {self._gateway(fault, injected).name}")

    async def _clients_delayed(self, fault, injected):
        name = f"clients of {self._gateway(fault, injected).name}"
        self._world.relays.delay(name, 0.2)
        await asyncio.sleep(fault.duration_s)
        self._world.relays.heal(name)

    def _has_alternative(self, server):
        """Return whether another server of the same service and stage is ready."""
        same_kind = [
            other
            for other in self._world.servers.values()
            if (other.service, other.stage) == (server.service, server.stage)
            and other.state == "ready"
            and not other.notices
            and other.retry_after is None
        ]
        return len(same_kind) > 1
