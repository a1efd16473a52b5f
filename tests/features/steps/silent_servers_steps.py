import asyncio
import datetime

import behave

from tests.support import route_world

# Longer than the time after which an engine is checked for a stall and its report is
# given up, and far shorter than the clients' deadline.
SILENCE_S = 1.5
EVENT_PAUSE_S = 0.1
# So much is queued that prompts are prefilled on separate engines.
BUSY_TOKENS = 5000
EVENTS = [str(number) for number in range(1, 7)]
REQUEST = "silent-1"


def engines(context):
    return [s for s in context.world.servers.values() if s.stage == "decode"]


def running(context):
    """Return the engine that has begun to run the stream last; None before any has."""
    found = [engine for engine in engines(context) if REQUEST in engine.running]
    return max(found, key=lambda engine: engine.arrival_times[-1], default=None)


def fall_silent(context, silent):
    context.silences += [
        asyncio.create_task(server.fall_silent(SILENCE_S)) for server in silent
    ]


@behave.given(
    "pause: an instance with {decode:d} decode, {prefill:d} prefill"
    " and {plain:d} plain servers"
)
def instance(context, decode, prefill, plain):
    context.route_runner = route_world.runner()
    context.world = route_world.RouteWorld()
    context.silences = []

    async def start():
        await context.world.start_store()
        await context.world.configure(1)
        for stage, count in (("decode", decode), ("prefill", prefill)):
            for number in range(count):
                server = await context.world.add_server(
                    f"{stage}-{number}", "lm", stage
                )
                server.event_pause_s = EVENT_PAUSE_S
        for number in range(plain):
            await context.world.add_server(f"plain-{number}", "app")
        await context.world.add_instance()

    context.route_runner.run(start())


@behave.when('pause: a stream on the "{route}" route has begun')
def begun(context, route):
    async def ask():
        context.asked = asyncio.create_task(
            context.world.ask(route, REQUEST, body=b"whole")
        )
        await context.world.until(lambda: running(context) is not None)
        await asyncio.sleep(2 * EVENT_PAUSE_S)

    context.route_runner.run(ask())


@behave.when(
    "pause: the engine that decodes it falls silent, and {others} of the others"
)
def engine_silent(context, others):
    async def silence():
        all_silent = others == "all"
        fall_silent(context, engines(context) if all_silent else [running(context)])

    context.route_runner.run(silence())


@behave.when(
    "pause: the engine that decodes it falls silent, and the next one after it"
)
def one_after_the_other(context):
    async def silence():
        first = running(context)
        fall_silent(context, [first])
        await context.world.until(lambda: running(context) not in (first, None))
        await asyncio.sleep(EVENT_PAUSE_S)
        fall_silent(context, [running(context)])

    context.route_runner.run(silence())


@behave.given("pause: the retry budget of the instance is used up")
def no_budget(context):
    _, instance = context.world.instances["one"]
    instance.budget.configure(0.0, 0.0, datetime.timedelta(seconds=10))


@behave.when("pause: its engine breaks off and the next one falls silent")
def breaks_off(context):
    async def break_off():
        first = running(context)
        fall_silent(context, [e for e in engines(context) if e is not first])
        first.reset_connections()

    context.route_runner.run(break_off())


@behave.when("pause: the engine that decodes it falls silent for good")
def silent_for_good(context):
    running(context).awake.clear()


@behave.given("pause: decode engines that have much to prefill")
def busy_prefilling(context):
    _, instance = context.world.instances["one"]
    for engine in instance.fleet.loads("lm").all():
        if engine.server.stage.value == "decode":
            engine.prefill_tokens[0] += BUSY_TOKENS


@behave.when(
    "pause: the engine that decodes it falls silent for good,"
    " and prefill engines for {seconds:g} s"
)
def next_place_silent(context, seconds):
    async def silence():
        running(context).awake.clear()
        context.silences += [
            asyncio.create_task(server.fall_silent(seconds))
            for server in context.world.servers.values()
            if server.stage == "prefill"
        ]

    context.route_runner.run(silence())


@behave.when("pause: all servers fall silent")
def all_silent(context):
    async def silence():
        fall_silent(context, context.world.servers.values())

    context.route_runner.run(silence())


@behave.when('pause: a client asks on the "{route}" route')
def ask(context, route):
    async def start():
        context.asked = asyncio.create_task(
            context.world.ask(route, REQUEST, body=b"whole")
        )

    context.route_runner.run(start())


@behave.then("pause: the client gets the whole stream")
def whole_stream(context):
    reply = context.route_runner.run(_reply(context))
    assert (reply.status, reply.complete) == (200, True), reply
    assert reply.events == EVENTS, reply.events


@behave.then("pause: the client gets the whole answer")
def whole_answer(context):
    reply = context.route_runner.run(_reply(context))
    assert (reply.status, reply.complete) == (200, True), reply
    assert reply.body == b"answer of whole" or reply.events == EVENTS, reply


async def _reply(context):
    reply = await context.asked
    await asyncio.gather(*context.silences)
    return reply


@behave.then("pause: two engines ran it")
def two_ran(context):
    assert [engine.count_runs(REQUEST) for engine in engines(context)] == [1, 1]
