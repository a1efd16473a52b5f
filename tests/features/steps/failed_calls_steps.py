import datetime

import behave

from pimentolatch.decisions import server_choice
from pimentolatch.routes import servers

NOW = datetime.timedelta(seconds=100)


def after(seconds):
    return NOW + datetime.timedelta(seconds=seconds)


@behave.given("calls: two plain servers")
def two_servers(context):
    context.choice = server_choice.ServerChoice("here")
    context.listed = [
        servers.Server(name, "app", None, "here", False, None, 8)
        for name in ("first", "second")
    ]


@behave.when("calls: the first fails {count:d} calls from {begin:f} to {end:f} seconds")
def fails(context, count, begin, end):
    first = context.listed[0]
    for _ in range(count):
        context.choice.begin(first)
    for number in range(count):
        at = after(begin + (end - begin) * number / count)
        context.choice.end(first, at, failed=True)


@behave.then("calls: the first is left out after {seconds:f} seconds")
def left_out(context, seconds):
    assert usable(context, seconds) == ["second"]


@behave.then("calls: the first is used after {seconds:f} seconds")
def used(context, seconds):
    assert usable(context, seconds) == ["first", "second"]


def usable(context, seconds):
    found = context.choice.usable(context.listed, after(seconds))
    return [server.server_id for server in found]
