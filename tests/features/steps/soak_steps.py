import asyncio

import behave

from tests import soak
from tests.support import soak_kinds

# What is told within seconds is judged by the soak that is run by hand.
MARGIN_S = 60.0
# Enough for a busy machine, and far below the longest wait of a watch.
SILENCE_MARGIN_S = 6.0
# The same, within the time for which a server that left goes on serving.
PATHS_MARGIN_S = 3.0
# Below the time by which servers that stand still read requests late.
STOPS_MARGIN_S = 1.0
# Seconds beyond which an instance that is turned away uses servers for ever.
TURNED_AWAY_MARGIN_S = 1.0
# The soak of copies drains no server, so nothing in it is late.
COPIES_MARGIN_S = MARGIN_S


@behave.when("the soak plays seed {seed:d} for {seconds:d} seconds")
def play(context, seed, seconds):
    _play(context, seed, seconds, soak_kinds.STANDARD)


@behave.when(
    "the soak plays seed {seed:d} for {seconds:d} seconds"
    " with a request that ends servers"
)
def play_fatal(context, seed, seconds):
    _play(context, seed, seconds, soak_kinds.STANDARD, fatal=True)


@behave.when(
    "the soak plays seed {seed:d} for {seconds:d} seconds of silence and changes"
)
def play_silence(context, seed, seconds):
    _play(context, seed, seconds, soak_kinds.KINDS["silence"], SILENCE_MARGIN_S)


@behave.when(
    "the soak plays seed {seed:d} for {seconds:d} seconds of pauses and changes"
)
def play_pauses(context, seed, seconds):
    _play(context, seed, seconds, soak_kinds.KINDS["pauses"])


@behave.when("the soak plays seed {seed:d} for {seconds:d} seconds of outages")
def play_outages(context, seed, seconds):
    _play(context, seed, seconds, soak_kinds.KINDS["outages"])


@behave.when(
    "the soak plays seed {seed:d} for {seconds:d} seconds of outages and gateways that"
    " are turned away"
)
def play_turned_away(context, seed, seconds):
    _play(context, seed, seconds, soak_kinds.KINDS["turned-away"], TURNED_AWAY_MARGIN_S)


@behave.when(
    "the soak plays seed {seed:d} for {seconds:d} seconds of late check-ins and pauses"
    " of gateways"
)
def play_entries(context, seed, seconds):
    _play(context, seed, seconds, soak_kinds.KINDS["entries"])


@behave.when(
    "the soak plays seed {seed:d} for {seconds:d} seconds of harmed paths between"
    " gateways"
)
def play_paths(context, seed, seconds):
    _play(context, seed, seconds, soak_kinds.KINDS["paths"], PATHS_MARGIN_S)


@behave.when("the soak plays seed {seed:d} for {seconds:d} seconds of uneven engines")
def play_uneven(context, seed, seconds):
    _play(context, seed, seconds, soak_kinds.KINDS["uneven"])


@behave.when(
    "the soak plays seed {seed:d} for {seconds:d} seconds of standstills and short"
    " limits"
)
def play_standstills(context, seed, seconds):
    _play(context, seed, seconds, soak_kinds.KINDS["standstills"])


@behave.when(
    "the soak plays seed {seed:d} for {seconds:d} seconds of releases beside a gateway"
    " out of step"
)
def play_releases(context, seed, seconds):
    _play(context, seed, seconds, soak_kinds.KINDS["releases"])


@behave.when(
    "the soak plays seed {seed:d} for {seconds:d} seconds of servers and gateways that"
    " stop"
)
def play_stops(context, seed, seconds):
    _play(context, seed, seconds, soak_kinds.KINDS["stops"], STOPS_MARGIN_S)


@behave.when(
    "the soak plays seed {seed:d} for {seconds:d} seconds of refusals and copies"
)
def play_copies(context, seed, seconds):
    _play(context, seed, seconds, soak_kinds.KINDS["copies"], COPIES_MARGIN_S)


@behave.then("no promise was broken and most requests were served")
def kept(context):
    result = context.result
    assert not result.violations, result.violations[:5]
    assert result.faults > 5
    assert result.served > 0.8 * result.requests > 0


def _play(context, seed, seconds, kind, margin_s=MARGIN_S, *, fatal=False):
    played = soak.run_seed(seed, float(seconds), margin_s, kind, fatal=fatal)
    context.result = asyncio.run(played)
