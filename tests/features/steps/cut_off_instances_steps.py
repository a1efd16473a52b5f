import asyncio
import dataclasses

import behave
import cbor2

from pimentolatch.protocol import beacon_codec, beacons, forwarding
from pimentolatch.routes import servers
from tests.support import partition_world, route_world

RATE = 6
BEFORE_S = 1
MEASURED_S = 3
# The bound of the users: served two thirds as often, or at most so many failures.
SHARE = 2 / 3
FAILURES = 10
FAILURE_SHARE = 1 / 50
FIELDS_OF_RELEASE_BEFORE = 19
EVENTS = [str(number) for number in range(1, 7)]


@behave.given("cut: {count:d} instances with servers, and clients at each")
def start(context, count):
    context.route_runner = asyncio.Runner(loop_factory=partition_world.PartitionedLoop)
    context.world = partition_world.PartitionWorld()
    context.route_runner.run(context.world.start(count))
    context.all = list(context.world.instances)
    context.route_runner.run(context.world.load(context.all, BEFORE_S, RATE))


@behave.when("cut: {first} and {second} lose all servers, {how}, for {seconds:d} s")
def cut(context, first, second, how, seconds):
    lose(context, [first, second], how, seconds)


@behave.when("cut: {first} and {second} lose the {names}, {how}, for {seconds:d} s")
def cut_some(context, first, second, names, how, seconds):
    prefix = names.removesuffix("s")
    lost = {name for name in context.world.servers if name.startswith(prefix)}
    lose(context, [first, second], how, seconds, lost)


def lose(context, names, how, seconds, servers=None):
    """Partition instances, and send requests to all for some time."""
    context.cut = names
    world = context.world

    async def fault():
        world.cut(names, how, servers)
        await world.load(context.all, seconds, RATE)

    context.route_runner.run(fault())


@behave.given("cut: {count:d} gateway processes behind relays, and clients at each")
def start_processes(context, count):
    context.route_runner = route_world.runner()
    context.world = partition_world.ProcessWorld()
    context.route_runner.run(context.world.start(count))
    context.all = list(context.world.instances)
    context.route_runner.run(context.world.load(context.all, BEFORE_S, RATE))


@behave.when(
    "cut: nothing passes between {first}, {second} and servers for {seconds:d} s"
)
def cut_processes(context, first, second, seconds):
    context.cut = [first, second]
    world = context.world

    async def fault():
        world.cut(context.cut)
        await world.load(context.all, seconds, RATE)

    context.route_runner.run(fault())


@behave.when("cut: all instances lose all servers, {how}, for {seconds:d} s")
def cut_all(context, how, seconds):
    lose(context, context.all, how, seconds)


@behave.when("cut: the path of {first} and {second} is back")
def path_back(context, first, second):
    world = context.world

    async def heal():
        world.heal([first, second])
        for name in (first, second):
            await world.until_returns(lambda by=name: cut_off_count(world, by), 0)

    context.route_runner.run(heal())


async def cut_off_count(world, name):
    return (await world.ask_metrics(name))["pimentolatch_cut_off_services"]


async def forwards(world, name):
    metrics = await world.ask_metrics(name)
    return sum(
        value
        for label, value in metrics.items()
        if label.startswith("pimentolatch_forwards_total")
    )


@behave.when("cut: clients go on asking")
def go_on(context):
    world = context.world

    async def ask():
        before = [await forwards(world, name) for name in context.all]
        await world.load(context.all, BEFORE_S, RATE)
        after = [await forwards(world, name) for name in context.all]
        return sum(after) - sum(before)

    context.forwarded = context.route_runner.run(ask())


@behave.then("cut: no request was forwarded meanwhile")
def none_forwarded(context):
    assert context.forwarded == 0, context.forwarded


@behave.then("cut: no request was quarantined")
def none_quarantined(context):
    async def answers():
        metrics = [await context.world.ask_metrics(name) for name in context.all]
        return [m["pimentolatch_quarantined_answers_total"] for m in metrics]

    counts = context.route_runner.run(answers())
    assert not sum(counts), counts


@behave.when("cut: a peer ends while it serves requests of {name}")
def peer_ends(context, name):
    world = context.world

    async def serve_and_end():
        for server in world.servers.values():
            if server.stage != "prefill":
                server.faults.extend(["late"] * len(partition_world.ROUTES))
        asked = {
            route_name: asyncio.create_task(world.first_attempt(name, route_name))
            for route_name in partition_world.ROUTES
        }
        peers = [world.instances[peer][1] for peer in context.all[2:]]
        await world.until(lambda: all(world.queued(name) for name in asked))
        busy = max(peers, key=lambda peer: peer.in_flight)
        assert busy.in_flight
        await busy.abort()
        return {route_name: await answer for route_name, answer in asked.items()}

    context.answers = context.route_runner.run(serve_and_end())


@behave.then("cut: those that may be repeated are answered whole")
def answered_whole(context):
    assert context.answers["digest"] and context.answers["notify"], context.answers


@behave.when("cut: a client of {name} leaves before its answer")
def client_leaves(context, name):
    world = context.world

    async def leave():
        for server in world.servers.values():
            server.faults.append("stuck")
        _, writer = await world.connect(name)
        writer.write(route_world.request("notify", "left"))
        await world.until(lambda: world.queued("left"))
        writer.close()

    context.route_runner.run(leave())


@behave.then("cut: the server sees its request end")
def sees_end(context):
    servers = context.world.servers.values()
    context.route_runner.run(
        context.world.until(lambda: any("left" in s.cancelled for s in servers))
    )


@behave.when("cut: {name} loses all servers, {how}, within a stream")
def cut_in_stream(context, name, how):
    world = context.world

    async def stream():
        for server in world.servers.values():
            server.event_pause_s = 0.2
        asked = asyncio.create_task(world.ask("digest", "streamed", name=name))
        await world.until(lambda: world.queued("streamed") or world.runs("streamed"))
        await asyncio.sleep(0.5)
        world.cut([name], how)
        return await asked

    context.reply = context.route_runner.run(stream())


@behave.then("cut: the client gets each event once")
def each_once(context):
    reply = context.reply
    assert (reply.status, reply.complete) == (200, True), reply
    assert reply.events == EVENTS, reply.events
    assert context.world.runs("streamed") == 2


@behave.when(
    "cut: a request that asks for a newer configuration is forwarded to {name}"
)
def newer_asked(context, name):
    world = context.world
    host, _ = world.instances[name]
    options = forwarding.encode(forwarding.ForwardOptions(2, 2, False))
    fields = {key.decode(): value.decode() for key, value in options}

    async def forward():
        port = world.peer_port + route_world.PEER_PORTS - 1
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(route_world.request("notify", "newer", **fields))
        return await route_world.reply(reader)

    context.reply = context.route_runner.run(forward())


@behave.then("cut: {name} refuses it as not run")
def refuses(context, name):
    assert context.reply.status == 503, context.reply
    assert b"not run" in context.reply.body
    assert not context.world.runs("newer")


@behave.when("cut: beacons with and without these fields are encoded")
def encode(context):
    calm = beacons.Beacon("one", "here", "x", 1, 1, False, (), ())
    report = beacons.CrashReport(7, servers.Incarnation("s"), False, 3)
    context.beacons = [
        calm,
        dataclasses.replace(calm, cut_off_services=("a", "b")),
        dataclasses.replace(calm, part_reports=(report,)),
    ]
    context.encoded = [beacon_codec.encode(beacon) for beacon in context.beacons]


@behave.then("cut: the one without has the fields of the release before")
def fields_before(context):
    assert len(cbor2.loads(context.encoded[0])) == FIELDS_OF_RELEASE_BEFORE


@behave.then("cut: both are decoded to what they were")
def decoded(context):
    assert [beacon_codec.decode(data) for data in context.encoded] == context.beacons


@behave.then("cut: first attempts there are served as often as the users demand")
def served(context):
    world = context.world
    results = context.route_runner.run(world.load(context.all, MEASURED_S, RATE))
    there = [served for name in context.cut for served in results[name]]
    others = [
        served
        for name in context.all
        if name not in context.cut
        for served in results[name]
    ]
    failed = there.count(False)
    bound = FAILURES + FAILURE_SHARE * (len(there) + len(others))
    as_often = sum(there) / len(there) >= SHARE * sum(others) / len(others)
    assert as_often or failed <= bound, (sum(there), sum(others), len(there))
    assert all(others), sum(others)


@behave.then("cut: nothing ran twice that must not")
def once(context):
    assert not context.world.repeated(), context.world.repeated()
