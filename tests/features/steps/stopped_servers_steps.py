import behave

from tests.support import route_world, stopped_servers


@behave.given("stopped: {count:d} gateways before servers that are processes")
def start(context, count):
    context.route_runner = route_world.runner()
    context.world = stopped_servers.StoppedServers(context.route_runner)
    context.world.start(count)


@behave.when(
    "stopped: a server of each kind stands still for {stopped:g} s and {how} after"
    " {after:g} s"
)
def stand_still(context, stopped, how, after):
    listed = how == "reports that it drains"
    context.route_runner.run(context.world.stop_servers(after, stopped, listed=listed))


@behave.then("stopped: no request reaches it later than leaving servers may get one")
def none_late(context):
    late = context.world.late_requests()
    assert not late, late


@behave.then("stopped: all clients are served")
def all_served(context):
    context.route_runner.run(context.world.stop_clients())
    failed = context.world.failed()
    assert not failed, failed
