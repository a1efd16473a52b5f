import behave


@behave.when(
    "silence: a gateway stands still, two servers report that they drain and requests"
    " come"
)
def drain_in_pause(context):
    world = context.world
    context.answers = world.runner.run(world.ask_in_pause(world.drain))


@behave.when(
    "silence: a gateway stands still, two servers have their entries removed and"
    " requests come"
)
def leave_in_pause(context):
    world = context.world
    context.answers = world.runner.run(world.ask_in_pause(world.leave))


@behave.when(
    "silence: the store gets out of reach of a gateway that stands still, two servers"
    " leave and requests come"
)
def out_of_reach_in_pause(context):
    world = context.world
    context.answers = world.runner.run(world.ask_in_pause(world.leave, cut=True))


@behave.then("silence: the servers that left got none of these requests")
def got_none(context):
    assert not context.world.reached("paused"), context.world.reached("paused")
