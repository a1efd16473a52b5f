import asyncio
import json

import behave

from tests.support import route_world

EVENTS = 25
EVENT_PAUSE_S = 0.1
# Tokens of the prompt, and those that a client expects at most.
TOKENS = "1200,40"
# Streams from which an instance learns their length, at once and in turn; the last ones
# tell the pace of the engine.
AT_ONCE = 8
LEARNING_PAUSES_S = (0.01, 0.01, EVENT_PAUSE_S)
# Streams of 2.5 s end in it if they come at its begin, and not if they come so late.
GRACE_S = 3.6
COMES_LATE_S = 1.5
# Ids of the streams that have begun before, by their name in the scenarios.
OTHERS = {"1 stream": ("earlier",), "no streams": ()}


@behave.given("streams at stop: an instance that has learned how long its streams last")
def learned(context):
    context.route_runner = route_world.runner()
    context.world = world = route_world.RouteWorld()
    world.bounds = {"stop_grace_s": GRACE_S}

    async def learn():
        await world.start_store()
        await world.configure(1)
        await world.add_server("plain", "app")
        engine = await world.add_server("engine", "lm", "decode")
        engine.event_count = EVENTS
        context.instance = await world.add_instance()
        for turn, pause_s in enumerate(LEARNING_PAUSES_S):
            engine.event_pause_s = pause_s
            names = [f"learned{turn}-{number}" for number in range(AT_ONCE)]
            replies = await asyncio.gather(*(stream(world, name) for name in names))
            assert all(len(reply.events) == EVENTS for reply in replies), replies

    context.route_runner.run(learn())


@behave.when(
    "streams at stop: it is told to stop beside {others}, and one comes too late"
)
def stops(context, others):
    world = context.world
    names = OTHERS[others]

    async def stop():
        earlier = [asyncio.create_task(stream(world, name)) for name in names]
        await world.until(lambda: all(runs(world, name) for name in names))
        stopping = asyncio.create_task(context.instance.stop())
        await asyncio.sleep(COMES_LATE_S)
        context.late, context.plain = await asyncio.gather(
            stream(world, "late"), world.ask("notify", "plain")
        )
        context.earlier = await asyncio.gather(*earlier)
        await stopping

    context.route_runner.run(stop())


@behave.then(
    "streams at stop: that stream was refused as not run, and reached no engine"
)
def refused(context):
    late = context.late
    assert (late.status, late.complete) == (503, True), late
    assert json.loads(late.body)["error"]["execution"] == "not run", late
    assert float(late.fields["retry-after"]) > 0, late
    assert not runs(context.world, "late")


@behave.then("streams at stop: {others} and a late plain request were served")
def served(context, others):
    assert len(context.earlier) == len(OTHERS[others])
    for reply in context.earlier:
        assert (reply.status, reply.complete) == (200, True), reply
        assert len(reply.events) == EVENTS, reply
    assert (context.plain.status, context.plain.complete) == (200, True), context.plain


def stream(world, request_id):
    return world.ask("draft", request_id, x_token_counts=TOKENS)


def runs(world, request_id):
    return sum(server.count_runs(request_id) for server in world.servers.values())
