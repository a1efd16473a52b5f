"""Runs of the soak in which servers and gateways stop, all as processes.

Backend servers have no relay before them. They stand still for some time, alone or
several at once, most of them leave meanwhile by the store's word, and go on: what was
sent to them lies in their kernels. Gateways are stopped gracefully in turn, while
requests come over open connections, some of them in two parts, and streams last.
Beside that there are new routes and settings files that are read again.
"""

import asyncio
import random

from standins import route_server
from tests.support import soak_faults

__all__ = ["GATEWAYS", "SERVERS", "StopInjector", "draw", "prepare"]

GATEWAYS = 4
SERVERS = {"decode_engines": 4, "prefill_engines": 3, "plain_servers": 4}
SERVER_KINDS = ("server stands still", "server stands still", "servers stand still")
OTHER_KINDS = ("term", "term", "stop in turn", "hup", "configure")
SERVER_INTERVAL_S = 1.0
OTHER_INTERVAL_S = 1.5
# A request that a stopping gateway has just taken is answered within its grace.
STANDS_STILL_S = (0.5, 4.0)
# Of the servers that stand still so many leave meanwhile, and half of these say so.
LEAVING_SHARE = 0.8
# A server that has left goes on serving for so long.
SERVES_ON_S = 4.0
# What was sent to a server that stood still is read so soon after it goes on.
BACKLOG_S = 0.5
# Of the standstills so many begin between the head of a request and its body.
WITHIN_REQUEST_SHARE = 0.25
STUTTERING_SHARE = 0.15
# Streams last longer than some standstills of servers.
EVENT_COUNT = 8
EVENT_PAUSE_S = 0.15


def draw(seed, seconds):
    """Return the faults of a run, in order; some come at once."""
    rng = random.Random(f"stops of {seed}")
    faults = []
    for kinds, interval_s in (
        (SERVER_KINDS, SERVER_INTERVAL_S),
        (OTHER_KINDS, OTHER_INTERVAL_S),
    ):
        at = 0.5
        while at < seconds:
            duration_s = rng.uniform(*STANDS_STILL_S)
            kind = rng.choice(kinds)
            faults.append(soak_faults.Fault(at, kind, rng.random(), duration_s))
            at += rng.choice((0.1, 1.0, 1.5)) * rng.uniform(0.5, 1.5) * interval_s
    return sorted(faults, key=lambda fault: fault.at)


def prepare(world, seed):
    """Give a world streams that last, and servers of all manners.

    In some runs all servers stand still for half of the time.
    """
    rng = random.Random(f"manners of {seed}")
    manners = [route_server.ASKS, route_server.IGNORES]
    rng.shuffle(manners)
    world.body_requests = tuple(manners)
    world.stutters = rng.random() < STUTTERING_SHARE
    world.event_count = EVENT_COUNT
    world.event_pause_s = EVENT_PAUSE_S


class StopInjector(soak_faults.FaultInjector):
    """Injects standstills of servers and graceful stops of gateways."""

    def __init__(self, world, clock, clients):
        super().__init__(world, clock, clients)
        self._standing = set()
        self._standstills = []
        self._restarting = asyncio.Lock()

    def was_on_its_way(self, server_id, sent_at, arrived_at):
        """Return whether a client sent a request before a server stood still."""
        return any(
            standstill.server_id == server_id
            and sent_at <= standstill.begin <= arrived_at <= standstill.end + BACKLOG_S
            for standstill in self._standstills
        )

    async def _server_stands_still(self, fault, injected):
        await self._stand_still(fault, 1)

    async def _servers_stand_still(self, fault, injected):
        await self._stand_still(fault, 3)

    async def _stand_still(self, fault, count):
        """Have servers stand still; each is replaced by a new one if it leaves."""
        rng = random.Random(fault.selector)
        ready = [s for s in self._world.servers.values() if s.state == "ready"]
        free = [s for s in ready if s.server_id not in self._standing]
        chosen = rng.sample(free, min(count, len(free)))
        self._standing |= {server.server_id for server in chosen}
        spans = [self._stand_still_once(s, fault, rng.random()) for s in chosen]
        await asyncio.gather(*spans)

    async def _stand_still_once(self, server, fault, draw):
        if draw * 10 % 1 < WITHIN_REQUEST_SHARE:
            await server.suspend_after_head()
        else:
            server.suspend()
        begin = self._clock()
        try:
            await asyncio.sleep(draw * fault.duration_s)
            if draw < LEAVING_SHARE and self._has_alternative(server):
                await self._leave(server, says_so=draw < LEAVING_SHARE / 2)
            await asyncio.sleep((1 - draw) * fault.duration_s)
        finally:
            server.resume()
            self._standstills.append(
                soak_faults.ServerSilence(server.server_id, begin, self._clock())
            )
        if server.state == "ready":
            self._standing.discard(server.server_id)
            return
        await asyncio.sleep(SERVES_ON_S)
        await self._world.stop_server(server.server_id)

    async def _leave(self, server, *, says_so):
        server.state = "draining"
        if says_so:
            await self._world.list_server(server.server_id)
        else:
            table = self._world.platform.table
            current = table.get("servers", server.server_id)
            await table.delete("servers", server.server_id, current.version)
        self.drains_started_at[server.server_id] = self._clock()
        await self._world.add_server(server.service, server.stage)

    async def _term(self, fault, injected):
        async with self._restarting:
            await super()._term(fault, injected)

    async def _stop_in_turn(self, fault, injected):
        """Stop all gateways gracefully, one after the other."""
        for number in range(len(self._world.gateways)):
            selector = (number + 0.5) / len(self._world.gateways)
            stop = soak_faults.Fault(fault.at, "term", selector, 0.5)
            await self.inject(stop)
