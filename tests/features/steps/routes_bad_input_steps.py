import asyncio

import behave

from tests.support import route_world

HEAD = "POST /notify/x HTTP/1.1\r\nhost: site.example\r\nx-request-id: bad\r\n"
LONG = "a" * 9000
OVER = 100_001
INPUTS = {
    "a header over the limit": HEAD + "".join(f"x-{n}: {n}\r\n" for n in range(900)),
    "a header over the limit in one field": f"{HEAD}x-long: {LONG}\r\n\r\n",
    "two lengths that differ": (
        f"{HEAD}content-length: 3\r\ncontent-length: 5\r\n\r\nab"
    ),
    "a length and chunks": (
        f"{HEAD}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "a length that is no number": f"{HEAD}content-length: 3x\r\n\r\nabc",
    "a chunk whose size is no number": (
        f"{HEAD}transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n"
    ),
    "bytes that are no HTTP": "\x00\x01\x02 what is this\r\n\r\n",
    "a TLS greeting": "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    "half a header and then nothing": HEAD,
    "half a body and then the end": f"{HEAD}content-length: 10\r\n\r\nabc",
    "a body over the limit": f"{HEAD}content-length: {OVER}\r\n\r\n{'b' * OVER}",
    "chunks that add up over the limit": (
        f"{HEAD}transfer-encoding: chunked\r\n\r\n"
        + f"8000\r\n{'c' * 0x8000}\r\n" * 4
        + "0\r\n\r\n"
    ),
}
ENDS = {"half a body and then the end"}
ANSWER_S = 8.0


async def exchange(context, data, *, ends):
    """Send bytes and return the answer, and whether the connection ended after it."""
    reader, writer = await context.world.connect()
    writer.write(data)
    if ends:
        writer.write_eof()
    try:
        async with asyncio.timeout(ANSWER_S):
            answer = await route_world.reply(reader)
            rest = await reader.read() if answer.status != 413 else b""
    finally:
        writer.close()
    return answer, rest


@behave.when("routes: somebody sends {what}")
def send_bad(context, what):
    data = INPUTS[what].encode("latin-1")
    sent = exchange(context, data, ends=what in ENDS)
    context.reply, context.rest = context.run(sent)


@behave.when('routes: a client sends {field} "{value}"')
def send_field(context, field, value):
    fields = {"x_token_counts": "1200,20"} | {field.replace("-", "_"): value}
    context.reply = context.run(context.world.ask("notify", "bad", **fields))


@behave.then("routes: the answer is {status:d} and the connection ends")
def answered_and_ended(context, status):
    assert context.reply.status == status, context.reply
    assert context.rest == b"", context.rest


@behave.then("routes: the answer is {status:d}")
def answered(context, status):
    assert context.reply.status == status, context.reply


@behave.then("routes: no server got anything of it")
def nothing_forwarded(context):
    assert context.world.servers["a1"].received == []


@behave.then("routes: a client beside it is served")
def beside(context):
    reply = context.run(context.world.ask("notify", "good", body=b"hello"))
    assert reply.status == 200 and reply.body == b"answer of hello", reply


@behave.when('routes: a client sends the requests "{first}" and "{second}" at once')
def pipelined(context, first, second):
    async def send():
        reader, writer = await context.world.connect()
        for name in (first, second):
            writer.write(route_world.request("notify", name, name.encode()))
        try:
            return [await route_world.reply(reader) for _ in range(2)]
        finally:
            writer.close()

    context.replies = context.run(send())


@behave.then('routes: the answers to "{first}" and "{second}" come in this order')
def in_order(context, first, second):
    bodies = [reply.body.decode() for reply in context.replies]
    assert bodies == [f"answer of {first}", f"answer of {second}"], bodies


@behave.when("routes: a client sends a request whose body looks like another request")
def smuggled(context):
    context.inner = route_world.request("notify", "inner")
    asked = context.world.ask("notify", "outer", body=context.inner)
    context.reply = context.run(asked)


@behave.then("routes: the server got one request with that body")
def one_request(context):
    assert context.reply.status == 200, context.reply
    received = context.world.servers["a1"].received
    assert [item.body for item in received] == [context.inner], received


@behave.when("routes: {count:d} connections send half a header and then nothing")
def slow_senders(context, count):
    async def connect():
        opened = [await context.world.connect() for _ in range(count)]
        for _, writer in opened:
            writer.write(HEAD.encode())
        return opened

    context.slow = context.run(connect())


@behave.then("routes: all of them are ended")
def all_ended(context):
    async def ended():
        async with asyncio.timeout(ANSWER_S):
            answers = [await reader.read() for reader, _ in context.slow]
        for _, writer in context.slow:
            writer.close()
        return answers

    for answer in context.run(ended()):
        assert answer.startswith(b"HTTP/1.1 408"), answer
