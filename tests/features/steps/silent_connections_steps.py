import behave

from standins import relay
from tests.support import route_world, silent_world


@behave.given("silence: {count:d} gateways and clients that go on asking")
def gateways(context, count):
    context.route_runner = route_world.runner()
    context.world = silent_world.Gateways(context.route_runner)
    context.world.start(count)


@behave.when("silence: the connections of all gateways to the store fall silent")
def silence_store(context):
    context.world.silence_store()


@behave.when(
    "silence: an engine and a plain server report to the store that they drain"
)
def drain(context):
    context.world.runner.run(context.world.drain())


@behave.when("silence: the operator adds a route")
def add_route(context):
    added = route_world.route("added", "app", "safe")
    context.world.runner.run(context.world.configure(added))


@behave.then("silence: all gateways know it after some seconds")
def all_know(context):
    context.world.runner.run(context.world.until_known())


@behave.then("silence: the draining servers get no further request")
def no_further(context):
    context.world.runner.run(context.world.check_unused())


@behave.then("silence: all gateways serve the route after some seconds")
def all_serve(context):
    context.world.runner.run(context.world.until_served("added"))


@behave.given(
    "silence: an instance that has learned the servers of revision {revision:d}"
    " from a peer"
)
def learned(context, revision):
    context.route_runner = route_world.runner()
    context.world = silent_world.Peers(context.route_runner, ["peer"])
    context.world.start()
    context.world.tell(revision)
    context.world.until_learned(revision)


@behave.when("silence: the connections of the instance to its peer fall silent")
def silence_peer(context):
    context.world.relays.silence("peer")


@behave.when("silence: the peer has the servers of revision {revision:d}")
def peer_has(context, revision):
    context.world.tell(revision)


@behave.then(
    "silence: the instance learns revision {revision:d} without a failed attempt"
)
def learns(context, revision):
    context.world.until_learned(revision)
    assert context.world.failed_attempts() == 0


@behave.given("silence: an instance with two peers, of which the first hangs")
def first_hangs(context):
    context.route_runner = route_world.runner()
    context.world = silent_world.Peers(context.route_runner, ["first", "second"])
    context.world.start()
    context.world.relays.cut("first", relay.TO_SERVER)


@behave.when("silence: both have told it of revision {revision:d}")
def both_told(context, revision):
    context.world.tell(revision)


@behave.then(
    "silence: the instance learns revision {revision:d} after it asked the first one"
    " once"
)
def learns_after_one(context, revision):
    context.world.until_learned(revision)
    assert context.world.attempts("first") == 1, context.world.attempts("first")


@behave.when("silence: the kept connections to all servers fall silent")
def silence_servers(context):
    context.world.runner.run(context.world.silence_servers())


@behave.when("silence: {prompts:d} prompts and {calls:d} calls are sent at once")
def sent_at_once(context, prompts, calls):
    asked = context.world.ask_at_once("late", prompts, calls)
    context.answers = context.world.runner.run(asked)


@behave.then("silence: it is answered, and no engine was doubted or counts as crashed")
def not_doubted(context):
    all_answered(context)
    doubted = context.world.lines("doubted", "late")
    assert not doubted, doubted
    outcomes = [line["outcome"] for line in context.world.lines("sent", "late")]
    assert outcomes == ["answered 200"] * len(outcomes), outcomes


@behave.then("silence: all are answered")
def all_answered(context):
    statuses = [answer.status for answer in context.answers]
    assert statuses == [200] * len(statuses), statuses
