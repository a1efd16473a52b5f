import asyncio
import contextlib
import datetime
import gc
import json
import random
import re
import socket
import struct
from unittest import mock

import behave
import logbook

from pimentolatch import results, settings
from pimentolatch.decisions import client_memory
from pimentolatch.entry import bounded_http, http_server
from pimentolatch.gateway import dispatch_check, plain_forwarder
from tests.support import route_world

REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
LATE_S = 0.15
# Time after which what was written has been read.
READ_APART_S = 0.02
# Little more than an instance takes until it refuses new requests.
GRACE_S = 3.5
AFTER = "after"


async def echo(scope, receive, send):
    """Answer a request with 200 (ASGI)."""
    headers = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


@contextlib.asynccontextmanager
async def served(application, memory=None):
    """Serve an application; yields the server and its address."""
    address = settings.Address(host=route_world.HOST, port=route_world.free_port())
    server = http_server.HttpServer(application, address, memory=memory)
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


async def echo_body(scope, receive, send):
    """Answer a request with its body (ASGI)."""
    body, more = b"", True
    while more:
        message = await receive()
        body += message.get("body", b"")
        more = message.get("more_body", False)
    headers = [(b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


@behave.given("unanswered: an HTTP server that answers with the body")
def echo_server(context):
    context.application = echo_body


async def echo_body_late(scope, receive, send):
    """Answer a request with its body, once the client has sent on (ASGI)."""
    await asyncio.sleep(LATE_S)
    await echo_body(scope, receive, send)


@behave.given("unanswered: an HTTP server that answers late with the body")
def late_echo_server(context):
    context.application = echo_body_late


@behave.when(
    "unanswered: {count:d} requests with bodies of up to {size:d} bytes come in pieces"
)
def send_bodies_ahead(context, count, size):
    choice = random.Random(size)
    context.bodies = [choice.randbytes(choice.randrange(size)) for _ in range(count)]
    context.replies = asyncio.run(replies_ahead(context, choice))


async def replies_ahead(context, choice):
    head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n"
    raw = b"".join(head % len(body) + body for body in context.bodies)
    async with served(context.application) as (_, address):
        reader, writer = await asyncio.open_connection(*address)

        async def send():
            at = 0
            while at < len(raw):
                size = choice.choice((1, 100, 5000, 300_000))
                writer.write(raw[at : at + size])
                await writer.drain()
                at += size

        async with asyncio.timeout(route_world.WAIT_S):
            sending = asyncio.create_task(send())
            replies = [await route_world.reply(reader) for _ in context.bodies]
            await sending
        writer.close()
        return replies


@behave.then("unanswered: each is answered with its own body, in order")
def own_bodies(context):
    assert [reply.body for reply in context.replies] == context.bodies


REFUSED = {
    "rubbish": b"rubbish\r\n\r\n",
    "half a head": b"POST /v1/services/x HTTP/1.1\r\nho",
    "half a body": b"POST /v1/services/x HTTP/1.1\r\ncontent-length: 10\r\n\r\nthird",
    "a body with a chunk of rubbish": (
        b"POST /v1/services/x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
        b"5\r\nthird\r\nrubbish\r\n"
    ),
}


@behave.when("unanswered: a client sends two requests ahead of {refused}")
def ahead_of_refused(context, refused):
    what, closes, _ = refused.partition(" and closes its sending side")
    head = b"POST /v1/services/x HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n"

    async def send():
        async with served(context.application) as (_, address):
            link = connected(address)
            bodies = (b"first", b"second")
            raw = b"".join(head % len(body) + body for body in bodies)
            link.sendall(raw + REFUSED[what])
            if closes:
                link.shutdown(socket.SHUT_WR)
            try:
                return await received(link, until=None)
            finally:
                link.close()

    context.raw = asyncio.run(send())


@behave.then("unanswered: both are answered in order, and the connection has ended")
def both_then_end(context):
    answers = context.raw.split(b"HTTP/1.1 ")[1:]
    assert [answer[:3] for answer in answers] == [b"200", b"200"], context.raw
    bodies = [answer.rpartition(b"\r\n\r\n")[2] for answer in answers]
    assert bodies == [b"first", b"second"], context.raw


@behave.when(
    "unanswered: {count:d} requests with heads of {size} bytes come, "
    "each body with the next head's begin"
)
def bodies_with_next_head(context, count, size):
    padding = b"x-padding: " + b"p" * int(size.replace(",", "")) + b"\r\n\r\n"
    begin = b"POST /v1/services/x HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n"

    async def send():
        async with served(context.application) as (_, address):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(begin)
            replies = []
            async with asyncio.timeout(route_world.WAIT_S):
                for _ in range(count):
                    await asyncio.sleep(READ_APART_S)
                    writer.write(padding)
                    await asyncio.sleep(READ_APART_S)
                    writer.write(b"whole" + begin)
                    replies.append(await route_world.reply(reader))
            writer.close()
            return replies

    context.replies = asyncio.run(send())


@behave.then("unanswered: all {count:d} are answered with their bodies")
def all_answered(context, count):
    assert [reply.body for reply in context.replies] == [b"whole"] * count


@behave.when(
    "unanswered: a head of 30,000 bytes begins behind the last 3,500 of another one"
)
def head_behind_head(context):
    begin = b"GET / HTTP/1.1\r\nhost: x\r\nx-padding: "
    large = begin + b"p" * (30_000 - len(begin) - 4) + b"\r\n\r\n"
    large, end = large[:29_990], large[29_990:]
    reads = [begin, b"p" * 3496 + b"\r\n\r\n" + large[:100]]
    reads += [large[at : at + 4000] for at in range(100, len(large), 4000)]
    reads.append(end)

    async def send():
        async with served(context.application) as (_, address):
            reader, writer = await asyncio.open_connection(*address)
            for part in reads:
                writer.write(part)
                await asyncio.sleep(READ_APART_S)
            async with asyncio.timeout(route_world.WAIT_S):
                replies = [await route_world.reply(reader) for _ in range(2)]
            writer.close()
            return replies

    context.replies = asyncio.run(send())


@behave.then("unanswered: both get 200")
def both_get_200(context):
    assert [reply.status for reply in context.replies] == [200, 200]


@behave.when(
    "unanswered: the head behind {count:d} requests comes in two parts, in time"
)
def head_in_parts(context, count):
    request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"

    async def send():
        async with served(context.application) as (_, address):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request * count + request[:10])
            await asyncio.sleep(READ_APART_S)
            writer.write(request[10:])
            async with asyncio.timeout(route_world.WAIT_S):
                replies = [await route_world.reply(reader) for _ in range(count + 1)]
            writer.close()
            return replies

    with mock.patch.object(bounded_http, "HEAD_SECONDS", LATE_S / 2):
        context.replies = asyncio.run(send())


@behave.then("unanswered: all {count:d} requests are answered")
def all_requests_answered(context, count):
    assert [reply.status for reply in context.replies] == [200] * count


@behave.when("unanswered: rubbish comes in a body whose request has been answered")
def rubbish_behind_answer(context):
    async def send():
        async with served(context.application) as (_, address):
            link = connected(address)
            head = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
            link.sendall(head)
            raw = await received(link)
            link.sendall(b"rubbish\r\n")
            raw += await received(link, until=None)
            link.close()
            return raw

    context.raw = asyncio.run(send())


@behave.when(
    "unanswered: a client stays after rubbish in a body that fills half of the memory"
)
def rubbish_in_large_body(context):
    memory = client_memory.ClientMemory(client_memory.LEAST_MACHINE_MB)
    body = b"x" * int(memory.limit_bytes * 0.6)
    head = b"POST / HTTP/1.1\r\nhost: x\r\n"
    chunked = head + b"transfer-encoding: chunked\r\n\r\n"
    whole = head + b"content-length: %d\r\n\r\n" % len(body) + body

    async def send():
        async with served(context.application, memory) as (_, address):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(chunked + b"%x\r\n%s\r\nrubbish\r\n" % (len(body), body))
            assert (await route_world.reply(reader)).status == 400
            other_reader, other = await asyncio.open_connection(*address)
            other.write(whole)
            async with asyncio.timeout(route_world.WAIT_S):
                context.reply = await route_world.reply(other_reader)
            other.close()
            writer.close()
        context.body = body

    asyncio.run(send())


@behave.then("unanswered: another one's body of that size is answered")
def other_is_answered(context):
    assert context.reply.status == 200, context.reply.status
    assert context.reply.body == context.body


@behave.then("unanswered: there was one answer, and the connection ends")
def one_answer(context):
    assert context.raw.count(b"HTTP/1.1 ") == 1, context.raw


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


@behave.when(
    "unanswered: the idle limit of a kept connection falls due with a request unread"
)
def idle_limit_due(context):
    context.raw, context.rest = asyncio.run(idle_limit_beside_request())


async def idle_limit_beside_request():
    async with served(echo) as (server, address):
        link = connected(address)
        link.sendall(REQUEST)
        await received(link)
        (protocol,) = server._server.server_state.connections
        link.sendall(REQUEST)
        protocol._idle_since -= protocol.idle_seconds
        protocol.timeout_keep_alive_handler()
        raw = await received(link)
        protocol._idle_since -= protocol.idle_seconds
        protocol.timeout_keep_alive_handler()
        return raw, await received(link, until=None)


@behave.then(
    "unanswered: the request is answered, and the connection ends once it is idle"
)
def answered_then_ended(context):
    assert context.raw.startswith(b"HTTP/1.1 200"), context.raw
    assert not context.rest, context.rest


def start(context, *faults, time=None):
    """Start a world with one instance and one server that has these faults."""
    context.logged = logbook.TestHandler(bubble=True)
    context.logged.push_application()
    context.add_cleanup(context.logged.pop_application)
    context.route_runner = route_world.runner()
    context.world = route_world.RouteWorld()

    async def start_world():
        await context.world.start_store()
        await context.world.configure(1)
        context.server = await context.world.add_server("plain", "app")
        context.server.faults.extend(faults)
        context.instance = await context.world.add_instance(time=time)

    context.route_runner.run(start_world())


@behave.given("unanswered: an instance that is about to stop")
def about_to_stop(context):
    time = route_world.HeldClock()
    start(context, time=time)

    async def announce():
        context.stopping = asyncio.create_task(context.instance.stop())
        await context.world.until(lambda: time.held)

    context.route_runner.run(announce())


@behave.given("unanswered: an instance with a server that does not answer")
def with_stuck_server(context):
    start(context, "stuck")


@behave.when("unanswered: a client pipelines two requests")
def pipelines(context):
    async def send():
        reader, writer = await context.world.connect()
        for name in ("first", "second"):
            writer.write(route_world.request("notify", name, name.encode()))
        async with asyncio.timeout(route_world.WAIT_S):
            context.raw = await reader.read()
        writer.close()

    context.route_runner.run(send())


@behave.then(
    "unanswered: both are answered, and only the last answer closes the connection"
)
def both_answered(context):
    heads = re.findall(rb"HTTP/1.1 200.*?\r\n\r\n", context.raw, re.DOTALL)
    assert [b"connection: close" in head for head in heads] == [False, True], heads
    assert re.findall(rb"answer of (first|second)", context.raw) == [
        b"first",
        b"second",
    ]


@behave.when("unanswered: a client pipelines two requests and leaves")
def pipelines_and_leaves(context):
    async def send():
        _, writer = await context.world.connect()
        for name in ("first", "second"):
            writer.write(route_world.request("notify", name, name.encode()))
        await context.world.until(lambda: context.server.count_runs("first"))
        writer.close()

    context.route_runner.run(send())


@behave.then("unanswered: the server is told that the first one is cancelled")
def first_cancelled(context):
    until(context, lambda: "first" in context.server.cancelled)


@behave.then('unanswered: "{reason}" is logged for the second one')
def second_logged(context, reason):
    until(context, lambda: ("second", reason) in unanswered(context))


@behave.when(
    "unanswered: a client sends the {part} of a request and its connection is reset"
)
def reset_within(context, part):
    raw = route_world.request("notify", "partial", b"12")
    sent = raw[:-1] if "body" in part else raw[: raw.index(b"\r\n\r\n")]

    async def send():
        _, writer = await context.world.connect()
        writer.write(sent)
        await asyncio.sleep(LATE_S)
        link = writer.get_extra_info("socket")
        link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.close()

    context.route_runner.run(send())


@behave.then('unanswered: "{reason}" is logged')
def logged(context, reason):
    until(context, lambda: ("partial", reason) in unanswered(context))


@behave.when("unanswered: the instance aborts as a request runs")
def abort_beside(context):
    async def send():
        _, writer = await context.world.connect()
        writer.write(route_world.request("notify", "cut"))
        await context.world.until(lambda: context.server.count_runs("cut"))
        await context.instance.abort()
        writer.close()

    context.route_runner.run(send())


@behave.then('unanswered: its outcome is logged as "{outcome}"')
def outcome_logged(context, outcome):
    def lines():
        return [
            record.kwargs
            for record in context.logged.records
            if record.message == "answered" and record.kwargs["id"] == "cut"
        ]

    until(context, lines)
    assert [(line["outcome"], line["cut"]) for line in lines()] == [(outcome, True)]


@behave.when(
    "unanswered: the grace period ends as a request from {since} the signal {waits}"
)
def grace_ends(context, since, waits):
    world, instance, flow = context.world, context.instance, context.instance.flow
    chosen = world.settings("one")
    bounds = chosen.bounds.model_copy(update={"stop_grace_s": GRACE_S})
    chosen = chosen.model_copy(update={"bounds": bounds})
    waiting = []
    full = mock.patch.multiple(
        flow,
        withheld=lambda listed, **_: {server.incarnation for server in listed},
        permit_wait=lambda listed, ahead: waiting.append(ahead) or datetime.timedelta(),
    )

    context.unretrieved = []

    async def stop():
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, failure: context.unretrieved.append(failure)
        )
        instance.apply(chosen)
        stopping = None
        if since == AFTER:
            stopping = asyncio.create_task(instance.stop())
            await asyncio.sleep(0)
        asked = asyncio.create_task(world.ask("notify", "waits"))
        await world.until(lambda: waiting or context.server.count_runs("waits"))
        await (stopping or instance.stop())
        return await asked

    with full if "room" in waits else contextlib.nullcontext():
        context.reply = context.route_runner.run(stop())


@behave.then("unanswered: the stop has left no failure that nobody retrieved")
def all_retrieved(context):
    gc.collect()
    assert not context.unretrieved, context.unretrieved


@behave.then("unanswered: it gets {status:d}, {execution}")
def ended_with(context, status, execution):
    assert context.reply.status == status, context.reply
    error = json.loads(context.reply.body)["error"]
    not_run = error["execution"] == results.Execution.NOT_RUN.value
    assert not_run == (execution == "not run"), error


@behave.when("unanswered: a request comes that the instance fails on")
def fails_on(context):
    failure = mock.patch.object(
        dispatch_check.DispatchCheck, "refusal", side_effect=RuntimeError("no rule")
    )
    with failure:
        context.reply = context.route_runner.run(context.world.ask("notify", "failed"))


@behave.when("unanswered: a request comes whose work is cancelled from within")
def cancelled_within(context):
    cancelled = mock.patch.object(
        plain_forwarder.PlainForwarder, "run", side_effect=asyncio.CancelledError
    )
    with cancelled:
        context.reply = context.route_runner.run(
            context.world.ask("notify", "cancelled")
        )


@behave.then("unanswered: it is answered with 502, and so it is logged")
def answered_502(context):
    assert context.reply.status == 502, context.reply
    (line,) = (
        record.kwargs
        for record in context.logged.records
        if record.message == "answered" and record.kwargs["id"] == "cancelled"
    )
    assert (line["status"], line["outcome"]) == (502, "outcome_unknown"), line


@behave.then("unanswered: it is refused as not run, with a time to come back")
def refused_not_run(context):
    assert context.reply.status == 503, context.reply
    body = json.loads(context.reply.body)["error"]
    assert body["execution"] == results.Execution.NOT_RUN.value, body
    assert float(context.reply.fields["retry-after"]) > 0
    assert not context.server.count_runs("failed")


@behave.then("unanswered: the reason and the answer are logged")
def failure_logged(context):
    lines = {
        record.message: record.kwargs
        for record in context.logged.records
        if record.kwargs.get("id") == "failed"
    }
    assert "no rule" in lines["request failed"]["reason"], lines
    assert lines["answered"]["status"] == 503, lines


def until(context, condition):
    context.route_runner.run(context.world.until(condition))


def unanswered(context):
    """Return the requests that were logged as unanswered, with the reasons."""
    return [
        (record.kwargs["id"], record.kwargs["reason"])
        for record in context.logged.records
        if record.message == "unanswered"
    ]


CHUNK = b"5\r\nbytes\r\n"
# More than enough for a reset to arrive on this machine.
RESET_S = 0.1


@behave.when("unanswered: a client {does} and sends a body on after the answer")
def send_on(context, does):
    context.answer, context.outcome = asyncio.run(
        send_body_on(context.application, stops="stop" in does)
    )


async def send_body_on(application, *, stops):
    """Return the answer to a part of a request, and how sending the rest ended."""
    loop = asyncio.get_running_loop()
    field = b"" if stops else b"connection: close\r\n"
    head = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n"
    async with served(application) as (server, address):
        link = connected(address)
        await asyncio.sleep(RESET_S)
        stopping = asyncio.create_task(server.stop() if stops else asyncio.sleep(0))
        await asyncio.sleep(RESET_S)
        await loop.sock_sendall(link, head + field + b"\r\n" + CHUNK)
        answer = await received(link)
        try:
            for data in (CHUNK, CHUNK, b"0\r\n\r\n"):
                await loop.sock_sendall(link, data)
                await asyncio.sleep(RESET_S)
            outcome = await loop.sock_recv(link, 1)
        except ConnectionError as error:
            outcome = repr(error)
        link.close()
        await stopping
    return answer, outcome


@behave.then("unanswered: it has the answer, and its connection was not reset")
def not_reset(context):
    assert context.answer.startswith(b"HTTP/1.1 200"), context.answer
    assert b"\r\nconnection: close\r\n" in context.answer.lower(), context.answer
    assert context.outcome == b"", context.outcome
