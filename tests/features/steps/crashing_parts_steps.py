import behave

from tests.support import crash_world, part_world, route_world

CALM_S = 3
FATAL_S = 14


@behave.given("parts: four instances, and engines that end under a part")
def start(context):
    context.route_runner = route_world.runner()
    context.world = part_world.PartWorld()
    context.route_runner.run(context.world.start())


@behave.when(
    "parts: sound requests come, and later fatal ones whose fatal part is {which}"
)
def play(context, which):
    case = part_world.CASES[which]
    context.route_runner.run(context.world.play(case, CALM_S, FATAL_S))


@behave.then(
    "parts: at most three fatal requests reach servers later than all must know"
)
def few_late(context):
    world = context.world
    late = world.late_arrivals()
    assert late <= part_world.MAX_LATE, (late, len(world.crashed))


@behave.then("parts: sound requests are served half as often as before")
def served(context):
    world = context.world
    before = world.served_share(0, world.began)
    later = world.served_share(world.recovered_at())
    assert later >= part_world.SHARE * before, (before, later, len(world.crashed))


@behave.then("parts: no request was quarantined")
def none_quarantined(context):
    async def answers():
        metrics = [await context.world.ask_metrics(name) for name in crash_world.HOSTS]
        return [m["pimentolatch_quarantined_answers_total"] for m in metrics]

    counts = context.route_runner.run(answers())
    assert not sum(counts), counts
