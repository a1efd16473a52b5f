import collections
import dataclasses
import datetime
import types

import behave

from pimentolatch import settings as own_settings
from pimentolatch import validation
from pimentolatch.decisions import (
    engine_loads,
    placement,
    placement_types,
    prefix_affinity,
    server_speeds,
    urgency,
)
from pimentolatch.gateway import fleet_state, settings
from pimentolatch.gateway.peers import speed_exchange
from pimentolatch.protocol import beacon_codec, beacons
from pimentolatch.requests import prompts
from pimentolatch.routes import servers
from tests.support import fleet_parts, fleet_world

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
START = datetime.timedelta(seconds=100)
UNEVEN = fleet_parts.Speeds((0.7, 0.7, 1.7), 0.15, 2.5)
EQUAL = fleet_parts.Speeds((1.0,), 0.15, 2.5)
RATES = (46.0, 46.0, 112.0)
TRIED = 9
MAX_EXTRA_BYTES = 120


def kinds(share):
    """Return the routes with their requests a second, a share of those of an engine."""
    return (
        fleet_parts.RequestKind(
            "briefing", 1.0 * share, 4870, 430, 4000, 380, 2, 600.0
        ),
        fleet_parts.RequestKind("caption", 1.7 * share, 200, 400, 500, 290, 1, 250.0),
        fleet_parts.RequestKind("flag", 1.7 * share, 570, 400, 1200, 24, 0, 300.0),
    )


@behave.given(
    "speeds: {instances:d} instances in {domains:d} domains before {engines:d} "
    "engines, {reading:d} of which read"
)
def replayed_fleet(context, instances, domains, engines, reading):
    # One slow engine that reads, with an empty cache, takes the load of two engines.
    context.kinds = kinds(min(engines, 2 * reading) if reading == 1 else engines)
    context.speeds = UNEVEN
    context.prepare = lambda fleet: None
    context.new_fleet = lambda seed, ratio: fleet_world.FleetSimulation(
        domains,
        instances // domains,
        engines,
        reading,
        seed,
        context.speeds,
        ratio,
    )


@behave.given("speeds: all engines are equally fast")
def equally_fast(context):
    context.speeds = EQUAL


@behave.given("speeds: one instance reports all engines the wrong way round")
def false_reports(context):
    def prepare(fleet):
        liar = next(iter(fleet.instances.values()))
        true_rows = liar.speed_exchange.rows

        def rows(*arguments, **options):
            return tuple(
                dataclasses.replace(
                    row,
                    prefill_rate=4_000_000_000 // max(1, row.prefill_rate),
                    event_gap_us=4_000_000_000 // max(1, row.event_gap_us),
                    samples=1_000_000,
                )
                for row in true_rows(*arguments, **options)
            )

        liar.speed_exchange.rows = rows

    context.prepare = prepare


@behave.when(
    "speeds: sessions ask for {seconds:d} seconds, drawn by {seed:d}, "
    "with speeds on and off"
)
def sessions_ask(context, seconds, seed):
    context.fleets = []
    for ratio in (server_speeds.DEFAULT_RATIO, None):
        fleet = context.new_fleet(seed, ratio)
        context.prepare(fleet)
        fleet.run(context.kinds, seconds)
        context.fleets.append(fleet)


@behave.then(
    "speeds: at most {share:g} times as many answers are late with speeds on, and "
    "none is refused for it"
)
def fewer_late(context, share):
    on, off = context.fleets
    assert off.late_answers >= off.done.total() / 10, off.late_answers
    late = on.late_answers, off.late_answers
    assert on.late_answers <= share * off.late_answers, late
    # A refusal shows up in a few requests of thousands, more or less by chance.
    refused = on.refused.total(), off.refused.total()
    assert on.refused.total() <= off.refused.total() + on.done.total() / 100, refused


@behave.then("speeds: every answer is the same with speeds on and off")
def same_answers(context):
    on, off = context.fleets
    assert on.done.total() > 50
    assert on.outcomes == off.outcomes
    assert on.first_event_times == off.first_event_times
    assert on.late_answers == off.late_answers


def server(number, started_ms=1, stage=servers.Stage.PREFILL):
    address = own_settings.Address.from_text(f"10.0.0.{number}:80")
    return servers.Server(
        f"engine-{number}", "lm", address, "d0", False, stage, 64, started_ms=started_ms
    )


@behave.given("speeds: an engine whose events come every {gap:d} ms")
def steady_events(context, gap):
    context.engine = engine_loads.EngineLoad(server(0))
    context.loads, context.now = engine_loads.EngineLoads(), START
    record_gaps(context, gap, 8 * SECOND)


def record_gaps(context, gap, span):
    until = context.now + span
    while context.now < until:
        context.now += gap * MS
        context.loads.record_event_gap(context.engine, gap * MS, context.now)


@behave.when("speeds: its events come every {gap:d} ms for {span:d} ms")
def slow_spell(context, gap, span):
    record_gaps(context, gap, span * MS)


@behave.then("speeds: its event gap is from {low:d} to {high:d} ms")
def gap_is(context, low, high):
    found = context.engine.speed.own(context.now).gap_ms
    assert low <= found <= high, found


@behave.given("speeds: two engines read, and engines {differ}")
def two_readers(context, differ):
    context.loads, context.now = engine_loads.EngineLoads(), START
    writer = server(2, stage=servers.Stage.DECODE)
    context.loads.update([server(0), server(1), writer])
    context.loads.speeds.uneven = differ == "differ"


@behave.when(
    "speeds: the first has {long:d} less urgent tokens to read and the second {short:d}"
    " as urgent ones"
)
def tokens_ahead(context, long, short):
    context.loads.get("engine-0").prefill_tokens[urgency.LEVELS - 1] = long
    context.loads.get("engine-1").prefill_tokens[0] = short


@behave.then("speeds: an urgent prompt goes to the {which}")
def goes_to(context, which):
    part = prompts.Part("own", 600)
    prompt = prompts.Prompt("m", 600, 10, 10, (part,))
    request = placement_types.PlacementRequest(
        prompt, 0, False, 2 * SECOND, 5 * SECOND, 0.5
    )
    chooser = placement.Placement(context.loads, "d0")
    traits = fleet_parts.TRAITS
    # No prompt of this size is read where others are written.
    context.loads.partial_view = True
    place = chooser.choose(request, traits, context.now)
    expected = {"first": "engine-0", "second": "engine-1"}[which]
    assert place.prefill_engine.server.server_id == expected, place


@behave.given("speeds: an engine that reads {rate:d} tokens a ms")
def steady_reader(context, rate):
    context.loads, context.now, context.rate = engine_loads.EngineLoads(), START, rate
    context.loads.update([server(0)])
    context.engine = context.loads.get("engine-0")


@behave.when(
    "speeds: {count:d} prompts are read there, two of three after a wait of {wait:d} ms"
)
def read_after_wait(context, count, wait):
    for number in range(count):
        tokens = 2500 + 500 * number
        took = tokens / context.rate + context.loads.overhead_ms
        took += wait if number % 3 else 0.0
        context.now += 2 * SECOND
        context.loads.record_prefill(
            context.engine, tokens, took * MS, 0.0, context.now
        )


@behave.then("speeds: its rate is from {low:d} to {high:d} tokens a ms")
def rate_is(context, low, high):
    context.engine.speed.refresh(context.now)
    assert low <= context.engine.speed.rate <= high, context.engine.speed.rate


@behave.when("speeds: the engine starts anew")
def starts_anew(context):
    assert context.engine.speed.own(context.now).rate > 0
    context.loads.update([server(0, started_ms=2)])
    context.engine = context.loads.get("engine-0")


@behave.when("speeds: {minutes:d} minutes pass")
def minutes_pass(context, minutes):
    context.engine.speed.refresh(context.now)
    assert context.engine.speed.rate > 0
    context.now += datetime.timedelta(minutes=minutes)


@behave.then("speeds: nothing is known of its speed")
def nothing_known(context):
    context.engine.speed.refresh(context.now)
    assert context.engine.speed.rate == 0, context.engine.speed.rate
    assert context.engine.speed.own(context.now).rate == 0


@behave.given(
    "speeds: 9 engines that read 46, 46 and 112 tokens a ms in turn, and one not tried"
)
def nine_engines(context):
    learn(context, RATES, [40 * RATES[0] / rate for rate in RATES])
    assert context.loads.speeds.uneven, context.loads.speeds.spread


@behave.given("speeds: 9 engines that read 46 tokens a ms, a third of them after waits")
def nine_waiting(context):
    learn(context, (46.0, 46.0, 20.0), (40.0, 42.0, 44.0))


def learn(context, rates_shown, gaps):
    context.fleet = fleet_state.FleetState()
    context.fleet.replace_servers(1, [server(n) for n in range(TRIED + 1)])
    context.loads = context.fleet.loads("lm")
    context.engines = list(context.loads.all())
    context.exchange = speed_exchange.SpeedExchange(context.fleet, "d0")
    context.now = START
    for round_number in range(12):
        context.now += SECOND
        for number, engine in enumerate(context.engines[:TRIED]):
            tokens = 3000 + 100 * round_number
            took = tokens / rates_shown[number % 3] + context.loads.overhead_ms
            context.loads.record_prefill(engine, tokens, took * MS, 0.0, context.now)
            gap = gaps[number % 3] * MS
            context.loads.record_event_gap(engine, gap, context.now)
    later(context)


@behave.then("speeds: their speeds don't count and two are reported in a second")
def do_not_count(context):
    found = [engine.speed.rate for engine in context.engines[:TRIED]]
    assert max(found) > 1.5 * min(found) > 0, found
    assert not context.loads.speeds.uneven
    assert set(rates(context)) == {context.loads.prefill_rate}
    sent = [
        len(context.exchange.rows("lm", (), context.now, of_domain=False))
        for _ in range(2)
    ]
    assert sent == [2, 0], sent


def later(context):
    for _ in range(2):
        context.now += 3 * SECOND
        context.loads.refresh_speeds(context.now)


def rates(context):
    return [context.loads.prefill_rate_of(engine) for engine in context.engines]


@behave.then("speeds: the one not tried is taken to read {rate:d} tokens a ms")
def typical(context, rate):
    later(context)
    found = rates(context)[-1]
    assert abs(found - rate) < 0.05 * rate, rates(context)


def report(context, sender, domain, number, rate):
    engine = context.engines[number].server.incarnation
    row = beacons.ServerSpeed(engine, round(1000 * rate), 0, 1_000_000)
    demand = beacons.Demand("lm", 0, 0, 0, (row,))
    head = (sender, domain, "life", 1, 1, False, (), ())
    sent = beacons.Beacon(*head, demands=(demand,))
    received = beacon_codec.decode(beacon_codec.encode(sent))
    assert received.demands == (demand,)
    context.exchange.receive(received, context.now, partial_view=True)


@behave.when(
    "speeds: a peer reports a rate of {rate:g} tokens a ms for the first of them"
)
def absurd_report(context, rate):
    context.before = rates(context)
    report(context, "broken", "d0", 0, rate)


@behave.when(
    "speeds: a peer reports a rate of {rate:g} tokens a ms for the one not tried"
)
def false_report(context, rate):
    report(context, "broken", "d0", TRIED, rate)


@behave.when(
    "speeds: {count:d} peers report a rate of {rate:d} tokens a ms for the one "
    "not tried"
)
def true_reports(context, count, rate):
    for number in range(count):
        report(context, f"sound-{number}", "d0", TRIED, rate)


@behave.when(
    "speeds: another domain reports a rate of {rate:d} tokens a ms for the one "
    "not tried"
)
def domain_report(context, rate):
    report(context, "far", "d1", TRIED, rate)


@behave.then("speeds: the rates of all are as before")
def as_before(context):
    later(context)
    assert rates(context) == context.before, (rates(context), context.before)


@behave.then(
    "speeds: neither its own beacons nor those of its domain report the one not tried"
)
def not_passed_on(context):
    later(context)
    untried = context.engines[TRIED]
    assert untried.speed.rate > 0
    named = {engine.server.incarnation for engine in context.engines}
    for of_domain in (False, True):
        for _ in range(3):
            context.now += SECOND
            sent = context.exchange.rows("lm", named, context.now, of_domain=of_domain)
            assert sent
            assert untried.server.incarnation not in {row.server for row in sent}


@behave.when("speeds: {count:d} beacons are sent that name {named:d} of the engines")
def send_beacons(context, count, named):
    context.sent = []
    loads = tuple(
        beacons.Load(engine.server.incarnation, (100,), 1, 1000)
        for engine in context.engines[:named]
    )
    head = ("one", "d0", "life", 1, 1, False, (), ())
    for _ in range(count):
        context.now += SECOND
        found = context.exchange.rows(
            "lm", {load.engine for load in loads}, context.now, of_domain=False
        )
        sizes = [
            len(
                beacon_codec.encode(
                    beacons.Beacon(
                        *head,
                        loads=loads,
                        demands=(beacons.Demand("lm", 0, 0, 0, rows),),
                    )
                )
            )
            for rows in (found, ())
        ]
        context.sent.append(
            types.SimpleNamespace(rows=found, extra=sizes[0] - sizes[1])
        )


@behave.then("speeds: each has at most 8 rows and is at most 120 bytes longer for them")
def bounded(context):
    for item in context.sent:
        assert 0 < len(item.rows) <= 8, item
        assert item.extra <= MAX_EXTRA_BYTES, item


@behave.then("speeds: each engine that was tried is reported")
def all_reported(context):
    reported = {row.server for item in context.sent for row in item.rows}
    tried = {engine.server.incarnation for engine in context.engines[:TRIED]}
    assert reported == tried, tried - reported


@behave.when("speeds: {count:d} sessions are ranked")
def rank_sessions(context, count):
    context.homes = collections.Counter()
    for number in range(count):
        parts = (prompts.Part(f"s{number}", 4000), prompts.Part(f"o{number}", 500))
        prompt = prompts.Prompt("m", 4500, 100, 100, parts)
        ranking = prefix_affinity.rank(
            prompt, context.engines[:TRIED], context.loads.prefill_rate, by_speed=True
        )
        context.homes[ranking.preferred.server.server_id] += 1


@behave.then(
    "speeds: a fast engine is home to {low:g} to {high:g} times as many sessions as "
    "a slow one"
)
def more_homes(context, low, high):
    fast = sum(context.homes[f"engine-{n}"] for n in range(TRIED) if n % 3 == 2) / 3
    slow = sum(context.homes[f"engine-{n}"] for n in range(TRIED) if n % 3 != 2) / 6
    assert low <= fast / slow <= high, context.homes


@behave.when("speeds: the settings have a ratio of {ratio}")
def settings_with(context, ratio):
    context.checked = validation.check_text(
        settings.BalanceSettings, f'{{"speed_ratio": {ratio}}}'
    )


@behave.then("speeds: they are {verdict}")
def verdict_is(context, verdict):
    if verdict == "accepted":
        assert isinstance(context.checked, settings.BalanceSettings), context.checked
        return
    assert isinstance(context.checked, validation.Problems)
    assert "speed_ratio" in str(context.checked), str(context.checked)
