import asyncio
import collections
import dataclasses
import datetime

import behave

from pimentolatch import settings
from pimentolatch.backend import channel
from pimentolatch.gateway import dispatch
from tests.support import raw_server

CONNECT_LIMIT = datetime.timedelta(seconds=10)
MOST_BYTES = 100
KEEP_ALIVE = datetime.timedelta(seconds=9.3)
SERVER = "server"
ADDRESS = settings.Address(host="127.0.0.1", port=1)


@dataclasses.dataclass(eq=False)
class FakeConnection:
    """A connection that its server keeps; see `channel.Channel`."""

    idle: bool = True
    reusable: bool = True
    keep_alive: datetime.timedelta = KEEP_ALIVE
    opened_by: datetime.timedelta | None = None

    def close(self):
        self.idle = False


class FakePool(channel.ChannelPool):
    """A pool whose connections reach no server."""

    def __init__(self):
        self.reasons = []
        super().__init__(
            datetime.timedelta(seconds=1),
            on_open=self.reasons.append,
        )

    async def _connect(self, address):
        return FakeConnection()


@dataclasses.dataclass
class Use:
    """A request on a connection; `idle` is None on a new one."""

    repeatable: bool
    idle: datetime.timedelta | None


@behave.given("connections: a pool of an instance with one server")
def pool(context):
    context.pool = FakePool()
    context.uses = []
    context.released = {}


async def send(context, now, count, *, repeatable):
    """Send requests at once, which are answered before the next ones."""
    max_idle = None if repeatable else dispatch.MAX_IDLE_FOR_UNREPEATABLE
    taken = [
        await context.pool.acquire(SERVER, ADDRESS, now, max_idle=max_idle)
        for _ in range(count)
    ]
    for connection in taken:
        at = context.released.get(connection)
        context.uses.append(Use(repeatable, None if at is None else now - at))
        context.released[connection] = now
        context.pool.release(SERVER, connection, now)


@behave.when(
    "connections: for {seconds:d} s it sends by turns, {apart:g} s apart, "
    "{once:d} that must not be repeated and {many:d} at once that may"
)
def sends(context, seconds, apart, once, many):
    async def play():
        for turn in range(int(seconds / apart)):
            now = datetime.timedelta(seconds=turn * apart)
            repeatable = bool(turn % 2) and many > 0
            await send(
                context, now, many if repeatable else once, repeatable=repeatable
            )

    asyncio.run(play())


@behave.then(
    "connections: no request that must not be repeated was on one idle for {limit:g} s"
)
def none_idle_unrepeatable(context, limit):
    uses = [use for use in context.uses if not use.repeatable]
    assert uses
    none_idle_for(uses, limit)


@behave.then("connections: no request was on one idle for {limit:g} s")
def none_idle(context, limit):
    none_idle_for(context.uses, limit)


def none_idle_for(uses, limit):
    longest = max(use.idle or datetime.timedelta() for use in uses)
    assert longest < datetime.timedelta(seconds=limit), longest


@behave.then(
    'connections: {first:d} were opened as "{why}" and {second:d} as "{other_why}"'
)
def opened_as(context, first, why, second, other_why):
    counted = collections.Counter(item.value for item in context.pool.reasons)
    assert counted == {why: first, other_why: second}, counted


@behave.then('connections: the instance\'s metrics count one as "{why}"')
def metrics_count(context, why):
    found = context.run(context.world.ask_metrics())
    name = f'pimentolatch_server_connections_opened_total{{why="{why}"}}'
    assert found.get(name) == 1, found


@behave.then(
    'connections: an answer that may be kept alive for "{seconds}" seconds is read'
)
def answer_is_read(context, seconds):
    digits = "9" * 5000 if seconds.startswith("a digit") else seconds
    raw = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: timeout=%s\r\n\r\nok"
    answer = raw_server.ScriptedResponse(raw % digits.encode())
    assert asyncio.run(ask(raw_server.RawServer(answer))) == b"ok"


async def ask(server):
    async with server.listening() as address:
        link = await channel.connect(address, CONNECT_LIMIT)
        try:
            link.send("GET", b"/", [(b"host", b"x")], b"")
            await link.read_head()
            return await link.read_body(MOST_BYTES)
        finally:
            link.close()
