import datetime
import random

import behave

from pimentolatch import clock, settings
from pimentolatch.decisions import (
    engine_loads,
    neighbours,
    peer_loads,
    placement,
    placement_types,
    stall_check,
    store_readers,
)
from pimentolatch.gateway.peers import cache_updates, peer_table
from pimentolatch.protocol import beacon_codec, beacons
from pimentolatch.requests import prompts
from pimentolatch.routes import engine_reports, route_table, servers
from tests.support import fleet_parts, route_world

NOW = datetime.timedelta(seconds=100)
SECOND = datetime.timedelta(seconds=1)
HOSTS = {name: f"127.0.0.{n}" for n, name in enumerate("abcd", 1)}


@behave.then('a request is judged "{verdict}" when its engine reports {what}')
def judged(context, verdict, what):
    def report(queued, running, *runs):
        stage = servers.Stage.DECODE
        return engine_reports.EngineReport(
            stage, False, 0, queued, running, frozenset(runs)
        )

    found = {
        "nothing": None,
        "that it runs the request": report(0, 1, "r1"),
        "a queue": report(3, 1, "r2"),
        "that it reads prompts": report(0, 1),
        "only others' runs": report(0, 1, "r2"),
        "no work at all": report(0, 0),
    }[what]
    assert stall_check.request_status(found, "r1").value == verdict


@behave.given("a fleet of {count:d} instances in {domains:d} domains")
def fleet(context, count, domains):
    context.fleet = [
        neighbours.Place(f"10.{n % domains}.0.{n}", f"d{n % domains}")
        for n in range(count)
    ]
    context.told = {
        own: neighbours.choose(own, [p for p in context.fleet if p != own])
        for own in context.fleet
    }


def tell(context, sender):
    """Have the other peers receive a beacon of one of them."""
    own, table = context.tables[sender]
    beacon = beacons.Beacon(
        instance=own.host,
        failure_domain=own.failure_domain,
        incarnation="x",
        configuration=1,
        servers=1,
        stopping=False,
        readers=(),
        members=table.sample_members(2),
    )
    for other, receiver in context.tables:
        if other is not own:
            receiver.receive(own.host, beacon_codec.decode(beacon_codec.encode(beacon)))


@behave.given("{count:d} peers of which the last one stops after its first beacon")
def last_one_stops(context, count):
    context.time = clock.ManualClock()
    places = [neighbours.Place(f"10.0.0.{n}", "d") for n in range(count)]
    context.tables = [
        (own, peer_table.PeerTable(own.host, own, context.time, random.Random(1)))
        for own in places
    ]
    for sender in range(count):
        tell(context, sender)
    context.tables.pop()


@behave.when("the others exchange beacons for {minutes:d} minutes")
def exchange(context, minutes):
    for _ in range(minutes * 60 * 4):
        context.time.advance(SECOND / 4)
        for sender, (_, table) in enumerate(context.tables):
            table.forget_old()
            tell(context, sender)


@behave.then("each of the others counts {count:d} instances")
def counts_instances(context, count):
    assert {table.instances for _, table in context.tables} == {count}


@behave.then("each instance tells {count:d} others")
def tells(context, count):
    assert {len(chosen.near) for chosen in context.told.values()} == {count}
    assert not any(chosen.far for chosen in context.told.values())


@behave.then(
    "each instance tells {near:d} others of its own domain and {far:d} of other ones"
)
def tells_near(context, near, far):
    domains = {place.host: place.failure_domain for place in context.fleet}
    for own, chosen in context.told.items():
        assert len(chosen.near) == near
        assert {domains[host] for host in chosen.near} == {own.failure_domain}
        # One at a time of each other domain, out of all that are there.
        assert len(chosen.far) == far
        assert sum(map(len, chosen.far)) + 22 == len(context.fleet)


@behave.then("news of one instance reach its domain in {steps:d} steps")
def reach(context, steps):
    by_host = {place.host: chosen.near for place, chosen in context.told.items()}
    first = context.fleet[0]
    reached = {first.host}
    for _ in range(steps):
        reached |= {host for known in reached for host in by_host[known]}
    domain = [p for p in context.fleet if p.failure_domain == first.failure_domain]
    assert len(reached) == len(domain), len(reached)


def engine(name, stage, domain):
    address = settings.Address.from_text("127.0.0.1:80")
    return servers.Server(name, "lm", address, domain, False, stage, 8)


@behave.given(
    "an engine at which two near instances have {one:d} and {two:d} tokens to read"
)
def two_near(context, one, two):
    context.here = two_instances("here", one, two)


@behave.given(
    "two instances of another domain have {one:d} and {two:d} tokens to read there"
)
def two_far(context, one, two):
    context.there = two_instances("there", one, two)


def two_instances(domain, one, two):
    found = engine_loads.EngineLoad(engine("p1", servers.Stage.PREFILL, domain))
    found.prefill_tokens[3] += one
    found.peers.update("two", peer_loads.PeerLoad((0.0, float(two)), 2, 9000), NOW)
    return found


@behave.then(
    "an instance of either domain that hears of the other counts {tokens:d} tokens"
)
def each_counts(context, tokens):
    told = context.here.domain_load(NOW), context.there.domain_load(NOW)
    context.here.peers.update_domain("there", told[1], NOW)
    context.there.peers.update_domain("here", told[0], NOW)
    for found in (context.here, context.there):
        assert found.total_prefill_tokens(NOW) == tokens, found.total_prefill_tokens(
            NOW
        )
        assert found.total_streams(NOW) == 4


@behave.then("what each tells of its own domain stays {here:d} and {there:d} tokens")
def tells_own(context, here, there):
    for found, tokens in ((context.here, here), (context.there, there)):
        assert sum(found.domain_load(NOW).prefill_tokens) == tokens


@behave.then(
    "after 3 seconds of silence each counts its own {here:d} and {there:d} tokens"
)
def silence(context, here, there):
    for found, tokens in ((context.here, here), (context.there, there)):
        assert found.total_prefill_tokens(NOW + 3 * SECOND) == tokens


@behave.given(
    "{count:d} engines, {reading:d} of which read, all with work from one domain"
)
def many_engines(context, count, reading):
    listed = [
        engine(
            f"e{n:02}",
            servers.Stage.PREFILL if n < reading else servers.Stage.DECODE,
            f"d{n % 3}",
        )
        for n in range(count)
    ]
    context.teller, context.hearer = (
        fleet_parts.Instance(f"{domain}-0", domain, listed) for domain in ("d0", "d1")
    )
    context.hearer.load_exchange.partial_view = True
    for load in context.teller.loads.all():
        load.prefill_tokens[0] = 1000.0
        load.streams = 3
        load.kv_tokens = 9000


@behave.when("an instance of another domain hears its sums")
@behave.when(
    "the first domain's work at half of the engines ends and sums are heard again"
)
def hear_sums(context):
    if any(load.total_prefill_tokens(NOW) for load in context.hearer.loads.all()):
        for load in list(context.teller.loads.all())[::2]:
            load.prefill_tokens[0] = 0.0
            load.streams = load.kv_tokens = 0
    for chunk, totals in context.teller.load_exchange.totals(NOW):
        told = context.teller.beacon(NOW, totals=totals, chunk=chunk)
        sent = beacon_codec.encode(told)
        assert len(totals) <= 40
        context.hearer.load_exchange.receive(beacon_codec.decode(sent), 1.0, NOW)


@behave.then("it counts the work of all {count:d}")
@behave.then("it counts the work of the other {count:d}")
def counts_all(context, count):
    busy = [
        load for load in context.hearer.loads.all() if load.total_prefill_tokens(NOW)
    ]
    assert len(busy) == count, len(busy)
    assert {load.total_streams(NOW) for load in busy} == {3}


@behave.given("a large fleet with engines here and there")
def here_and_there(context):
    context.loads = engine_loads.EngineLoads()
    context.loads.prefill_rate = 50.0
    context.loads.partial_view = True
    context.loads.update(
        engine(f"{stage.value}-{domain}-{n}", stage, domain)
        for stage in servers.Stage
        for domain in ("here", "there")
        for n in range(2)
    )


@behave.when("the near engines have {tokens:d} tokens to read")
def near_have(context, tokens):
    for load in context.loads.all():
        if load.server.failure_domain == "here":
            load.prefill_tokens[6] = tokens


def place(context, session=None, domain="here", tokens=5000):
    shared = () if session is None else (prompts.Part(session, tokens),)
    parts = (*shared, prompts.Part("own", 4000))
    prompt = prompts.Prompt("m", sum(p.tokens for p in parts), 50, 50, parts)
    target = datetime.timedelta(milliseconds=800)
    asked = placement_types.PlacementRequest(prompt, 2, False, target, 4 * target, 0.9)
    traits = route_table.EngineTraits(8, 200_000, SECOND)
    return placement.Placement(context.loads, domain).choose(asked, traits, NOW)


@behave.then("a prompt that shares nothing is read and written here")
def read_here(context):
    chosen = place(context)
    assert chosen.prefill_engine.server.failure_domain == "here"
    assert chosen.engine.server.failure_domain == "here"


@behave.then("a prompt that shares nothing is read there")
def read_there(context):
    assert place(context).prefill_engine.server.failure_domain == "there"


def homes_of(context, domain):
    return {
        session: place(context, session, domain).prefill_engine.server
        for session in (f"session-{n}" for n in range(40))
    }


@behave.then(
    "prompts of 40 sessions are read at the same engine from here and from there"
)
def same_home(context):
    context.homes = homes_of(context, "here")
    assert homes_of(context, "there") == context.homes


@behave.then("homes stand in both domains")
def both_domains(context):
    found = {server.failure_domain for server in context.homes.values()}
    assert found == {"here", "there"}


@behave.when("an engine that reads leaves")
def reader_leaves(context):
    left = [load.server for load in context.loads.all()]
    context.left = next(s for s in left if s.stage is servers.Stage.PREFILL)
    context.loads.update(server for server in left if server is not context.left)


@behave.then("only its own sessions have other homes")
def only_its_own(context):
    after = homes_of(context, "here")
    moved = {name for name, server in context.homes.items() if after[name] != server}
    own = {name for name, home in context.homes.items() if home == context.left}
    assert moved == own
    assert own


@behave.when("the home of a session has {tokens:d} tokens to read")
def busy_home(context, tokens):
    context.home = place(context, "session-1").prefill_engine
    context.home.prefill_tokens[0] = tokens


@behave.when(
    "the home of a session of {shared:d} shared tokens has {tokens:d} tokens to read"
)
def busy_home_of_long(context, shared, tokens):
    context.shared = shared
    context.home = place(context, "session-1", tokens=shared).prefill_engine
    context.home.prefill_tokens[0] = tokens


@behave.then("a prompt of that session is read elsewhere")
def read_elsewhere(context):
    chosen = place(context, "session-1", tokens=context.shared)
    assert isinstance(chosen, placement_types.Disaggregated), chosen
    assert chosen.prefill_engine is not context.home


@behave.then("a prompt of the session is read elsewhere and fetched from its home")
def fetched_from_home(context):
    chosen = place(context, "session-1")
    assert chosen.prefill_engine is not context.home
    assert chosen.kv_source is context.home


@behave.when("{count:d} cached parts are noted and told to near peers only")
def note_many(context, count):
    context.updates = cache_updates.CacheUpdates()
    one = servers.Incarnation("e1")
    for number in range(count):
        context.updates.forward(beacons.CachedPrefix(one, number, 1))
        assert len(context.updates.take_near()) == 1
    context.newest = count - 1


@behave.then("far peers would be told the newest {count:d}")
def told_newest(context, count):
    told = context.updates.take_far()
    assert [part.key for part in told] == list(
        range(context.newest, context.newest - count, -1)
    )
    assert context.updates.take_far() == ()


@behave.when("every engine that reads has {tokens:d} tokens to read")
def all_busy(context, tokens):
    for load in context.loads.all():
        if load.server.stage is servers.Stage.PREFILL:
            load.prefill_tokens[0] = tokens


@behave.when("no engine reads any more")
def none_reads(context):
    left = [load.server for load in context.loads.all()]
    context.loads.update(s for s in left if s.stage is not servers.Stage.PREFILL)


def place_short(context, tokens):
    prompt = prompts.Prompt("m", tokens, 50, 50, (prompts.Part("own", tokens),))
    target = datetime.timedelta(milliseconds=800)
    asked = placement_types.PlacementRequest(prompt, 2, False, target, 4 * target, 0.9)
    traits = route_table.EngineTraits(8, 200_000, SECOND)
    return placement.Placement(context.loads, "here").choose(asked, traits, NOW)


@behave.then("a short prompt of {tokens:d} tokens is read by another engine")
def read_apart(context, tokens):
    assert isinstance(place_short(context, tokens), placement_types.Disaggregated)


@behave.then("a short prompt of {tokens:d} tokens is read by the engine that answers")
def read_in_place(context, tokens):
    assert isinstance(place_short(context, tokens), placement_types.Colocated)


@behave.when("{near:d} of the own domain are heard and {far:d} of another one")
def heard(context, near, far):
    own = [place for place in context.fleet if place.failure_domain == "d0"]
    other = [place for place in context.fleet if place.failure_domain == "d1"]
    context.weights = neighbours.domain_weights(
        context.fleet, [*own[:near], *other[:far]]
    )


@behave.then("each of the own domain counts twice")
def twice(context):
    assert context.weights["d0"] == 2.0


@behave.then("the one of the other domain counts no more than 3 times")
def thrice(context):
    assert 1.0 < context.weights["d1"] <= 3.0


@behave.given('instances "a" to "e" of one domain')
def one_domain(context):
    context.heard = {}


@behave.when("all hear that all would read")
def hear_all(context):
    context.heard = dict.fromkeys("abcde", NOW)


@behave.when('"{name}" has not been heard for 2 seconds')
def not_heard(context, name):
    context.heard[name] -= 2 * SECOND


@behave.when('"{name}" takes its name back')
def takes_back(context, name):
    del context.heard[name]


@behave.then('"{names}" read the store')
def they_read(context, names):
    found = set()
    for own in "abcde":
        known = [
            store_readers.Reader(name, at)
            for name, at in context.heard.items()
            if name != own
        ]
        if store_readers.is_reader(own, known, NOW):
            found.add(own)
    # One that is silent may read on; what counts is who else does.
    silent = {name for name, at in context.heard.items() if at < NOW}
    assert found - silent == set(names), found


@behave.given('fleet: a store and instances "a" to "d" of one domain')
def three_instances(context):
    context.route_runner = route_world.runner()
    context.world = route_world.RouteWorld()
    context.run = context.route_runner.run

    async def begin():
        world = context.world
        await world.start_store()
        await world.configure(1)
        await world.add_server("a1", "app")
        await world.add_server("a2", "app")
        for name, host in HOSTS.items():
            seeds = [f"{HOSTS['a']}:{world.peer_port}"] if world.ports else []
            await world.add_instance(name, seeds, host=host)

    context.run(begin())


def known(context, name):
    return context.world.instances[name][1].fleet


@behave.when("fleet: the instances have settled")
def settled(context):
    def rests():
        table = context.world.instances["d"][1].peers
        return len(table.readers()) == 3 and not known(context, "d").watches_store

    context.run(context.world.until(rests))


@behave.then('fleet: "d" does not read the store and "a" does')
def only_first(context):
    assert not known(context, "d").watches_store
    assert known(context, "a").watches_store


@behave.when('fleet: the operator adds a route and server "{name}" leaves')
def change(context, name):
    async def begin():
        added = route_world.route("added", "app", "safe")
        await context.world.configure(2, [*route_world.ROUTES, added])
        await context.world.drain(name)

    context.run(begin())


@behave.then('fleet: "d" serves the new route')
def serves_new(context):
    async def served():
        return (await context.world.ask("added", "r9", name="d")).status

    context.run(context.world.until_returns(served, 200))


@behave.then('fleet: "d" knows that "{name}" leaves')
def knows_leaving(context, name):
    def leaves():
        return known(context, "d").servers.get(name).draining

    context.run(context.world.until(leaves))
    assert not known(context, "d").watches_store


@behave.when("fleet: all others end without a word")
def end_without_word(context):
    async def end():
        for name in "abc":
            await context.world.instances[name][1].abort()

    context.run(end())


@behave.then('fleet: "d" reads the store soon')
def reads_soon(context):
    context.run(context.world.until(lambda: known(context, "d").watches_store))
