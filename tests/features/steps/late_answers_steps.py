import datetime

import behave
import logbook

from pimentolatch.decisions import lateness
from pimentolatch.routes import notices

MS = datetime.timedelta(milliseconds=1)
TARGETS = lateness.Targets(400 * MS, 100 * MS)
SLOW_S = 0.5
REST_S = 0.5


@behave.given("lateness: a stream that went through {phases}")
def went_through(context, phases):
    context.now = 0 * MS
    context.timeline = lateness.Timeline(context.now)
    for part in phases.split(", "):
        if part == "failed":
            context.timeline.dispatch_failed(context.now)
            continue
        name, took = part.split()
        took, _, own = took.partition("/")
        phase = lateness.Phase[name.upper()]
        context.timeline.enter(phase, context.now, int(own or 0) * MS)
        context.now += int(took) * MS
    context.timeline.answered(context.now)


@behave.when("lateness: its events follow after {gaps}")
def events_follow(context, gaps):
    for gap in gaps.split(", "):
        length, *rest = gap.split()
        if rest == ["failed"]:
            context.timeline.dispatch_failed(context.now)
        elif rest:
            context.timeline.written(context.now + int(rest[1]) * MS)
        context.now += int(length) * MS
        context.timeline.answered(context.now)
        context.timeline.written(context.now)


@behave.then('lateness: its cause is "{cause}", {over:d} ms over')
def cause_is(context, cause, over):
    expected = lateness.Lateness(lateness.Cause(cause), over * MS)
    assert context.timeline.lateness(TARGETS) == expected, context.timeline.lateness(
        TARGETS
    )


@behave.then("lateness: it is in time")
def in_time(context):
    assert context.timeline.lateness(TARGETS) is None


def cause_trouble(world, trouble):
    """Make the servers slow in one way."""
    _, instance = world.instances["one"]
    loads = instance.fleet.loads("lm").all()
    if trouble != "no engine accepts requests":
        for engine in loads:
            if engine.server.server_id == "d1":
                # It seems busy with prefills, so that prompts go to the other engine.
                engine.prefill_tokens[0] += 5000
    if trouble == "the prefill engine is slow":
        world.servers["p1"].faults.append("slow")
    elif trouble == "the transfer is slow":
        world.servers["d1"].faults.append("slow")
    elif trouble == "the first event is slow":
        world.servers["d1"].first_event_delay_s = SLOW_S
    elif trouble == "the stream pauses":
        world.servers["d1"].event_pause_s = SLOW_S
        world.servers["d1"].event_count = 2
    elif trouble == "no engine accepts requests":
        rest = notices.Notice(rest=datetime.timedelta(seconds=REST_S))
        for engine in loads:
            now = datetime.timedelta()
            instance.flow.observe(engine.server, rest, now, "request")
    elif trouble == "the plain server is slow":
        for name in ("a1", "a2"):
            world.servers[name].faults.append("slow")
    elif trouble == "the first plain server is silent":
        world.servers["a1"].faults.append("silent")
    else:
        assert trouble == "nothing is slow", trouble


@behave.when('lateness: a client asks for "{route}" while {trouble}')
def ask_while(context, route, trouble):
    world = context.world
    cause_trouble(world, trouble)
    log = logbook.TestHandler()
    with log.applicationbound():
        context.reply = context.run(world.ask(route, "r1"))
        context.run(world.until(lambda: answered(log)))
    context.log = log
    assert context.reply.status == 200 and context.reply.complete, context.reply


def answered(log):
    return any(record.message == "answered" for record in log.records)


def late_counts(context):
    found = context.run(context.world.ask_metrics())
    return {
        name: value
        for name, value in found.items()
        if name.startswith("pimentolatch_late_answers_total")
    }


@behave.then(
    'lateness: one answer on "{route}" is reported late for "{cause}", '
    "with its customer and servers"
)
def reported_late(context, route, cause):
    (record,) = (item for item in context.log.records if item.message == "late")
    fields = record.kwargs
    assert (fields["route"], fields["cause"]) == (route, cause), fields
    assert "customer" in fields
    expected = {"digest": ("p1", "d1")}.get(route, (None, fields["writer"]))
    if cause != "held":
        assert (fields["reader"], fields["writer"]) == expected, fields
    assert fields["writer"] in context.world.servers, fields
    name = f'pimentolatch_late_answers_total{{cause="{cause}",route="{route}"}}'
    assert late_counts(context) == {name: 1}, late_counts(context)


@behave.then("lateness: no answer is reported late")
def none_late(context):
    assert not [item for item in context.log.records if item.message == "late"]
    assert late_counts(context) == {}
