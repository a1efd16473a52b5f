import asyncio

import behave

from tests.support import out_of_step_world, route_world

ENGINES = 4
BEGIN_PAUSE_S = 0.02


def run(context, work):
    return context.route_runner.run(work)


@behave.given("out of step: two instances that have seen one version for long")
def start(context):
    context.route_runner = route_world.runner()
    context.world = out_of_step_world.OutOfStepWorld()
    run(context, context.world.start_engines(ENGINES))
    run(context, context.world.until_resumable())


@behave.given(
    "out of step: {count:d} gateway processes that have seen one version for long"
)
def start_processes(context, count):
    context.route_runner = route_world.runner()
    context.world = out_of_step_world.CutOffGateways()
    run(context, context.world.start_settled(count, ENGINES))


@behave.when("out of step: one of them loses its peers and the store")
def cut_off(context):
    context.world.cut_off()


@behave.when("out of step: engines of the second version replace those of the first")
def replace_engines(context):
    run(context, context.world.release(ENGINES))


@behave.when(
    "out of step: clients begin {count:d} streams elsewhere, and resume them there"
)
def begin_elsewhere(context, count):
    context.begun = run(context, context.world.begin_and_resume(count, BEGIN_PAUSE_S))
    assert context.begun


@behave.when("out of step: the late instance loses the store")
def lose_store(context):
    run(context, context.world.lose_store())


@behave.when('out of step: engines of "{new}" join and those of "{old}" drain')
def release(context, new, old):
    async def replace():
        world = context.world
        await world.add_version(new, ENGINES)
        await world.set_state(old, "draining")
        await world.until_followed(out_of_step_world.PROMPT)

    run(context, replace())


@behave.when('out of step: the engines of "{version}" are listed no more')
def unlist(context, version):
    async def remove():
        await context.world.unlist(version)
        await context.world.until_followed(out_of_step_world.LATE)

    run(context, remove())


@behave.when("out of step: the release is undone")
def undo(context):
    async def withdraw():
        world = context.world
        await world.set_state(out_of_step_world.FIRST, "ready")
        await world.unlist(out_of_step_world.SECOND)

    run(context, withdraw())


@behave.when("out of step: clients begin {count:d} streams")
def begin(context, count):
    context.begun = run(context, context.world.begin_at_prompt(count))
    assert len(context.begun) == count, context.world.describe(context.begun)


@behave.when("out of step: clients begin {count:d} streams at the late instance")
def begin_at_late(context, count):
    context.begun = run(context, context.world.begin_at_late(count))
    assert len(context.begun) == count, context.world.describe(context.begun)


@behave.when(
    'out of step: half of the decode engines restart at "{version}" under their ids'
)
def restart(context, version):
    run(context, context.world.restart_half(version))


@behave.when(
    'out of step: half of the decode engines restart at "{version}" under their ids,'
    " unlisted"
)
def restart_unlisted(context, version):
    context.world.restart_half_unlisted(version)


@behave.when("out of step: another instance starts")
def start_another(context):
    run(context, context.world.start_instance(out_of_step_world.NEW))


@behave.when("out of step: they resume at it with {value}")
def resume_at_new(context, value):
    world = context.world
    run(context, world.resume_at_once(context.begun, value, out_of_step_world.NEW))


@behave.when("out of step: they resume at the late one with {value}")
def resume(context, value):
    world = context.world
    calls = world.store_calls()
    run(context, world.resume_at_once(context.begun, value, out_of_step_world.LATE))
    context.calls = world.store_calls() - calls


@behave.when(
    "out of step: clients begin {count:d} streams and resume them at the late one with"
    " {value}"
)
def begin_and_resume(context, count, value):
    begin(context, count)
    resume(context, value)


@behave.when("out of step: {seconds:d} seconds pass")
def wait(context, seconds):
    run(context, asyncio.sleep(seconds))


@behave.when("out of step: the store drops its history")
def drop_history(context):
    context.world.platform.table.compact_history()


@behave.when("out of step: the late instance regains the store")
def regain_store(context):
    run(context, context.world.regain_store())


@behave.then("out of step: no stream holds events of two versions")
def none_joined(context):
    world = context.world
    assert not world.joined(), world.describe(context.begun)
    assert not world.out_of_order(), world.out_of_order()
    assert not world.refused_and_run(), world.refused_and_run()


@behave.then("out of step: all are refused as not run, with a time to come back")
def all_refused(context):
    figures = context.world.describe(context.begun)
    assert all(s.attempts[-1].refused for s in context.begun), figures


@behave.then("out of step: engines of both versions have begun some")
def both_began(context):
    begun = {stream.events[0].version for stream in context.begun}
    assert begun == {out_of_step_world.FIRST, out_of_step_world.SECOND}, begun


@behave.then("out of step: all are resumed")
def all_resumed(context):
    figures = context.world.describe(context.begun)
    assert all(s.resumed and s.whole for s in context.begun), figures


@behave.then(
    "out of step: the store received fewer calls meanwhile than a sixth of them"
)
def few_calls(context):
    assert context.calls < len(context.begun) / 6, context.calls


@behave.then('out of step: those that "{version}" began are resumed')
def begun_resumed(context, version):
    begun = [s for s in context.begun if s.events[0].version == version]
    assert begun
    assert all(s.resumed and s.whole for s in begun), context.world.describe(begun)
