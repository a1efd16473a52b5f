import asyncio
import datetime

import behave

from pimentolatch import clock, settings, store
from pimentolatch.backend import channel
from pimentolatch.decisions import neighbours
from pimentolatch.gateway import dispatch, flow_control
from pimentolatch.gateway.peers import peer_snapshots
from pimentolatch.platform import control_api, engines, objects
from pimentolatch.routes import servers
from tests.support import flooding_server, route_world

KINDS = {
    "plain server": ("app", None),
    "engine": ("lm", "decode"),
    "running engine": ("lm", "decode"),
}
SECOND = datetime.timedelta(seconds=1)
# An answer of a server may have eight million bytes, one of the store or of a peer
# twice as many. The rest is what the buffers of both kernels hold.
MOST_BYTES = 16_000_000 + 12_000_000
CLOSED_WITHIN_S = 8.0
POLL_S = 0.05
DEADLINE_PASSED = 504
# Twice the twenty tokens that the client asks for, and a thousand comments or repeats.
MOST_EVENTS = 1040
NOT_RUN = 503
NOT_RUN_STATUSES = (408, 421, 429, 503)


@behave.given("endless: a {kind} that answers with {flood} without end")
def flooding(context, kind, flood):
    first, then = flooding_server.FLOODS[flood]
    start(context, kind, flood, first, then)


@behave.given("endless: a {kind} that answers with {drip} bit by bit")
def dripping(context, kind, drip):
    first, then = flooding_server.DRIPS[drip]
    start(context, kind, drip, first, then, flooding_server.DRIP_PAUSE_S)


def start(context, kind, flood, first, then, pause_s=0.0):
    context.flood = flood
    context.route_runner = route_world.runner()
    context.world = route_world.RouteWorld()
    service, stage = KINDS.get(kind, ("app", None))
    context.server = flooding_server.FloodingServer(
        "trouble", service, stage, first, then, pause_s
    )
    context.server.floods_questions = kind not in KINDS
    context.route_runner.run(start_world(context, kind in KINDS))


async def start_world(context, with_instance):
    world = context.world
    await world.start_store()
    await world.configure(1)
    await context.server.start()
    world.extra_servers.append(context.server)
    if with_instance:
        await world.write("servers", "trouble", context.server.entry())
        await world.add_instance()


@behave.given("endless: it answers questions whether it reads like that, too")
def flooding_questions(context):
    context.server.floods_questions = True


@behave.given("endless: a sound plain server")
def sound(context):
    async def add():
        await context.world.add_server("sound", "app")
        _, instance = context.world.instances["one"]
        await context.world.until(
            lambda: len(instance.fleet.servers.of_service("app")) == 2
        )

    context.route_runner.run(add())


@behave.when('endless: "{route}" is asked for')
def ask(context, route):
    context.reply = context.route_runner.run(context.world.ask(route, "asked"))


@behave.when('endless: "{route}" is asked for with 1 second left')
def ask_in_time(context, route):
    asked = context.world.ask(route, "asked", x_deadline_ms="1000")
    context.reply = context.route_runner.run(asked)


@behave.when('endless: "{route}" is asked for {count:d} times, one after the other')
def ask_often(context, route, count):
    async def asking():
        return [await context.world.ask(route, f"r{n}") for n in range(count)]

    context.replies = context.route_runner.run(asking())


@behave.then("endless: the client is told the truth")
def truth(context):
    reply = context.reply
    assert not (reply.status == 200 and reply.complete), reply.status
    has_declined = context.flood == "a refusal's body" or not context.server.calls
    assert (reply.status in NOT_RUN_STATUSES) == has_declined, reply


@behave.then("endless: the client is told whether the server got the request")
def told_whether_sent(context):
    # Bytes without end show that the server reads, if they have come just before.
    is_refused = context.reply.status == NOT_RUN
    assert is_refused == (not context.server.calls), context.reply
    truth(context)


@behave.then("endless: the client hears of it before its time is up")
def in_time(context):
    assert context.reply.status != DEADLINE_PASSED, context.reply


@behave.then(
    "endless: the client gets no whole stream, nor more events than it may have"
)
def no_whole_stream(context):
    assert not (context.reply.status == 200 and context.reply.complete)
    assert context.reply.body.count(b"\n\n") <= MOST_EVENTS


@behave.then("endless: the server got rid of no more than an answer may have")
def bounded(context):
    assert context.server.sent <= MOST_BYTES, context.server.sent


@behave.then("endless: the connection is closed")
def closed(context):
    async def wait():
        async with asyncio.timeout(CLOSED_WITHIN_S):
            while context.server.ended < context.server.requests:  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)

    assert context.server.requests
    context.route_runner.run(wait())


@behave.then("endless: all are answered and the server in trouble got few requests")
def answered(context):
    assert [r.status for r in context.replies] == [200] * len(context.replies)
    assert context.server.requests <= len(context.replies) / 2


async def listing(address):
    source = objects.ObjectStore(address, SECOND, clock.SystemClock())
    return isinstance(await source.list_objects("servers"), store.Unavailable)


async def watch(address):
    source = objects.ObjectStore(address, SECOND, clock.SystemClock())
    outcome = await source.watch("servers", after=1, wait=SECOND)
    return isinstance(outcome, store.Unavailable)


async def snapshot(address):
    try:
        async with asyncio.timeout(SECOND.total_seconds()):
            await peer_snapshots.fetch(address, "/v1/servers")
    except (channel.BrokenError, TimeoutError):
        return True
    return False


def client_and_server(address):
    time = clock.SystemClock()
    flow = flow_control.FlowControl(neighbours.Place("own", "here"), time)
    client = dispatch.ServerClient(
        time,
        flow,
        acknowledgement_limit=SECOND,
        health_target=lambda server: b"/health",
    )
    return client, servers.Server("s", "app", address, "here", False, None, 1)


async def report(address):
    client, server = client_and_server(address)
    outcome = await client.call(server, "GET", engines.REPORT_TARGET, limit=SECOND)
    return isinstance(outcome, dispatch.OutcomeUnknown)


async def health_check(address):
    client, server = client_and_server(address)
    outcome = await client.call(server, "GET", b"/health", limit=SECOND)
    return isinstance(outcome, dispatch.OutcomeUnknown)


async def usage_report(address):
    api = control_api.ControlApi(address, clock.SystemClock())
    holder = control_api.Holder("own", 1)
    outcome = await api.report_usage(holder, 1, {"c": 1})
    return isinstance(outcome, control_api.Unanswered)


CALLS = {
    "a listing": listing,
    "a watch": watch,
    "a snapshot": snapshot,
    "a report": report,
    "a health check": health_check,
    "a usage report": usage_report,
}


@behave.when("endless: {call} is made")
def make_call(context, call):
    address = settings.Address(host="127.0.0.1", port=context.server.port)
    context.call_failed = context.route_runner.run(CALLS[call](address))


@behave.then("endless: the call has failed")
def has_failed(context):
    assert context.call_failed
