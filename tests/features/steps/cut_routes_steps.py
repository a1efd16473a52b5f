import asyncio
import collections
import datetime
import json
import re
from unittest import mock

import behave

from pimentolatch.decisions import engine_loads, peer_choice
from tests.support import cutting_server, peer_detour, route_world

SECOND = datetime.timedelta(seconds=1)
SEAL = b"x-response-seal: s\r\n"
EVENTS = tuple(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 5))
HANDLE = "handle"
PROMPT = [json.dumps({"kv_handle": HANDLE, "tokens": 1, "version": 1}).encode()]
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Requests at a time.
AT_ONCE = 8
# Far more than there are cuts.
REPEATS = 100_000
ROUTES_WITHOUT_REPEATS = ("print", "draft")
STREAMS = ("draft", "digest")
REFUSAL = b"x-not-executed: 1\r\n" + cutting_server.REQUEST_ID
ANSWERS = {
    "answers": (SEAL, cutting_server.PIECES, b"200 OK"),
    "streams": (SEAL, EVENTS, b"200 OK"),
    "failures": (SEAL, [b"failed"], b"500 Failed"),
    "refusals": (REFUSAL, [b"full"], b"503 Full"),
    "prompts": (cutting_server.REQUEST_ID, PROMPT, b"200 OK"),
    "own refusals": (b"x-result-code: 200\r\n", [b'{"error": {}}'], b"503 Refused"),
    "own failures": (b"x-result-code: 302\r\n", [b'{"error": {}}'], b"502 Refused"),
}


def form_of(answers, form):
    fields, pieces, status = ANSWERS[answers]
    return cutting_server.plain_forms(fields, pieces, status)[form]


def start(context, form, *servers):
    """Start an instance with servers: pairs of one and its entry's arguments."""
    context.form = form
    # An engine that has failed gets a rest, in which other requests would be refused.
    no_rest = mock.patch.object(engine_loads.EngineLoads, "failed")
    no_rest.start()
    context.add_cleanup(no_rest.stop)
    context.route_runner = route_world.runner()
    context.world = world = route_world.RouteWorld()
    context.servers = [server for server, *_ in servers]

    async def begin():
        await world.start_store()
        await world.configure(1)
        for number, (server, *arguments) in enumerate(servers):
            await server.start()
            world.extra_servers.append(server)
            await world.write("servers", f"s{number}", server.entry(*arguments))
        instance = await world.add_instance()
        instance.budget.configure(0.0, REPEATS, SECOND)
        return instance

    context.instance = context.route_runner.run(begin())


@behave.given("cut routes: a plain server whose {answers} with {form} are cut")
def plain_server(context, answers, form):
    chosen = form_of(answers, form)
    start(context, chosen, (cutting_server.CuttingServer(chosen), "app"))


@behave.given("cut routes: an engine whose {answers} with {form} are cut")
def engine(context, answers, form):
    chosen = form_of(answers, form)
    start(context, chosen, (cutting_server.CuttingServer(chosen), "lm", "decode"))


@behave.given("cut routes: two engines whose first streams with {form} are cut")
def two_engines(context, form):
    started = set()
    engines = [
        cutting_server.CuttingEngine(form, SEAL, EVENTS, started) for _ in range(2)
    ]
    chosen = form_of("streams", form)
    start(context, chosen, *((one, "lm", "decode") for one in engines))


@behave.given("cut routes: a prefill engine whose {answers} with {form} are cut")
def prefill_engine(context, answers, form):
    chosen = form_of(answers, form)
    # A handle is not used if its connection has ended.
    prefill = cutting_server.CuttingServer(chosen, keeps_open=True)
    start(context, chosen, (prefill, "lm", "prefill"))
    world = context.world
    added = world.add_server("decode", "lm", "decode")
    context.route_runner.run(added)
    listed = context.instance.fleet.servers
    context.route_runner.run(world.until(lambda: len(listed.of_service("lm")) == 2))


@behave.given("cut routes: a peer whose {answers} with {form} are cut")
def peer(context, answers, form):
    chosen = form_of(answers, form)
    server = cutting_server.CuttingServer(chosen)
    start(context, chosen)
    context.servers = [server]
    context.route_runner.run(server.start())
    context.world.extra_servers.append(server)
    # A peer that has failed is not used for a while, and other requests are refused.
    no_backoff = mock.patch.object(peer_choice.PeerChoice, "failed")
    no_backoff.start()
    context.add_cleanup(no_backoff.stop)
    peer_detour.lead(context.instance, server.address.host, server.address.port)


async def ask(world, route, cut):
    """Ask for a cut answer; None if the connection ends without any answer."""
    name = cutting_server.cut_name(cut)
    # No prompt shares a part with another one.
    number = 2 * cut.sent + cutting_server.ENDINGS.index(cut.ending)
    prefix = f"{number + 1:x}:1200"
    try:
        return await world.ask(route, name, body=name.encode(), x_prompt_prefix=prefix)
    except (IndexError, asyncio.IncompleteReadError, ConnectionError):
        return None


@behave.when('cut routes: "{route}" is asked for with each cut')
def ask_for_each(context, route):
    context.route = route
    limit = asyncio.Semaphore(AT_ONCE)

    async def one(cut):
        async with limit:
            return cut, await ask(context.world, route, cut)

    async def asking():
        return dict(await asyncio.gather(*map(one, context.form.cuts())))

    context.replies = context.route_runner.run(asking())


def dispatches(context):
    """Return how often the request of each cut has reached a server."""
    found = collections.Counter()
    for server in context.servers:
        for head in server.seen:
            found[cutting_server.CUT_NAME.search(head)[0].decode()] += 1
    return found


def report(context, is_right):
    """Fail with the cuts whose replies are wrong."""
    wrong = {
        cutting_server.cut_name(cut): reply
        for cut, reply in context.replies.items()
        if not is_right(cut, reply)
    }
    assert not wrong, f"{len(wrong)} of {len(context.replies)}: {wrong}"


def is_success(reply):
    return 200 <= reply.status < 300


def whole_body(context, cut):
    """Return the body that a client may take for whole, or None."""
    whole = context.form.whole_body(cut)
    is_stream = context.route in STREAMS and context.form.is_success
    return None if is_stream and whole and whole[-2:] != b"\n\n" else whole


def is_true(context, cut, reply):
    """Tell whether a reply says no more than what the server has sent."""
    form = context.form
    whole = whole_body(context, cut)
    if reply is None:
        return False
    if is_success(reply) and reply.complete:
        return form.is_success and reply.body == whole
    if is_success(reply):
        events = [b"".join(EVENTS[:n]) for n in range(len(EVENTS) + 1)]
        return context.route in STREAMS and whole is None and reply.body in events
    if form.is_success and whole is not None:
        return False
    if reply.status in NOT_RUN_STATUSES:
        return form.is_refusal and cut.sent >= len(form.head)
    return reply.status in (502, 504) or (form.is_failure and whole is not None)


@behave.then("cut routes: each client is told the truth")
def truth(context):
    report(context, lambda cut, reply: is_true(context, cut, reply))


@behave.then("cut routes: each request has reached the server, once at most if unsafe")
def reached(context):
    counts = dispatches(context)
    wanted = {cutting_server.cut_name(cut) for cut in context.form.cuts()}
    assert counts.keys() == wanted, wanted - counts.keys()
    if context.route in ROUTES_WITHOUT_REPEATS and not context.form.is_refusal:
        again = {name: count for name, count in counts.items() if count > 1}
        assert not again, again


@behave.then("cut routes: each client has each event once, and the end")
def each_event_once(context):
    def is_right(cut, reply):
        if reply is None or not (is_success(reply) and reply.complete):
            return False
        whole = whole_body(context, cut)
        wanted = b"".join(EVENTS) if whole is None else whole
        return reply.body.replace(cutting_server.COMMENT, b"") == wanted

    report(context, is_right)
    assert max(dispatches(context).values()) == 2


def fetched_handles(context):
    """Return the handles that the decode engine was told of, by request."""
    return {
        item.fields["x-request-id"]: item.fields["x-kv-source"].rsplit("/", 1)[-1]
        for item in context.world.servers["decode"].received
        if "x-kv-source" in item.fields
    }


@behave.then("cut routes: no engine is told of a handle that was not given whole")
def whole_handles(context):
    handles = fetched_handles(context)
    for cut in context.form.cuts():
        handle = handles.get(cutting_server.cut_name(cut))
        is_whole = context.form.whole_body(cut) == context.form.body
        assert handle is None or (is_whole and handle == HANDLE), (cut, handle)


@behave.then("cut routes: a handle that was given whole is used")
def whole_handle_used(context):
    # An idle decode engine may get a request without a handle at any time.
    whole = cutting_server.Cut(len(context.form.raw), "closed")

    async def used():
        await ask(context.world, context.route, whole)
        return cutting_server.cut_name(whole) in fetched_handles(context)

    context.route_runner.run(context.world.until_returns(used, True))


@behave.then("cut routes: each client gets its stream, whole and run once")
def streams_run_once(context):
    decode = context.world.servers["decode"]

    def is_right(cut, reply):
        if reply is None or not reply.complete:
            return False
        runs = decode.count_runs(cutting_server.cut_name(cut))
        if is_success(reply):
            return runs == 1 and reply.events == [str(n + 1) for n in range(6)]
        return reply.status in NOT_RUN_STATUSES and not runs

    report(context, is_right)
    assert any(map(is_success, context.replies.values()))


@behave.when("cut routes: the whole answer is asked for by {method}")
def ask_by(context, method):
    whole = cutting_server.Cut(len(context.form.raw), "closed")
    sent = route_world.request(
        "print", cutting_server.cut_name(whole), connection="close"
    )

    async def asking():
        reader, writer = await context.world.connect()
        writer.write(sent.replace(b"POST", method.encode(), 1))
        async with asyncio.timeout(route_world.WAIT_S):
            head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return head

    context.head = context.route_runner.run(asking())


LENGTHS = {
    "no length": [],
    "one length": [b"%d" % len(b"".join(cutting_server.PIECES))],
}


@behave.then("cut routes: it has {lengths}")
def lengths_are(context, lengths):
    found = re.findall(rb"content-length: (.*)\r", context.head)
    assert found == LENGTHS[lengths], context.head
