import asyncio

import behave

from tests.support import route_world


def configuration(version, idle_ms):
    spec = route_world.configuration(version, route_world.ROUTES)
    spec["limits"]["idle_timeout_ms"] = idle_ms
    return spec


@behave.given("kept: an instance with an idle time of {idle_ms:d} ms")
def instance(context, idle_ms):
    context.route_runner = asyncio.Runner()
    context.world = route_world.RouteWorld()

    async def start():
        await context.world.start_store()
        await context.world.write("config", "main", configuration(1, idle_ms))
        await context.world.add_server("plain", "app")
        await context.world.add_instance()

    context.route_runner.run(start())


@behave.when("kept: a client {begins} and is idle for {idle_ms:d} ms")
def begins(context, begins, idle_ms):
    async def use():
        context.link = await context.world.connect()
        if begins == "has been answered":
            await ask(context, "kept-1")
        await asyncio.sleep(idle_ms / 1000)

    context.route_runner.run(use())


@behave.when(
    "kept: the idle time is raised to {limit_ms:d} ms,"
    " and the client is idle for {idle_ms:d} ms"
)
def raised(context, limit_ms, idle_ms):
    async def change():
        _, instance = context.world.instances["one"]
        await context.world.write("config", "main", configuration(2, limit_ms))
        await context.world.until(lambda: instance.fleet.version == 2)
        await asyncio.sleep(idle_ms / 1000)

    context.route_runner.run(change())


@behave.then("kept: its next request on the same connection is answered")
def answered(context):
    reply = context.route_runner.run(ask(context, "kept-2"))
    assert reply is not None
    assert (reply.status, reply.body) == (200, b"answer of kept-2"), reply


@behave.then("kept: the instance closes the connection")
def closed(context):
    reader, _ = context.link

    async def read():
        async with asyncio.timeout(route_world.WAIT_S):
            return await reader.read()

    assert context.route_runner.run(read()) == b""


async def ask(context, request_id):
    """Return the reply to a request; None if the connection was closed instead."""
    reader, writer = context.link
    if reader.at_eof():
        return None
    writer.write(route_world.request("notify", request_id, request_id.encode()))
    async with asyncio.timeout(route_world.WAIT_S):
        return await route_world.reply(reader)
