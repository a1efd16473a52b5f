import asyncio
import collections
import socket

import behave

from pimentolatch import clock
from pimentolatch.gateway import process
from tests.support import route_world

# Longer than a prompt may take to be read before another engine is tried.
RETRY_S = 1.5
SYSTEM_FIELDS = {
    "x-stage": "prefill",
    "x-kv-source": "127.0.0.1:1/x",
    "x-kv-hold": "h",
    "x-kv-backup": "127.0.0.1:1",
    "kv-fetch": "127.0.0.1:1",
    "x-pin-ms": "9",
    "x-request-urgency": "0",
    "x-expect-version": "7",
    "x-expect-instance": "forged",
}


def start(context):
    context.route_runner = route_world.runner()
    context.world = route_world.RouteWorld()
    context.run = context.route_runner.run


def writers(context):
    return [s for s in context.world.servers.values() if s.stage == "decode"]


def plain_servers(context):
    return [s for s in context.world.servers.values() if s.stage is None]


def keep_writers_reading(context):
    """Make it seem that writers read so much that a prompt is read apart."""
    _, instance = context.world.instances["one"]
    for engine in instance.fleet.loads("lm").all():
        if engine.server.stage.value == "decode":
            engine.prefill_tokens[0] += 5000


@behave.given("routes: a store with a configuration")
def store_with_configuration(context):
    start(context)
    context.run(context.world.start_store())
    context.run(context.world.configure(1))


@behave.given('routes: an engine "{name}" that {does}')
def add_engine(context, name, does):
    stage = {"reads": "prefill", "writes": "decode"}[does]
    context.run(context.world.add_server(name, "lm", stage))


@behave.given('routes: a plain server "{name}"')
def add_plain(context, name):
    context.run(context.world.add_server(name, "app"))
    context.run(accepted(context, name))


@behave.given("routes: an instance")
def add_instance(context):
    context.run(context.world.add_instance())


@behave.given('routes: the next stream of each writer ends by "cut"')
def cut_of_writers(context):
    # Whichever engine is chosen first breaks; the one after it does not.
    context.shared_faults = [["cut"], []]
    share_faults(context)


@behave.given(
    'routes: the next stream of each writer ends by "cut, then from the start"'
)
def cut_and_anew(context):
    context.shared_faults = [["cut"], ["from the start"]]
    share_faults(context)


@behave.given('routes: the next stream of each writer ends by "decline"')
def declining_writers(context):
    context.shared_faults = [["decline"], []]
    share_faults(context)


@behave.given('routes: two streams in a row end by "decline"')
def two_decline(context):
    context.run(accepted(context, "d3"))
    context.shared_faults = [["decline", "decline"]]
    share_faults(context)


@behave.then('routes: "{reader}" freed the prompt of "{request_id}" and read it twice')
def freed_and_read(context, reader, request_id):
    server = context.world.servers[reader]
    context.run(context.world.until(lambda: server.freed_handles))
    assert server.freed_handles == [f"h-{request_id}"], server.freed_handles
    assert sum(item.kind == "prefill" for item in server.received) == 2


@behave.given('routes: the next stream of each writer ends by "late"')
def late_writers(context):
    context.shared_faults = [["late"]]
    share_faults(context)


@behave.given('routes: "{name}" reports nothing')
def reports_nothing(context, name):
    context.world.servers[name].unresponsive = True


@behave.given('routes: the next stream of each writer ends by "silent"')
def silent_writers(context):
    context.shared_faults = [["silent"]]
    share_faults(context)


def share_faults(context):
    """Give the engines one list of faults, in the order in which they are asked."""
    shared = collections.deque(
        fault for part in context.shared_faults for fault in part
    )
    for server in writers(context):
        server.faults = shared


@behave.given('routes: the next call of each plain server ends by "{fault}"')
def fault_of_each(context, fault):
    for server in plain_servers(context):
        server.faults.append(fault)


@behave.given('routes: the next call of one plain server ends by "{fault}"')
def fault_of_one(context, fault):
    # The choice between equals falls on the first name.
    plain_servers(context)[0].faults.append(fault)


@behave.given('routes: the next prompt of each reader ends by "{fault}"')
def fault_of_readers(context, fault):
    context.run(accepted(context, "p2"))
    for server in context.world.servers.values():
        if server.stage == "prefill":
            server.faults.append(fault)


async def accepted(context, name):
    """Wait until a server gets requests: a new one is asked first if it is ready."""
    fleet = context.world.instances["one"][1].fleet

    def accepts():
        server = fleet.servers.get(name)
        asked = {other.server_id for other in fleet.unconfirmed_servers}
        return server is not None and name not in asked and fleet.accepts(server)

    await context.world.until(accepts)


@behave.given('routes: the next prompt of "{name}" ends by "{fault}"')
def fault_of_reader(context, name, fault):
    context.world.servers[name].faults.append(fault)


@behave.when('routes: a client asks for "{place}" as "{request_id}"')
def ask(context, place, request_id):
    context.reply = context.run(context.world.ask(place, request_id, body=b"text"))


@behave.when(
    'routes: a client asks for "{place}" as "{request_id}" with {left:d} ms left'
)
def ask_in_time(context, place, request_id, left):
    asked = context.world.ask(place, request_id, x_deadline_ms=str(left))
    context.reply = context.run(asked)


@behave.then("routes: the status promises nothing")
def promises_nothing(context):
    assert any(r.kind == "run" for s in writers(context) for r in s.received)
    assert context.reply.status in (502, 504), context.reply


@behave.when(
    'routes: a client asks for "{place}" as "{request_id}" while writers are reading'
)
def ask_apart(context, place, request_id):
    keep_writers_reading(context)
    context.reply = context.run(context.world.ask(place, request_id))


@behave.when(
    'routes: a client asks for "{place}" as "{request_id}"'
    " while writers are reading and leaves"
)
def ask_and_leave(context, place, request_id):
    keep_writers_reading(context)

    async def leave():
        _, writer = await context.world.connect()
        writer.write(route_world.request(place, request_id))
        servers = context.world.servers
        await context.world.until(
            lambda: servers["p1"].received or servers["p2"].received
        )
        writer.close()

    context.run(leave())


@behave.when(
    'routes: a client asks for "{place}" as "{request_id}"'
    ' and writer "{name}" leaves meanwhile'
)
def ask_while_leaving(context, place, request_id, name):
    keep_writers_reading(context)

    async def both():
        asked = asyncio.create_task(context.world.ask(place, request_id))
        await context.world.until(lambda: context.world.servers["p1"].received)
        await context.world.drain(name)
        return await asked

    context.reply = context.run(both())


@behave.when('routes: a client asks for "{place}" with headers that are the system\'s')
def ask_with_forged(context, place):
    context.reply = context.run(context.world.ask(place, "r1", **SYSTEM_FIELDS))


@behave.given('routes: engine "{name}" is the one with the shorter queue')
def shorter_queue(context, name):
    queue_elsewhere(context, name, 20_000)


@behave.given('routes: engine "{name}" is a little less busy')
def less_busy(context, name):
    queue_elsewhere(context, name, 3000)


def queue_elsewhere(context, name, tokens):
    context.run(accepted(context, "p2"))
    _, instance = context.world.instances["one"]
    for engine in instance.fleet.loads("lm").all():
        if engine.server.server_id not in (name, "d1", "d2"):
            engine.prefill_tokens[0] += tokens


@behave.when('routes: clients ask for "digest" as "r1" and half a second later as "r2"')
def ask_twice(context):
    keep_writers_reading(context)

    async def both():
        first = asyncio.create_task(context.world.ask("digest", "r1"))
        await asyncio.sleep(0.5)
        second = await context.world.ask("digest", "r2")
        return [await first, second]

    context.replies = context.run(both())


@behave.then("routes: both answers are whole")
def both_whole(context):
    for reply in context.replies:
        assert reply.status == 200 and reply.complete, reply


@behave.then('routes: "{name}" read {count:d} prompts and "{other}" read {others:d}')
def prompts_read(context, name, count, other, others):
    servers = context.world.servers
    read = [
        sum(r.kind == "prefill" for r in servers[n].received) for n in (name, other)
    ]
    assert read == [count, others], read


@behave.when("routes: the store restarts, forgets its history and has a new route")
def restart_store(context):
    async def restart():
        world = context.world
        await world.stop_store()
        added = route_world.route("added", "app", "safe")
        await world.configure(2, [*route_world.ROUTES, added])
        world.platform.table.compact_history()
        world.platform.reports_history_gone = False
        await world.start_store()

    context.run(context.world.add_server("a1", "app"))
    context.run(restart())


@behave.when("routes: a second instance starts while it can't reach the store")
def second_instance(context):
    async def begin():
        world = context.world
        await world.add_server("a1", "app")
        known = world.instances["one"][1].fleet
        await world.until(lambda: known.servers.get("a1") is not None)
        await world.stop_store()
        seeds = [f"{route_world.HOST}:{world.peer_port}"]
        await world.add_instance("two", seeds, host="127.0.0.2")

    context.run(begin())


@behave.when("routes: the instance is told to stop")
def stop_instance(context):
    async def begin():
        _, instance = context.world.instances["one"]
        context.stopping = asyncio.create_task(instance.stop())
        await asyncio.sleep(0.05)

    context.run(begin())


@behave.then("routes: the answer is whole with {count:d} pieces")
def whole(context, count):
    reply = context.reply
    assert reply.status == 200 and reply.complete, reply
    assert reply.events == [str(n + 1) for n in range(count)], reply.events
    assert reply.fields["x-response-seal"].startswith("seal-"), reply.fields


@behave.then("routes: the answer is not whole and has {count:d} pieces")
def not_whole(context, count):
    assert context.reply.status == 200 and not context.reply.complete, context.reply
    assert len(context.reply.events) == count, context.reply.events


@behave.then(
    'routes: "{name}" read "{request_id}" once and a writer ran it with its memory'
)
def read_apart(context, name, request_id):
    got = context.world.servers[name].received
    kinds = [item.kind for item in got if item.kind != "/v1/report"]
    assert kinds == ["prefill"], got
    ran = [item for s in writers(context) for item in s.received if item.kind == "run"]
    assert len(ran) == 1, ran
    port = context.world.servers[name].port
    source = f"{route_world.HOST}:{port}/h-{request_id}"
    assert ran[0].fields["x-kv-source"] == source, ran[0].fields


@behave.then('routes: each writer ran "{request_id}" once')
def each_ran(context, request_id):
    counts = [server.count_runs(request_id) for server in writers(context)]
    assert counts == [1, 1], counts


@behave.then('routes: "{request_id}" ran {count:d} time')
@behave.then('routes: "{request_id}" ran {count:d} times')
def ran_times(context, request_id, count):
    ran = sum(s.count_runs(request_id) for s in context.world.servers.values())
    assert ran == count, ran


@behave.then("routes: the status is {status:d}")
def status_is(context, status):
    assert context.reply.status == status, context.reply
    assert context.reply.complete


@behave.then("routes: the body is the answer to this request")
def right_body(context):
    assert context.reply.body == b"answer of text", context.reply


@behave.then('routes: a reader sees the connection of "{request_id}" closed')
def closed(context, request_id):
    servers = context.world.servers.values()
    context.run(
        context.world.until(lambda: any(request_id in s.cancelled for s in servers))
    )


@behave.then('routes: no other server gets "{request_id}"')
def gets_no_more(context, request_id):
    context.run(asyncio.sleep(RETRY_S))
    got = [
        item
        for server in context.world.servers.values()
        for item in server.received
        if item.fields.get("x-request-id") == request_id
    ]
    assert len(got) == 1, got


@behave.then('routes: "{name}" never got "{request_id}"')
def never_got(context, name, request_id):
    got = [r for r in context.world.servers[name].received if r.kind == "run"]
    assert got == [], got


@behave.then("routes: no server got a header that the client had no right to set")
def no_forged(context):
    got = [r for s in context.world.servers.values() for r in s.received]
    assert got
    for item in got:
        for name, value in SYSTEM_FIELDS.items():
            assert item.fields.get(name) != value, item.fields


@behave.then("routes: the new route is served")
def new_route(context):
    async def status():
        return (await context.world.ask("added", "r1")).status

    context.run(context.world.until_returns(status, 200))


@behave.then("routes: the second instance serves the routes")
def second_serves(context):
    reply = context.run(context.world.ask("notify", "r1", name="two"))
    assert reply.status == 200, reply


@behave.then("routes: it is not ready any more and still serves")
def stopping(context):
    assert context.run(context.world.ask_ready("one")) == 503
    reply = context.run(context.world.ask("notify", "r1"))
    assert reply.status == 200, reply
    assert reply.fields["connection"] == "close", reply.fields


@behave.then('routes: the metric "{name}" with "{outcome}" of "{what}" is {value:d}')
def metric_is(context, name, outcome, what, value):
    found = context.run(context.world.ask_metrics())
    label = {"answers": "by", "sendings": "what"}[name]
    pairs = sorted([("outcome", outcome), (label, what)])
    labels = ",".join(f'{key}="{value}"' for key, value in pairs)
    key = f"pimentolatch_{name}_total{{{labels}}}"
    assert found[key] == value, {k: v for k, v in found.items() if name in k}


@behave.then("routes: 1 first event and 5 pauses were timed")
def timed(context):
    found = context.run(context.world.ask_metrics())
    assert found["pimentolatch_first_event_seconds_count"] == 1
    # The pause from the one engine to the other is one that the client sees.
    assert found["pimentolatch_event_pause_seconds_count"] == 5, found


@behave.then("routes: the gauges tell version 1 and 4 servers")
def gauges(context):
    found = context.run(context.world.ask_metrics())
    assert found["pimentolatch_configuration_version"] == 1
    assert found["pimentolatch_servers"] == 4


@behave.given(
    "routes: a client with an idle connection to an instance that is stopping"
)
def stopping_instance(context):
    context.clock = route_world.HeldClock()

    async def begin():
        world = context.world
        await world.add_instance("two", host="127.0.0.2", time=context.clock)
        instance = world.instances["two"][1]
        await world.until(lambda: instance.fleet.servers.get("a1") is not None)
        context.link = await world.connect("two")
        context.stop = asyncio.create_task(instance.stop())
        await world.until(lambda: context.clock.held)

    context.run(begin())


@behave.when('routes: it asks for "{place}" as the time for the balancer is over')
def ask_at_the_end(context, place):
    async def ask():
        reader, writer = context.link
        # Both in one turn of the event loop: the bytes wait in the socket.
        context.clock.release()
        writer.write(route_world.request(place, "r1"))
        context.reply = await route_world.reply(reader)
        await context.stop

    context.run(ask())


@behave.when(
    "routes: an instance knows all it needs while its clients' port refuses them"
)
def instance_without_clients_port(context):
    context.run(start_without_clients_port(context.world))


async def start_without_clients_port(world):
    """Start an instance whose clients' port is bound to a socket that never listens."""
    name, host = "deaf", "127.0.0.2"
    with socket.socket() as taken:
        taken.bind((host, 0))
        world.ports[name] = taken.getsockname()[1]
        world.readiness[name] = route_world.free_port()
        world.metrics[name] = route_world.free_port()
        chosen = world.settings(name, host=host)
        instance = process.GatewayInstance(chosen, clock.SystemClock())
        world.instances[name] = (host, instance)
        try:
            await instance.start()
        except OSError:
            await world.until(lambda: instance.fleet.complete)
            return
    raise AssertionError("the clients' port was free")


@behave.then("routes: its readiness check does not succeed")
def not_ready(context):
    try:
        status = context.run(context.world.ask_ready("deaf"))
    except ConnectionRefusedError:
        return
    assert status != 200, status
