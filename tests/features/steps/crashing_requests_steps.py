import asyncio

import behave

from pimentolatch.protocol import codec, messages
from tests.support import completion_crashes, crash_world, route_world

# Within this time after the third crash every instance in touch has to know.
CONTACT_S = 3.0
LOST_ENGINES = tuple(f"sapporo-north-engine-{number}" for number in range(6))


@behave.given('crashes: four instances and servers that "{body}" ends')
def fleet(context, body):
    context.route_runner = route_world.runner()
    context.run = context.route_runner.run
    context.world = crash_world.CrashWorld(body.encode())
    context.run(context.world.start())


@behave.when(
    'crashes: "{route}" is asked for "{body}" until {count} servers have ended'
)
def until_ended(context, route, body, count):
    number = {"two": 2, "three": 3}[count]
    context.run(context.world.send_until_crashed(route, body.encode(), number))


@behave.when('crashes: "{route}" is asked for "{body}" once while all servers fail')
def while_all_fail(context, route, body):
    reply = context.run(context.world.send_while_failing(route, body.encode()))
    assert reply.status == 500, reply.status


@behave.then("crashes: at most four servers have ended")
def at_most_four(context):
    assert 3 <= len(context.world.crashed) <= 4, len(context.world.crashed)


@behave.when("crashes: the time passes in which every instance is to know")
def time_passes(context):
    context.run(asyncio.sleep(CONTACT_S))


@behave.when('crashes: "{route}" is asked for "{body}" twice at each instance')
def twice_each(context, route, body):
    world = context.world
    context.before = world.dispatches(body.encode())
    context.replies = context.run(world.send_to_all(route, body.encode(), 2))


@behave.then("crashes: at most three of the last sendings reach a server")
def at_most_three(context):
    reached = context.world.dispatches(context.world.fatal_body) - context.before
    assert reached <= 3, reached


@behave.given("crashes: a completion that ends each engine that runs it")
def fatal_completion(context):
    context.engines = completion_crashes.CrashingEngines()


@behave.when("crashes: its caller sends it five times")
def sent_five_times(context):
    runner = completion_crashes.instance(context.engines)
    for _ in range(5):
        asyncio.run(completion_crashes.ask(runner))


@behave.given("crashes: a fleet of five instances in two failure domains")
def fleet_of_five(context):
    context.fleet = completion_crashes.Fleet(context.engines, "aaabb")


@behave.when("crashes: its caller sends it five times, to another instance each time")
def sent_to_each(context):
    for instance in context.fleet.instances:
        asyncio.run(completion_crashes.ask(instance.runner))
        context.fleet.deliver()


@behave.when("crashes: its caller sends it to an instance that has just started")
def sent_to_a_new_one(context):
    started = context.fleet.start("b")
    asyncio.run(completion_crashes.ask(started.runner))


@behave.when("crashes: an engine answers it after all")
def answered_by_one(context):
    first = context.fleet.instances[0]
    first.suspects.record_completion(completion_crashes.DIGEST)
    context.fleet.deliver()
    context.verdicts = [
        instance.suspects.verdict(completion_crashes.DIGEST)
        for instance in context.fleet.instances
    ]


@behave.when(
    "crashes: {count:d} completions have lost five engines each, and one has lost six"
)
def many_lost(context, count):
    suspects = context.fleet.instances[0].suspects
    now = context.fleet.instances[0].time.monotonic()
    for number in range(count):
        for engine in LOST_ENGINES[:-1]:
            suspects.record_crash(2**47 + number, engine, now)
    for engine in LOST_ENGINES:
        suspects.record_crash(completion_crashes.DIGEST, engine, now)


@behave.then(
    "crashes: an instance that starts is told of the one in a notice of one frame"
)
def told_the_worst(context):
    told = context.fleet.instances[0].suspects.repeated_crashes()
    assert sum(end.digest == completion_crashes.DIGEST for end in told) == 6
    frame = codec.encode([messages.CrashNotice(told)])
    assert len(frame) < codec.FRAME_LIMIT_BYTES, len(frame)
    started = context.fleet.start("a")
    assert started.suspects.verdict(completion_crashes.DIGEST) is not None


@behave.then("crashes: no instance keeps it from engines")
def kept_by_none(context):
    assert context.verdicts == [None] * 5, context.verdicts


@behave.then("crashes: at most six engines have ended")
def at_most_six(context):
    assert 3 <= context.engines.crashes <= 6, context.engines.crashes
