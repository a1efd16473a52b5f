import behave
import logbook

from tests.support import config_world, view_world

STORIES = {
    "an instance starts in an outage": view_world.start_during_outage,
    "an instance starts cut off": view_world.start_cut_off,
    "instances meet random trouble": view_world.random_faults,
}
WITHOUT = {
    "introductions": config_world.Safeguards(forwards_introductions=False),
    "registering first": config_world.Safeguards(registers_first=False),
    "both of these": config_world.Safeguards(
        forwards_introductions=False, registers_first=False
    ),
}


def run(context, safeguards):
    with logbook.NullHandler().applicationbound():
        return [context.story(seed, safeguards) for seed in context.seeds]


@behave.when("peers: {story}, with seeds 0 to {last:d}")
def tell_story(context, story, last):
    context.story = STORIES[story]
    context.seeds = range(last + 1)
    context.worlds = run(context, config_world.Safeguards())


@behave.then("peers: views were confirmed and no process routed by an older one")
def none_older(context):
    for world in context.worlds:
        assert world.confirmed, "nothing was shown"
        assert world.violations == [], world.violations


@behave.when("peers: the same happens without {safeguard}")
def tell_without(context, safeguard):
    context.worlds = run(context, WITHOUT[safeguard])


@behave.then("peers: some process routed by an older view than the confirmed one")
def some_older(context):
    assert any(world.violations for world in context.worlds)
