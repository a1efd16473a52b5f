import datetime
import functools

import behave

from pimentolatch.decisions import client_memory


def seconds(number):
    return datetime.timedelta(seconds=number)


def hold(context, name, size, kind, since):
    if not hasattr(context, "memory"):
        context.memory = client_memory.ClientMemory(client_memory.LEAST_MACHINE_MB)
        context.ended = []
    end = functools.partial(context.ended.append, name)
    chosen = client_memory.Kind(kind)
    holding = context.memory.hold(chosen, seconds(since), end)
    context.memory.add(holding, int(size.replace(",", "")))
    return holding


@behave.given('room: "{name}" holds {size} bytes of a {kind} since {since:d} s')
@behave.given('room: "{name}" holds {size} bytes of an {kind} since {since:d} s')
def holds(context, name, size, kind, since):
    hold(context, name, size, kind, since)


@behave.given(
    "room: {count:d} others hold {size} bytes of {kind} each since {since:d} s"
)
def others_hold(context, count, size, kind, since):
    for number in range(count):
        hold(context, f"other-{number}", size, kind, since)


@behave.when('room: "{name}" asks for {size} bytes of an {kind} at {at:d} s')
def asks(context, name, size, kind, at):
    holding = hold(context, name, size, kind, at)
    context.memory.make_room(holding, seconds(at))


@behave.then('room: "{name}" has ended and nothing else')
def one_ended(context, name):
    assert context.ended == [name], context.ended


@behave.then("room: nothing has ended")
def none_ended(context):
    assert context.ended == [], context.ended
