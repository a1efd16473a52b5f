"""Clients of a soak run; they send requests and record the responses."""

import asyncio
import dataclasses
import random

from tests.support import route_world, soak_world

# The clients' deadline; the timeouts of the routes are longer.
DEADLINE_S = 6.0
PAUSE_S = 0.05
NO_RESPONSE = 0
STREAMS = ("digest", "draft")
# A request with this body crashes each server that runs it.
FATAL_BODY = b"fatal"
FATAL_PAUSE_S = (0.3, 1.5)
ROUTES = ("digest", "digest", "draft", "print", "notify")


@dataclasses.dataclass
class Attempt:
    """One request of a client and the response to it.

    Attributes:
        incarnation: Incarnation of the gateway that it was sent to.
        body: Body of the request.
        status: HTTP status; NO_RESPONSE if there was none.
        complete: Whether the response was received to its end.
        gave_up: Whether the client stopped waiting for it.
        begun_at: When its first byte was sent, from which an instance may count its
            deadline; 0 for `sent_at`.
        after: Number of the event after which it resumes a stream.
        left: Whether the client disconnected in the midst of the response.
        reset: Whether the connection was reset, as by an instance that closes it with
            data unread.
        ended_at: When the response, or the connection, ended.
    """

    request_id: str
    route: str
    gateway: str
    incarnation: int
    sent_at: float
    body: bytes
    status: int = NO_RESPONSE
    complete: bool = False
    after: int = 0
    left: bool = False
    gave_up: bool = False
    reset: bool = False
    response_body: bytes = b""
    headers: dict = dataclasses.field(default_factory=dict)
    ended_at: float = 0.0
    begun_at: float = 0.0

    @property
    def served(self):
        """Whether it was answered for as long as its client wanted."""
        return self.status == 200 and (self.complete or self.left)


class Client:
    """Keeps its connection until it is closed, as clients of the load balancer do.

    Args:
        world: The gateways.
        number: Number of the client; begins the ids of its requests.
        seed: Seed of its choices.
        clock: Returns the time in seconds.
        max_pause_s: Longest pause between two requests.
        keeps_connection: False opens a connection for each request.
    """

    port = soak_world.RELAY_PORT

    def __init__(
        self,
        world,
        number,
        seed,
        clock,
        max_pause_s=PAUSE_S,
        *,
        keeps_connection=True,
    ):
        self._world = world
        self._number = number
        self._rng = random.Random(seed)
        self._clock = clock
        self._max_pause_s = max_pause_s
        self._keeps_connection = keeps_connection
        self._connection = None
        self._used_at = 0.0
        self._gateway = None
        self.attempts = []
        self.routes = list(ROUTES)

    async def run(self, stop):
        """Send requests one after another until `stop` is set."""
        for count in range(1_000_000):
            if stop.is_set():
                break
            route = self._rng.choice(self.routes)
            request_id = f"{self._number:02x}{count:06x}{self._rng.getrandbits(32):08x}"
            await self.send(route, request_id)
            await asyncio.sleep(self._max_pause_s * self._rng.random())
        if self._connection is not None:
            self._connection[1].close()

    async def send(self, route, request_id):
        """Send one request and record the response."""
        if self._connection is None and not await self._connect():
            await asyncio.sleep(4 * PAUSE_S)
            return
        gateway = self._world.gateways[self._gateway]
        body = self._body(request_id)
        fields = self._fields()
        attempt = Attempt(
            request_id,
            route,
            gateway.name,
            gateway.incarnation,
            self._clock(),
            body,
            after=int(fields.get("last_event_id", 0)),
        )
        self.attempts.append(attempt)
        reader, writer = self._connection
        reusable = False
        try:
            async with asyncio.timeout(None) as limit:
                data = route_world.request(route, request_id, body, **fields)
                await self._write(writer, attempt, data)
                # The deadline counts from the moment at which the request is whole.
                limit.reschedule(asyncio.get_running_loop().time() + DEADLINE_S + 1)
                reusable = await self._read_response(reader, attempt)
        except TimeoutError:
            attempt.gave_up = True
        except ConnectionResetError:
            attempt.reset = True
        except (OSError, ValueError, IndexError):
            pass
        except asyncio.IncompleteReadError as error:
            attempt.response_body += error.partial
        attempt.ended_at = self._used_at = self._clock()
        if not (reusable and self._keeps_connection):
            writer.transport.abort()
            self._connection = None

    async def _write(self, writer, attempt, data):
        writer.write(data)

    def _fields(self):
        """Return more header fields of the next request."""
        return {}

    def _leaves(self, attempt):
        """Return whether to disconnect with what was received so far."""
        return False

    def _body(self, request_id):
        return request_id.encode()

    def _idle_s(self):
        return self._clock() - self._used_at

    async def _read_response(self, reader, attempt):
        """Read a response into `attempt`; returns whether to reuse the connection."""
        attempt.status = int((await reader.readline()).split()[1])
        while (line := (await reader.readline()).strip()) != b"":
            name, _, value = line.decode().partition(":")
            attempt.headers[name.lower()] = value.strip()
        if "content-length" in attempt.headers:
            length = int(attempt.headers["content-length"])
            attempt.response_body = await reader.readexactly(length)
        else:
            while size := int(await reader.readline(), 16):
                attempt.response_body += await reader.readexactly(size)
                await reader.readline()
                if self._leaves(attempt):
                    return False
            await reader.readline()
        attempt.complete = True
        return attempt.headers.get("connection", "").lower() != "close"

    def _choose_gateway(self):
        return self._rng.choice(sorted(self._world.gateways))

    async def _connect(self):
        self._gateway = self._choose_gateway()
        host = self._world.gateways[self._gateway].host
        try:
            async with asyncio.timeout(1.0):
                self._connection = await asyncio.open_connection(host, self.port)
            self._used_at = self._clock()
        except (OSError, TimeoutError):
            return False
        return True


class FatalClient(Client):
    """Repeats one request, each time with a new id and at a random gateway."""

    async def run(self, stop):
        """Send the same request body again and again until `stop` is set."""
        route = self._rng.choice(ROUTES)
        for count in range(1_000_000):
            if stop.is_set():
                break
            await self.send(route, f"fatal{count:06x}")
            if self._connection is not None:
                self._connection[1].close()
                self._connection = None
            await asyncio.sleep(self._rng.uniform(*FATAL_PAUSE_S))

    def _body(self, request_id):
        return FATAL_BODY
