import asyncio

import behave

from tests.support import path_world, route_world

READERS = 3
NEW_ROUTE = route_world.route("fresh", "app", "safe")


@behave.given("paths: {count:d} gateways, of which two learn from peers")
def start(context, count):
    context.route_runner = asyncio.Runner()
    context.world = path_world.Paths(context.route_runner)
    context.world.start_settled(count)
    context.behind = sorted(context.world.world.gateways)[READERS:]
    assert len(context.behind) == count - READERS == 2


@behave.when("paths: these two lose {path}")
def lose(context, path):
    context.world.harm(context.behind, path)


@behave.when("paths: two servers drain and a route is added")
def change(context):
    context.route_runner.run(context.world.drain())
    context.route_runner.run(context.world.configure(NEW_ROUTE))


@behave.then("paths: all gateways learn of the changes")
def learn(context):
    context.route_runner.run(context.world.until_known())
    context.route_runner.run(context.world.until_configured())


@behave.then("paths: the servers that drain get no request that is sent later")
def unused(context):
    context.route_runner.run(context.world.check_unused())
