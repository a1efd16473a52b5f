import asyncio
import datetime
from unittest import mock

import behave

from pimentolatch.decisions import access, answer_time
from pimentolatch.entry import bounded_http, graceful_shutdown
from pimentolatch.gateway import (
    client_request,
    deliveries,
    front_end,
    plain_forwarder,
    stream_forwarder,
)
from pimentolatch.platform import configuration, http_headers
from pimentolatch.protocol import forwarding
from pimentolatch.requests import digests
from tests.support import route_world, virtual_time

MS = datetime.timedelta(milliseconds=1)
# Less than the resolution of the loop's clock.
EARLIER_S = 1e-10
KINDS = {"plain": "print", "stream": "draft"}


def read_request(time, kind, deadline_ms, forwarded):
    """Return a request as the front end reads it now."""
    spec = route_world.configuration(1, route_world.ROUTES)
    known = configuration.decode(spec)
    route = known.select("site.example", f"/{KINDS[kind]}/x")
    fields = [
        (b"x-request-id", b"r"),
        (b"x-deadline-ms", b"%d" % deadline_ms),
        (b"x-model", b"m"),
        (b"x-token-counts", b"1200,20"),
        (b"x-prompt-prefix", b"aa:800,r:400"),
    ]
    head = http_headers.parse_client_headers(fields)
    return client_request.ClientRequest(
        "POST",
        b"/",
        fields,
        b"",
        head,
        route,
        known.services[route.service_of("r")],
        time.monotonic(),
        client_request.TimeLimit.shorter_of(route.timeout, head.time_left, 1),
        digests.RequestDigest(b"0" * 32),
        access.Access(None, route.rank),
        forwarded=forwarded,
    )


async def until_same_step(due):
    """Wait until the step of the loop at a time, ahead of what else is due in it."""
    arrived, loop = asyncio.Event(), asyncio.get_running_loop()
    loop.call_at(due.total_seconds() - EARLIER_S, arrived.set)
    await arrived.wait()


class HeldStreams(stream_forwarder.StreamForwarder):
    """Has each request at an engine that sends nothing more."""

    begun = False
    sent = True
    begins_when_due = False

    async def _attempt(self, request, response, progress):
        if self.sent:
            progress.delivery = deliveries.Delivery(sent_at=request.arrived_at)
        if self.begins_when_due:
            await until_same_step(request.answer_due)
        if self.begun:
            await response.start(200, [])
        await asyncio.Event().wait()


def plain_at_silent_server(time):
    fleet, client, choice = mock.MagicMock(), mock.MagicMock(), mock.MagicMock()
    flow, check, peers = mock.MagicMock(), mock.MagicMock(), mock.MagicMock()
    fleet.servers.of_service.return_value = [choice.choose.return_value]
    flow.withheld.return_value = frozenset()
    check.refusal.return_value = None
    peers.may_forward.return_value = False

    async def fetch(server, request, options, *, delivery, **others):
        delivery.sent_at = time.monotonic()
        await asyncio.Event().wait()

    client.fetch = fetch
    others = [mock.MagicMock() for _ in range(5)]
    budget, quarantine, usage, log, monitor = others
    return plain_forwarder.PlainForwarder(
        *(fleet, client, flow, choice, budget, quarantine, check),
        *(usage, log, monitor, peers, time),
    )


def stream_at_silent_engine(time):
    given = [mock.MagicMock() for _ in range(15)]
    given[2].permit_wait.return_value = datetime.timedelta()
    given[4] = time
    return HeldStreams(*given)


async def forward(context, way_ms):
    """Forward a request that arrives late; note when something is written or ends."""
    time, loop = virtual_time.LoopClock(), asyncio.get_running_loop()
    context.sent_at = loop.time()
    await asyncio.sleep(way_ms / 1000)
    context.written_at = []

    async def send(message):
        context.written_at.append(loop.time())

    scope = {"extensions": mock.MagicMock(), "method": "POST"}
    response = client_request.ClientResponse(scope, send)
    forwarder = (
        stream_at_silent_engine(time)
        if context.kind == "stream"
        else plain_at_silent_server(time)
    )
    forwarder.begun, forwarder.sent = context.begun, context.sent
    forwarder.begins_when_due = context.begins_when_due
    request = read_request(time, context.kind, context.deadline_ms, context.forwarded)
    await forwarder.run(request, response)
    context.status, context.ended_at = response.status, loop.time()


def run(context, way_ms):
    with asyncio.Runner(loop_factory=virtual_time.VirtualLoop) as runner:
        runner.run(forward(context, way_ms))


@behave.given(
    "answers: a {kind} request with a deadline of {deadline:d} ms at a silent server"
)
def held(context, kind, deadline):
    context.kind, context.deadline_ms = kind, deadline
    context.begun = context.begins_when_due = False
    context.sent, context.forwarded = True, None


@behave.given(
    "answers: no engine is sent it, and its client leaves after {patience:d} ms without"
    " an event"
)
def unsent(context, patience):
    context.sent, context.patience_ms = False, patience


@behave.given("answers: no engine is sent it, and a peer has begun its response")
def begun_at_peer(context):
    context.sent = False
    context.forwarded = forwarding.ForwardOptions(1, 1, started=True)


@behave.when("answers: it takes {way:d} ms to arrive")
def arrive(context, way):
    run(context, way)


@behave.when("answers: it would begin when its refusal is due")
def begin_when_due(context):
    context.begun = context.begins_when_due = True
    run(context, 0)


@behave.when("answers: it has begun")
def begin(context):
    context.begun = True
    run(context, 0)


@behave.then(
    "answers: an answer that takes {way:d} ms to return finds the client there"
)
def met(context, way):
    assert context.status == 504, context.status
    returned_after = context.written_at[-1] - context.sent_at + way / 1000
    assert returned_after < context.deadline_ms / 1000, returned_after


@behave.then(
    "answers: a refusal that takes {way:d} ms to return finds the client there"
)
def refused(context, way):
    assert context.status == 503, context.status
    returned_after = context.written_at[-1] - context.sent_at + way / 1000
    assert returned_after < context.patience_ms / 1000, returned_after


async def serve_without_body(context):
    """Serve a request of which only the head comes; note when it is answered."""
    loop = asyncio.get_running_loop()
    context.sent_at, context.written = loop.time(), []

    async def receive():
        await asyncio.Event().wait()

    async def send(message):
        context.written.append((message.get("status"), loop.time()))

    spec = route_world.configuration(1, route_world.ROUTES)
    fleet = mock.MagicMock(configuration=configuration.decode(spec))
    fleet.configuration_behind = False
    forwarders = (mock.MagicMock(), mock.MagicMock())
    served = front_end.RouteFrontEnd(
        *(fleet, forwarders, mock.MagicMock(), graceful_shutdown.GracefulShutdown()),
        *(mock.MagicMock(), mock.MagicMock(), b"", virtual_time.LoopClock()),
        wait_until_current=mock.AsyncMock(),
    )
    path = f"/{KINDS[context.kind]}/x"
    scope = {
        "method": "POST",
        "headers": [
            (b"host", b"site.example"),
            (b"x-request-id", b"r"),
            (b"x-deadline-ms", b"%d" % context.deadline_ms),
        ],
        "extensions": {
            bounded_http.TARGET_EXTENSION: {"bytes": path.encode()},
            bounded_http.PIPELINE_EXTENSION: {"waiting": False},
        },
    }
    await served(scope, receive, send)


@behave.when("answers: its body does not arrive")
def no_body(context):
    with asyncio.Runner(loop_factory=virtual_time.VirtualLoop) as runner:
        runner.run(serve_without_body(context))


@behave.then("answers: it is refused with {status:d} before its client leaves")
def refused_before(context, status):
    found, at = context.written[0]
    assert found == status, context.written
    assert at - context.sent_at < context.deadline_ms / 1000, at


@behave.then("answers: it is refused as its answer is due")
def refused_when_due(context):
    assert context.status == 503, context.status
    reserve = answer_time.reserve(context.deadline_ms * MS)
    lasted = round((context.ended_at - context.sent_at) * 1000)
    assert lasted == context.deadline_ms - reserve / MS, lasted


@behave.then("answers: it ends at its deadline")
def at_deadline(context):
    lasted = context.ended_at - context.sent_at
    assert round(lasted * 1000) == context.deadline_ms, lasted
