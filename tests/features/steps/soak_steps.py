import asyncio

import behave

from tests import soak

# What is told within seconds is judged by the soak that is run by hand.
MARGIN_S = 60.0
# Enough for a busy machine, and far below the longest wait of a watch.
SILENCE_MARGIN_S = 6.0
# The same, within the time for which a server that left goes on serving.
PATHS_MARGIN_S = 3.0


@behave.when("the soak plays seed {seed:d} for {seconds:d} seconds")
def play(context, seed, seconds):
    context.result = asyncio.run(soak.run_seed(seed, float(seconds), MARGIN_S))


@behave.when(
    "the soak plays seed {seed:d} for {seconds:d} seconds"
    " with a request that ends servers"
)
def play_fatal(context, seed, seconds):
    played = soak.run_seed(seed, float(seconds), MARGIN_S, fatal=True)
    context.result = asyncio.run(played)


@behave.when(
    "the soak plays seed {seed:d} for {seconds:d} seconds of silence and changes"
)
def play_silence(context, seed, seconds):
    played = soak.run_seed(seed, float(seconds), SILENCE_MARGIN_S, silence=True)
    context.result = asyncio.run(played)


@behave.when(
    "the soak plays seed {seed:d} for {seconds:d} seconds of pauses and changes"
)
def play_pauses(context, seed, seconds):
    played = soak.run_seed(seed, float(seconds), MARGIN_S, pauses=True)
    context.result = asyncio.run(played)


@behave.when("the soak plays seed {seed:d} for {seconds:d} seconds of outages")
def play_outages(context, seed, seconds):
    played = soak.run_seed(seed, float(seconds), MARGIN_S, outages=True)
    context.result = asyncio.run(played)


@behave.when(
    "the soak plays seed {seed:d} for {seconds:d} seconds of late check-ins and pauses"
    " of gateways"
)
def play_entries(context, seed, seconds):
    played = soak.run_seed(seed, float(seconds), MARGIN_S, entries=True)
    context.result = asyncio.run(played)


@behave.when(
    "the soak plays seed {seed:d} for {seconds:d} seconds of harmed paths between"
    " gateways"
)
def play_paths(context, seed, seconds):
    played = soak.run_seed(seed, float(seconds), PATHS_MARGIN_S, paths=True)
    context.result = asyncio.run(played)


@behave.when("the soak plays seed {seed:d} for {seconds:d} seconds of uneven engines")
def play_uneven(context, seed, seconds):
    played = soak.run_seed(seed, float(seconds), MARGIN_S, uneven=True)
    context.result = asyncio.run(played)


@behave.then("no promise was broken and most requests were served")
def kept(context):
    result = context.result
    assert not result.violations, result.violations[:5]
    assert result.faults > 5
    assert result.served > 0.8 * result.requests > 0
