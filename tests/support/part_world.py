"""A fleet whose engines crash when they answer a prompt with one of some parts."""

import asyncio
import dataclasses
import itertools
import random

from tests.support import crash_world, route_world

__all__ = ["Case", "CASES", "PartWorld"]

# Time after which a crashed engine is back under another id.
RESTART_S = 1.0
SOUND_RATE = 13
FATAL_RATE = 4
# The users' bounds: time from the fifth crash until a fatal part reaches no server any
# more, arrivals allowed later, and time until sound requests are served again.
CRASHES = 5
CONTACT_S = 3.0
MAX_LATE = 3
RECOVERED_S = 2 * CONTACT_S
SHARE = 0.5
EVENT_PAUSE_S = 0.08


@dataclasses.dataclass(frozen=True)
class Case:
    """Prompts of a run.

    Attributes:
        fatal: Shared parts of fatal requests; one request has one of these sequences.
        sound: The same of sound requests.
        parts: The parts that crash engines.
        chance_s: Time between two crashes without a cause; None for no such crashes.
    """

    fatal: tuple
    sound: tuple
    parts: frozenset = frozenset()
    chance_s: float | None = None


CASES = {
    "the second of three": Case(
        (("first", "fatal"),), (("first", "a"), ("first", "b")), frozenset({"fatal"})
    ),
    "the first of two": Case(
        (("fatal",),), (("first", "a"), ("first", "b")), frozenset({"fatal"})
    ),
    "by turns one of two": Case(
        (("first", "fatal"), ("first", "other")),
        (("first", "a"), ("first", "b")),
        frozenset({"fatal", "other"}),
    ),
    "none": Case((), (("first", "a"), ("first", "b")), chance_s=1.5),
}


@dataclasses.dataclass(frozen=True)
class Attempt:
    """A first attempt of a client; `at` is when it was sent, by the event loop."""

    at: float
    served: bool


class PartWorld(crash_world.CrashWorld):
    """Four instances before engines that come back under another id."""

    prefill_engines = 4
    decode_engines = 12
    plain_servers = 0

    def __init__(self):
        super().__init__(None)
        self.parts = frozenset()
        self.sound = []
        self._rng = random.Random(1)
        self._ids = itertools.count()
        self._tasks = set()

    async def add(self, service, stage=None):
        await super().add(service, stage)
        server = list(self.servers.values())[-1]
        server.fatal_parts = self.parts
        server.event_pause_s = EVENT_PAUSE_S

    async def play(self, case, calm_s, seconds):
        """Send sound requests, and fatal ones beside them after the calm time."""
        loop = asyncio.get_running_loop()
        restarting = asyncio.create_task(self._restart())
        sound = asyncio.create_task(self._send_sound(case, calm_s + seconds))
        await asyncio.sleep(calm_s)
        self.parts = case.parts
        for server in self.servers.values():
            server.fatal_parts = case.parts
        self.began = loop.time()
        if case.chance_s is not None:
            await self._crash_by_chance(case.chance_s, seconds)
        else:
            await self._send_fatal(case, seconds)
        await sound
        await asyncio.gather(*self._tasks)
        restarting.cancel()

    @property
    def crash_times(self):
        """When engines have crashed, by the event loop."""
        return sorted(server.crashed_at for server in self.crashed)

    def late_arrivals(self):
        """Return how many fatal requests reached servers later than allowed.

        A part is to be kept from servers once it has crashed five itself.
        """
        known_by = {
            part: times[CRASHES - 1] + CONTACT_S
            for part in self.parts
            if len(times := self._crash_times_of(part)) >= CRASHES
        }
        assert known_by, "no part has crashed enough servers"
        return sum(
            any(at > known_by.get(part, at) for part in received.parts)
            for server in self.servers.values()
            for received, at in zip(server.received, server.arrival_times, strict=True)
        )

    def _crash_times_of(self, part):
        return sorted(s.crashed_at for s in self.crashed if part in s.crashed_under)

    def served_share(self, since, until=float("inf")):
        """Return the share of the sound requests of a time that were served."""
        chosen = [attempt for attempt in self.sound if since <= attempt.at < until]
        return sum(attempt.served for attempt in chosen) / len(chosen)

    def recovered_at(self):
        """Return from when on sound requests have to be served again."""
        return self.crash_times[:CRASHES][-1] + RECOVERED_S

    async def _send_sound(self, case, seconds):
        for number in range(round(seconds * SOUND_RATE)):
            parts = case.sound[number % len(case.sound)]
            self._begin(self._send_one(parts, count=True))
            await asyncio.sleep(1 / SOUND_RATE)

    async def _send_fatal(self, case, seconds):
        for number in range(round(seconds * FATAL_RATE)):
            self._begin(self._send_one(case.fatal[number % len(case.fatal)]))
            await asyncio.sleep(1 / FATAL_RATE)

    async def _crash_by_chance(self, pause, seconds):
        for _ in range(round(seconds / pause)):
            running = [s for s in self.servers.values() if not s.crashed]
            engines = [s for s in running if s.stage == "decode"]
            self._rng.choice(engines).crash()
            await asyncio.sleep(pause)

    def _begin(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_one(self, parts, *, count=False):
        request_id = f"q{next(self._ids)}"
        shared = ",".join(f"{name}:400" for name in parts)
        at = asyncio.get_running_loop().time()
        name = self._rng.choice(list(crash_world.HOSTS))
        try:
            reply = await self.ask(
                "digest",
                request_id,
                name=name,
                body=request_id.encode(),
                x_prompt_prefix=f"{shared},{request_id}:400",
            )
            served = reply.status == 200 and reply.complete
        except (TimeoutError, OSError, asyncio.IncompleteReadError, IndexError):
            served = False
        if count:
            self.sound.append(Attempt(at, served))

    async def _restart(self):
        loop = asyncio.get_running_loop()
        while True:
            for server in self.crashed:
                due = loop.time() - server.crashed_at >= RESTART_S
                if due and server.state != "draining":
                    await self.drain(server.server_id)
                    await self.add(server.service, server.stage)
            await asyncio.sleep(route_world.POLL_S)
