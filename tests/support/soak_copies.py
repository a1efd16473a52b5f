"""Runs of the soak in which servers refuse, and send copies of their answers late.

For a while a server refuses a share of its requests and of the questions whether it
reads, and sends copies of these refusals and of other answers on the same connection
where later answers are due. Clients send some refused requests again under their id, at
the same or another gateway. All else is planned: gateways are stopped gracefully in
turn, under streams that last. Half of the runs have one gateway before one server of
each kind, where a request soon takes a connection that has carried it.
"""

import asyncio
import random

from standins import answer_copies
from tests.support import soak_faults, soak_pauses

__all__ = [
    "ALONE_SERVERS",
    "GATEWAYS",
    "SERVERS",
    "CopyInjector",
    "clients",
    "draw",
    "missing_copies",
    "is_alone",
    "prepare",
]

GATEWAYS = 3
SERVERS = {"decode_engines": 2, "prefill_engines": 2, "plain_servers": 2}
ALONE_SERVERS = {"decode_engines": 1, "prefill_engines": 1, "plain_servers": 1}
REFUSING_INTERVAL_S = 0.4
STOP_INTERVAL_S = 4.0
OTHER_KINDS = ("term", "term", "term", "hup", "configure")
REFUSING_S = (0.5, 2.5)
REFUSED_RUNS = (0.3, 0.5, 0.7)
REFUSED_QUESTIONS = (0.0, 0.2, 0.4)
COPIED_ANSWERS = (0.0, 0.1)
CUT = (0.0, 0.0, 0.1)
TOGETHER = (0.0, 0.3)
# Fewer copies than these would show nothing.
MIN_COPIES = 10
# A client sends so many of its refused requests again, at most so often.
REPEATED_SHARE = 0.8
MAX_REPEATS = 4
REFUSALS = (429, 503)
ALONE_CLIENTS = (1, 2, 4)
CLIENTS = (24, 30)
CLIENT_PAUSES_S = (0.05, 0.2, 1.0)
# Streams last, and are served within the grace period of a gateway that stops.
EVENT_COUNT = (3, 10)
EVENT_PAUSE_S = 0.15
ALONE_EVENT_PAUSE_S = 0.01


def is_alone(seed):
    """Return whether a run has one gateway and one server of each kind."""
    return seed % 2 == 1


def draw(seed, seconds):
    """Return the spells of refusals and planned operations of a run, in order."""
    rng = random.Random(f"copies of {seed}")
    faults = []
    at = 0.3
    while at < seconds:
        duration_s = rng.uniform(*REFUSING_S)
        faults.append(soak_faults.Fault(at, "server refuses", rng.random(), duration_s))
        at += rng.uniform(0.5, 1.5) * REFUSING_INTERVAL_S
    at = rng.uniform(0.5, 2.0)
    while at < seconds and not is_alone(seed):
        faults.append(soak_faults.Fault(at, rng.choice(OTHER_KINDS), rng.random(), 0.5))
        at += rng.uniform(0.2, 1.0) * STOP_INTERVAL_S
    return sorted(faults, key=lambda fault: fault.at)


def prepare(world, seed):
    """Give a world streams that last, or many short ones before servers alone."""
    rng = random.Random(f"streams of {seed}")
    world.event_count = rng.randint(*EVENT_COUNT)
    world.event_pause_s = ALONE_EVENT_PAUSE_S if is_alone(seed) else EVENT_PAUSE_S


class RepeatingClient(soak_pauses.DirectClient):
    """Sends some refused requests again under their id."""

    async def send(self, route, request_id):
        """Send a request until it isn't refused, or is given up."""
        for _ in range(1 + MAX_REPEATS):
            sent = len(self.attempts)
            await super().send(route, request_id)
            if len(self.attempts) == sent or not self._repeats(self.attempts[-1]):
                return
            await asyncio.sleep(self._max_pause_s * self._rng.random())

    def _repeats(self, attempt):
        """Return whether to send a request again, by any gateway in half of the cases.

        What has no whole refusal may have run.
        """
        if attempt.status not in REFUSALS or not attempt.complete:
            return False
        if self._rng.random() < 0.5 and self._connection is not None:
            self._connection[1].close()
            self._connection = None
        return self._rng.random() < REPEATED_SHARE


def clients(world, seed, clock):
    """Return few clients of a gateway alone, or many of several."""
    rng = random.Random(f"clients of {seed}")
    count = rng.choice(ALONE_CLIENTS) if is_alone(seed) else rng.randint(*CLIENTS)
    pauses_s = CLIENT_PAUSES_S[:1] if is_alone(seed) else CLIENT_PAUSES_S
    return [
        RepeatingClient(
            world,
            number,
            seed * 1000 + number,
            clock,
            pauses_s[number % len(pauses_s)],
        )
        for number in range(count)
    ]


class CopyInjector(soak_faults.FaultInjector):
    """Injects spells in which servers refuse, and graceful stops one at a time."""

    def __init__(self, world, clock, clients):
        super().__init__(world, clock, clients)
        self._restarting = asyncio.Lock()

    async def _server_refuses(self, fault, injected):
        manners = self._server(fault).manners
        rng = random.Random(fault.selector)
        spell = answer_copies.Manner(
            refused_runs=rng.choice(REFUSED_RUNS),
            refused_questions=rng.choice(REFUSED_QUESTIONS),
            copied_refusals=1.0,
            copied_answers=rng.choice(COPIED_ANSWERS),
            cut=rng.choice(CUT),
            together=rng.choice(TOGETHER),
        )
        manners.current = spell
        await asyncio.sleep(fault.duration_s)
        # Another spell may have begun meanwhile.
        if manners.current is spell:
            manners.current = answer_copies.Manner()

    async def _term(self, fault, injected):
        async with self._restarting:
            injected.begin = self._clock()
            await super()._term(fault, injected)


def missing_copies(attempts, servers, injector, margin_s):
    """Yield a line if servers hardly sent any copies."""
    sent = sum(server.manners.sent for server in servers)
    if sent < MIN_COPIES:
        yield f"servers sent only {sent} copies"
