import asyncio
import contextlib
import datetime
import json
import socket
import time

import behave

from pimentolatch import clock, settings
from pimentolatch.backend import engine_client, kv_client, outcomes, plain_client
from tests.support import raw_server

SECOND = datetime.timedelta(seconds=1)
# Long enough for a busy machine: a connection that is not open in time proves that the
# call did not run, and a scenario about its response would see "not run" instead.
AMPLE = 20 * SECOND
SHORT_CONNECT = SECOND / 5
# For a server that never answers.
SHORT_CALL = 4 * SECOND
SILENT = "says nothing at all"
# The event loop has opened the connection and sent the call within so many passes.
PASSES = 16
PAUSE = SECOND / 20
PAUSES = 4
DISPATCH = "d1"


def call(body, *, repeatable, time_limit=AMPLE):
    return plain_client.Call(
        DISPATCH, "booking", "confirm", body, "text/plain", repeatable, time_limit
    )


async def send(address, *calls, connect=AMPLE, pause_s=0.0):
    client = plain_client.PlainClient("test", clock.SystemClock(), connect=connect)
    try:
        found = []
        for one in calls:
            found.append(await client.call(address, one))
            await asyncio.sleep(pause_s)
        return found
    finally:
        client.close()


def answers(*bodies):
    return [
        raw_server.ScriptedResponse(raw_server.http_response(body)) for body in bodies
    ]


@behave.given("requests meet a server that answers the second call late")
def late_server(context):
    one, two, three = answers(b"one", b"two", b"three")
    late = raw_server.ScriptedResponse(two.raw, delay_s=0.3)
    context.server = raw_server.RawServer(one, late, three)


@behave.when(
    "requests make three repeatable calls, the second without time, the next {when} "
    "the late answer"
)
def three_repeatable(context, when):
    async def run():
        async with context.server.listening() as address:
            short = datetime.timedelta(seconds=0.1)
            return await send(
                address,
                call(b"1", repeatable=True),
                call(b"2", repeatable=True, time_limit=short),
                call(b"3", repeatable=True),
                pause_s=0.3 if when == "after" else 0.0,
            )

    context.outcomes = asyncio.run(run())


@behave.then('requests receive "one", a broken answer, and "three"')
def received(context):
    first, second, third = context.outcomes
    assert first.body == b"one", first
    assert isinstance(second, outcomes.OutcomeUnknown), second
    assert third.body == b"three", third


@behave.given("requests meet a server that gives the second handle late")
def late_handle(context):
    one, two, three = answers(b'{"kv": "one"}', b'{"kv": "two"}', b'{"kv": "three"}')
    late = raw_server.ScriptedResponse(two.raw, delay_s=0.3)
    context.server = raw_server.RawServer(one, late, three)


@behave.when(
    "requests make three transfers, the second without time, the next {when} the late"
)
def three_transfers(context, when):
    importer = raw_server.RawServer(*answers(b"{}", b"{}", b"{}"))

    async def run():
        client = kv_client.KvClient("test", connect=AMPLE)
        async with context.server.listening() as one, importer.listening() as other:
            found = []
            for limit in (AMPLE, SECOND / 10, AMPLE):
                found.append(await client.transfer(one, other, "m", "p", limit))
                await asyncio.sleep(0.3 if when == "after" else 0.0)
        await client.aclose()
        return found

    context.outcomes = asyncio.run(run())


@behave.then('requests receive "one", no handle, and "three"')
def received_handles(context):
    first, second, third = context.outcomes
    assert first == kv_client.Handle("one"), first
    assert isinstance(second, kv_client.NotTransferred), second
    assert third == kv_client.Handle("three"), third


@behave.given("requests meet a server that answers three calls")
def patient_server(context):
    context.server = raw_server.RawServer(*answers(b"one", b"two", b"three"))


@behave.when("requests make three non-repeatable calls")
def three_calls(context):
    async def run():
        async with context.server.listening() as address:
            return await send(address, *[call(b"x", repeatable=False)] * 3)

    context.outcomes = asyncio.run(run())


@behave.then("requests used a connection for each call")
def fresh_connections(context):
    assert [o.body for o in context.outcomes] == [b"one", b"two", b"three"]
    assert [number for number, _ in context.server.requests] == [1, 2, 3]


WHOLE = raw_server.http_response(b"done")
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n8\r\nhal"
CROSSED = b"HTTP/1.1 200 OK\r\nx-dispatch: d2\r\ncontent-length: 4\r\n\r\ndone"
NOT_RUN = raw_server.http_response(b'{"ran": false}', "503 Busy")
ERROR = raw_server.http_response(b"{}", "503 Busy")
TROUBLES = {
    "says that it did not run the call": raw_server.ScriptedResponse(NOT_RUN),
    "says nothing and closes": raw_server.ScriptedResponse(b"", close=True),
    SILENT: raw_server.ScriptedResponse(WHOLE, delay_s=30.0),
    "cuts its answer inside the status line": raw_server.ScriptedResponse(
        WHOLE[:7], close=True
    ),
    "cuts its answer inside the headers": raw_server.ScriptedResponse(
        WHOLE[:20], close=True
    ),
    "cuts its answer inside the length": raw_server.ScriptedResponse(
        WHOLE[:33], close=True
    ),
    "cuts its answer inside the body": raw_server.ScriptedResponse(
        WHOLE[:-2], close=True
    ),
    "cuts its answer inside a chunk": raw_server.ScriptedResponse(CHUNKED, close=True),
    "answers something other than HTTP": raw_server.ScriptedResponse(
        b"220 smtp\r\n", close=True
    ),
    "answers for another dispatch": raw_server.ScriptedResponse(CROSSED),
    "answers an error that says nothing": raw_server.ScriptedResponse(ERROR),
}


@contextlib.contextmanager
def full_backlog():
    """Listen without accepting, with the queue of new connections filled up."""
    with contextlib.ExitStack() as held:
        listener = held.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
        for _ in range(4):
            filler = held.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield listener.getsockname()[1]


def closed_port():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


@behave.given("requests meet a server that is not there")
def no_server(context):
    context.server, context.port = None, closed_port()


@behave.given("requests meet a server that accepts no connection")
def deaf_server(context):
    held = contextlib.ExitStack()
    context.server, context.port = None, held.enter_context(full_backlog())
    context.add_cleanup(held.close)


@behave.given("requests meet a server that {trouble}")
def troubled_server(context, trouble):
    context.server = raw_server.RawServer(TROUBLES[trouble], *answers(b"again"))
    context.time_limit = SHORT_CALL if trouble == SILENT else AMPLE


@behave.when("requests make a non-repeatable call")
def one_call(context):
    async def run():
        if context.server is None:
            address = settings.Address(host="127.0.0.1", port=context.port)
            one = call(b"x", repeatable=False)
            return await send(address, one, connect=SHORT_CONNECT)
        async with context.server.listening() as address:
            one = call(b"x", repeatable=False, time_limit=context.time_limit)
            found = await send(address, one)
            await asyncio.sleep(0.05)
            return found

    [context.outcome] = asyncio.run(run())


async def ask_for_stream(address, connect):
    """Return the last event of a stream, or what is said in its place."""
    client = engine_client.EngineClient("test", connect=connect, response_timeout=AMPLE)
    dispatch = engine_client.Dispatch(DISPATCH, "m", "p", 4)
    *_, last = [event async for event in client.generate(address, dispatch)]
    await client.aclose()
    return last


@behave.when("requests ask for a stream")
def one_stream(context):
    async def run():
        if context.server is None:
            address = settings.Address(host="127.0.0.1", port=context.port)
            return await ask_for_stream(address, SHORT_CONNECT)
        async with context.server.listening() as address:
            found = await ask_for_stream(address, AMPLE)
            await asyncio.sleep(0.05)
            return found

    context.outcome = asyncio.run(run())


@behave.then('requests see "{outcome}" and the server has seen {count:d} requests')
def outcome_is(context, outcome, count):
    kinds = {
        "not run": outcomes.NotRun,
        "may have run": outcomes.OutcomeUnknown,
        "answered": outcomes.Response,
    }
    assert isinstance(context.outcome, kinds[outcome]), context.outcome
    seen = 0 if context.server is None else len(context.server.requests)
    assert seen == count, context.server.requests


async def ask_for_call(address, connect):
    [outcome] = await send(address, call(b"x", repeatable=False), connect=connect)
    return outcome


ASKING = {"call": ask_for_call, "stream": ask_for_stream}


async def asked_with_pauses(ask, passes):
    """Ask, and block the event loop repeatedly after some passes of it.

    Returns:
        The outcome, and the number of requests that the server has seen.
    """
    server = raw_server.RawServer(*answers(b"one"))
    async with server.listening() as address:
        asked = asyncio.create_task(ask(address, PAUSE))
        for _ in range(passes):
            await asyncio.sleep(0)
        for _ in range(PAUSES):
            time.sleep(1.5 * PAUSE.total_seconds())  # noqa: ASYNC251
            await asyncio.sleep(0)
        outcome = await asked
        await asyncio.sleep(0.05)
    return outcome, len(server.requests)


@behave.when("requests make a {what} and stand still at each step of connecting")
def calls_with_pauses(context, what):
    asked = [asyncio.run(asked_with_pauses(ASKING[what], n)) for n in range(PASSES)]
    context.calls = asked


@behave.then('requests see "not run" for some, and the server has seen none of these')
def truly_not_run(context):
    seen = [n for outcome, n in context.calls if isinstance(outcome, outcomes.NotRun)]
    assert seen and not any(seen), context.calls


def event(**fields):
    return f"data: {json.dumps({'dispatch': DISPATCH} | fields)}\n\n"


TOKENS = [event(offset=index, token=f"t{index} ") for index in range(4)]
STRANGER = event(dispatch="d2", offset=1, token="stranger ")
STRANGERS_END = event(dispatch="d2", done=True, length=9)
DONE = event(done=True, length=4)
STREAMS = {
    "is whole": [*TOKENS, DONE],
    "carries another dispatch's too": [STRANGER, *TOKENS, STRANGERS_END, DONE],
    "repeats each token": [text * 2 for text in TOKENS] + [DONE],
    "leaves one out": [*TOKENS[:2], TOKENS[3], DONE],
    "ends without its marker": TOKENS,
    "states another length": [*TOKENS, event(done=True, length=5)],
    "turns into nonsense": [*TOKENS, "data: {nonsense\n\n", DONE],
}


def chunked(events):
    body = b"".join(b"%x\r\n%s\r\n" % (len(e), e.encode()) for e in events)
    head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    return raw_server.ScriptedResponse(head + body + b"0\r\n\r\n")


@behave.given("requests meet an engine whose stream {trouble}")
def troubled_engine(context, trouble):
    answer = raw_server.ScriptedResponse(NOT_RUN)
    if trouble in STREAMS:
        answer = chunked(STREAMS[trouble])
    context.server = raw_server.RawServer(answer)


@behave.when("requests read the stream")
def read_stream(context):
    async def run():
        client = engine_client.EngineClient(
            "test", connect=SECOND, response_timeout=SECOND
        )
        dispatch = engine_client.Dispatch(DISPATCH, "m", "p", 4)
        async with context.server.listening() as address:
            events = [event async for event in client.generate(address, dispatch)]
        await client.aclose()
        return events

    *context.chunks, context.end = asyncio.run(run())


@behave.then('requests have received {count:d} tokens and then "{end}"')
def stream_ended(context, count, end):
    kinds = {
        "finished": outcomes.Finished,
        "broken": outcomes.OutcomeUnknown,
        "not run": outcomes.NotRun,
    }
    assert isinstance(context.end, kinds[end]), context.end
    text = "".join(chunk.text for chunk in context.chunks)
    assert text == "".join(f"t{index} " for index in range(count)), text
    assert sum(chunk.tokens for chunk in context.chunks) == count
