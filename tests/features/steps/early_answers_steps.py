import asyncio
import datetime
import re
from unittest import mock

import behave

from pimentolatch import clock, settings
from pimentolatch.backend import instance_client, outcomes, plain_client
from pimentolatch.decisions import engine_loads, peer_choice
from tests.support import closing_server, early_server, peer_detour, route_world

STREAMS = ("draft", "digest")
MAX_BODY_BYTES = 4_000_000
# Far more than there are requests.
REPEATS = 1000
SECOND = datetime.timedelta(seconds=1)
AMPLE = 20 * SECOND


def start(context, *servers):
    """Start an instance that takes long requests, with servers."""
    # An engine that has failed gets a rest, in which other requests would be refused.
    no_rest = mock.patch.object(engine_loads.EngineLoads, "failed")
    no_rest.start()
    context.add_cleanup(no_rest.stop)
    context.route_runner = route_world.runner()
    context.world = world = route_world.RouteWorld()
    spec = route_world.configuration(1, route_world.ROUTES)
    spec["limits"]["max_body_bytes"] = MAX_BODY_BYTES

    async def begin():
        await world.start_store()
        await world.write("config", "main", spec)
        for server in servers:
            await server.start()
            world.extra_servers.append(server)
            await world.write("servers", server.name, server.entry())
        instance = await world.add_instance()
        instance.budget.configure(0.0, REPEATS, SECOND)
        return instance

    context.instance = context.route_runner.run(begin())


def server_for(route, form, ending):
    service, stage = ("lm", "decode") if route in STREAMS else ("app", None)
    return early_server.EarlyServer("early", service, stage, form, ending)


@behave.given('early: a server of "{route}" whose answer has {form} and then {ending}')
def server(context, route, form, ending):
    context.server = server_for(route, form, ending)
    start(context, context.server)


@behave.given('early: a peer whose answer of "{route}" has {form} and then {ending}')
def peer(context, route, form, ending):
    start(context)
    context.server = server_for(route, form, ending)
    context.route_runner.run(context.server.start())
    context.world.extra_servers.append(context.server)
    # A peer that has failed is not used for a while, and other requests are refused.
    no_backoff = mock.patch.object(peer_choice.PeerChoice, "failed")
    no_backoff.start()
    context.add_cleanup(no_backoff.stop)
    peer_detour.lead(context.instance, route_world.HOST, context.server.port)


def body_of(name, size):
    """Return the body of a request, which no other one has."""
    return (name.encode() * size)[:size]


@behave.when('early: "{route}" is asked for with {size:d} bytes')
def ask(context, route, size):
    async def asking():
        for number, pause_s in enumerate(early_server.PAUSES_S):
            context.server.pause_s = pause_s
            name = f"r{number}"
            yield await context.world.ask(route, name, body=body_of(name, size))

    async def collect():
        return [reply async for reply in asking()]

    context.size = size
    context.replies = context.route_runner.run(collect())


@behave.then("early: each client gets a whole answer")
def whole(context):
    bodies = (closing_server.PLAIN, closing_server.EVENTS)
    for reply in context.replies:
        assert (reply.status, reply.complete) == (200, True), context.replies
        assert reply.body in bodies, reply


@behave.then("early: each client gets 502")
def unknown(context):
    assert [r.status for r in context.replies] == [502] * len(context.replies)


@behave.then("early: each client gets an answer broken off")
def broken_off(context):
    for reply in context.replies:
        assert (reply.status, reply.complete) == (200, False), context.replies


@behave.then("early: the server has read nothing but the requests")
def read_as_sent(context):
    requests, count = context.server.requests, len(context.replies)
    read = context.world.until(lambda: len(requests) == count)
    context.route_runner.run(read)
    sent = {
        f"r{number}": body_of(f"r{number}", context.size) for number in range(count)
    }
    for head, body in requests:
        name = re.search(rb"x-request-id: (.*)\r", head)[1].decode()
        # A connection may be closed before the rest of its request has been sent.
        assert sent.pop(name).startswith(body), name
    assert not sent, sent.keys()


@behave.given("early: a plain server whose answer has {form} and then {ending}")
def plain_server(context, form, ending):
    context.server = early_server.EarlyServer("early", "app", None, form, ending)


async def plain_call(address, body):
    client = plain_client.PlainClient("test", clock.SystemClock())
    call = plain_client.Call(
        "d1", "booking", "confirm", body, "text/plain", False, AMPLE
    )
    outcome = await client.call(address, call)
    client.close()
    return outcome


async def forwarded_call(address, body):
    client = instance_client.InstanceClient("test", clock.SystemClock())
    call = instance_client.Forward(
        "r1", "booking", "confirm", body, "text/plain", "key", None, AMPLE
    )
    outcome = await client.forward(address, call)
    client.close()
    return outcome


CALLS = {"a call": plain_call, "a forwarded call": forwarded_call}


@behave.when("early: {call} is made with {size:d} bytes")
def make_call(context, call, size):
    async def calling():
        await context.server.start()
        address = settings.Address(host=route_world.HOST, port=context.server.port)
        found = []
        for pause_s in early_server.PAUSES_S:
            context.server.pause_s = pause_s
            found.append(await CALLS[call](address, bytes(size)))
        await context.server.stop()
        return found

    context.outcomes = asyncio.run(calling())


@behave.then("early: each call is lost")
def lost(context):
    for outcome in context.outcomes:
        assert isinstance(outcome, outcomes.OutcomeUnknown), context.outcomes


@behave.then("early: each call is answered")
def answered(context):
    for outcome in context.outcomes:
        assert isinstance(outcome, outcomes.Response), context.outcomes
        assert outcome.body == closing_server.PLAIN, outcome
