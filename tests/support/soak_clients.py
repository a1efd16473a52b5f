"""Clients of a soak run: what they send, and what each one saw."""

import asyncio
import dataclasses
import random

from tests.support import route_world, soak_world

# A request waits this long at most; the routes' own timeouts are longer.
DEADLINE_S = 6.0
PAUSE_S = 0.05
# A connection is used until it ends, as clients of the balancer do.
NO_ANSWER = 0
STREAMS = ("digest", "draft")
# A request with this body ends each server that runs it.
FATAL_BODY = b"fatal"
FATAL_PAUSE_S = (0.3, 1.5)
PLACES = ("digest", "digest", "draft", "print", "notify")


@dataclasses.dataclass
class Seen:
    """One attempt of a client.

    Attributes:
        life: Which start of the gateway it was sent to.
        status: 0 if no answer came.
        whole: The answer came to its end.
        until: When the answer, or the connection, ended.
    """

    request_id: str
    place: str
    gateway: str
    life: int
    sent: float
    body: bytes
    status: int = NO_ANSWER
    whole: bool = False
    answer: bytes = b""
    fields: dict = dataclasses.field(default_factory=dict)
    until: float = 0.0


class Client:
    """One client, which keeps its connection until it ends."""

    def __init__(self, world, number, seed, clock):
        self._world = world
        self._number = number
        self._chance = random.Random(seed)
        self._clock = clock
        self._link = None
        self._gateway = None
        self.seen = []
        self.places = list(PLACES)

    async def run(self, stop):
        """Ask again and again until told to stop."""
        for count in range(1_000_000):
            if stop.is_set():
                break
            place = self._chance.choice(self.places)
            request_id = (
                f"{self._number:02x}{count:06x}{self._chance.getrandbits(32):08x}"
            )
            await self.ask(place, request_id)
            await asyncio.sleep(PAUSE_S * self._chance.random())
        if self._link is not None:
            self._link[1].close()

    async def ask(self, place, request_id):
        """Send one request and note what came."""
        if self._link is None and not await self._connect():
            await asyncio.sleep(4 * PAUSE_S)
            return
        gateway = self._world.gateways[self._gateway]
        body = self._body(request_id)
        seen = Seen(request_id, place, gateway.name, gateway.lives, self._clock(), body)
        self.seen.append(seen)
        reader, writer = self._link
        keep = False
        try:
            async with asyncio.timeout(DEADLINE_S + 1):
                writer.write(route_world.request(place, request_id, body))
                keep = await self._read(reader, seen)
        except (OSError, TimeoutError, ValueError, IndexError):
            pass
        except asyncio.IncompleteReadError as error:
            seen.answer += error.partial
        seen.until = self._clock()
        if not keep:
            writer.transport.abort()
            self._link = None

    def _body(self, request_id):
        return request_id.encode()

    async def _read(self, reader, seen):
        """Read an answer as it comes; True if the connection may be used again."""
        seen.status = int((await reader.readline()).split()[1])
        while (line := (await reader.readline()).strip()) != b"":
            name, _, value = line.decode().partition(":")
            seen.fields[name.lower()] = value.strip()
        if "content-length" in seen.fields:
            length = int(seen.fields["content-length"])
            seen.answer = await reader.readexactly(length)
        else:
            while size := int(await reader.readline(), 16):
                seen.answer += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        seen.whole = True
        return seen.fields.get("connection", "").lower() != "close"

    async def _connect(self):
        self._gateway = self._chance.choice(sorted(self._world.gateways))
        host = self._world.gateways[self._gateway].host
        try:
            async with asyncio.timeout(1.0):
                self._link = await asyncio.open_connection(host, soak_world.RELAY_PORT)
        except (OSError, TimeoutError):
            return False
        return True


class FatalClient(Client):
    """Repeats one request, each time under a new id and at any gateway."""

    async def run(self, stop):
        """Ask for the same again and again until told to stop."""
        place = self._chance.choice(PLACES)
        for count in range(1_000_000):
            if stop.is_set():
                break
            await self.ask(place, f"fatal{count:06x}")
            if self._link is not None:
                self._link[1].close()
                self._link = None
            await asyncio.sleep(self._chance.uniform(*FATAL_PAUSE_S))

    def _body(self, request_id):
        return FATAL_BODY
