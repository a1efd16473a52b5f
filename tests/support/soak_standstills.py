"""Runs of the soak in which gateways stand still while short limits are in force.

A gateway that stands still reads what came in time only after its timers are due. Its
clients go on meanwhile: they reuse connections that were idle for up to four fifths of
the limit, and send some requests in two parts, within the limit of a head. All else is
planned: new limits, each second or so, and settings files read again. Of the limits
that a gateway may know, clients keep to the shortest, so nothing excuses an instance
that closes a connection with a request unread.
"""

import asyncio
import random
import signal

from tests.support import soak_faults, soak_pauses

__all__ = [
    "GATEWAYS",
    "StandstillInjector",
    "clients",
    "draw",
    "limit_violations",
    "prepare",
]

GATEWAYS = 3
STANDSTILL_KINDS = (
    "gateway stands still",
    "gateway stands still",
    "gateway stands still in series",
    "gateways stand still",
)
PLANNED_KINDS = ("change limits", "change limits", "change limits", "hup")
STANDSTILL_INTERVAL_S = 1.2
PLANNED_INTERVAL_S = 0.8
STANDSTILL_S = (0.5, 3.0)
# Standstills in series and the time between two of them; as a whole they are shorter
# than the time limit of any request.
SERIES = 3
SERIES_SHARE = 0.5
BETWEEN_S = 0.2
# A gateway that went on is left alone so long.
AWAKE_S = 1.0
LIMITS_MS = (600, 3000)
# Newest limits that a gateway may not know yet: those written this long ago or later.
UNKNOWN_S = 6.0
REQUEST_TIMEOUT = 408
CLIENTS = 36
CLIENT_PAUSES_S = (0.05, 1.0, 2.5)
# One request in so many comes in two parts.
PARTS_INTERVAL = 3
# Streams last longer than some standstills.
EVENT_COUNT = 8
EVENT_PAUSE_S = 0.1


def draw(seed, seconds):
    """Return the standstills and planned operations of a run, in order."""
    rng = random.Random(f"standstills of {seed}")
    faults = []
    for kinds, interval_s in (
        (STANDSTILL_KINDS, STANDSTILL_INTERVAL_S),
        (PLANNED_KINDS, PLANNED_INTERVAL_S),
    ):
        at = 0.5
        while at < seconds:
            duration_s = rng.uniform(*STANDSTILL_S)
            kind = rng.choice(kinds)
            faults.append(soak_faults.Fault(at, kind, rng.random(), duration_s))
            at += rng.choice((0.1, 1.0, 1.5)) * rng.uniform(0.5, 1.5) * interval_s
    return sorted(faults, key=lambda fault: fault.at)


def prepare(world, seed):
    """Give a world short limits and streams that last."""
    world.limits |= _draw_limits(random.Random(f"limits of {seed}"))
    world.event_count = EVENT_COUNT
    world.event_pause_s = EVENT_PAUSE_S


def _draw_limits(rng):
    return {
        "idle_timeout_ms": rng.randint(*LIMITS_MS),
        "header_timeout_ms": rng.randint(*LIMITS_MS),
    }


class PartsClient(soak_pauses.DirectClient):
    """Sends some requests in two parts, the second within the limit of a head."""

    async def _write(self, writer, attempt, data):
        if self._rng.randrange(PARTS_INTERVAL):
            await super()._write(writer, attempt, data)
            return
        split = self._rng.randrange(1, len(data))
        limit_s = soak_pauses.MAX_IDLE_SHARE * self._limit_s("header_timeout_ms")
        attempt.begun_at = attempt.sent_at
        writer.write(data[:split])
        await asyncio.sleep(limit_s * self._rng.random())
        attempt.sent_at = self._clock()
        await super()._write(writer, attempt, data[split:])

    def _usable(self):
        max_idle_s = soak_pauses.MAX_IDLE_SHARE * self._limit_s("idle_timeout_ms")
        return self._idle_s() <= max_idle_s and not self._connection[0].at_eof()

    def _limit_s(self, name):
        """Return the shortest limit that may be in force at a gateway."""
        written = self._world.configurations
        since = self._clock() - UNKNOWN_S
        known = [c.spec for c in written if c.at <= since][-1:]
        specs = [*known, *(c.spec for c in written if c.at > since)]
        return min(spec["limits"][name] for spec in specs) / 1000


def clients(world, seed, clock):
    """Return clients that differ in how long they leave their connection idle."""
    return [
        PartsClient(
            world,
            number,
            seed * 1000 + number,
            clock,
            CLIENT_PAUSES_S[number % len(CLIENT_PAUSES_S)],
        )
        for number in range(CLIENTS)
    ]


class StandstillInjector(soak_faults.FaultInjector):
    """Injects standstills of gateways and new limits."""

    def __init__(self, world, clock, clients):
        super().__init__(world, clock, clients)
        self._awake_at = {}

    async def _gateway_stands_still(self, fault, injected):
        gateway = self._gateway(fault, injected)
        await self._stand_still(gateway, [fault.duration_s])

    async def _gateway_stands_still_in_series(self, fault, injected):
        gateway = self._gateway(fault, injected)
        spans = [SERIES_SHARE * fault.duration_s] * SERIES
        await self._stand_still(gateway, spans)

    async def _gateways_stand_still(self, fault, injected):
        """Have all gateways stand still, one a little after the other."""
        rng = random.Random(fault.selector)
        standing = []
        for gateway in self._world.gateways.values():
            spans = [rng.uniform(*STANDSTILL_S)]
            standing.append(asyncio.create_task(self._stand_still(gateway, spans)))
            await asyncio.sleep(rng.uniform(0.0, fault.duration_s / 2))
        await asyncio.gather(*standing)

    async def _stand_still(self, gateway, spans):
        """Stop a gateway for some spans, unless it has just gone on."""
        now = self._clock()
        if self._awake_at.get(gateway.name, 0.0) > now:
            return
        self._awake_at[gateway.name] = float("inf")
        for span_s in spans:
            gateway.popen.send_signal(signal.SIGSTOP)
            await asyncio.sleep(span_s)
            gateway.popen.send_signal(signal.SIGCONT)
            await asyncio.sleep(BETWEEN_S)
        self._awake_at[gateway.name] = self._clock() + AWAKE_S

    async def _change_limits(self, fault, injected):
        self._world.limits |= _draw_limits(random.Random(fault.selector))
        await self._world.configure()


def limit_violations(attempts, servers, injector, margin_s):
    """Yield a line for each request that was refused as late though it came in time."""
    for attempt in attempts:
        if attempt.status == REQUEST_TIMEOUT:
            yield (
                f"{attempt.request_id} ({attempt.route}) got 408 from "
                f"{attempt.gateway} though it came within the limits"
            )
