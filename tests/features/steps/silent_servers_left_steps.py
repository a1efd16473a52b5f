import asyncio
import datetime
import json

import behave

from pimentolatch import results
from tests.support import partition_world, route_world

REQUEST = "left-1"
# Shortly before the time limit of a request.
NEARLY_UP_S = int(partition_world.DEADLINE_MS) / 1000 - 0.2


# With this target, clients wait for a first event until their deadline.
PATIENT_MS = 5000


def routes(attempts):
    stream = {"resumable": True, "latency_target_ms": PATIENT_MS}
    return [
        route_world.route("digest", "lm", "stream", max_attempts=attempts, **stream),
        route_world.route("notify", "app", "safe", max_attempts=attempts),
    ]


async def add_servers(world, decode, plain):
    for number in range(decode):
        await world.add_server(f"decode-{number}", "lm", "decode")
    for number in range(plain):
        await world.add_server(f"plain-{number}", "app")


async def ask(context, route_name, request_id, name):
    return await context.world.ask(
        route_name, request_id, name=name, body=request_id.encode()
    )


@behave.given("left: 3 instances with {decode:d} decode and {plain:d} plain servers")
def instances(context, decode, plain):
    context.route_runner = asyncio.Runner(loop_factory=partition_world.PartitionedLoop)
    context.world = world = partition_world.PartitionWorld()

    async def start():
        await world.start_store()
        await world.configure(1, routes(2))
        await add_servers(world, decode, plain)
        seeds = []
        for number in range(3):
            host = f"127.0.1.{number + 1}"
            await world.add_instance(f"g{number}", list(seeds), host, ready=False)
            seeds.append(f"{host}:{world.peer_port}")
        for name, (_, instance) in world.instances.items():
            await world.until_ready(name)
            await world.until(lambda by=instance: len(by.peers.live()) == 2)

    context.route_runner.run(start())


@behave.given("left: no retry budget is left")
def no_budget(context):
    _, instance = context.world.instances["g0"]
    instance.budget.configure(0.0, 0.0, datetime.timedelta(seconds=10))


@behave.given("left: requests have {attempts:d} attempts")
def attempts(context, attempts):
    world = context.world

    async def change():
        await world.configure(2, routes(attempts))
        for _, instance in world.instances.values():
            await world.until(lambda by=instance: by.fleet.version == 2)

    context.route_runner.run(change())


@behave.when('left: g0 loses all servers and a client asks it on the "{route}" route')
def lose(context, route):
    context.route = route

    async def start():
        # A connection that is open before.
        reply = await ask(context, route, "before", "g0")
        assert reply.status == 200, reply
        context.world.cut(["g0"], "accepted on the way")
        context.asked = asyncio.create_task(ask(context, route, REQUEST, "g0"))

    context.route_runner.run(start())


@behave.then("left: a request that is sent there {seconds:d} s later is served")
def served(context, seconds):
    async def wait():
        await asyncio.sleep(seconds)
        reply = await ask(context, context.route, "later", "g0")
        waits = not context.asked.done()
        first = await context.asked
        return reply, waits or first.status == 200

    reply, noticed = context.route_runner.run(wait())
    assert (reply.status, reply.complete) == (200, True), reply
    assert noticed, "served only once the first request was out of time"


@behave.given("left: a check of the path that never ends once a client's time is up")
def endless_check(context):
    _, instance = context.world.instances["one"]
    check = instance._monitor.check

    async def check_in_time(server):
        if asyncio.get_running_loop().time() > context.asked_at + NEARLY_UP_S:
            await asyncio.Event().wait()
        await check(server)

    instance._monitor.check = check_in_time


@behave.when("left: a client asks the only server, which is silent for good")
def ask_silent(context):
    async def start():
        (server,) = context.world.servers.values()
        server.awake.clear()
        context.asked_at = asyncio.get_running_loop().time()
        context.asked = asyncio.create_task(ask(context, "notify", REQUEST, "one"))

    context.route_runner.run(start())


@behave.then("left: the client is told that it has not run within the time limit")
def told(context):
    async def wait():
        return await context.asked

    reply = context.route_runner.run(wait())
    assert (reply.status, reply.complete) == (503, True), reply
    error = json.loads(reply.body)["error"]
    assert error["type"] == results.ResultCode.DEADLINE_UNREACHABLE.name.lower()
    assert error["execution"] == results.Execution.NOT_RUN.value, error


@behave.given(
    "left: an instance with {decode:d} decode and {plain:d} plain servers,"
    " and {attempts:d} attempts"
)
def instance(context, decode, plain, attempts):
    context.route_runner = route_world.runner()
    context.world = route_world.RouteWorld()

    async def start():
        await context.world.start_store()
        await context.world.configure(1, routes(attempts))
        await add_servers(context.world, decode, plain)
        await context.world.add_instance()

    context.route_runner.run(start())


@behave.when(
    "left: the engine falls silent for {seconds:g} s and reads a request"
    " {later_ms:d} ms later"
)
def silent_and_late(context, seconds, later_ms):
    async def silence():
        (engine,) = context.world.servers.values()
        execute = engine._execute

        async def late(connection, request):
            await asyncio.sleep(later_ms / 1000)
            return await execute(connection, request)

        engine._execute = late
        silent = asyncio.create_task(engine.fall_silent(seconds))
        context.reply = await ask(context, "digest", REQUEST, "one")
        await silent

    context.route_runner.run(silence())


@behave.when(
    "left: three servers decline a request and the fourth is silent for {seconds:g} s"
)
def last_attempt(context, seconds):
    async def silence():
        for number in range(12):
            reply = await ask(context, "notify", f"before-{number}", "one")
            assert reply.status == 200, reply
        # Servers that are alike are tried in the order of their names.
        servers = list(context.world.servers.values())
        for server in servers[:3]:
            server.faults.append("decline")
        silent = asyncio.create_task(servers[3].fall_silent(seconds))
        await asyncio.sleep(0)
        context.reply = await ask(context, "notify", REQUEST, "one")
        await silent

    context.route_runner.run(silence())


@behave.then("left: the client gets a whole answer, of one run")
def whole(context):
    assert (context.reply.status, context.reply.complete) == (200, True), context.reply
    servers = context.world.servers.values()
    assert sum(server.count_runs(REQUEST) for server in servers) == 1
