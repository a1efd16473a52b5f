import behave

from standins import route_server
from tests.support import route_world, stopped_servers

FIRST_START_MS = 1_750_000_000_000


@behave.given("stopped: {count:d} gateways before servers as processes")
def start(context, count):
    context.route_runner = route_world.runner()
    context.world = stopped_servers.StoppedServers(context.route_runner)
    context.world.start(count)


@behave.given("stopped: {count:d} gateways before servers, each of which {manner}")
def start_before(context, count, manner):
    context.route_runner = route_world.runner()
    context.world = stopped_servers.StoppedServers(context.route_runner)
    if manner == "stands still for half of the time":
        context.world.world.stutters = True
    elif manner == "tells when it started":
        context.world.world.first_start_ms = FIRST_START_MS
    elif manner != "does not tell when started":
        assert manner == "ignores that bodies are announced"
        context.world.world.body_requests = (route_server.IGNORES,)
    context.world.start(count)


@behave.when(
    "stopped: a server of each kind stands still between the head and the body of a"
    " request for {stopped:g} s and {how} after {after:g} s"
)
def stand_still_within_request(context, stopped, how, after):
    listed = how == "reports that it drains"
    context.route_runner.run(
        context.world.stop_servers(after, stopped, listed=listed, within_requests=True)
    )


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


@behave.then("stopped: no call of a gateway's own but health checks reaches it later")
def no_late_calls(context):
    late = context.world.late_calls()
    assert not late, late


@behave.then("stopped: all clients are served")
def all_served(context):
    context.route_runner.run(context.world.stop_clients())
    failed = context.world.failed()
    assert not failed, failed
