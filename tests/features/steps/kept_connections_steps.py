import asyncio
import re
from unittest import mock

import behave

from pimentolatch.entry import bounded_http
from tests.features.steps import unanswered_requests_steps
from tests.support import route_world


def configuration(version, idle_ms):
    spec = route_world.configuration(version, route_world.ROUTES)
    spec["limits"]["idle_timeout_ms"] = idle_ms
    return spec


@behave.given("kept: an instance with an idle time of {idle_ms:d} ms")
def instance(context, idle_ms):
    context.route_runner = route_world.runner()
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
        elif begins == "has sent an empty line":
            context.link[1].write(b"\r\n")
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


@behave.given(
    "kept: a server with limits of {idle:g} s while idle and of {head:g} s for a head"
)
def limits(context, idle, head):
    for name, limit in (
        ("IDLE_SECONDS", idle),
        ("LINGER_SECONDS", idle),
        ("HEAD_SECONDS", head),
    ):
        context.add_cleanup(setattr, bounded_http, name, getattr(bounded_http, name))
        setattr(bounded_http, name, limit)


@behave.when("kept: a client sends a request and a half, and the rest {when}")
def and_a_half(context, when):
    request = unanswered_requests_steps.REQUEST
    half = len(request) // 2

    async def send():
        application = unanswered_requests_steps.echo
        async with unanswered_requests_steps.served(application) as (_, address):
            link = unanswered_requests_steps.connected(address)
            link.sendall(request + request[:half])
            if when != "never":
                await asyncio.sleep(float(when.split()[1]))
                link.sendall(request[half:])
            context.raw = await unanswered_requests_steps.received(link, until=None)
            link.close()

    asyncio.run(send())


@behave.when("kept: a client sends a malformed head and goes on for {seconds:g} s")
def malformed_head(context, seconds):
    async def send():
        application = unanswered_requests_steps.echo
        async with unanswered_requests_steps.served(application) as (_, address):
            link = unanswered_requests_steps.connected(address)
            link.sendall(b"GET / HTTP/1.1\r\n:\r\n")
            context.raw = await unanswered_requests_steps.received(link, until=None)
            await asyncio.sleep(seconds)
            context.closed = False
            # The first one is answered by a reset if the connection is closed.
            for _ in range(2):
                try:
                    link.sendall(b"more")
                except ConnectionError:
                    context.closed = True
                await asyncio.sleep(route_world.POLL_S)
            link.close()

    asyncio.run(send())


@behave.when(
    "kept: a client sends {count:d} requests, whose bodies follow once it is asked"
    " for them"
)
def announces_bodies(context, count):
    async def send():
        reader, writer = await context.world.connect()
        context.raw = b""
        for number in range(count):
            request = route_world.request(
                "notify", f"kept-{number}", b"body", expect="100-continue"
            )
            writer.write(request.removesuffix(b"body"))
            context.raw += (interim := await reader.readuntil(b"\r\n\r\n"))
            if b" 100 " not in interim:
                break
            writer.write(b"body")
            context.raw += b"HTTP/1.1 %d" % (await route_world.reply(reader)).status
        writer.close()

    context.route_runner.run(asyncio.wait_for(send(), route_world.WAIT_S))


@behave.when(
    "kept: the event loop has other work once an idle connection is to be closed"
)
def busy_at_close(context):
    protocol = bounded_http.BoundedHttpProtocol
    close = protocol.timeout_keep_alive_handler
    loop_waits_s = 0.5

    async def wait():
        ended = asyncio.get_running_loop().create_future()

        def close_and_work(self):
            close(self)
            if self.transport.is_closing() and not ended.done():
                link.settimeout(loop_waits_s)
                try:
                    ended.set_result(link.recv(1))
                except TimeoutError:
                    ended.set_result(None)

        with mock.patch.object(protocol, "timeout_keep_alive_handler", close_and_work):
            application = unanswered_requests_steps.echo
            async with unanswered_requests_steps.served(application) as (_, address):
                link = unanswered_requests_steps.connected(address)
                context.seen = await ended
                link.close()

    asyncio.run(wait())


@behave.then("kept: its client sees the end of the connection meanwhile")
def sees_end(context):
    assert context.seen == b""


@behave.then("kept: its connection is closed")
def is_closed(context):
    assert context.closed


@behave.then("kept: it gets statuses {statuses}")
def gets_statuses(context, statuses):
    found = re.findall(rb"HTTP/1.1 (\d+)", context.raw)
    assert b", ".join(found).decode() == statuses, context.raw


async def ask(context, request_id):
    """Return the reply to a request; None if the connection was closed instead."""
    reader, writer = context.link
    if reader.at_eof():
        return None
    writer.write(route_world.request("notify", request_id, request_id.encode()))
    async with asyncio.timeout(route_world.WAIT_S):
        return await route_world.reply(reader)
