import behave

from tests.support import crash_replay

REPLAY_S = 12


@behave.given(
    "crashes: a replay of {instances:d} instances in {domains:d} domains"
    " before {engines:d} engines"
)
def replay(context, instances, domains, engines):
    context.sizes = instances, domains, engines


@behave.when(
    "crashes: one of {rate:d} requests a second ends each server that runs it,"
    " drawn by {seed:d}"
)
def one_is_fatal(context, rate, seed):
    played = crash_replay.CrashReplay(*context.sizes, seed, rate)
    context.result = played.run(REPLAY_S, fatal=1)


@behave.when(
    "crashes: half of the servers end twice under {rate:d} requests a second,"
    " drawn by {seed:d}"
)
def half_end(context, rate, seed):
    played = crash_replay.CrashReplay(*context.sizes, seed, rate)
    context.result = played.run(REPLAY_S, kills=((3, 0.5), (6, 0.5)))


@behave.when(
    "crashes: two of {rate:d} requests a second end each server that runs them,"
    " drawn by {seed:d}"
)
def two_are_fatal(context, rate, seed):
    played = crash_replay.CrashReplay(*context.sizes, seed, rate)
    context.result = played.run(REPLAY_S, fatal=2)


@behave.when(
    "crashes: a third of the servers end thrice under {rate:d} requests a second,"
    " drawn by {seed:d}"
)
def third_ends(context, rate, seed):
    played = crash_replay.CrashReplay(*context.sizes, seed, rate)
    kills = ((3, 0.33), (6, 0.33), (9, 0.33))
    context.result = played.run(REPLAY_S, kills=kills)


@behave.when(
    "crashes: half of the servers end beside one of {rate:d} requests a second"
    " that ends each, drawn by {seed:d}"
)
def half_end_beside_fatal(context, rate, seed):
    played = crash_replay.CrashReplay(*context.sizes, seed, rate)
    context.result = played.run(REPLAY_S, fatal=1, kills=((5, 0.5),))


@behave.then("crashes: at most three sendings of it go out later than all must know")
def few_late(context):
    # It has come so far that the bound says something.
    assert all(len(ends) >= 3 for ends in context.result.crashes.values())
    assert all(count <= 3 for count in context.result.late_dispatches.values())


@behave.then("crashes: no other request is kept from servers")
def nobody_else(context):
    assert context.result.served > 0
    assert context.result.refused_innocent == 0, context.result.refused_innocent
