import asyncio

import behave

from standins import deployments, processes
from tests.support import completions, hostile_clients, route_world

ONE = deployments.Layout("one", ("north",), 1, 1, 1)
# Descriptors that a machine keeps for files, beside those of connections.
FILE_DESCRIPTORS = 200
# A connection of a client, and one to a server for its request.
DESCRIPTORS_PER_CLIENT = 2
ORDINARY = "ordinary"


@behave.given("hostile: a gateway")
def start_gateway(context):
    context.route_runner = route_world.runner()
    context.world = hostile_clients.GatewayWorld(context.route_runner)
    context.world.start()
    context.target = context.world.target("clients")


@behave.given("hostile: a first daemon")
def start_entry(context):
    completions.start(
        context, ONE, entry_settings={"memory_mb": hostile_clients.MACHINE_MB}
    )
    context.target = hostile_clients.entry_target(context.deployment)


@behave.when("hostile: {count:d} clients of its port for {port} send {what}")
def gateway_crowd(context, count, port, what):
    context.count = count
    context.world.crowd(count, what, port)
    context.descriptors = hostile_clients.descriptors(context.target.pid)


@behave.when("hostile: {count:d} of its callers send {what}")
def entry_crowd(context, count, what):
    context.count = count
    with asyncio.Runner() as runner:
        crowd = hostile_clients.Crowd(context.target, what, count)
        runner.run(crowd.send())
        context.descriptors = hostile_clients.descriptors(context.target.pid)
        url = context.deployment.callers_url("entry-1", "/v1/services/booking/find")
        context.status, _ = processes.call("POST", url, {"n": 1})
        crowd.close()


@behave.then("hostile: the {process} lives within its machine's memory and descriptors")
def within_machine(context, process):
    memory = hostile_clients.peak_bytes(context.target.pid)
    assert memory < hostile_clients.MACHINE_MB * 1_000_000, memory
    allowed = FILE_DESCRIPTORS + DESCRIPTORS_PER_CLIENT * context.count
    assert context.descriptors <= allowed, context.descriptors


@behave.then("hostile: an ordinary request is answered")
def ordinary_request(context):
    world = context.world
    raw = route_world.request("notify", ORDINARY, b"small")
    assert context.route_runner.run(world.ask(raw)).status == 200
    assert world.gateway.running


@behave.when(
    "hostile: {count:d} requests are sent beside {clients:d} clients with {what}"
)
def requests_beside(context, count, clients, what):
    raw = [route_world.request("notify", f"beside-{n}", b"small") for n in range(count)]
    asked = context.world.ask_beside(clients, what, raw)
    context.replies = context.route_runner.run(asked)


@behave.then("hostile: all of them are answered")
def all_answered(context):
    statuses = [reply and reply.status for reply in context.replies]
    assert statuses == [200] * len(statuses), statuses


@behave.then("hostile: an ordinary call is answered")
def ordinary_call(context):
    assert context.status == 200
    assert context.deployment.processes["entry-1"].popen.poll() is None


@behave.when('hostile: a request with the field "{name}" behind its body is answered')
def trailer_field(context, name):
    head = context.target.head + b"x-request-id: trailer\r\n"
    raw = head + b"transfer-encoding: chunked\r\n\r\n"
    raw += b"5\r\nwhole\r\n0\r\n%s: behind\r\n\r\n" % name.encode()
    assert context.route_runner.run(context.world.ask(raw)).status == 200


@behave.then("hostile: its server has received the body without the field")
def no_trailer_field(context):
    request = context.world.received(b"whole")
    assert request.fields["x-request-id"] == "trailer", request
    assert "behind" not in request.fields.values(), request


@behave.when("hostile: a request with the largest body is sent")
def largest_body(context):
    body = b"x" * hostile_clients.BODY_BYTES
    raw = route_world.request("print", "largest", body)
    context.reply = context.route_runner.run(context.world.ask(raw))


@behave.then("hostile: it is answered by a server")
def answered_by_server(context):
    assert context.reply.status == 200, context.reply
    assert context.world.runs("largest") == 1


@behave.when("hostile: {count:d} clients send whole bodies and read the answers")
def whole_bodies(context, count):
    context.replies = context.route_runner.run(context.world.ask_all(count))


@behave.then(
    "hostile: some are answered 503 with a time to come back, and none of these ran"
)
def refused_did_not_run(context):
    refused = {
        request_id: reply
        for request_id, reply in context.replies.items()
        if reply.status == 503
    }
    assert refused
    for request_id, reply in refused.items():
        assert "retry-after" in reply.fields, reply
        assert context.world.runs(request_id) == 0, request_id
