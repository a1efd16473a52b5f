import asyncio
import collections
import dataclasses
import datetime
import types

import behave
import logbook

from pimentolatch import clock, settings
from pimentolatch.decisions import neighbours, stall_check
from pimentolatch.gateway import dispatch, fleet_state, flow_control
from pimentolatch.platform import http_headers
from pimentolatch.routes import servers
from tests.support import reading_server, route_world

LIMIT = datetime.timedelta(seconds=5)
ALLOWED_S = 5.0
STARTED_MS = 1_750_000_000_000


class World:
    """A client of one listed server.

    Its clock advances only where a step says so: however busy the machine is, a server
    has been heard just before.
    """

    def __init__(self, manner):
        self.server = reading_server.ReadingServer(manner)
        self.fleet = fleet_state.FleetState()
        self.time = time = clock.ManualClock()
        self.client = dispatch.ServerClient(
            time,
            flow_control.FlowControl(neighbours.Place("own", "here"), time),
            acknowledgement_limit=LIMIT,
            accepts=self.fleet.accepts,
            health_target=lambda server: b"/health",
            on_question=self._count_question,
            on_given_up=lambda call: self.given_up.append(call),
        )
        self.given_up = []
        self.questions = collections.Counter()
        self.outcomes = []
        self.sent = 0

    async def start(self):
        port = await self.server.start()
        address = settings.Address(host="127.0.0.1", port=port)
        self.listed = servers.Server("a1", "app", address, "here", False, None, 1)
        self.fleet.replace_servers(1, [self.listed])

    async def stop(self):
        self.client.close()
        self.server.stop()

    async def send(self, *, repeatable=True):
        self.sent += 1
        request = types.SimpleNamespace(
            route=types.SimpleNamespace(repeatable=repeatable),
            service=types.SimpleNamespace(health_target=b"/health"),
            customer_name=None,
            fields=[(b"host", b"x"), (b"x-request-id", b"r%d" % self.sent)],
            method="POST",
            target=b"/notify",
            request_id=f"r{self.sent}",
            body=b"body %d" % self.sent,
        )
        options = http_headers.DispatchOptions("a1", LIMIT)
        async with asyncio.timeout(ALLOWED_S):
            outcome = await self.client.fetch(self.listed, request, options)
        self.outcomes.append(outcome)

    def _count_question(self, *, answered):
        self.questions[answered] += 1

    async def wait(self, seconds):
        await asyncio.sleep(seconds)
        self.time.advance(datetime.timedelta(seconds=seconds))

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


@behave.given("liveness: a server that {manner}")
def start(context, manner):
    context.route_runner = route_world.runner()
    context.answered_before = False
    context.world = World(manner)
    run(context, context.world.start())


@behave.given("liveness: its entry tells when it started")
def tells_start(context):
    world = context.world
    world.listed = dataclasses.replace(world.listed, started_ms=STARTED_MS)
    world.fleet.replace_servers(2, [world.listed])


@behave.given("liveness: it has answered a request")
def has_answered(context):
    run(context, context.world.send())
    context.answered_before = True
    assert context.world.server.bodies == [b"body 1"]


@behave.when("liveness: {count:d} requests are sent to it, one after the other")
def send_each(context, count):
    with logbook.TestHandler().applicationbound() as handler:
        for _ in range(count):
            run(context, context.world.send())
    context.log = handler.records


@behave.when("liveness: {ms:d} ms later another {kind} request is sent")
def send_kind_later(context, ms, kind):
    async def send():
        await context.world.wait(ms / 1000)
        await context.world.send(repeatable=kind == "repeatable")

    run(context, send())


@behave.when("liveness: this process stands still once before it sends a request")
def stand_still_once(context):
    world = context.world

    async def stand_still():
        if len(world.server.questions) == 1:
            world.time.advance(datetime.timedelta(seconds=3))

    world.client._wait_until_current = stand_still
    run(context, world.send())


@behave.when("liveness: it stands still, and a request is given up {seconds:g} s later")
def give_up(context, seconds):
    async def give_up(sending):
        await asyncio.sleep(seconds)
        sending.cancel()
        await asyncio.wait({sending})

    run(context, context.world.stand_still(give_up))


@behave.when(
    "liveness: it stands still, and {count:d} requests are given up, of which"
    " {later:d} came {seconds:g} s later"
)
def give_up_several(context, count, later, seconds):
    async def give_up(sending):
        await world.wait(seconds)
        others = [asyncio.create_task(world.send()) for _ in range(later)]
        assert count == 1 + later
        await asyncio.sleep(seconds)
        for task in (*others, sending):
            task.cancel()
        await asyncio.wait({sending, *others})

    world = context.world
    world.server.questions.clear()
    run(context, world.stand_still(give_up))


@behave.when(
    "liveness: it stands still, the request that asks leaves, and another one waits"
)
def asking_request_leaves(context):
    async def leave(sending):
        await world.wait(0.3)
        tasks.append(asyncio.create_task(world.send()))
        await asyncio.sleep(0.1)
        sending.cancel()
        await asyncio.wait({sending})

    async def all_sent():
        await world.stand_still(leave)
        await asyncio.gather(*tasks)

    tasks = []
    world = context.world
    run(context, all_sent())


@behave.when("liveness: it stands still for {seconds:g} s, and a request is sent")
def stand_still(context, seconds):
    run(context, context.world.stand_still(lambda sending: asyncio.sleep(seconds)))


@behave.when(
    "liveness: it stands still for {seconds:g} s of the {limit:g} s that a request has"
)
def stand_still_within_limit(context, seconds, limit):
    assert limit == LIMIT.total_seconds()
    world = context.world
    run(context, world.stand_still(lambda sending: world.wait(seconds)))


@behave.when("liveness: it stands still, {leaves} and goes on while a request waits")
def leave(context, leaves):
    async def leave(sending):
        await asyncio.sleep(0.3)
        await (world.drain() if leaves == "drains" else world.remove())

    world = context.world
    run(context, world.stand_still(leave))


@behave.then("liveness: all are answered, and the server got each body once")
def answered_once(context):
    outcomes = context.world.outcomes
    assert [o.status for o in outcomes] == [200] * len(outcomes), outcomes
    expected = [b"body %d" % (n + 1) for n in range(len(outcomes))]
    assert context.world.server.bodies == expected, context.world.server.requests


@behave.then(
    "liveness: none of its heads announced a body, and they came over"
    " {connections:d} connections"
)
def no_announcements(context, connections):
    requests = context.world.server.requests
    assert not any(r.announced for r in requests), requests
    assert len({r.connection for r in requests}) == connections, requests


@behave.then("liveness: it was asked {times:d} times")
def asked(context, times):
    assert len(context.world.server.questions) == times, context.world.server.questions


@behave.then("liveness: it finds {count:d} questions when it goes on")
def finds_questions(context, count):
    assert len(context.world.server.questions) == count, context.world.server.questions


@behave.then("liveness: {answered:d} question was answered and {unanswered:d} were not")
def counted(context, answered, unanswered):
    expected = {True: answered, False: unanswered}
    assert context.world.questions == expected, context.world.questions


@behave.then(
    "liveness: {count:d} questions are reported that its machine had acknowledged"
)
def reported(context, count):
    found = [
        (call.server, call.kind.value, call.acknowledged)
        for call in context.world.given_up
    ]
    assert found == [(context.world.listed, "question", True)] * count, found


@behave.then("liveness: no error is logged")
def no_errors(context):
    assert not [r for r in context.log if r.level >= logbook.ERROR], context.log


@behave.then("liveness: all are declined, over 1 connection")
def declined(context):
    declined_over(context, 1)


@behave.then("liveness: all are declined, over {connections:d} connections")
def declined_over(context, connections):
    outcomes = context.world.outcomes
    assert outcomes == [dispatch.Declined(503)] * len(outcomes), outcomes
    found = {r.connection for r in context.world.server.requests}
    assert found == set(range(1, connections + 1)), found


@behave.then("liveness: both get the whole answer")
def whole_answers(context):
    outcomes = context.world.outcomes
    found = [(o.status, len(o.body)) for o in outcomes if hasattr(o, "body")]
    assert found == [(413, reading_server.LONG_BODY_BYTES)] * 2, outcomes


@behave.then("liveness: it gets no other request when it goes on")
def no_other_request(context):
    server = context.world.server
    answered = [b"body 1"] if context.answered_before else []
    assert len(server.requests) == len(answered), server.requests
    assert server.bodies == answered, server.requests


@behave.then("liveness: it is answered")
def is_answered(context):
    assert context.world.outcomes[-1].status == 200
    last = b"body %d" % context.world.sent
    assert context.world.server.bodies == [b"body 1", last]


@behave.then("liveness: it is told that {seconds:g} s are left")
def told_time_left(context, seconds):
    told = [request.time_left_ms for request in context.world.server.requests]
    assert told == [round(1000 * seconds)], told


@behave.then("liveness: the request is withheld, and the server gets no other request")
def withheld(context):
    assert isinstance(context.world.outcomes[-1], dispatch.Withheld)
    no_other_request(context)


@behave.then("liveness: their outcome is unknown")
def unknown(context):
    outcomes = context.world.outcomes
    assert all(isinstance(o, dispatch.OutcomeUnknown) for o in outcomes), outcomes


@behave.then(
    "liveness: a request that was sent {sent} ms ago, which a report asked for"
    " {reported:d} ms ago lacks, {state}"
)
def under_way(context, sent, reported, state):
    now = datetime.timedelta(seconds=9)
    sent_at = None if sent == "no" else now - milliseconds(int(sent))
    found = stall_check.is_under_way(sent_at, now - milliseconds(reported), now)
    assert found == (state == "is under way"), (sent, reported)


def milliseconds(count):
    return datetime.timedelta(milliseconds=count)
