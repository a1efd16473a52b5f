import asyncio
import contextlib
import datetime
import json
import re
import types

import behave

from pimentolatch import clock, settings
from pimentolatch.backend import engine_client, outcomes, plain_client
from pimentolatch.decisions import engine_loads, neighbours, stage_plan
from pimentolatch.gateway import dispatch, flow_control, request_log, stall_checker
from pimentolatch.gateway.leader import stage_controller
from pimentolatch.platform import engines, http_headers, server_entries
from pimentolatch.routes import servers
from tests.support import closing_server, copying_server, raw_server, route_world

STREAMS = ("draft", "digest")
LIMIT = datetime.timedelta(seconds=10)
MAX_TRIES = 5
MAX_REFUSED = 50
REQUEST = types.SimpleNamespace(
    route=types.SimpleNamespace(repeatable=False),
    customer_name=None,
    fields=[(b"host", b"x"), (b"x-request-id", b"asked")],
    method="POST",
    target=b"/draft/x",
    body=b"",
    request_id="asked",
)
REFUSAL = raw_server.http_response(b'{"ran": false}', "503 Full")
CHUNKED_REFUSAL = (
    b"HTTP/1.1 503 Full\r\ntransfer-encoding: chunked\r\n\r\n"
    b'e\r\n{"ran": false}\r\n0\r\n\r\n'
)
EVENTS = (
    b'data: {"dispatch": "d2", "offset": 0, "token": "a"}\n\n'
    b'data: {"dispatch": "d2", "done": true, "length": 1}\n\n'
)
STREAM = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
STREAM += b"%x\r\n%b\r\n0\r\n\r\n" % (len(EVENTS), EVENTS)
WHOLE = "whole stream"
# Longer than an engine's report takes.
STREAM_S = 0.5
OPTIONS = http_headers.DispatchOptions("engine", LIMIT)


def start(context, route, refused, status, **options):
    context.route_runner = route_world.runner()
    context.world = route_world.RouteWorld()
    service, stage = ("lm", "decode") if route in STREAMS else ("app", None)
    context.server = copying_server.CopyingServer(
        "copying", service, stage, refused, status, **options
    )
    context.route_runner.run(context.world.start_before(context.server))


@behave.given(
    'copied answers: a server of "{route}" that refuses a request with {status:d}'
)
def refuses_request(context, route, status):
    start(context, route, copying_server.REQUEST, status)


@behave.given(
    'copied answers: a server of "{route}" that refuses questions with {status:d}'
)
def refuses_questions(context, route, status):
    start(context, route, copying_server.QUESTION, status)


@behave.given('copied answers: a server that refuses {count:d} requests of "{route}"')
def refuses_requests(context, count, route):
    start(context, route, copying_server.REQUEST, 503, refused_requests=count)


@behave.when('copied answers: "{route}" is asked for until one is not refused')
def ask_others(context, route):
    for number in range(MAX_REFUSED):
        context.reply = context.route_runner.run(context.world.ask(route, f"r{number}"))
        if context.server.runs or context.reply.status != 503:
            break
    context.request_id = f"r{number}"


@behave.then("copied answers: that one ran once, and its client has the whole answer")
def others_whole(context):
    assert context.server.runs == [context.request_id], context.server.runs
    assert (context.reply.status, context.reply.complete) == (200, True), context.reply


@behave.when(
    'copied answers: "{route}" is asked for until it is not refused, under one id'
)
def ask(context, route):
    for _ in range(MAX_TRIES):
        context.reply = context.route_runner.run(context.world.ask(route, "asked"))
        if context.server.runs or context.reply.status not in (429, 503):
            break


@behave.then("copied answers: it ran once, and its client has the whole answer")
def whole(context):
    reply = context.reply
    assert context.server.runs == ["asked"], (context.server.runs, reply)
    assert (reply.status, reply.complete) == (200, True), reply
    assert reply.body in (closing_server.PLAIN, closing_server.EVENTS), reply
    assert context.server.refusals, "nothing was refused, so nothing was copied"


@contextlib.asynccontextmanager
async def engine_of_one_client(status=503, before=copying_server.QUESTION):
    """Yield an engine that sends copies where reports are due, and its client."""
    engine = copying_server.CopyingServer(
        "engine", "lm", "decode", copying_server.REQUEST, status, before=before
    )
    async with client_of(engine) as listed_and_client:
        yield listed_and_client


@contextlib.asynccontextmanager
async def client_of(engine):
    """Yield an engine as it is listed, and a client of it."""
    await engine.start()
    time = clock.SystemClock()
    client = dispatch.ServerClient(
        time,
        flow_control.FlowControl(neighbours.Place("one", "here"), time),
        acknowledgement_limit=LIMIT,
        health_target=lambda server: b"/health",
    )
    yield server_entries.decode(engine.name, engine.entry()), client
    client.close()
    await engine.stop()


@behave.when("copied answers: a report is asked for after a refused request")
def ask_report(context):
    async def report():
        async with engine_of_one_client() as (listed, client):
            refused = await client.fetch(listed, REQUEST, OPTIONS)
            assert refused == dispatch.Declined(503), refused
            return await client.call(listed, "GET", engines.REPORT_TARGET, limit=LIMIT)

    with route_world.runner() as runner:
        context.report = runner.run(report())


@behave.then("copied answers: the report is the engine's own")
def own_report(context):
    found = context.report
    assert isinstance(found, dispatch.FullResponse), found
    assert json.loads(found.body) == copying_server.REPORT, found


class Uncounted:
    """Counts no events."""

    def observe(self, event, fields, *, wrong):
        pass


class Anywhere:
    """Another engine can always take over."""

    runs = 0
    others = 1

    async def reserve(self):
        return True


async def wait_for_stream(listed, client):
    """Wait for a stream that its engine runs, unless it leaves the engine."""

    async def stream():
        await asyncio.sleep(STREAM_S)
        return WHOLE

    time = clock.SystemClock()
    checker = stall_checker.StallChecker(
        client, request_log.RequestLog(time, Uncounted()), time
    )
    loads = engine_loads.EngineLoads()
    loads.update([listed])
    return await checker.wait_unless_stalled(
        loads.get(listed.server_id),
        "asked",
        stream(),
        datetime.timedelta(),
        Anywhere(),
    )


class RepeatedReport(closing_server.ClosingServer):
    """An engine that begins to run a request after its first report.

    It repeats a connection's first report where the next one is due there.
    """

    def __init__(self):
        super().__init__("engine", "lm", "decode", "closed")
        self._running = 0

    async def _serve(self, reader, writer):
        owed = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                report = copying_server.REPORT | {"running": self._running}
                body = json.dumps(report).encode()
                head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
                writer.write(owed + head + body)
                owed = head + body
                self._running = 1
        writer.close()


@behave.when("copied answers: a stream waits at an engine that repeats an older report")
def wait_after_report(context):
    async def wait():
        async with client_of(RepeatedReport()) as (listed, client):
            target = engines.REPORT_TARGET
            first = await client.call(listed, "GET", target, limit=LIMIT)
            assert json.loads(first.body)["running"] == 0, first
            return await wait_for_stream(listed, client)

    with route_world.runner() as runner:
        context.ended = runner.run(wait())


@behave.when("copied answers: a stream waits at an engine that refused a call")
def wait_after_call(context):
    async def wait():
        async with engine_of_one_client() as (listed, client):
            target = engines.release_target("handle")
            refused = await client.call(listed, "DELETE", target, limit=LIMIT)
            assert refused.status == 503, refused
            return await wait_for_stream(listed, client)

    with route_world.runner() as runner:
        context.ended = runner.run(wait())


@behave.then("copied answers: the stream stays there")
def stays(context):
    assert context.ended == WHOLE, context.ended


class Leader:
    """An instance that always leads, unless its fencing token is too old."""

    fence = 1

    def __init__(self):
        self.is_fenced_off = False

    async def acquire(self):
        return True

    def valid(self):
        return True

    def call(self):
        return contextlib.nullcontext()

    def fenced_off(self):
        self.is_fenced_off = True


@behave.when("copied answers: an engine that refuses an order with {status:d} gets two")
def order_twice(context, status):
    async def order():
        async with engine_of_one_client(status, copying_server.REQUEST) as (
            listed,
            client,
        ):
            fleet = types.SimpleNamespace(
                servers={listed.server_id: listed}, engine_load=lambda engine: None
            )
            change = stage_plan.Change(
                listed.incarnation, servers.Stage.PREFILL, 0.1, 1.2, 50.0
            )
            ordered = []
            for _ in range(2):
                leader = Leader()
                controller = stage_controller.StageController(
                    "one", fleet, None, leader, client, None, None, clock.SystemClock()
                )
                ordered.append(await controller.carry_out(change))
            return ordered, leader

    with route_world.runner() as runner:
        context.ordered, context.leader = runner.run(order())


@behave.then("copied answers: the second order counts as accepted")
def second_accepted(context):
    assert context.ordered == [False, True], context.ordered
    assert not context.leader.is_fenced_off


class RepeatingEngine:
    """Refuses the first dispatch, and repeats that before its connection's next one."""

    def __init__(self, refusal):
        self._refusal = refusal
        self._refused = False

    async def serve(self, reader, writer):
        owed = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"content-length: (\d+)", head.lower())
                await reader.readexactly(int(length[1]))
                writer.write(owed + (STREAM if self._refused else self._refusal))
                owed = b"" if self._refused else self._refusal
                self._refused = True
        writer.close()


@contextlib.asynccontextmanager
async def first_daemon(refusal=REFUSAL):
    """Yield a client of the first daemon, and the address of an engine."""
    engine = RepeatingEngine(refusal)
    listening = await asyncio.start_server(engine.serve, "127.0.0.1")
    port = listening.sockets[0].getsockname()[1]
    client = engine_client.EngineClient("one")
    yield client, settings.Address(host="127.0.0.1", port=port)
    await client.aclose()
    listening.close()


async def end_of(client, address, name):
    sent = engine_client.Dispatch(name, "m", "prompt", 1)
    return [event async for event in client.generate(address, sent)][-1]


@behave.when(
    "copied answers: an engine that refuses {how}, with a copy later, gets two"
    " dispatches"
)
def dispatch_twice(context, how):
    async def generate():
        refusal = CHUNKED_REFUSAL if how == "in chunks" else REFUSAL
        async with first_daemon(refusal) as (client, address):
            refused = await end_of(client, address, "d1")
            assert isinstance(refused, outcomes.NotRun), refused
            return await end_of(client, address, "d2")

    with route_world.runner() as runner:
        context.end = runner.run(generate())


@behave.when(
    "copied answers: an engine that refuses to cancel, with a copy later, gets a"
    " dispatch"
)
def dispatch_after_cancel(context):
    async def generate():
        async with first_daemon() as (client, address):
            await client.cancel(address, "d1")
            return await end_of(client, address, "d2")

    with route_world.runner() as runner:
        context.end = runner.run(generate())


@behave.when(
    "copied answers: a plain server that refuses, with a copy later, gets two calls"
)
def call_twice(context):
    async def call():
        async with first_daemon() as (_, address):
            client = plain_client.PlainClient("one", clock.SystemClock())
            answers = [
                await client.call(
                    address,
                    plain_client.Call(
                        name, "app", "notify", b"", "text/plain", repeatable=True
                    ),
                )
                for name in ("d1", "d2")
            ]
            client.close()
            return answers

    with route_world.runner() as runner:
        context.refused, context.end = runner.run(call())


@behave.then("copied answers: only the first call is refused")
def only_first_refused(context):
    assert isinstance(context.refused, outcomes.NotRun), context.refused
    assert isinstance(context.end, outcomes.Response), context.end
    assert context.end.status == 200, context.end


@behave.then("copied answers: the dispatch is not refused")
def not_refused(context):
    assert context.end == outcomes.Finished(1), context.end
