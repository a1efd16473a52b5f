import asyncio
import datetime
import functools

import behave

from pimentolatch import clock, settings, store
from pimentolatch.backend import channel, connections, full_response
from pimentolatch.decisions import request_delivery
from pimentolatch.platform import objects
from tests.support import (
    observed_connection,
    partitioned_network,
    route_world,
    virtual_time,
)

MOST_BYTES = 1000
ADDRESS = settings.Address(host="192.0.2.1", port=80)
CONNECT_LIMIT = datetime.timedelta(seconds=1)
CALL_LIMIT = datetime.timedelta(seconds=10)
# Time in which instances have to observe that a server leaves.
IN_FORCE_WITHIN = datetime.timedelta(seconds=2)
# Longer than any segment of these scenarios is sent again.
END_S = 120
TIMES = {"": 1, "twice": 2, "thrice": 3}


class World:
    """A sender with one kept connection, and when its request was given up."""

    def __init__(self):
        self.network = partitioned_network.PartitionedNetwork()
        self.partition_s = self.after_s = 0.0
        self.losses = 0
        self.sent_s = self.given_up_s = None

    async def play(self):
        loop = asyncio.get_running_loop()
        time = virtual_time.LoopClock()
        limit = request_delivery.acknowledgement_limit(IN_FORCE_WITHIN)
        pool = channel.ChannelPool(CONNECT_LIMIT, acknowledgement_limit=limit)
        with self.network.in_place_of_kernel():
            await self._request(pool, time, b"/first")
            self._begin_faults(loop)
            await asyncio.sleep(self.after_s)
            self.sent_s = loop.time()
            await self._request(pool, time, b"/late")
            await asyncio.sleep(END_S)

    def _begin_faults(self, loop):
        if self.partition_s:
            self.network.partition()
            loop.call_later(self.partition_s, self.network.heal)
        self.network.lose(self.losses)

    async def _request(self, pool, time, target):
        try:
            link = await pool.acquire("s", ADDRESS, time.monotonic())
        except channel.ConnectError:
            self.given_up_s = time.monotonic().total_seconds()
            return
        try:
            link.send("GET", target, [(b"host", b"x")], b"")
            await link.read_head()
            await link.read_body(MOST_BYTES)
        except channel.BrokenError:
            link.close()
            self.given_up_s = time.monotonic().total_seconds()
        else:
            pool.release("s", link, time.monotonic())

    @property
    def late_arrivals(self):
        return [a.at_s for a in self.network.arrivals if a.target == "/late"]


@behave.given("delivery: a kept connection to a server")
def kept_connection(context):
    context.world = World()


@behave.when("delivery: a partition of {seconds:g} s begins")
def partition(context, seconds):
    context.world.partition_s = seconds


@behave.when("delivery: a request is sent {seconds:g} s later")
def send_later(context, seconds):
    context.world.after_s = seconds
    virtual_time.run(context.world.play())


@behave.when("delivery: a request is sent and its first {count:d} packets are lost")
def send_with_losses(context, count):
    context.world.losses = count
    virtual_time.run(context.world.play())


@behave.then("delivery: the request is given up and never arrives")
def never_arrives(context):
    world = context.world
    assert world.given_up_s is not None, "it was answered"
    assert not world.late_arrivals, (world.given_up_s, world.late_arrivals)


@behave.then("delivery: the request does not arrive later than allowed")
def arrives_in_time(context):
    world = context.world
    allowed = world.sent_s + IN_FORCE_WITHIN.total_seconds()
    assert all(at_s <= allowed for at_s in world.late_arrivals), world.late_arrivals
    assert len(world.late_arrivals) == (world.given_up_s is None)


@behave.then("delivery: the request is answered")
def answered(context):
    assert context.world.given_up_s is None
    assert len(context.world.late_arrivals) == 1


@behave.then("delivery: a server that answers late or reads a body late is waited for")
def late_server(context):
    for body in (b"", bytes(8_000_000)):
        asyncio.run(exchange_with_late_server(body))


async def exchange_with_late_server(body):
    """Fail if a request is given up whose server reads and answers after a pause."""
    limit = datetime.timedelta(seconds=0.2)

    async def serve(reader, writer):
        await asyncio.sleep(4 * limit.total_seconds())
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(len(body))
        writer.write(partitioned_network.response(b"ok"))

    server = await asyncio.start_server(serve, route_world.HOST, 0, limit=2**16)
    port = server.sockets[0].getsockname()[1]
    address = settings.Address(host=route_world.HOST, port=port)
    link = await channel.connect(address, CONNECT_LIMIT, acknowledgement_limit=limit)
    try:
        link.send("POST", b"/", [(b"host", b"x")], body)
        assert (await link.read_head()).status == 200
        assert await link.read_body(MOST_BYTES) == b"ok"
    finally:
        link.close()
        server.close()


@behave.then("delivery: a call over {kind} that is given up resets its connection")
def call_given_up(context, kind):
    seen = asyncio.run(seen_by_server(GIVEN_UP_CALLS[kind]))
    assert isinstance(seen, ConnectionResetError), seen


async def seen_by_server(call):
    """Return what a server reads after the caller has given up a call."""
    async with observed_connection.ObservedConnection() as connection:
        task = asyncio.create_task(call(connection.address))
        await connection.received()
        task.cancel()
        return await connection.end()


async def post(address, *, reuse):
    client = full_response.FullResponseClient(
        clock.SystemClock(), connect=CONNECT_LIMIT
    )
    await client.post(address, "/", {}, b"", time_limit=CALL_LIMIT, reuse=reuse)


async def get(address):
    await connections.client().get(address.url + "/")


GIVEN_UP_CALLS = {
    "kept connections": functools.partial(post, reuse=True),
    "single-use connections": functools.partial(post, reuse=False),
    "the client for engines": get,
}


@behave.then(
    "delivery: a listing over a new connection follows one that was not delivered"
)
def listed_over_new_connection(context):
    virtual_time.run(list_over_silent_connections())


async def list_over_silent_connections():
    """Fail if a second idle connection is used after the first delivered nothing."""
    network = partitioned_network.PartitionedNetwork(
        b'{"items": [], "has_more": false, "as_of": 1}'
    )
    # Longer than a call may go without an acknowledgement.
    limit = datetime.timedelta(seconds=5)
    listed = objects.ObjectStore(ADDRESS, limit, virtual_time.LoopClock())
    with network.in_place_of_kernel():
        await asyncio.gather(listed.list_objects("a"), listed.list_objects("b"))
        network.silence()
        first = await listed.list_objects("a")
        assert isinstance(first, store.Unavailable), first
        second = await listed.list_objects("a")
        assert isinstance(second, store.Listing), second


@behave.then('delivery: after {written:d} B written, {seen} left is "{state}"')
def state_of_delivery(context, written, seen, state):
    amount, _, times = seen.partition(", ")
    left, in_flight = (int(word) for word in amount.split() if word.isdigit())
    check = request_delivery.DeliveryCheck(
        request_delivery.Transmission(written, in_flight)
    )
    for _ in range(TIMES[times]):
        observed = check.observe(request_delivery.Transmission(left, in_flight))
    assert observed.value == state, observed
