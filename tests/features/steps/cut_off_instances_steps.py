import asyncio

import behave

from tests.support import partition_world

RATE = 6
BEFORE_S = 1.5
MEASURED_S = 4
# The bound of the users: served two thirds as often, or at most so many failures.
SHARE = 2 / 3
FAILURES = 10
FAILURE_SHARE = 1 / 50


@behave.given("cut: {count:d} instances with servers, and clients at each")
def start(context, count):
    context.route_runner = asyncio.Runner(loop_factory=partition_world.PartitionedLoop)
    context.world = partition_world.PartitionWorld()
    context.route_runner.run(context.world.start(count))
    context.all = list(context.world.instances)
    context.route_runner.run(context.world.load(context.all, BEFORE_S, RATE))


@behave.when("cut: {first} and {second} lose all servers, {how}, for {seconds:d} s")
def cut(context, first, second, how, seconds):
    context.cut = [first, second]
    world = context.world

    async def fault():
        world.cut(context.cut, how)
        await world.load(context.all, seconds, RATE)

    context.route_runner.run(fault())


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
