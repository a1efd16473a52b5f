import asyncio
import re
import socket
import time

import behave

from tests.features.steps import unanswered_requests_steps
from tests.support import route_world

BLOCKED_S = 0.3
FAULTS = {
    "answers": "",
    "answers slowly": "slow",
    "declines slowly": "slow decline",
    "is stuck": "stuck",
}


@behave.given("half: a server that {fault}")
def server(context, fault):
    context.route_runner = route_world.runner()
    context.world = route_world.RouteWorld()

    async def start():
        await context.world.start_store()
        await context.world.configure(1)
        context.servers = [
            await context.world.add_server("plain", "app"),
            await context.world.add_server("writer", "lm", "decode"),
        ]
        for one in context.servers:
            one.faults.append(FAULTS[fault])
        await context.world.add_instance()

    context.route_runner.run(start())


@behave.when(
    'half: a client sends {count:d} requests to "{route}" and closes its {what}, {when}'
)
def closes(context, count, route, what, when):
    async def send():
        reader, writer = await context.world.connect()
        for number in range(count):
            writer.write(route_world.request(route, f"half-{number}"))
        if when != "at once":
            await asyncio.sleep(float(when.split()[1]))
        if what == "connection":
            writer.close()
            return
        writer.write_eof()
        async with asyncio.timeout(route_world.WAIT_S):
            context.raw = await reader.read()
        writer.close()

    context.route_runner.run(send())


@behave.when(
    "half: a client sends a request and closes its side while the instance is blocked"
)
def closes_while_blocked(context):
    async def send():
        address = (route_world.HOST, context.world.ports["one"])
        with unanswered_requests_steps.connected(address) as link:
            await asyncio.sleep(route_world.POLL_S)
            send_and_block(link)
            context.raw = await unanswered_requests_steps.received(link, until=None)

    context.route_runner.run(send())


def send_and_block(link):
    """Send a request and block the event loop, which the instance runs on."""
    link.sendall(route_world.request("notify", "half-0"))
    link.shutdown(socket.SHUT_WR)
    time.sleep(BLOCKED_S)


@behave.then("half: it gets statuses {statuses}")
def gets_statuses(context, statuses):
    found = re.findall(rb"HTTP/1.1 (\d+)", context.raw)
    assert b", ".join(found).decode() == statuses, context.raw


@behave.then("half: the server is told that the request is cancelled")
def cancelled(context):
    def is_cancelled():
        return any("half-0" in one.cancelled for one in context.servers)

    # Some requests are given up before a server has received them.
    def is_over():
        _, instance = context.world.instances["one"]
        return not instance.in_flight

    context.route_runner.run(context.world.until(is_over))
    if any(one.count_runs("half-0") for one in context.servers):
        context.route_runner.run(context.world.until(is_cancelled))


@behave.then("half: no server has run the request")
def not_run(context):
    assert not any(one.count_runs("half-0") for one in context.servers)
