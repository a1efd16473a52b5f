import asyncio

import behave

from tests.support import route_world, version_world

VERSIONS = ("v1", "v2")
# Shorter than a stream, so that those that the last instances serve are cut as well.
BETWEEN_KILLS_S = 0.2
BETWEEN_RETURNS_S = 1.0
# The bound of the users, as a share of that of new streams that begin.
MIN_SHARE = 0.5


def start(context, instances, decode_versions):
    context.route_runner = route_world.runner()
    context.world = version_world.VersionWorld()
    context.route_runner.run(context.world.start(instances, decode_versions))


def begin(context, count, events=None):
    context.sent = count
    context.begun = context.route_runner.run(context.world.begin(count, events))


def resume(context, **options):
    context.route_runner.run(context.world.resume(context.begun, **options))


def of_version(context, version):
    """Return the streams that a version began."""
    return [s for s in context.begun if s.events[0].version == version]


@behave.given(
    "versions: {instances:d} instances and {engines:d} decode engines, half of each"
    " version"
)
def two_versions(context, instances, engines):
    # One half after the other, since engines alternate between the failure domains.
    start(context, instances, [VERSIONS[2 * n // engines] for n in range(engines)])


@behave.given(
    "versions: {instances:d} instances and {engines:d} decode engines of one version"
)
def one_version(context, instances, engines):
    start(context, instances, [VERSIONS[0]] * engines)


@behave.given(
    "versions: {instances:d} gateway processes and {engines:d} decode engines, half of"
    " each version"
)
def processes(context, instances, engines):
    context.route_runner = route_world.runner()
    context.world = version_world.ProcessWorld()
    context.route_runner.run(context.world.start(instances, engines, VERSIONS))


@behave.given("versions: each decode engine breaks off the streams that it begins")
def break_off(context):
    for server in context.world.servers.values():
        server.cuts_new_streams = True


@behave.given("versions: engines send an event every {pause:d} ms")
def event_pause(context, pause):
    for server in context.world.servers.values():
        server.event_pause_s = pause / 1000


@behave.when(
    "versions: clients begin {count:d} streams and disconnect after {events:d} events"
)
def begin_and_disconnect(context, count, events):
    begin(context, count, events)


@behave.when("versions: clients begin {count:d} streams and read them to their end")
def begin_and_read(context, count):
    begin(context, count)


@behave.when(
    'versions: clients begin {count:d} streams of which those of "{version}" lose all'
    " engines"
)
def begin_and_lose(context, count, version):
    async def lose():
        world = context.world
        begun = asyncio.create_task(world.begin(count))
        await world.until(lambda: all_have_begun(world, count))
        world.crash(version)
        return await begun

    context.begun = context.route_runner.run(lose())


def all_have_begun(world, count):
    return len(world.streams) == count and all(s.events for s in world.streams)


@behave.when(
    "versions: clients begin {count:d} streams at {name}, which is killed within them"
)
def begin_and_kill(context, count, name):
    async def kill():
        world = context.world
        begun = asyncio.create_task(world.begin(count, names=[name]))
        await world.until(lambda: all_have_begun(world, count))
        world.kill(name)
        return [stream for stream in await begun if not stream.whole]

    context.begun = context.route_runner.run(kill())
    context.sent = len(context.begun)
    context.left = [other for other in context.world.instances if other != name]


@behave.when(
    "versions: clients begin {count:d} streams and all instances are killed {how}"
)
def begin_and_kill_all(context, count, how):
    async def kill():
        world = context.world
        begun = asyncio.create_task(world.begin(count))
        await world.until(lambda: all_have_begun(world, count))
        names = list(world.instances)
        earlier = {"at once": [], "some before the others": names[1:]}[how]
        for name in earlier:
            world.kill(name)
        if earlier:
            await asyncio.sleep(BETWEEN_KILLS_S)
        for name in names:
            world.kill(name)
        return [stream for stream in await begun if not stream.whole]

    context.begun = context.route_runner.run(kill())


@behave.when('versions: the engines of "{version}" leave {when}')
def engines_leave(context, version, when):
    leave = {"not at all": False, "while all are down": True}[when]
    if leave:
        context.route_runner.run(context.world.remove_engines(version))


@behave.when(
    "versions: all instances start again and clients come back {times:d} times"
)
def start_again(context, times):
    world = context.world
    context.route_runner.run(world.restart_all())
    for _ in range(times):
        unfinished = [stream for stream in context.begun if not stream.whole]
        context.route_runner.run(world.resume(unfinished, pause_s=BETWEEN_RETURNS_S))


@behave.when("versions: they resume at the instances that are left after {pause:d} ms")
def resume_at_left(context, pause):
    resume(context, names=context.left, pause_s=pause / 1000)


@behave.when("versions: they resume at other instances")
def resume_elsewhere(context):
    resume(context)


@behave.when(
    "versions: they resume at other instances and disconnect after {events:d} more"
)
def resume_and_disconnect(context, events):
    resume(context, events=events)


@behave.when("versions: they resume again at other instances")
def resume_again(context):
    resume(context)


@behave.when("versions: they resume at other instances with {value}")
def resume_with(context, value):
    resume(context, resumes=value)


@behave.when("versions: they resume with {value}, as often as refusals ask for it")
def resume_often(context, value):
    async def resume_all():
        world = context.world
        await asyncio.gather(
            *(world.resume_until_accepted(stream, value) for stream in context.begun)
        )

    context.route_runner.run(resume_all())


@behave.when("versions: they resume with {value} at an instance that has just started")
def resume_at_new(context, value):
    name = context.route_runner.run(context.world.join())
    resume(context, resumes=value, names=[name])


@behave.when('versions: the engines of "{version}" crash and are listed no more')
def remove(context, version):
    context.route_runner.run(context.world.remove(version))


@behave.when('versions: the engines of "{version}" crash and are listed as usual')
def crash(context, version):
    async def end():
        context.world.crash(version)

    context.route_runner.run(end())


@behave.when('versions: engines of "{new}" replace those of "{old}"')
def release(context, new, old):
    async def replace():
        world = context.world
        for engine in world.engines(old):
            await world.add_engine(f"{engine.server_id}-{new}", engine.stage, new)
        await world.remove(old)

    context.route_runner.run(replace())


@behave.when('versions: half of the engines restart at "{version}" under their ids')
def restart(context, version):
    async def restart_half():
        names = [n for n, s in context.world.servers.items() if s.stage == "decode"]
        for name in names[: len(names) // 2]:
            await context.world.restart_at(name, version)
        await context.world.add_engine(f"prefill-{version}", "prefill", version)

    context.route_runner.run(restart_half())


@behave.when('versions: half of the engines restart at "{version}", not listed yet')
def restart_unlisted(context, version):
    names = [n for n, s in context.world.servers.items() if s.stage == "decode"]
    context.restarted = names[: len(names) // 2]
    for name in context.restarted:
        context.world.restart_unlisted(name, version)


@behave.when("versions: the list shows them")
def list_restarted(context):
    async def list_all():
        for name in context.restarted:
            await context.world.list_restarted(name)

    context.route_runner.run(list_all())


@behave.then("versions: no stream holds events of two versions")
def none_joined(context):
    world = context.world
    assert context.begun
    assert not world.joined(), world.describe(context.begun)
    assert not world.out_of_order(), [s.events for s in world.out_of_order()]
    assert not world.refused_and_run(), world.refused_and_run()


@behave.then("versions: streams are resumed at least half as often as new ones begin")
def resumed_often(context):
    resumed = sum(stream.resumed for stream in context.begun)
    share = resumed / len(context.begun)
    figures = context.world.describe(context.begun)
    assert share >= MIN_SHARE * len(context.begun) / context.sent, figures


@behave.then("versions: all are resumed")
def all_resumed(context):
    check_resumed(context, context.begun)


@behave.then('versions: those of "{version}" are resumed')
def version_resumed(context, version):
    check_resumed(context, of_version(context, version))


def check_resumed(context, streams):
    figures = context.world.describe(streams)
    assert streams, figures
    assert all(stream.resumed and stream.whole for stream in streams), figures


@behave.then("versions: all streams are whole")
def all_whole(context):
    broken = [stream for stream in context.world.streams if not stream.whole]
    assert not broken, (len(broken), broken[0])


@behave.then("versions: all are refused as not run, with a time to come back")
def all_refused(context):
    check_refused(context, context.begun)


@behave.then(
    'versions: those of "{version}" are refused as not run, with a time to come back'
)
def version_refused(context, version):
    check_refused(context, of_version(context, version))


def check_refused(context, streams):
    figures = context.world.describe(streams)
    assert streams, figures
    assert all(stream.attempts[-1].refused for stream in streams), figures


@behave.then(
    'versions: those of "{gone}" are broken off, and those of "{left}" are whole'
)
def broken_off(context, gone, left):
    lost, kept = of_version(context, gone), of_version(context, left)
    assert lost and kept, (len(lost), len(kept))
    assert not any(stream.attempts[-1].complete for stream in lost), lost
    assert all(stream.whole for stream in kept), kept


@behave.then("versions: both versions have served some")
def both_served(context):
    served = {version for s in context.world.streams for version in s.versions}
    assert served == set(VERSIONS), served
