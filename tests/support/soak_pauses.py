"""Runs of the soak in which sound servers fall silent for a second and go on.

A paused server keeps its connections, accepts new ones, reads and writes nothing, and
loses nothing. Either the server itself stands still, or its network holds all bytes
while it goes on working. All else that happens in these runs is planned: new
configurations, restarts and draining servers.
"""

import asyncio
import random

from standins import relay
from tests.support import route_world, soak_clients, soak_faults, soak_world

__all__ = ["PauseInjector", "clients", "draw", "prepare"]

PAUSE_KINDS = (
    "server pauses",
    "server pauses",
    "servers pause in turn",
    "all servers pause",
)
PLANNED_KINDS = (
    "reconfigure",
    "reconfigure",
    "reconfigure",
    "reconfigure",
    "hup",
    "term",
    "drain",
)
PAUSE_S = (1.0, 1.4)
# A server that went on is left alone so long.
AWAKE_S = 1.0
MAX_IN_TURN = 3
# Mean time between two pauses, and between two planned operations.
PAUSE_INTERVAL_S = 1.2
PLANNED_INTERVAL_S = 0.6
# Streams last longer than the pauses of servers.
EVENT_COUNT = (10, 20)
EVENT_PAUSE_S = (0.1, 0.15)
CLIENTS = 24
CLIENT_PAUSES_S = (0.05, 0.05, 4.0)
# Clients use a connection that was idle for up to this share of the newest limit.
MAX_IDLE_SHARE = 0.8

TIMEOUTS_MS = (4000, 5500, 8000, 12_000)
IDLE_TIMEOUTS_MS = (1400, 2000, 5000, 15_000)
MAX_ATTEMPTS = (1, 2, 3)
WEIGHTS = (0.2, 0.5, 0.8)


def draw(seed, seconds):
    """Return the pauses and planned operations of a run, in order."""
    rng = random.Random(f"pauses of {seed}")
    faults = [
        soak_faults.Fault(at, rng.choice(kinds), rng.random(), rng.uniform(*PAUSE_S))
        for kinds, interval_s in (
            (PAUSE_KINDS, PAUSE_INTERVAL_S),
            (PLANNED_KINDS, PLANNED_INTERVAL_S),
        )
        for at in _times(rng, seconds, interval_s)
    ]
    return sorted(faults, key=lambda fault: fault.at)


def _times(rng, seconds, interval_s):
    """Return moments that are `interval_s` apart in the mean, some of them at once."""
    times = []
    at = 0.5
    while at < seconds:
        times.append(at)
        at += rng.choice((0.0, 1.0, 1.5, 1.5)) * rng.uniform(0.5, 1.5) * interval_s
    return times


def prepare(world, seed):
    """Give a world long streams and a second service for each one."""
    rng = random.Random(f"streams of {seed}")
    world.event_count = rng.randint(*EVENT_COUNT)
    world.event_pause_s = rng.uniform(*EVENT_PAUSE_S)
    world.second_services = True


class DirectClient(soak_clients.Client):
    """Connects to gateways themselves, so that none is open that has none behind it."""

    port = soak_world.CLIENTS_PORT

    async def send(self, route, request_id):
        """Send one request, on a new connection if the kept one is closed or may be."""
        if self._connection is not None and not self._usable():
            self._connection[1].close()
            self._connection = None
        await super().send(route, request_id)

    def _usable(self):
        limits = self._world.configurations[-1].spec["limits"]
        max_idle_s = MAX_IDLE_SHARE * limits["idle_timeout_ms"] / 1000
        return self._idle_s() <= max_idle_s and not self._connection[0].at_eof()


def clients(world, seed, clock):
    """Return clients of which one in four opens a connection for each request."""
    return [
        DirectClient(
            world,
            number,
            seed * 1000 + number,
            clock,
            CLIENT_PAUSES_S[number % len(CLIENT_PAUSES_S)],
            keeps_connection=number % 4 != 0,
        )
        for number in range(CLIENTS)
    ]


class PauseInjector(soak_faults.FaultInjector):
    """Injects pauses of servers and new configurations of all kinds."""

    def __init__(self, world, clock, clients):
        super().__init__(world, clock, clients)
        self._awake_at = {}
        self._requested = list(soak_clients.ROUTES)
        self._changing = asyncio.Lock()
        self._changes = (
            self._change_timeout,
            self._change_attempts,
            self._change_idle_limit,
            self._move_route,
            self._split_route,
            self._add_route,
            self._drop_route,
        )

    def requested_routes(self):
        """Return the list of the routes that clients use, which goes on changing."""
        return self._requested

    async def _server_pauses(self, fault, injected):
        await self._pause_servers([self._server(fault)], fault)

    async def _servers_pause_in_turn(self, fault, injected):
        first = self._server(fault)
        kind = (first.service, first.stage)
        others = [
            server
            for server in self._world.servers.values()
            if (server.service, server.stage) == kind and server is not first
        ]
        for server in [first, *others][:MAX_IN_TURN]:
            await self._pause_servers([server], fault)

    async def _all_servers_pause(self, fault, injected):
        await self._pause_servers(list(self._world.servers.values()), fault)

    async def _pause_servers(self, servers, fault):
        """Pause servers, except for those that were paused of late."""
        begin = self._clock()
        end = begin + fault.duration_s
        paused = [
            server
            for server in servers
            if self._awake_at.get(server.server_id, 0.0) <= begin
        ]
        stands_still = int(fault.selector * 1000) % 2
        for server in paused:
            self._awake_at[server.server_id] = end + AWAKE_S
            if stands_still:
                server.awake.clear()
            else:
                self._hold(server.server_id)
        await asyncio.sleep(fault.duration_s)
        for server in paused:
            server.awake.set()
            self._world.relays.heal(server.server_id)

    def _hold(self, server_id):
        for direction in (relay.TO_SERVER, relay.TO_CLIENT):
            self._world.relays.cut(server_id, direction)

    async def _reconfigure(self, fault, injected):
        rng = random.Random(fault.selector)
        async with self._changing:
            rng.choice(self._changes)(rng)
            await self._world.configure()
            for route in self._world.routes[len(route_world.ROUTES) :]:
                if route["name"] not in self.routes_added_at:
                    self.routes_added_at[route["name"]] = self._clock()
                    self._requested.append(route["name"])

    def _change_route(self, rng, **fields):
        routes = self._world.routes
        index = rng.randrange(len(routes))
        routes[index] = routes[index] | fields

    def _change_timeout(self, rng):
        self._change_route(rng, timeout_ms=rng.choice(TIMEOUTS_MS))

    def _change_attempts(self, rng):
        self._change_route(rng, max_attempts=rng.choice(MAX_ATTEMPTS))

    def _change_idle_limit(self, rng):
        self._world.limits["idle_timeout_ms"] = rng.choice(IDLE_TIMEOUTS_MS)

    def _move_route(self, rng):
        """Move a route to the other service; it is no longer split."""
        routes = self._world.routes
        index = rng.randrange(len(routes))
        services = _both_services(routes[index])
        services.remove(routes[index]["service"])
        routes[index] = routes[index] | {"service": services[0], "traffic_split": []}

    def _split_route(self, rng):
        """Split a route between both services, or join it again if it is split."""
        routes = self._world.routes
        index = rng.randrange(len(routes))
        split = []
        if not routes[index].get("traffic_split"):
            weight = rng.choice(WEIGHTS)
            weights = (weight, 1.0 - weight)
            split = [
                {"service": service, "weight": share}
                for service, share in zip(
                    _both_services(routes[index]), weights, strict=True
                )
            ]
        routes[index] = routes[index] | {"traffic_split": split}

    def _add_route(self, rng):
        name = f"added{self._world.version}"
        self._world.routes.append(route_world.route(name, "app", "safe"))

    def _drop_route(self, rng):
        """Drop a route that was added before, if there is one."""
        added = self._world.routes[len(route_world.ROUTES) :]
        if added:
            dropped = rng.choice(added)
            self._world.routes.remove(dropped)
            self._requested.remove(dropped["name"])
            self.routes_dropped_at[dropped["name"]] = self._clock()


def _both_services(route):
    service = route["service"].removesuffix(soak_world.SECOND)
    return [service, service + soak_world.SECOND]
