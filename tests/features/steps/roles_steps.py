import datetime
import itertools

import behave

from pimentolatch.decisions import roles
from tests.support import role_worlds

KITAGUNI, REGIE = role_worlds.policy("kitaguni"), role_worlds.policy("regie")
POLICIES = {"Kitaguni's document": KITAGUNI, "the Régie's document": REGIE}
LONG, SHORT = role_worlds.LONG_PROMPTS, role_worlds.SHORT_PROMPTS


@behave.given('role planning for the engines "{letters}" under both documents')
def engines_under_both(context, letters):
    context.names, context.policy = letters.split(), KITAGUNI


@behave.given('role planning for the engines "{names}" under {document}')
def engines_under(context, names, document):
    context.names, context.policy = names.split(), POLICIES[document]


def plan_through(context, load, seconds, **options):
    policy = options.pop("policy", context.policy)
    world = role_worlds.PlanningWorld(context.names, policy, load, **options)
    world.run(seconds)
    return world.changes


@behave.when("long prompts come for 20 seconds in every 80, for 10 minutes")
def swinging(context):
    context.load = lambda at: LONG if at % 80 >= 60 else SHORT
    context.length = 600


@behave.when("long prompts come for 10 minutes and short ones for the next 10")
def lasting(context):
    context.load = lambda at: LONG if at < 600 else SHORT
    context.length = 1200


@behave.when("long prompts come for 20 minutes")
def long_for_ever(context):
    context.load, context.length = lambda at: LONG, 1200


@behave.then(
    "a role planner that follows each reading changes at least {count:d} roles"
)
def no_price(context, count):
    off = roles.Safeguards(cost_test=False, dwell=False)
    changes = plan_through(context, context.load, context.length, safeguards=off)
    assert len(changes) >= count, changes


@behave.then("the role planner changes no role")
def none_changed(context):
    options = getattr(context, "options", {})
    changes = plan_through(context, context.load, context.length, **options)
    assert changes == [], changes


@behave.then('the role planner changes 1 role to "{role}" in the {part} 10 minutes')
def one_changed(context, role, part):
    changes = plan_through(context, context.load, context.length)
    begin = 0 if part == "first" else 600
    found = [c.role for at, c in changes if begin <= at < begin + 600]
    assert found == [role], changes


@behave.then("Kitaguni's role planner changes a role earlier than the Régie's")
def earlier(context):
    context.kitaguni = plan_through(context, context.load, 1200, policy=KITAGUNI)
    context.regie = plan_through(context, context.load, 1200, policy=REGIE)
    assert context.kitaguni[0][0] < context.regie[0][0]


@behave.then("the Régie's role planner changes fewer roles than Kitaguni's, but some")
def fewer(context):
    assert 0 < len(context.regie) < len(context.kitaguni), (
        context.kitaguni,
        context.regie,
    )


@behave.then(
    'the role planner changes 1 role away from "{role}" in the next 10 minutes'
)
def one_back(context, role):
    changes = plan_through(context, context.load, context.length)
    first, second = changes
    assert first[0] < 600 and first[1].role == role, changes
    assert second[0] >= 600 and second[1].role != role, changes


@behave.when("the 2nd engine is withdrawn for 30 seconds under an even load")
def drained(context):
    context.load, context.length = lambda at: role_worlds.EVEN_DEMAND, 600
    context.options = {"absent": ("e-2", 300, 330)}


@behave.when("the 2nd engine is withdrawn for good under an even load")
def withdrawn(context):
    context.load, context.length = lambda at: role_worlds.EVEN_DEMAND, 600
    context.options = {"absent": ("e-2", 300, 10_000)}


@behave.then("a role planner that counts the time before changes at least 1 role")
def counts_before(context):
    changes = plan_through(
        context, context.load, context.length, **context.options, omit_change_times=True
    )
    assert changes


@behave.then('the role planner changes 1 role to "{role}" within 60 seconds')
def rescued(context, role):
    changes = plan_through(context, context.load, context.length, **context.options)
    assert [change.role for _, change in changes] == [role], changes
    assert 300 <= changes[0][0] <= 360, changes


@behave.given("long prompts came for 10 minutes")
def long_came(context):
    context.now = datetime.timedelta(seconds=600)
    context.states = role_worlds.serving_engines(context.names)
    context.samples = role_worlds.samples(lambda at: LONG, 600, len(context.names))


def planned(context, states):
    return roles.plan(context.now, states, context.samples, context.policy)


@behave.when("one role planner has ordered its change")
def first_ordered(context):
    first, second = planned(context, context.states), planned(context, context.states)
    assert len(first) == 1 and first == second, (first, second)
    context.first = first[0]
    context.after = role_worlds.with_order(context.states, context.first)


@behave.then("a second role planner that takes the change for done orders another one")
def hasty_second(context):
    done = role_worlds.with_change_done(context.states, context.first, None)
    changes = planned(context, done)
    assert changes and changes[0].engine != context.first.engine, changes


@behave.then("a second role planner that reads the order slots orders nothing")
def second_reads(context):
    assert planned(context, context.after) == ()


@behave.then("a role planner that started just now orders nothing")
def fresh_planner(context):
    assert roles.plan(context.now, context.states, (), context.policy) == ()
    assert roles.plan(context.now, context.after, (), context.policy) == ()


@behave.when("two role planners order different engines in every order of their steps")
def two_orders(context):
    changes = [
        roles.RoleChange(name, "prefill", "seen by one") for name in ("e-2", "e-3")
    ]
    steps = [(0, "take"), (0, "look"), (1, "take"), (1, "look")]
    context.made = {True: [], False: []}
    for order in itertools.permutations(steps):
        if all(order.index((n, "take")) < order.index((n, "look")) for n in (0, 1)):
            for look in (True, False):
                context.made[look].append(
                    role_worlds.count_executed(
                        context.names, changes, order, context.policy, confirm=look
                    )
                )


@behave.then("without the second look both changes are made in some order")
def both_made(context):
    assert max(context.made[False]) == 2, context.made


@behave.then("with it never more than one is made")
def at_most_one(context):
    assert len(context.made[True]) == 6, context.made
    assert max(context.made[True]) == 1, context.made


@behave.when("the ordered change has ended but the last report is older")
def change_ended(context):
    (context.first,) = planned(context, context.states)
    context.late = context.states
    context.true = role_worlds.with_change_done(
        context.states, context.first, context.now
    )


@behave.then("a role planner that trusts the report orders the same engine again")
def trusts_report(context):
    assert planned(context, context.late) == (context.first,)


@behave.then("a role planner that takes the role from the order slot orders nothing")
def trusts_slot(context):
    assert planned(context, context.true) == ()


@behave.when("{count:d} drawn states of a failure domain are planned for")
def drawn_states(context, count):
    context.found = {
        floor: role_worlds.check_plans(count, roles.Safeguards(floor=floor))
        for floor in (True, False)
    }


@behave.then("without the floor some plan takes away too much")
def floor_off(context):
    assert context.found[False].violations, context.found


@behave.then(
    "no plan takes away too much, moves a pinned engine or one that does not serve"
)
def floor_on(context):
    assert context.found[True].plans > 0, context.found
    assert context.found[True].violations == (), context.found
