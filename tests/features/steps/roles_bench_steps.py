import behave

from benchmarks import mix, policies, scores, simulation_types


@behave.given('a benchmark load of {engines:d} engines under the pattern "{pattern}"')
def benchmark_load(context, engines, pattern):
    domain = {2: "hakodate", 3: "sapporo-north"}[engines]
    context.case = mix.Case(0, domain, engines, pattern, 0)
    context.load = mix.Load(context.case)
    context.first = mix.FIRST_SPLIT[engines]


def ours(context, **options):
    return context.load.simulate(
        context.first, policies.Ours(), simulation_types.Options(**options)
    )


@behave.then("serving it twice under our role planner gives the same outcome")
def same_outcome(context):
    assert scores.score(ours(context)) == scores.score(ours(context))


@behave.then(
    "reading every prompt in place answers fewer requests in time than reading apart"
)
def fewer_in_place(context):
    in_place, apart = ours(context, disaggregate=False), ours(context)
    assert in_place.good < apart.good, (in_place.good, apart.good)


@behave.then("its best schedule answers at least as many requests as each other policy")
def oracle_is_best(context):
    found = mix.measure(context.case)
    assert set(found) == {"static", "reactive", "ours", "oracle"}
    assert all(found["oracle"].good >= score.good for score in found.values())


@behave.then("every request is answered, late, or refused, and none is counted twice")
def all_accounted(context):
    outcome = ours(context)
    assert outcome.good > 0 and outcome.refused > 0, outcome.good
    ended = outcome.good + outcome.late + outcome.refused
    assert ended == outcome.offered, (ended, outcome.offered)
