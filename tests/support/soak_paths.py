"""Runs of the soak in which the paths between gateways are harmed.

Connections and datagrams between some gateways and others are lost, each by itself and
each way by itself, delayed or reset, while servers leave, routes are added and gateways
stop and start. Two failure domains have five gateways each, of which two learn what the
store has from the others. The store is in reach of all, so nothing but a gateway's own
start excuses that it knows a change late.
"""

import asyncio
import dataclasses
import random

from tests.support import soak_checks, soak_entries, soak_faults

__all__ = ["GATEWAYS", "PathInjector", "draw", "late_violations", "prepare"]

FAILURE_DOMAINS = ("here", "there")
GATEWAYS = 10
PATH_KINDS = (
    "connections lost",
    "connections lost",
    "all sent lost",
    "all heard lost",
    "datagrams heard lost",
    "domain cut",
    "connections delayed",
    "connections reset",
)
CHANGE_KINDS = ("drain", "drain", "leave unsaid", "configure", "configure")
OTHER_KINDS = ("term", "kill", "hup")
PATH_INTERVAL_S = 1.2
CHANGE_INTERVAL_S = 0.8
OTHER_INTERVAL_S = 2.5
# Longer than a change may take to be in force.
HARMED_S = (0.5, 8.0)
DELAY_S = 1.3
MAX_VICTIMS = 3
# Result codes of a request that no route matches, and of one that waits for a newer
# configuration.
NO_ROUTE_CODES = ("102", "205")


def prepare(world, seed):
    """Spread gateways and servers over failure domains."""
    world.failure_domains = FAILURE_DOMAINS


def draw(seed, seconds):
    """Return the faults of a run, in order."""
    rng = random.Random(f"paths of {seed}")
    faults = []
    for kinds, interval_s in (
        (PATH_KINDS, PATH_INTERVAL_S),
        (CHANGE_KINDS, CHANGE_INTERVAL_S),
        (OTHER_KINDS, OTHER_INTERVAL_S),
    ):
        at = rng.uniform(0.1, interval_s)
        while at < seconds:
            duration = rng.uniform(*HARMED_S)
            faults.append(
                soak_faults.Fault(at, rng.choice(kinds), rng.random(), duration)
            )
            at += rng.choice((0.1, 1.0, 1.5)) * rng.uniform(0.5, 1.5) * interval_s
    return sorted(faults, key=lambda fault: fault.at)


@dataclasses.dataclass(frozen=True)
class _Pair:
    """A gateway of which the paths to another one are harmed."""

    victim: str
    other: str


class PathInjector(soak_entries.EntryInjector):
    """Injects harm to the paths between gateways, and leavings."""

    async def _drain(self, fault, injected):
        server = self._leaver(fault)
        if server is None:
            return
        await self._world.add_server(server.service, server.stage)
        server.state = "draining"
        await self._world.list_server(server.server_id)
        self.left_at[server.server_id] = self._clock()
        await asyncio.sleep(soak_entries.SERVES_ON_S)
        await self._world.remove_server(server.server_id)

    def _pairs(self, fault):
        """Return some gateways, each with all others or the readers of its domain."""
        rng = random.Random(fault.selector)
        names = sorted(self._world.gateways)
        victims = rng.sample(names, rng.randint(1, MAX_VICTIMS))
        others = [name for name in names if name not in victims]
        if rng.random() < 0.3:
            others = others[: len(others) // 2]
        return [_Pair(victim, other) for victim in victims for other in others]

    async def _connections_lost(self, fault, injected):
        cuts = [
            cut
            for pair in self._pairs(fault)
            for cut in (
                *self._world.connection_cuts(pair.victim, pair.other),
                *self._world.connection_cuts(pair.other, pair.victim),
            )
        ]
        await self._lose(cuts, fault)

    async def _all_sent_lost(self, fault, injected):
        pairs = self._pairs(fault)
        await self._lose(self._one_way((p.victim, p.other) for p in pairs), fault)

    async def _all_heard_lost(self, fault, injected):
        pairs = self._pairs(fault)
        await self._lose(self._one_way((p.other, p.victim) for p in pairs), fault)

    async def _datagrams_heard_lost(self, fault, injected):
        cuts = [
            cut
            for pair in self._pairs(fault)
            for cut in self._world.datagram_cuts(pair.other, pair.victim)
        ]
        await self._lose(cuts, fault)

    async def _domain_cut(self, fault, injected):
        names = sorted(self._world.gateways)
        here, there = names[::2], names[1::2]
        ways = [(sender, receiver) for sender in here for receiver in there]
        await self._lose(self._one_way(ways), fault)

    async def _connections_delayed(self, fault, injected):
        pair = self._pairs(fault)[0]
        relays = [f"{what} of {pair.victim}" for what in self._world.CONNECTIONS]
        for name in relays:
            self._world.relays.delay(name, DELAY_S)
        await asyncio.sleep(fault.duration_s)
        for name in relays:
            self._world.relays.delay(name, 0.0)

    async def _connections_reset(self, fault, injected):
        pair = self._pairs(fault)[0]
        for what in self._world.CONNECTIONS:
            self._world.relays.reset(f"{what} of {pair.victim}")

    def _one_way(self, ways):
        """Return the cuts that lose all that is sent on some ways."""
        return [
            cut
            for sender, receiver in ways
            for cut in (
                *self._world.connection_cuts(sender, receiver),
                *self._world.datagram_cuts(sender, receiver),
            )
        ]

    async def _lose(self, cuts, fault):
        self._world.relays.add_cuts(cuts)
        await asyncio.sleep(fault.duration_s)
        self._world.relays.remove_cuts(cuts)


def late_violations(attempts, servers, injector, margin_s):
    """Yield a line for each change that was known too late at some gateway."""
    yield from soak_entries.late_violations(attempts, servers, injector, margin_s)
    for attempt in attempts:
        added_at = injector.routes_added_at.get(attempt.route)
        if added_at is None:
            continue
        if attempt.headers.get("x-result-code") not in NO_ROUTE_CODES:
            continue
        late = attempt.sent_at - added_at - soak_checks.MAX_CONFIGURE_DELAY_S
        if late > margin_s and injector.knows_peers(attempt, attempt.sent_at):
            yield (
                f"{attempt.gateway} did not serve {attempt.route} {late:.2f} s after "
                "the time allowed for an update"
            )
