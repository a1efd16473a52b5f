import datetime
import json
import types

import behave

from pimentolatch import clock
from pimentolatch.decisions import neighbours
from pimentolatch.gateway import dispatch, flow_control
from pimentolatch.platform import engines, http_headers, server_entries
from tests.support import closing_server, copying_server, route_world

STREAMS = ("draft", "digest")
LIMIT = datetime.timedelta(seconds=10)
MAX_TRIES = 5
REQUEST = types.SimpleNamespace(
    route=types.SimpleNamespace(repeatable=False),
    customer_name=None,
    fields=[(b"host", b"x"), (b"x-request-id", b"asked")],
    method="POST",
    target=b"/draft/x",
    body=b"",
    request_id="asked",
)
OPTIONS = http_headers.DispatchOptions("engine", LIMIT)


def start(context, route, refused, status):
    context.route_runner = route_world.runner()
    context.world = route_world.RouteWorld()
    service, stage = ("lm", "decode") if route in STREAMS else ("app", None)
    context.server = copying_server.CopyingServer(
        "copying", service, stage, refused, status
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


@behave.when("copied answers: a report is asked for after a refused request")
def ask_report(context):
    async def report():
        engine = copying_server.CopyingServer(
            "engine",
            "lm",
            "decode",
            copying_server.REQUEST,
            before=copying_server.QUESTION,
        )
        await engine.start()
        time = clock.SystemClock()
        client = dispatch.ServerClient(
            time,
            flow_control.FlowControl(neighbours.Place("one", "here"), time),
            acknowledgement_limit=LIMIT,
        )
        listed = server_entries.decode(engine.name, engine.entry())
        refused = await client.fetch(listed, REQUEST, OPTIONS)
        assert refused == dispatch.Declined(503), refused
        found = await client.call(listed, "GET", engines.REPORT_TARGET, limit=LIMIT)
        client.close()
        await engine.stop()
        return found

    with route_world.runner() as runner:
        context.report = runner.run(report())


@behave.then("copied answers: the report is the engine's own")
def own_report(context):
    found = context.report
    assert isinstance(found, dispatch.FullResponse), found
    assert json.loads(found.body) == copying_server.REPORT, found
