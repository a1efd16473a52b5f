import asyncio
import contextlib
import datetime
import socket
import threading
import time

import behave

from pimentolatch import event_loop, reusable_timeout, settings
from pimentolatch.backend import channel

LIMIT_S = 0.05
BLOCKED_S = 0.1
INPUT = b"x"
# Time after which the timers of a busy loop count as starved.
STARVED_S = 10.0
# Time after which what a blocked process missed has been handled.
SETTLED_S = 1.0
HOST = "127.0.0.1"
CONNECT_LIMIT = datetime.timedelta(seconds=10)


class Connection(asyncio.Protocol):
    """Hands its input to a task, as the connections to servers do."""

    def __init__(self):
        self.received = asyncio.get_running_loop().create_future()

    def data_received(self, data):
        if not self.received.done():
            self.received.set_result(data)


async def with_timeout(awaited):
    async with asyncio.timeout(LIMIT_S):
        return await awaited


async def with_wait_for(awaited):
    return await asyncio.wait_for(awaited, LIMIT_S)


async def with_wait(awaited):
    done, _ = await asyncio.wait({awaited}, timeout=LIMIT_S)
    return awaited.result() if done else None


async def with_reusable_timeout(awaited):
    timeout = reusable_timeout.ReusableTimeout()
    try:
        return await timeout.wait_for(LIMIT_S, awaited)
    finally:
        timeout.close()


WAITS = {
    "asyncio.timeout": with_timeout,
    "asyncio.wait_for": with_wait_for,
    "asyncio.wait": with_wait,
    "a reusable timeout": with_reusable_timeout,
}


@behave.given("event loop: a connection whose input is awaited by a chain of tasks")
def connection(context):
    context.runner = asyncio.Runner(loop_factory=event_loop.InputFirstEventLoop)
    context.add_cleanup(context.runner.close)


@behave.when("event loop: the process is blocked, its input comes and {wait} falls due")
def blocked_with_input(context, wait):
    context.received = context.runner.run(receive(WAITS[wait], INPUT))


@behave.when("event loop: the process is blocked, no input comes and {wait} falls due")
def blocked_without_input(context, wait):
    context.received = context.runner.run(receive(WAITS[wait], b""))


@behave.when("event loop: its input comes as a timer that is due with a limit blocks")
def blocked_between_timers(context):
    context.received = context.runner.run(receive_between_timers())


async def receive_between_timers():
    """Return what is received before a limit is judged; None if nothing is."""
    loop = asyncio.get_running_loop()
    own, peer = socket.socketpair()

    def block():
        peer.send(INPUT)
        time.sleep(BLOCKED_S)

    with contextlib.closing(peer):
        transport, protocol = await loop.create_connection(Connection, sock=own)
        due_at = loop.time() + LIMIT_S
        loop.call_at(due_at, block)
        loop.call_at(due_at, transport.abort)
        done, _ = await asyncio.wait({protocol.received}, timeout=SETTLED_S)
        transport.abort()
        return protocol.received.result() if done else None


@behave.then("event loop: the input was received")
def was_received(context):
    assert context.received == INPUT, context.received


@behave.then("event loop: the wait ended without input")
def ended_without_input(context):
    assert context.received is None, context.received


async def receive(wait, data):
    """Return what is received before the wait ends; None if nothing is."""
    own, peer = socket.socketpair()
    with contextlib.closing(peer):
        transport, protocol = await asyncio.get_running_loop().create_connection(
            Connection, sock=own
        )

        async def read():
            return await protocol.received

        async def exchange():
            return await asyncio.create_task(read())

        waiting = asyncio.create_task(wait(asyncio.create_task(exchange())))
        for _ in range(3):
            await asyncio.sleep(0)
        peer.send(data)
        time.sleep(BLOCKED_S)  # noqa: ASYNC251
        try:
            return await waiting
        except TimeoutError:
            return None
        finally:
            transport.close()


@behave.given("event loop: a server that accepts connections")
def accepting_server(context):
    connection(context)
    context.listener = socket.create_server((HOST, 0))
    context.add_cleanup(context.listener.close)


@behave.when("event loop: the process is blocked as a connection to it opens")
def blocked_while_connecting(context):
    port = context.listener.getsockname()[1]
    address = settings.Address(host=HOST, port=port)

    async def connecting():
        asyncio.get_running_loop().call_soon(time.sleep, BLOCKED_S)
        try:
            link = await channel.connect(address, datetime.timedelta(seconds=LIMIT_S))
        except channel.ConnectError as error:
            return error
        link.close()
        return None

    context.failure = context.runner.run(connecting())


@behave.then("event loop: the connection is open")
def connection_opened(context):
    assert context.failure is None, context.failure


@behave.given("event loop: a callback that is always ready")
def busy(context):
    context.runner = asyncio.Runner(loop_factory=event_loop.InputFirstEventLoop)
    context.add_cleanup(context.runner.close)


@behave.when("event loop: 3 timers fall due and the second one is cancelled as it does")
def timers_fall_due(context):
    context.ran = context.runner.run(run_timers())


@behave.then("event loop: the first and the third one have run, in this order")
def timers_ran(context):
    assert context.ran == [1, 3], context.ran


async def run_timers():
    """Return the numbers of the timers that run on a busy loop, in their order."""
    loop = asyncio.get_running_loop()
    ran = []
    first, second, third = (
        loop.call_later(number / 1000, ran.append, number) for number in (1, 2, 3)
    )
    time.sleep(BLOCKED_S)  # noqa: ASYNC251
    await asyncio.sleep(0)
    second.cancel()
    while len(ran) < 2 and loop.time() < third.when() + STARVED_S:  # noqa: ASYNC110
        await asyncio.sleep(0)
    assert not first.cancelled()
    assert not third.cancelled()
    return ran


@behave.given("event loop: a server that answers with {size:d} bytes")
def large_server(context, size):
    context.runner = asyncio.Runner(loop_factory=event_loop.InputFirstEventLoop)
    context.add_cleanup(context.runner.close)
    context.listener = socket.create_server((HOST, 0))
    context.add_cleanup(context.listener.close)
    context.body = bytes(size)
    context.answered = threading.Event()
    server = threading.Thread(target=answer_once, args=(context,))
    server.start()
    context.add_cleanup(server.join)


def answer_once(context):
    connection, _ = context.listener.accept()
    with connection:
        connection.recv(1000)
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(context.body)}\r\n\r\n"
        connection.sendall(head.encode() + context.body)
        context.answered.set()
        connection.recv(1000)


@behave.when("event loop: the process is blocked and its response comes before a limit")
def blocked_with_large_response(context):
    context.received = context.runner.run(fetch(context))


@behave.then("event loop: the response was received")
def response_received(context):
    assert context.received == context.body, len(context.received or b"")


async def fetch(context):
    """Return the body of a response; None if it is not read within the limit."""
    port = context.listener.getsockname()[1]
    address = settings.Address(host=HOST, port=port)
    link = await channel.connect(address, CONNECT_LIMIT)
    try:
        async with asyncio.timeout(LIMIT_S):
            link.send("GET", b"/", [(b"host", b"x")], b"")
            await asyncio.sleep(0)
            context.answered.wait(STARVED_S)
            time.sleep(BLOCKED_S)  # noqa: ASYNC251
            await link.read_head()
            return await link.read_body(len(context.body))
    except TimeoutError:
        return None
    finally:
        link.close()
