import asyncio
import contextlib
import socket

import behave

from pimentolatch import settings
from pimentolatch.entry import http_server
from tests.support import route_world

REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
LATE_S = 0.15


async def echo(scope, receive, send):
    """Answer a request with 200 (ASGI)."""
    headers = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


@contextlib.asynccontextmanager
async def served(application):
    """Serve an application; yields the server and its address."""
    address = settings.Address(host=route_world.HOST, port=route_world.free_port())
    server = http_server.HttpServer(application, address)
    await server.start()
    try:
        yield server, (address.host, address.port)
    finally:
        server.abort()


def connected(address):
    """Connect at once, without a step of the event loop."""
    link = socket.create_connection(address)
    link.setblocking(False)
    return link


async def received(link, until=b"\r\n\r\n"):
    """Return what a connection receives, until these bytes or its end."""
    loop = asyncio.get_running_loop()
    raw = b""
    async with asyncio.timeout(route_world.WAIT_S):
        with contextlib.suppress(ConnectionError):
            while (until is None or until not in raw) and (
                data := await loop.sock_recv(link, 65_536)
            ):
                raw += data
    return raw


@behave.given("unanswered: an HTTP server")
def server(context):
    context.application = echo


@behave.when("unanswered: it stops as {count:d} requests came {how}")
def stop_beside(context, count, how):
    context.raw, context.stopped = asyncio.run(stop_beside_requests(count, how))


async def stop_beside_requests(count, how):
    async with served(echo) as (server, address):
        link = None
        if "kept" in how:
            link = connected(address)
            link.sendall(REQUEST)
            await received(link)
        elif "opened" in how:
            link = connected(address)
            await asyncio.sleep(LATE_S)
        stopping = asyncio.create_task(server.stop())
        if "accepted" in how:
            link = connected(address)
        # The server has been asked to stop, and does so in the next step of the loop.
        await asyncio.sleep(0)
        link = link or connected(address)
        rest = REQUEST * count
        if "parts" in how:
            link.sendall(REQUEST[:10])
            rest = REQUEST[10:]
        if "parts" in how or "opened" in how:
            await asyncio.sleep(LATE_S)
        with contextlib.suppress(ConnectionError):
            link.sendall(rest)
        raw = await received(link, until=None)
        async with asyncio.timeout(route_world.WAIT_S):
            await stopping
        link.close()
        return raw, stopping.done()


@behave.then("unanswered: {count:d} requests were answered and the server has stopped")
def answered(context, count):
    assert context.raw.count(b"HTTP/1.1 200") == count, context.raw
    assert context.stopped
