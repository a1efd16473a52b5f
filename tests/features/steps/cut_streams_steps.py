import behave
import logbook

from tests.support import route_world

EVENTS = 20
STREAM_S = 2.0


def cut_lines(context):
    """Return the fields of the lines of cut answers."""
    return [
        record.kwargs
        for record in context.logged.records
        if record.message == "answered" and record.kwargs["cut"]
    ]


@behave.given("cut streams: an engine that sends 20 events in two seconds")
def slow_engine(context):
    context.world = route_world.RouteWorld()
    context.route_runner = route_world.runner()
    context.logged = logbook.TestHandler()
    context.logged.push_application()
    context.add_cleanup(context.logged.pop_application)

    async def start():
        world = context.world
        await world.start_store()
        await world.configure(1)
        engine = await world.add_server("d1", "lm", stage="decode")
        engine.event_count = EVENTS
        engine.event_pause_s = STREAM_S / EVENTS
        context.instance = await world.add_instance()

    context.route_runner.run(start())


@behave.given("cut streams: a route with a limit of {limit:d} ms, lowered from 8000 ms")
def lowered(context, limit):
    context.route_runner.run(context.world.limit_routes(context.instance, 2, limit))


@behave.when("cut streams: a client that waits for {limit:d} ms asks for a stream")
def ask(context, limit):
    fields = {"x_deadline_ms": str(limit)}
    context.reply = context.route_runner.run(
        context.world.ask("draft", "slow", **fields)
    )


@behave.then("cut streams: its answer is not whole")
def not_whole(context):
    assert context.reply.status == 200
    assert not context.reply.complete
    assert 0 < len(context.reply.events) < EVENTS, context.reply.events


@behave.then(
    "cut streams: the line names {limit:d} ms of the {source} and version {version:d}"
)
def line_names(context, limit, source, version):
    context.route_runner.run(context.world.until(lambda: cut_lines(context)))
    (line,) = cut_lines(context)
    found = (line["limit_ms"], line["limit_source"], line["limit_version"])
    assert found == (limit, source, version), line
    assert line["events"] == len(context.reply.events), line
