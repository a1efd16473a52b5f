import datetime

import behave

from pimentolatch.decisions import engine_loads, stage_plan
from pimentolatch.routes import route_table, servers

NOW = datetime.timedelta(seconds=100)
SECOND = datetime.timedelta(seconds=1)
TICK = SECOND / 2
RATE = 50.0
TRAITS = route_table.EngineTraits(64, 500_000, 3 * SECOND)
# Until its streams have ended and it has changed, an engine serves nobody.
AWAY = 5 * SECOND


@behave.given("no prompt has been timed")
def none_timed(context):
    context.loads.prompts_observed = 0


@behave.when("{rate:d} tokens a second are to be read for {seconds:d} seconds")
def demand(context, rate, seconds):
    traits = route_table.EngineTraits(64, 500_000, 3 * SECOND)
    context.planned = []
    for tick in range(seconds * 2):
        at = NOW + tick * SECOND / 2
        limited = getattr(context, "limited_engines", frozenset())
        for change in context.planner.plan(
            context.loads, traits, 250.0, rate, 50.0, at, limited
        ):
            context.planned.append((at - NOW, change))
            context.planner.changed(change, at)


@behave.then("one of them is planned to {does} within 10 seconds")
def planned(context, does):
    at, change = context.planned[0]
    wanted = {"read": servers.Stage.PREFILL, "write": servers.Stage.DECODE}[does]
    assert change.stage is wanted and at <= 10 * SECOND, context.planned


@behave.then("no second one is planned while the first is away")
def no_second(context):
    at, _ = context.planned[0]
    assert not [p for p in context.planned[1:] if p[0] - at < 3 * SECOND]


@behave.then("nothing is planned")
def nothing_planned(context):
    assert not context.planned, context.planned


@behave.given("no prompt waits")
def nothing_waits(context):
    for engine in context.loads.all():
        engine.prefill_tokens[0] = 0.0


@behave.then("the first is planned to {does} within {seconds:d} seconds")
def first_planned(context, does, seconds):
    at, change = context.planned[0]
    wanted = {"read": servers.Stage.PREFILL, "write": servers.Stage.DECODE}[does]
    assert change.stage is wanted and at <= seconds * SECOND, context.planned


@behave.then("between {least:d} and {most:d} of them are planned to read at one moment")
def planned_at_once(context, least, most):
    first = context.planned[0][0]
    together = [change for at, change in context.planned if at == first]
    assert least <= len(together) <= most, context.planned
    assert len({change.engine for change in together}) == len(together)


def writers(context):
    engines = context.loads.all()
    return [e for e in engines if e.server.stage is servers.Stage.DECODE]


@behave.given("{count:d} of those that write fails")
@behave.given("{count:d} of those that write fail")
def writers_fail(context, count):
    for engine in writers(context)[:count]:
        engine.failures = 3
        engine.avoid_until = NOW + 60 * SECOND


@behave.given("{count:d} of those that write have broken off one exchange")
def writers_broke_off(context, count):
    for engine in writers(context)[:count]:
        context.loads.failed(engine, NOW)


@behave.given("{count:d} of those that write accept few requests and are nearly idle")
def writers_limited(context, count):
    limited = writers(context)[:count]
    for engine in limited:
        engine.streams = 1
    context.limited_engines = frozenset(e.server.incarnation for e in limited)


class Fleet:
    """Engines under a load, with the planner that moves them.

    Reading is a queue that all readers share; writing fills slots evenly.
    """

    def __init__(self, engines, reading):
        self.loads = engine_loads.EngineLoads()
        self.loads.prefill_rate = RATE
        self.loads.prompts_observed = 1000
        self.stages = {
            f"e{n}": servers.Stage.PREFILL if n < reading else servers.Stage.DECODE
            for n in range(engines)
        }
        self.away = {}
        self.queue = 0.0
        self.orders = []
        self.planner = stage_plan.StagePlanner()

    def serve(self, reading, writing, at):
        """Serve one tick of a load that keeps so many engines of each stage busy."""
        for name, until in list(self.away.items()):
            if at >= until:
                del self.away[name]
        self.loads.update(
            servers.Server(name, "lm", None, f"d{int(name[1:]) % 3}", False, stage, 64)
            for name, stage in self.stages.items()
        )
        served = {name for name in self.stages if name not in self.away}
        stages = {
            stage: [self.loads.get(n) for n in served if self.stages[n] is stage]
            for stage in servers.Stage
        }
        readers = stages[servers.Stage.PREFILL]
        asked = reading * RATE * 1000 * TICK.total_seconds()
        done = len(readers) * RATE * 1000 * TICK.total_seconds()
        # Clients leave after two seconds, and their prompts with them.
        self.queue = min(max(0.0, self.queue + asked - done), 4 * done)
        for engine in readers:
            engine.prefill_tokens[0] = self.queue / len(readers)
        for engine in stages[servers.Stage.DECODE]:
            engine.prefill_tokens[0] = 0.0
            engine.streams = round(64 * writing / len(stages[servers.Stage.DECODE]))
        for change in self.planner.plan(
            self.loads, TRAITS, 250.0, reading * RATE * 1000, RATE, at
        ):
            self.planner.changed(change, at)
            self.orders.append((at, change))
            self.stages[change.engine.server_id] = change.stage
            self.away[change.engine.server_id] = at + AWAY


@behave.given("a fleet of {engines:d} engines of which {reading:d} read")
def fleet(context, engines, reading):
    context.fleet = Fleet(engines, reading)


@behave.when(
    "its load asks for {reading:f} reading and {writing:f} writing engines"
    " for {seconds:d} seconds"
)
def load(context, reading, writing, seconds):
    for tick in range(seconds * 2):
        context.fleet.serve(reading, writing, NOW + tick * TICK)


@behave.when(
    "its load turns between {many:f} and {few:f} reading and {little:f} and {much:f}"
    " writing engines each {seconds:d} seconds"
)
def turning_load(context, many, few, little, much, seconds):
    for tick in range(120):
        turned = tick // (2 * seconds) % 2
        reading, writing = (few, much) if turned else (many, little)
        context.fleet.serve(reading, writing, NOW + tick * TICK)


@behave.then("between {least:d} and {most:d} engines read in the end")
def read_in_the_end(context, least, most):
    stages = list(context.fleet.stages.values())
    reading = stages.count(servers.Stage.PREFILL)
    assert least <= reading <= most, (reading, context.fleet.orders)


@behave.then("at most {count:d} changes were ordered")
def few_orders(context, count):
    assert len(context.fleet.orders) <= count, context.fleet.orders
