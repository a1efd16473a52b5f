"""Runs of the soak in which engines differ in speed and domains fall silent in turn.

Gateways and servers are spread over failure domains. All servers of one domain are out
of reach for some seconds, then those of the next; meanwhile gateways are killed,
restarted and told to read their settings, configurations change and servers drain.
"""

import asyncio
import dataclasses
import itertools
import random

from tests.support import soak_faults

__all__ = [
    "CLIENTS",
    "GATEWAYS",
    "SERVERS",
    "UnevenInjector",
    "avoidance_violations",
    "draw",
    "prepare",
]

FAILURE_DOMAINS = ("here", "there")
GATEWAYS = 6
# Enough for two gateways of a domain to find the same server out of reach.
CLIENTS = 30
SERVERS = {"decode_engines": 6, "prefill_engines": 4, "plain_servers": 4}
# Events are slow enough for engines to show their speed.
EVENT_PAUSE_S = 0.02
SLOWNESS = (0.7, 0.7, 1.7)
SPELL_SLOWNESS = 2.5
SPELL_S = 0.6
OTHER_KINDS = (
    "kill",
    "term",
    "term",
    "hup",
    "configure",
    "configure",
    "drain",
    "drain",
    "engine slow",
    "engine slow",
    "engine slow",
    "engine slow",
)
SILENCE_S = (1.5, 4.0)
# Time from the end of one domain's silence to the next one's.
BETWEEN_S = (0.0, 2.0)
OTHER_INTERVAL_S = 0.5
# What reaches a server so soon after it is back may have been sent before.
BACKLOG_S = 0.5
# Longest time for which a server is avoided since it was silent to other instances.
MAX_AVOIDED_S = 3.5


@dataclasses.dataclass(frozen=True, slots=True)
class DomainSilence:
    """A span in which no server of a failure domain could be reached."""

    failure_domain: str
    begin: float
    end: float


def prepare(world, seed):
    """Give a world failure domains and engines that differ in speed."""
    world.failure_domains = FAILURE_DOMAINS
    world.slowness = itertools.cycle(SLOWNESS)
    world.event_pause_s = EVENT_PAUSE_S


def draw(seed, seconds):
    """Return the faults of a run, in order."""
    rng = random.Random(f"uneven of {seed}")
    faults = []
    at = rng.uniform(0.5, 1.5)
    selector = rng.random()
    while at < seconds:
        duration_s = rng.uniform(*SILENCE_S)
        faults.append(soak_faults.Fault(at, "domain silent", selector, duration_s))
        selector = (selector + 1 / len(FAILURE_DOMAINS)) % 1.0
        at += duration_s + rng.uniform(*BETWEEN_S)
    at = 0.5
    while at < seconds:
        kind = rng.choice(OTHER_KINDS)
        duration_s = rng.uniform(0.3, soak_faults.MAX_DURATION_S)
        faults.append(soak_faults.Fault(at, kind, rng.random(), duration_s))
        # One fault in four coincides with the one before.
        at += rng.choice((0.0, 1.0, 1.0, 1.0)) * rng.uniform(0.2, 2 * OTHER_INTERVAL_S)
    return sorted(faults, key=lambda fault: fault.at)


class UnevenInjector(soak_faults.FaultInjector):
    """Injects silence of failure domains and slow spells of engines.

    Attributes:
        domain_silences: Spans of silence that have ended.
    """

    def __init__(self, world, clock, clients):
        super().__init__(world, clock, clients)
        self.domain_silences = []

    async def _domain_silent(self, fault, injected):
        domain = FAILURE_DOMAINS[int(fault.selector * len(FAILURE_DOMAINS))]
        names = [
            name
            for name, server in self._world.servers.items()
            if server.failure_domain == domain
        ]
        begin = self._clock()
        for name in names:
            self._world.relays.make_unreachable(name)
        await asyncio.sleep(fault.duration_s)
        for name in names:
            self._world.relays.make_reachable(name)
            self.silences.append(soak_faults.ServerSilence(name, begin, self._clock()))
        self.domain_silences.append(DomainSilence(domain, begin, self._clock()))

    async def _engine_slow(self, fault, injected):
        engines = [s for s in self._world.servers.values() if s.stage is not None]
        engine = engines[int(fault.selector * len(engines))]
        engine.slowness *= SPELL_SLOWNESS
        await asyncio.sleep(SPELL_S)
        engine.slowness /= SPELL_SLOWNESS


def avoidance_violations(attempts, servers, injector, margin_s):
    """Yield a line for each domain that is back and whose servers get no request.

    All servers of a service are looked at together: prompts stay at the engine that has
    their prefix in its cache, and nobody has to choose a slow one.
    """
    for silence in injector.domain_silences:
        begin = silence.end + BACKLOG_S
        end = silence.end + MAX_AVOIDED_S + margin_s
        if any(
            other.failure_domain == silence.failure_domain
            and silence.end < other.end
            and other.begin < end
            for other in injector.domain_silences
        ):
            continue
        arrivals = {}
        for server in servers:
            if server.failure_domain == silence.failure_domain:
                times = arrivals.setdefault(server.service, [])
                times += _arrival_times(server)
        for service, times in arrivals.items():
            if not any(begin <= at <= end for at in times):
                yield (
                    f"no request reached a server of {service} in "
                    f"{silence.failure_domain} within {end - silence.end:.1f} s of "
                    "its silence"
                )


def _arrival_times(server):
    return [
        at
        for request, at in zip(server.received, server.arrival_times, strict=True)
        if request.kind in ("prefill", "run")
    ]
