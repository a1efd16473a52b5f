import datetime

import behave

from pimentolatch.control import role_planning, slots
from pimentolatch.decisions import demand, engine_states
from pimentolatch.entry import planner
from tests.support import role_worlds


def seconds(count):
    return datetime.timedelta(seconds=count)


def totals(uptime, incarnation="1"):
    return demand.Totals(
        "entry-1", incarnation, float(uptime), long_prompt_tokens=1000.0 * uptime
    )


@behave.given("an instance that counts 1000 tokens of long prompts a second")
def counting(context):
    context.history = demand.History()
    for at in range(0, 65, 5):
        context.history.observe(seconds(at), [totals(at)])


def rates(context):
    return [sample.long_prompts for sample in context.history.samples]


@behave.when("its totals of 10 seconds come 10 seconds late in one piece")
def late(context):
    context.history.observe(seconds(65), [totals(60)])
    context.history.observe(seconds(70), [totals(60)])
    context.history.observe(seconds(75), [totals(75)])
    context.history.observe(seconds(80), [totals(80)])


@behave.then("every demand sample shows 1000 tokens of long prompts a second")
def even_rates(context):
    assert len(rates(context)) == 16
    assert rates(context) == [1000.0] * 16, rates(context)


@behave.when("it starts anew with lower totals")
def starts_anew(context):
    for at in range(65, 85, 5):
        context.history.observe(seconds(at), [totals(at - 62, incarnation="2")])


@behave.then(
    "no demand sample shows less than nothing or more than 1000 tokens a second"
)
def sane_rates(context):
    assert len(rates(context)) == 16
    assert all(0.0 <= rate <= 1000.0 for rate in rates(context)), rates(context)
    assert rates(context)[-1] == 1000.0, rates(context)


@behave.when("it is silent for 20 seconds")
def silent(context):
    for at in range(85, 105, 5):
        context.history.observe(seconds(at), [])


@behave.then("the last demand sample shows no tokens")
def nothing_left(context):
    assert rates(context)[-1] == 0.0, rates(context)


@behave.when("nobody asks for an hour and then asks again")
def an_hour_later(context):
    for at in range(3660, 3700, 5):
        context.history.observe(seconds(at), [totals(at)])


@behave.then("no demand sample is longer than 5 seconds")
def no_long_sample(context):
    lengths = [sample.length_s for sample in context.history.samples]
    assert lengths and max(lengths) <= 5.0, lengths


@behave.given("a domain of 4 engines under an even load, seen by the duty holder")
def seen_by_holder(context):
    context.names = ["prefill", "mixed", "mixed", "mixed"]
    context.chosen = role_worlds.policy("kitaguni")


def standing(state, unreachable):
    return role_planning.EngineStatus(
        state.engine, state.role, slots.SlotState.SERVING, unreachable, None
    )


@behave.when("one engine gives no answer for 30 seconds")
def no_answer(context):
    fleet = role_worlds.FixedFleet(context.chosen)
    counted = role_worlds.SteadyDemand(role_worlds.EVEN_DEMAND, len(context.names))
    real = planner.DemandPlanner(fleet, counted.totals)
    told_of_roles = role_worlds.UntrackedPlanner(context.chosen, counted.totals)
    context.orders = {"real": [], "roles": []}
    for at in range(0, 600, 5):
        counted.advance(at)
        gone = 300 <= at < 330
        known = role_worlds.serving_engines(context.names)
        seen = [standing(s, gone and s.engine.name == "e-2") for s in known]
        context.orders["real"] += real.plan(seen, seconds(at))
        if gone:
            known[1] = engine_states.EngineState(
                known[1].engine, "mixed", engine_states.Condition.UNCERTAIN
            )
        context.orders["roles"] += told_of_roles.plan(known, seconds(at))


@behave.then("a duty holder told only of roles orders a change of role")
def roles_only_orders(context):
    assert context.orders["roles"]


@behave.then("the duty holder's planner orders none")
def real_orders_none(context):
    assert context.orders["real"] == [], context.orders["real"]
