import asyncio
import datetime
import random

import behave

from pimentolatch import clock, settings
from pimentolatch.decisions import (
    crash_suspects,
    engine_loads,
    neighbours,
    peer_loads,
    server_choice,
    stage_plan,
    stall_check,
)
from pimentolatch.gateway import dispatch, fleet_state, flow_control, quarantine
from pimentolatch.gateway import settings as gateway_settings
from pimentolatch.gateway.leader import leadership, lease, stage_controller
from pimentolatch.gateway.peers import (
    beacon_exchange,
    cache_updates,
    departure_exchange,
    peer_table,
    silence_exchange,
)
from pimentolatch.platform import configuration
from pimentolatch.protocol import beacon_codec, beacons
from pimentolatch.requests import prompts
from pimentolatch.routes import engine_reports, servers
from standins import memory_store, object_table, route_server
from tests.support import route_world

NOW = datetime.timedelta(seconds=100)
PART = prompts.Part("shared", 5000)
PROMPT = prompts.Prompt("m", 6000, 10, 10, (PART, prompts.Part("own", 1000)))


def listed(name, born, stage=servers.Stage.PREFILL, address="127.0.0.1:80"):
    return servers.Server(
        name,
        "lm",
        settings.Address.from_text(address),
        "here",
        False,
        stage,
        8,
        started_ms=born,
    )


@behave.given(
    'incarnations: engine "{name}" born {born:d} keeps a part, has work and has failed'
)
def engine_with_past(context, name, born):
    context.loads = engine_loads.EngineLoads()
    context.loads.update([listed(name, born)])
    engine = context.loads.get(name)
    engine.prefix_cache.add(prompts.part_key(PART.name), PART.tokens, 100_000)
    engine.peers.update("peer", peer_loads.PeerLoad((3000.0,), 2, 500), NOW)
    context.loads.failed(engine, NOW)


@behave.when("incarnations: it is listed again as born {born:d}")
def listed_again(context, born):
    context.loads.update([listed("e1", born)])
    context.engine = context.loads.get("e1")


@behave.then("incarnations: it keeps nothing, has no work and is not avoided")
def without_past(context):
    engine = context.engine
    assert engine.prefix_cache.cached_tokens(PROMPT) == 0
    assert engine.total_prefill_tokens(NOW) == 0 and engine.total_streams(NOW) == 0
    assert engine.avoid_until <= NOW and engine.failures == 0
    engine.prefix_cache.add(prompts.part_key(PART.name), PART.tokens, 100_000)


@behave.then("incarnations: nothing more is forgotten")
def keeps_on(context):
    assert context.engine.prefix_cache.cached_tokens(PROMPT) == PART.tokens


@behave.given('incarnations: an instance that knows engine "{name}" born {born:d}')
def instance_that_knows(context, name, born):
    context.known = fleet_state.FleetState()
    spec = route_world.configuration(1, route_world.ROUTES)
    context.known.configure(configuration.decode(spec), spec)
    context.known.replace_servers(1, [listed(name, born)])
    place = neighbours.Place("127.0.0.1", "here")
    time = context.clock = clock.ManualClock()
    chance = random.Random(1)
    table = peer_table.PeerTable("one", place, time, chance)
    chosen = gateway_settings.PeerSettings(host="127.0.0.1", ports=(7000, 7001))
    context.peers = beacon_exchange.BeaconExchange(
        chosen,
        "one",
        "here",
        "x",
        context.known,
        table,
        cache_updates.CacheUpdates(),
        quarantine.Quarantine(crash_suspects.Policy(), time),
        leadership.Leadership("one", "127.0.0.1", table, None, time),
        flow_control.FlowControl(place, time),
        frozenset,
        dict,
        silence_exchange.SilenceExchange(
            context.known, "one", "here", time, shared=True
        ),
        departure_exchange.DepartureExchange(context.known),
        time,
        chance,
    )


def hear(context, **told):
    """Have the instance receive a peer's beacon."""
    beacon = beacons.Beacon(
        instance="two",
        failure_domain="here",
        incarnation="y",
        configuration=1,
        servers=1,
        stopping=False,
        readers=(),
        members=(),
        **told,
    )
    context.peers.datagram_received(beacon_codec.encode(beacon), ("127.0.0.2", 7000))


@behave.when('incarnations: a peer tells of work and a part at "{name}" born {born:d}')
def peer_tells(context, name, born):
    engine = servers.Incarnation(name, born)
    hear(
        context,
        loads=(beacons.Load(engine, (700,), 3, 40),),
        cached=(
            beacons.CachedPrefix(engine, prompts.part_key(PART.name), PART.tokens),
        ),
    )


@behave.then('incarnations: "{name}" has no work and keeps nothing')
def has_nothing(context, name):
    engine = context.known.loads("lm").get(name)
    assert engine.total_streams(datetime.timedelta()) == 0
    assert engine.prefix_cache.cached_tokens(PROMPT) == 0


@behave.then('incarnations: "{name}" has that work and keeps that part')
def has_work(context, name):
    engine = context.known.loads("lm").get(name)
    assert engine.total_streams(datetime.timedelta()) == 3
    assert engine.prefix_cache.cached_tokens(PROMPT) == PART.tokens


@behave.given('incarnations: plain servers "a1" and "a2" born {born:d}')
def plain_servers(context, born):
    context.plain = [listed(name, born, None) for name in ("a1", "a2")]
    context.choice = server_choice.ServerChoice("here")


@behave.when('incarnations: "a1" fails {count:d} times and "a2" has 1 call')
def plain_fails(context, count):
    for _ in range(count):
        context.choice.begin(context.plain[0])
        context.choice.end(context.plain[0], NOW, failed=True)
    context.choice.begin(context.plain[1])
    assert context.choice.choose(context.plain, NOW) is context.plain[1]


@behave.when('incarnations: "a1" is born again')
def plain_born_again(context):
    context.plain[0] = listed("a1", 2000, None)


@behave.then('incarnations: "a1" is chosen')
def plain_chosen(context):
    assert context.choice.choose(context.plain, NOW) is context.plain[0]


def verdict(born, queued, runs=()):
    report = engine_reports.EngineReport(
        servers.Stage.DECODE, False, 0, queued, len(runs), frozenset(runs), born
    )
    return stall_check.request_status(report, "r1", 1000)


@behave.then(
    "incarnations: a request sent to the life of 1000 is lost when 2000 reports a queue"
)
def lost_in_new_life(context):
    assert verdict(2000, 5) is stall_check.Verdict.REBORN
    assert verdict(2000, 0, ["r1"]) is stall_check.Verdict.REBORN


@behave.then("incarnations: it is in the queue when 1000 reports it")
def in_queue(context):
    assert verdict(1000, 5) is stall_check.Verdict.HAS_IT
    assert verdict(None, 5) is stall_check.Verdict.HAS_IT


@behave.given('incarnations: a store, a reading engine "{name}" and a keeper of stages')
def keeper_of_stages(context, name):
    context.route_runner = route_world.runner()
    context.world = route_world.RouteWorld()
    context.server = route_server.RouteServer(name, "lm", "here", "prefill")
    context.server.started_ms = 1000
    context.world.servers[name] = context.server
    context.route_runner.run(context.server.start())
    time = clock.SystemClock()
    context.known = fleet_state.FleetState()
    spec = route_world.configuration(1, route_world.ROUTES)
    context.known.configure(configuration.decode(spec), spec)
    store = memory_store.MemoryStore(object_table.ObjectTable(), time=time, link="one")
    minute = datetime.timedelta(minutes=1)
    context.lease = lease.LeaderLease(store, "one", "life", minute, time)


def new_keeper(context):
    time = clock.SystemClock()
    place = neighbours.Place("127.0.0.1", "here")
    table = peer_table.PeerTable("one", place, time, random.Random(1))
    flow = flow_control.FlowControl(place, time)
    client = dispatch.ServerClient(
        time,
        flow,
        acknowledgement_limit=datetime.timedelta(seconds=1),
        health_target=lambda server: b"/health",
    )
    held = leadership.Leadership("one", "127.0.0.1", table, context.lease, time)
    return stage_controller.StageController(
        "one", context.known, table, held, client, flow, None, time
    )


@behave.given('incarnations: "{name}" starts again once it has given its report')
def reborn_after_report(context, name):
    context.server.restart_before_order = True


def order(context):
    context.revision = getattr(context, "revision", 0) + 1
    server = listed(
        "p1", context.server.started_ms, address=f"127.0.0.1:{context.server.port}"
    )
    context.known.replace_servers(context.revision, [server])
    change = stage_plan.Change(server.incarnation, servers.Stage.DECODE, 0.1, 1.2, 50.0)
    context.route_runner.run(new_keeper(context).carry_out(change))


@behave.when('incarnations: the keeper orders "p1" to write')
@behave.when("incarnations: the new life is listed and the keeper orders it to write")
def keeper_orders(context):
    order(context)


@behave.then('incarnations: "p1" has received no order')
def no_order(context):
    assert context.server.started_ms == 1001, "it has not started again"
    assert not context.server.orders
    assert not [r for r in context.server.received if r.kind == "/v1/order"]


@behave.then('incarnations: "p1" has received 1 order')
def one_order(context):
    assert len(context.server.orders) == 1, context.server.orders


@behave.when('incarnations: "{name}" starts again after it has read "{request}"')
def starts_again_after_reading(context, name, request):
    world, reader = context.world, context.world.servers[name]

    async def ask():
        reader.started_ms = 1000
        await world.write("servers", name, reader.entry())
        known = world.instances["one"][1].fleet
        await world.until(lambda: known.servers.get(name).started_ms == 1000)
        known.loads("lm").get("d1").prefill_tokens[0] += 10_000
        reader.faults.append("slow")
        asked = asyncio.create_task(world.ask("digest", request))
        await world.until(lambda: reader.queued)
        reader.started_ms = 2000
        await world.write("servers", name, reader.entry())
        await world.until(lambda: known.servers.get(name).started_ms == 2000)
        return await asked

    context.reply = context.route_runner.run(ask())


@behave.then("incarnations: no handle of the former life was sent or freed")
def former_handle_unused(context):
    reader, writer = (context.world.servers[name] for name in ("p1", "d1"))
    assert sum(item.kind == "prefill" for item in reader.received) == 2
    sources = [item.fields.get("x-kv-source", "") for item in writer.received]
    assert not any(source.endswith("-1000") for source in sources), sources
    assert any(source.endswith("-2000") for source in sources), sources
    assert not any(handle.endswith("-1000") for handle in reader.freed_handles), (
        reader.freed_handles
    )


@behave.when(
    'incarnations: a peer tells that "{name}" born {born:d} is changing for'
    " {seconds:d} seconds"
)
def peer_tells_change(context, name, born, seconds):
    changing = beacons.StageChange(
        servers.Incarnation(name, born), servers.Stage.DECODE, 1000 * seconds
    )
    hear(context, stage_changes=(changing,))


def usable(context):
    now = context.clock.monotonic()
    loads = context.known.loads("lm")
    found = [loads.usable(stage, now, ()) for stage in servers.Stage]
    return {engine.server.server_id for engines in found for engine in engines}


@behave.then('incarnations: "{name}" is passed over, and its change is told on')
def passed_over_and_told(context, name):
    assert name not in usable(context)
    told = context.peers.beacon().stage_changes
    assert [(t.engine.server_id, t.stage) for t in told] == [
        (name, servers.Stage.DECODE)
    ]


@behave.when('incarnations: the list shows the change of "{name}"')
def list_shows(context, name):
    context.known.replace_servers(2, [listed(name, 2000, servers.Stage.DECODE)])


@behave.when("incarnations: {seconds:d} seconds pass")
def seconds_pass(context, seconds):
    context.clock.advance(datetime.timedelta(seconds=seconds))


@behave.then('incarnations: "{name}" is used and no change is told')
def used_and_silent(context, name):
    assert name in usable(context)
    assert context.peers.beacon().stage_changes == ()


@behave.given(
    "incarnations: another planner has ordered one of those that write to read"
)
def ordered_by_another(context):
    engines = context.loads.all()
    engine = next(e for e in engines if e.server.stage is servers.Stage.DECODE)
    until = NOW + datetime.timedelta(seconds=7)
    engine.begin_change(engine_loads.StageChange(servers.Stage.PREFILL, until))
