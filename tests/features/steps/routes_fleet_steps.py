import asyncio
import datetime

import behave

from pimentolatch.decisions import doubt, neighbours, store_readers
from pimentolatch.routes import reports, servers
from tests.support import route_world

NOW = datetime.timedelta(seconds=100)
SECOND = datetime.timedelta(seconds=1)
HOSTS = {name: f"127.0.0.{n}" for n, name in enumerate("abcd", 1)}


@behave.then('a request is judged "{verdict}" when its engine reports {what}')
def judged(context, verdict, what):
    def report(queued, running, *runs):
        stage = servers.Stage.DECODE
        return reports.EngineReport(stage, False, 0, queued, running, frozenset(runs))

    found = {
        "nothing": None,
        "that it runs the request": report(0, 1, "r1"),
        "a queue": report(3, 1, "r2"),
        "that it reads prompts": report(0, 1),
        "only others' runs": report(0, 1, "r2"),
        "no work at all": report(0, 0),
    }[what]
    assert doubt.judge(found, "r1").value == verdict


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


@behave.then("each instance tells {count:d} others")
def tells(context, count):
    assert {len(hosts) for hosts in context.told.values()} == {count}


@behave.then("each instance tells {count:d} others, {near:d} of them in its own domain")
def tells_near(context, count, near):
    tells(context, count)
    domains = {place.host: place.failure_domain for place in context.fleet}
    for own, hosts in context.told.items():
        assert sum(domains[h] == own.failure_domain for h in hosts) == near


@behave.then("nobody is told by nobody")
def all_told(context):
    told = {host for hosts in context.told.values() for host in hosts}
    assert told == {place.host for place in context.fleet}


@behave.then("news of one instance reach all in {steps:d} steps")
def reach(context, steps):
    by_host = {place.host: hosts for place, hosts in context.told.items()}
    reached = {context.fleet[0].host}
    for _ in range(steps):
        reached |= {host for known in reached for host in by_host[known]}
    assert len(reached) == len(context.fleet), len(reached)


@behave.when("{near:d} of the own domain are heard and {far:d} of another one")
def heard(context, near, far):
    own = [place for place in context.fleet if place.failure_domain == "d0"]
    other = [place for place in context.fleet if place.failure_domain == "d1"]
    context.weights = neighbours.weights(context.fleet, [*own[:near], *other[:far]])


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
        if store_readers.reads(own, known, NOW):
            found.add(own)
    # One that is silent may read on; what counts is who else does.
    silent = {name for name, at in context.heard.items() if at < NOW}
    assert found - silent == set(names), found


@behave.given('fleet: a store and instances "a" to "d" of one domain')
def three_instances(context):
    context.route_runner = asyncio.Runner()
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
    return context.world.instances[name][1].known


@behave.when("fleet: the instances have settled")
def settled(context):
    def rests():
        table = context.world.instances["d"][1].peers
        return len(table.readers()) == 3 and not known(context, "d").reads_store

    context.run(context.world.until(rests))


@behave.then('fleet: "d" does not read the store and "a" does')
def only_first(context):
    assert not known(context, "d").reads_store
    assert known(context, "a").reads_store


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

    context.run(context.world.until_asked(served, 200))


@behave.then('fleet: "d" knows that "{name}" leaves')
def knows_leaving(context, name):
    def leaves():
        return known(context, "d").servers.get(name).leaving

    context.run(context.world.until(leaves))
    assert not known(context, "d").reads_store


@behave.when("fleet: all others end without a word")
def end_without_word(context):
    async def end():
        for name in "abc":
            await context.world.instances[name][1].abort()

    context.run(end())


@behave.then('fleet: "d" reads the store soon')
def reads_soon(context):
    context.run(context.world.until(lambda: known(context, "d").reads_store))
