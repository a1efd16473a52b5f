import asyncio
import dataclasses
import datetime
import types

import behave

from pimentolatch import clock, settings
from pimentolatch.decisions import neighbours, stall_check
from pimentolatch.gateway import dispatch, fleet_state, flow_control
from pimentolatch.platform import http_headers
from pimentolatch.routes import servers
from tests.support import interim_server, route_world

LIMIT = datetime.timedelta(seconds=5)
ALLOWED_S = 5.0


class World:
    """A client of one listed server."""

    def __init__(self, manner):
        self.server = interim_server.InterimServer(manner)
        self.fleet = fleet_state.FleetState()
        time = clock.SystemClock()
        self.client = dispatch.ServerClient(
            time,
            flow_control.FlowControl(neighbours.Place("own", "here"), time),
            acknowledgement_limit=LIMIT,
            accepts=self.fleet.accepts,
        )
        self.outcomes = []
        self._sent = 0

    async def start(self):
        port = await self.server.start()
        address = settings.Address(host="127.0.0.1", port=port)
        self.listed = servers.Server("a1", "app", address, "here", False, None, 1)
        self.fleet.replace_servers(1, [self.listed])

    async def stop(self):
        self.client.close()
        self.server.stop()

    async def send(self):
        self._sent += 1
        request = types.SimpleNamespace(
            route=types.SimpleNamespace(repeatable=True),
            service=types.SimpleNamespace(health_target=b"/health"),
            customer_name=None,
            fields=[(b"host", b"x")],
            method="POST",
            target=b"/notify",
            request_id=f"r{self._sent}",
            body=b"body %d" % self._sent,
        )
        options = http_headers.DispatchOptions("a1", LIMIT)
        async with asyncio.timeout(ALLOWED_S):
            outcome = await self.client.fetch(self.listed, request, options)
        self.outcomes.append(outcome)

    async def drain(self):
        changed = dataclasses.replace(self.listed, draining=True)
        self.fleet.update_servers(2, [changed], [])

    async def remove(self):
        self.fleet.update_servers(2, [], ["a1"])

    async def stand_still(self, then):
        """Send a request while the server reads nothing, and have it go on."""
        self.server.reading.clear()
        self.server.head_read.clear()
        sending = asyncio.create_task(self.send())
        await then(sending)
        self.server.reading.set()
        await asyncio.wait({sending})
        # The server reads what it has got, whether the connection is reset or not.
        async with asyncio.timeout(ALLOWED_S):
            await self.server.head_read.wait()
        await asyncio.sleep(0.05)


def run(context, call):
    return context.route_runner.run(call)


@behave.given("body: a server that {manner}")
def start(context, manner):
    context.route_runner = route_world.runner()
    context.answered_before = False
    context.world = World(manner)
    run(context, context.world.start())


@behave.given("body: it has answered a request")
def has_answered(context):
    run(context, context.world.send())
    context.answered_before = True
    assert context.world.server.bodies == [b"body 1"]


@behave.when("body: {count:d} requests are sent to it, one after the other")
def send_each(context, count):
    for _ in range(count):
        run(context, context.world.send())


@behave.when("body: it asks from now on, and 1 more request is sent")
def asks_from_now_on(context):
    context.world.server.manner = "asks"
    run(context, context.world.send())


@behave.when("body: it stands still, and a request is given up {seconds:g} s later")
def give_up(context, seconds):
    async def give_up(sending):
        await asyncio.sleep(seconds)
        sending.cancel()
        await asyncio.wait({sending})

    run(context, context.world.stand_still(give_up))


@behave.when("body: it stands still for {seconds:g} s, and a request is sent")
def stand_still(context, seconds):
    run(context, context.world.stand_still(lambda sending: asyncio.sleep(seconds)))


@behave.when("body: it stands still, {leaves} and goes on while a request waits")
def leave(context, leaves):
    async def leave(sending):
        await asyncio.sleep(0.3)
        await (world.drain() if leaves == "drains" else world.remove())

    world = context.world
    run(context, world.stand_still(leave))


@behave.then("body: all are answered, and the server got each body once")
def answered_once(context):
    outcomes = context.world.outcomes
    assert [o.status for o in outcomes] == [200] * len(outcomes), outcomes
    expected = [b"body %d" % (n + 1) for n in range(len(outcomes))]
    assert context.world.server.bodies == expected, context.world.server.requests


@behave.then(
    "body: {announced:d} of its heads announced the body, over {connections:d}"
    " connections"
)
def announced(context, announced, connections):
    requests = context.world.server.requests
    assert sum(r.announced for r in requests) == announced, requests
    assert max(r.connection for r in requests) == connections, requests


@behave.then("body: all are declined, over 1 connection")
def declined(context):
    outcomes = context.world.outcomes
    assert outcomes == [dispatch.Declined(503)] * len(outcomes), outcomes
    assert {r.connection for r in context.world.server.requests} == {1}


@behave.then("body: both get the whole answer")
def whole_answers(context):
    outcomes = context.world.outcomes
    found = [(o.status, len(o.body)) for o in outcomes if hasattr(o, "body")]
    assert found == [(413, interim_server.LONG_BODY_BYTES)] * 2, outcomes


@behave.then("body: it gets no other body when it goes on")
def no_other_body(context):
    server = context.world.server
    answered = [b"body 1"] if context.answered_before else []
    assert len(server.requests) == len(answered) + 1, server.requests
    assert server.bodies == answered, server.requests


@behave.then("body: it is answered")
def is_answered(context):
    assert context.world.outcomes[-1].status == 200
    assert context.world.server.bodies == [b"body 1", b"body 2"]


@behave.then("body: the request is withheld, and the server gets no other body")
def withheld(context):
    assert isinstance(context.world.outcomes[-1], dispatch.Withheld)
    no_other_body(context)


@behave.then("body: their outcome is unknown")
def unknown(context):
    outcomes = context.world.outcomes
    assert all(isinstance(o, dispatch.OutcomeUnknown) for o in outcomes), outcomes


@behave.then(
    "body: a request that was sent whole {sent} ms ago, which a report asked for"
    " {reported:d} ms ago lacks, {state}"
)
def under_way(context, sent, reported, state):
    now = datetime.timedelta(seconds=9)
    sent_at = None if sent == "no" else now - milliseconds(int(sent))
    found = stall_check.is_under_way(sent_at, now - milliseconds(reported), now)
    assert found == (state == "is under way"), (sent, reported)


def milliseconds(count):
    return datetime.timedelta(milliseconds=count)
