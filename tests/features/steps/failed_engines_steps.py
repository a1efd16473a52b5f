import datetime

import behave

from pimentolatch.decisions import engine_loads
from pimentolatch.routes import servers

NOW = datetime.timedelta(seconds=100)


def after(seconds):
    return NOW + datetime.timedelta(seconds=seconds)


def break_off(loads, engine, count, begin_s, end_s):
    for number in range(count):
        at = begin_s + (end_s - begin_s) * number / count
        loads.failed(engine, after(at))


@behave.given("failed: two engines that decode")
def two_engines(context):
    context.loads = engine_loads.EngineLoads()
    context.loads.update(
        servers.Server(name, "lm", None, "here", False, servers.Stage.DECODE, 8)
        for name in ("first", "second")
    )
    context.first = context.loads.get("first")


@behave.when("failed: the first breaks off {count:d} exchanges within {span:f} seconds")
def at_once(context, count, span):
    break_off(context.loads, context.first, count, 0.0, span)


@behave.when(
    "failed: the first breaks off {count:d} exchanges"
    " from {begin:f} to {end:f} seconds later"
)
def again(context, count, begin, end):
    break_off(context.loads, context.first, count, begin, end)


@behave.when("failed: a request is sent to the first {seconds:f} seconds later")
def sent(context, seconds):
    assert context.first in usable(context, seconds)
    context.first.streams += 1


@behave.when("failed: the first sends two events")
def events(context):
    context.loads.observe_event_gap(context.first, datetime.timedelta(seconds=0.07))


@behave.then("failed: the first is left out {seconds:f} seconds later")
def left_out(context, seconds):
    names = [engine.server.server_id for engine in usable(context, seconds)]
    assert names == ["second"], names


@behave.then("failed: the first is used {seconds:f} seconds later")
def used(context, seconds):
    names = [engine.server.server_id for engine in usable(context, seconds)]
    assert names == ["first", "second"], names


def usable(context, seconds):
    return context.loads.usable(servers.Stage.DECODE, after(seconds), ())


@behave.given(
    "{count:d} of those that write have broken off {number:d} exchanges at once"
)
def writers_broke_off(context, count, number):
    for engine in decoding(context)[:count]:
        break_off(context.loads, engine, number, 0.0, 0.2)


@behave.given(
    "{count:d} of those that write have broken off another one"
    " {seconds:f} seconds later"
)
def writers_broke_off_again(context, count, seconds):
    for engine in decoding(context)[:count]:
        context.loads.failed(engine, after(seconds))


def decoding(context):
    engines = context.loads.all()
    return [e for e in engines if e.server.stage is servers.Stage.DECODE]
