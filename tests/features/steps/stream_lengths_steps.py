import asyncio
import datetime
import math
import random
import unittest.mock

import behave

from pimentolatch import clock, results, settings
from pimentolatch.decisions import (
    engine_loads,
    placement,
    placement_types,
    stream_lengths,
)
from pimentolatch.requests import prompts
from pimentolatch.routes import route_table, servers
from tests.support import route_world

ROUTE = "draft"
SEED = 5
TOKENS_PER_EVENT = 9
# Standard deviations of logarithms: of the lengths, and of the clients' errors.
LENGTHS_SPREAD = 0.6
ERRORS_SPREAD = 0.5
MAX_TOKENS = 10**9
MS = datetime.timedelta(milliseconds=1)
NOW = datetime.timedelta(seconds=100)
TRAITS = route_table.EngineTraits(64, 500_000, datetime.timedelta(seconds=1))
# Observations after which the mean event gap has reached what is observed.
STEADY = 200


def expectation(rng, kind, events):
    """Return the tokens that a client expects of a stream."""
    tokens = TOKENS_PER_EVENT * events
    if kind == "accurate":
        return round(tokens)
    if kind == "often off":
        return round(tokens * rng.lognormvariate(0, ERRORS_SPREAD))
    if kind == "the same for all":
        return 1000
    return round(TOKENS_PER_EVENT * rng.lognormvariate(math.log(30), LENGTHS_SPREAD))


def observe(context, count, typical, kind, limit=None):
    if not hasattr(context, "lengths"):
        context.lengths = stream_lengths.StreamLengths()
        context.rng = random.Random(SEED)
    for _ in range(count):
        events = context.rng.lognormvariate(math.log(typical), LENGTHS_SPREAD)
        expected = expectation(context.rng, kind, events)
        whole = limit is None or events <= limit
        sent = max(1, round(events if whole else limit))
        context.lengths.observe(ROUTE, expected, sent, whole=whole)


@behave.given(
    "lengths: {count:d} streams of about {typical:d} events, with expectations that are"
    " {kind}"
)
def streams(context, count, typical, kind):
    observe(context, count, typical, kind)


@behave.given(
    "lengths: {count:d} streams of about {typical:d} events, cut at {limit:d}, with"
    " expectations that are {kind}"
)
def cut_streams(context, count, typical, limit, kind):
    observe(context, count, typical, kind, limit)


@behave.given("lengths: streams whose expectations and lengths are absurd")
def absurd_streams(context):
    context.lengths = stream_lengths.StreamLengths()
    rng = random.Random(SEED)
    for number in range(400):
        # Expectations that hardly differ, with lengths that differ much.
        expected = 101 - number % 2
        events = rng.choice([1, 10**6]) if number % 2 else 10**6
        whole = rng.random() < 0.5
        context.lengths.observe(ROUTE, expected, events, whole=whole)


@behave.then("lengths: the time for the stream can be computed for any expectation")
def computable(context):
    loads = engine_loads.EngineLoads()
    address = settings.Address.from_text("127.0.0.1:80")
    loads.update([servers.Server("d1", "lm", address, "here", False, None, 8)])
    engine = loads.get("d1")
    for _ in range(STEADY):
        loads.record_event_gap(engine, datetime.timedelta(hours=1), NOW)
    for expected in (0, 1, 1000, MAX_TOKENS):
        events = context.lengths.required_events(ROUTE, expected)
        assert engine.pace.stream_time(events, NOW) >= datetime.timedelta(), expected


@behave.then("lengths: nothing is predicted")
def nothing_predicted(context):
    assert context.lengths.required_events(ROUTE, 270) == 0.0


@behave.then(
    "lengths: {tokens:d} expected tokens need time for {low:d} to {high:d} events"
)
def predicted(context, tokens, low, high):
    found = context.lengths.required_events(ROUTE, tokens)
    assert low <= found <= high, found


@behave.given(
    "lengths: a near engine with {near:d} ms between events and a far one with {far:d}"
    " ms"
)
def two_engines(context, near, far):
    address = settings.Address.from_text("127.0.0.1:80")
    stage = servers.Stage.DECODE
    context.loads, context.now = engine_loads.EngineLoads(), NOW
    context.loads.update(
        servers.Server(name, "lm", address, domain, False, stage, 8)
        for name, domain in (("near", "here"), ("far", "there"))
    )
    for name, gap in (("near", near), ("far", far)):
        engine = context.loads.get(name)
        for _ in range(STEADY):
            context.loads.record_event_gap(engine, gap * MS, NOW)
    context.loads.speeds.uneven = False


@behave.when("lengths: {seconds:d} seconds pass")
def pass_time(context, seconds):
    context.now += datetime.timedelta(seconds=seconds)


def place_prompt(context, tokens, events, due):
    prompt = prompts.Prompt("m", tokens, 500, 500, (prompts.Part("own", tokens),))
    request = placement_types.PlacementRequest(
        prompt,
        0,
        False,
        time_to_target=1000 * MS,
        time_to_deadline=4000 * MS,
        jitter=0.5,
        required_events=events,
        time_to_end=due * MS,
    )
    chooser = placement.Placement(context.loads, "here")
    context.place = chooser.choose(request, TRAITS, context.now)


@behave.when(
    "lengths: a stream of {events:d} events is placed that is due in {due:d} ms"
)
def place(context, events, due):
    place_prompt(context, 100, events, due)


@behave.when(
    "lengths: an engine is chosen for {events:d} events that are due in {due:d} ms"
)
def choose_decode_engine(context, events, due):
    prompt = prompts.Prompt("m", 100, 500, 500, (prompts.Part("own", 100),))
    prefill_engine = context.loads.get("near")
    context.chosen = placement.Placement(context.loads, "here").choose_decode_engine(
        prompt,
        prefill_engine,
        TRAITS,
        context.now,
        required_events=events,
        time_to_end=due * MS,
    )


@behave.then("lengths: it is the {name} engine")
def is_engine(context, name):
    assert context.chosen.server.server_id == name


@behave.then("lengths: it goes to the {name} engine")
def goes_to(context, name):
    assert isinstance(context.place, placement_types.Colocated), context.place
    assert context.place.engine.server.server_id == name


@behave.then("lengths: it is refused, with a time to come back")
def refused(context):
    assert isinstance(context.place, placement_types.Infeasible), context.place
    assert context.place.retry_after > datetime.timedelta()


@behave.given(
    "lengths: an instance with an engine that sends an event every {pause_ms:d} ms"
)
def instance(context, pause_ms):
    context.world = route_world.RouteWorld()
    context.route_runner = route_world.runner()

    async def start():
        world = context.world
        await world.start_store()
        await world.configure(1)
        context.engine = await world.add_server("d1", "lm", stage="decode")
        context.engine.event_pause_s = pause_ms / 1000
        context.instance = await world.add_instance()

    context.route_runner.run(start())


@behave.given("lengths: a prefill engine")
def prefill_engine(context):
    address = settings.Address.from_text("127.0.0.1:80")
    listed = [engine.server for engine in context.loads.all()]
    stage = servers.Stage.PREFILL
    reader = servers.Server("reader", "lm", address, "here", False, stage, 8)
    context.loads.update([*listed, reader])


@behave.when(
    "lengths: a stream of {events:d} events with a prompt of {tokens:d} tokens is due"
    " in {due:d} ms"
)
def place_long_prompt(context, events, tokens, due):
    place_prompt(context, tokens, events, due)


@behave.then("lengths: its stream goes to the {name} engine")
def decoded_at(context, name):
    assert isinstance(context.place, placement_types.Disaggregated), context.place
    assert context.place.engine.server.server_id == name


async def ask(context, request_id, events):
    """Ask for a stream of so many events."""
    tokens = str(TOKENS_PER_EVENT * events)
    return await context.world.ask(
        ROUTE, request_id, x_length_hint=tokens, x_token_counts="100,2000"
    )


@behave.given("lengths: it has served 24 streams of 4 to 40 events, as expected")
def served(context):
    async def serve():
        for group in range(4):
            events = 4 + 12 * group
            context.engine.event_count = events
            replies = await asyncio.gather(
                *(ask(context, f"first-{group}-{n}", events) for n in range(6))
            )
            assert all(reply.complete for reply in replies), replies

    context.route_runner.run(serve())


@behave.when("lengths: the limit of their route is lowered to {limit:d} ms")
def lower(context, limit):
    context.route_runner.run(context.world.limit_routes(context.instance, 2, limit))


@behave.when("lengths: clients ask for 6 streams of 60 events and for 6 of 5 events")
def ask_both(context):
    async def ask_all(prefix, events):
        context.engine.event_count = events
        asked = (ask(context, f"{prefix}-{n}", events) for n in range(6))
        return await asyncio.gather(*asked)

    async def ask_in_turn():
        # The short ones show the present pace of the engine.
        context.short = await ask_all("short", 5)
        context.long = await ask_all("long", 60)

    context.route_runner.run(ask_in_turn())


@behave.then("lengths: the short ones are answered whole")
def short_whole(context):
    assert all(r.status == 200 and r.complete for r in context.short), context.short


@behave.then("lengths: the long ones are refused, and no engine got them")
def long_refused(context):
    code = str(int(results.ResultCode.OVERLOADED))
    for reply in context.long:
        assert reply.status == 503, reply
        assert reply.fields[results.RESULT_HEADER.lower()] == code, reply
        assert float(reply.fields["retry-after"]) > 0
    ran = [context.engine.count_runs(f"long-{n}") for n in range(6)]
    assert not any(ran), ran


async def ask_expecting(context, request_id, tokens, events):
    """Ask for a stream of so many events with an expectation of its own."""
    context.engine.event_count = events
    return await context.world.ask(
        ROUTE, request_id, x_length_hint=str(tokens), x_token_counts="100,2000"
    )


@behave.given(
    "lengths: it has served streams of 5 to 20 events whose clients expected 1000 to"
    " 1003"
)
def served_alike(context):
    async def serve():
        for group in range(4):
            replies = await asyncio.gather(
                *(
                    ask_expecting(
                        context, f"alike-{group}-{n}", 1000 + group, 5 + 5 * group
                    )
                    for n in range(8)
                )
            )
            assert all(reply.complete for reply in replies), replies

    context.route_runner.run(serve())


@behave.when(
    "lengths: clients that expect 1200, 2000, 1000000000 and 1 ask for 10 events"
)
def ask_far_off(context):
    async def ask_all():
        context.replies = {}
        for tokens in (1200, 2000, 1_000_000_000, 1):
            # Shows the present pace of the engine.
            await ask_expecting(context, f"pace-{tokens}", 1001, 10)
            reply = await ask_expecting(context, f"far-{tokens}", tokens, 10)
            context.replies[tokens] = reply.status, reply.complete

    context.route_runner.run(ask_all())


@behave.then("lengths: each is answered whole, or refused as not run")
def answered_or_refused(context):
    wrong = {
        tokens: reply
        for tokens, reply in context.replies.items()
        if reply not in ((200, True), (503, True))
    }
    assert not wrong, wrong


@behave.when("lengths: a client leaves within a stream of 40 events")
def client_leaves(context):
    context.observed = []

    def observe(lengths, route, expected_tokens, events, *, whole):
        context.observed.append((route, expected_tokens, events, whole))

    replaced = unittest.mock.patch.object(
        stream_lengths.StreamLengths, "observe", observe
    )

    async def leave():
        context.engine.event_count = 40
        reader, writer = await context.world.connect()
        writer.write(
            route_world.request(
                ROUTE, "leaves", x_length_hint="360", x_token_counts="100,2000"
            )
        )
        await reader.readuntil(b"id: 5\n")
        writer.close()
        await context.world.until(lambda: not context.engine.running)

    with replaced:
        context.route_runner.run(leave())


@behave.then("lengths: no length was learned")
def nothing_learned(context):
    assert not context.observed, context.observed


@behave.given("lengths: it sends 5 events at a time")
def several_at_a_time(context):
    event = "id: {number}DIGIT\ndata: {mark}piece {number}\n\n"
    events = (event.replace("DIGIT", str(n)) for n in range(5))
    context.engine.event_format = "".join(events)


@behave.when("lengths: a stream is read to its end")
def read_whole(context):
    async def read():
        # Each sends 16 times, so that the mean has settled.
        context.engine.event_count = 16
        asked = (
            context.world.ask(ROUTE, f"settle-{n}", x_token_counts="100,2000")
            for n in range(6)
        )
        replies = await asyncio.gather(*asked)
        assert all(reply.complete for reply in replies), replies
        context.last_read_at = clock.SystemClock().monotonic()

    context.route_runner.run(read())


@behave.then("lengths: its pace is known as {low:d} to {high:d} ms")
def pace_known(context, low, high):
    engine = context.instance.fleet.loads("lm").get("d1")
    pace = engine.pace.stream_time(1, context.last_read_at) / MS
    assert low <= pace <= high, pace
