import asyncio
import dataclasses
import datetime

import behave

from pimentolatch.platform import http_headers
from pimentolatch.routes import notices

DRAIN_S = 2.0
REST_S = 3.0
# What was under way when the server asked for the rest may still arrive.
UNDER_WAY_S = 0.5
CHOSEN = ("p1", "d1", "a1")
NOTICES = {
    "says that it leaves": notices.Notice(leaving=True),
    "asks for a rest": notices.Notice(rest=datetime.timedelta(seconds=30)),
    "names a limit of 0": notices.Notice(notices.RateLimit(0.0)),
}


@behave.when('notices: "{name}" says that it leaves')
def says_leaving(context, name):
    context.world.servers[name].notices[:] = [(b"Server-Leaving", b"1")]


@behave.when('notices: "{name}" declines and asks for "{seconds}" seconds of rest')
def asks_for_rest(context, name, seconds):
    context.world.servers[name].retry_after = seconds


@behave.when("notices: the store is away")
def store_away(context):
    context.run(context.world.stop_store())


@behave.when("notices: a reader, a writer and a plain server say that they leave")
def some_leave(context):
    for name in CHOSEN:
        says_leaving(context, name)


@behave.when(
    "notices: a reader, a writer and a plain server decline and ask for 3 s of rest"
)
def some_rest(context):
    for name in CHOSEN:
        asks_for_rest(context, name, str(REST_S))


@behave.then("notices: {leaving:d} leaving and {resting:d} resting servers are counted")
def counted(context, leaving, resting):
    found = context.run(context.world.ask_metrics("i1"))
    assert found["pimentolatch_leaving_servers"] == leaving, found
    assert found["pimentolatch_resting_servers"] == resting, found


@behave.then(
    'notices: the log tells of "{one}" "{what}" "{value}" and of "{two}" "{w}" "{v}"'
)
def logged(context, one, what, value, two, w, v):
    lines = {
        (record.kwargs["server"], record.kwargs["what"], record.kwargs["value"])
        for record in context.log.records
        if record.message == "server notice"
    }
    assert {(one, what, value), (two, w, v)} <= lines, lines


def by_sender(context, pairs):
    """Return the times of some requests by the instance that sent them."""
    found = {}
    for request_id, at in pairs:
        found.setdefault(context.senders[request_id], []).append(at)
    return found


@behave.then("notices: none of these gets a request 2 s after an answer said so")
def none_late(context):
    late = {}
    for name in CHOSEN:
        server = context.world.servers[name]
        told = by_sender(context, [(i, at) for i, at in server.notified if i])
        # Some learn it as they ask whether the server reads, and send it nothing.
        assert server.notified, name
        requests = [
            (item.fields["x-request-id"], at)
            for item, at in zip(server.received, server.arrival_times, strict=True)
            if item.kind in ("prefill", "run")
        ]
        for sender, times in by_sender(context, requests).items():
            first = min(told.get(sender, [float("inf")]))
            late[name] = late.get(name, 0) + sum(at > first + DRAIN_S for at in times)
    assert not any(late.values()), late


@behave.then(
    "notices: none of these gets over {most:d} requests of an instance "
    "in its rest of 3 s"
)
def rests(context, most):
    found = {}
    for name in CHOSEN:
        server = context.world.servers[name]
        assert server.declined, name
        for times in by_sender(context, server.declined).values():
            for asked in times:
                n = sum(asked + UNDER_WAY_S < at < asked + REST_S for at in times)
                found[name] = max(found.get(name, 0), n)
    assert max(found.values()) <= most, found


@behave.then('notices: with status {status:d} the header fields "{fields}" tell {what}')
def tells(context, status, fields, what):
    text = fields.replace("400 digits", "9" * 400)
    pairs = [field.strip().split(":") for field in text.split(", ")]
    raw = [(name.encode(), value.strip().encode()) for name, value in pairs]
    notice = http_headers.parse_response_headers(raw, status).notice
    found = ["leaving"] * notice.leaving
    if notice.rest is not None:
        found.append(f"rest {notice.rest.total_seconds()}")
    found += [f"unreadable {field.value}" for field in notice.unreadable]
    assert (found or ["nothing"]) == [what], found


@behave.then('notices: "{name}" declined {count:d} request')
def declined(context, name, count):
    assert len(context.world.servers[name].declined) == count


@behave.then(
    'notices: each "{route}" was refused and may come back after {least:d} to '
    "{most:d} s"
)
def come_back(context, route, least, most):
    replies = [
        r
        for r, asked in zip(context.replies, context.routes, strict=True)
        if asked == route
    ]
    assert replies
    for reply in replies:
        assert reply.status == 503, reply
        assert least <= float(reply.fields["retry-after"]) <= most, reply.fields


@behave.given('notices: "{name}" is the writer with the fewest streams')
def fewest_streams(context, name):
    _, instance = context.world.instances["i1"]
    for engine in instance.fleet.loads("lm").all():
        engine.streams += engine.server.server_id != name
        # So much is queued that no prompt is prefilled there.
        engine.prefill_tokens[0] += 5000 * (engine.server.stage.value == "decode")


def list_as_draining(fleet, server):
    drained = dataclasses.replace(server, draining=True)
    fleet.update_servers(fleet.servers_revision + 1, [drained], [])


def list_no_more(fleet, server):
    fleet.update_servers(fleet.servers_revision + 1, [], [server.server_id])


LISTINGS = {
    "is listed as draining": list_as_draining,
    "is listed no more": list_no_more,
}


@behave.when(
    'notices: a client asks for "digest" and "{name}" {does} while the prompt is read'
)
def notice_while_read(context, name, does):
    async def ask():
        world = context.world
        _, instance = world.instances["i1"]
        # The answer to a health check would end the limit that is observed below.
        await world.until(lambda: not instance.fleet.presumed_servers)
        world.servers["p1"].faults.append("slow")
        asked = asyncio.create_task(world.ask("digest", "r1", name="i1"))
        await world.until(lambda: world.servers["p1"].received)
        server = instance.fleet.servers.get(name)
        if does in LISTINGS:
            LISTINGS[does](instance.fleet, server)
            return await asked
        now = datetime.timedelta(seconds=asyncio.get_running_loop().time())
        instance.flow.observe(server, NOTICES[does], now, "request")
        return await asked

    context.reply = context.run(ask())


@behave.then('notices: the prompt was read once and only "{name}" ran the request')
def read_once(context, name):
    assert context.reply.status == 200 and context.reply.complete, context.reply
    servers = context.world.servers
    kinds = [item.kind for item in servers["p1"].received]
    assert [kind for kind in kinds if kind != "/v1/report"] == ["prefill"], kinds
    runs = {key: server.count_runs("r1") for key, server in servers.items()}
    assert {key for key, count in runs.items() if count} == {name}, runs
