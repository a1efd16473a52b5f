import asyncio

import behave

from tests.support import route_world, standstill_world

# Ends within the header fields of a request.
FIRST_BYTES = 40
PART_BYTES = 10


@behave.given('standstill: a gateway with an "{limit}" of {milliseconds:d}')
def gateway(context, limit, milliseconds):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.world = standstill_world.Standstill(context.runner, {limit: milliseconds})
    context.add_cleanup(context.world.stop)
    context.world.start()


@behave.when(
    "standstill: whole requests come {after_ms:d} ms into a standstill of {ms:d} ms"
)
def whole_requests(context, after_ms, ms):
    context.world.run(nothing, whole, pause_s=ms / 1000, send_after_s=after_ms / 1000)


@behave.when(
    "standstill: the rest of requests comes {after_ms:d} ms into a standstill of"
    " {ms:d} ms"
)
def rest_of_requests(context, after_ms, ms):
    context.world.run(beginning, rest, pause_s=ms / 1000, send_after_s=after_ms / 1000)


@behave.when("standstill: no request comes in a standstill of {ms:d} ms")
def no_request(context, ms):
    context.world.run(nothing, nothing, pause_s=ms / 1000, send_after_s=0.0)


@behave.when(
    "standstill: a part of the rest of requests comes {after_ms:d} ms into a standstill"
    " of {ms:d} ms"
)
def part_of_requests(context, after_ms, ms):
    context.world.run(beginning, part, pause_s=ms / 1000, send_after_s=after_ms / 1000)


@behave.then("standstill: all are answered with {status:d}")
def all_answered(context, status):
    expected = [status] * standstill_world.CONNECTIONS
    assert context.world.answers == expected, context.world.answers


@behave.then("standstill: all connections are closed")
def all_closed(context):
    expected = [None] * standstill_world.CONNECTIONS
    assert context.world.answers == expected, context.world.answers


def whole(request_id):
    return route_world.request("notify", request_id)


def nothing(request_id):
    return b""


def beginning(request_id):
    return whole(request_id)[:FIRST_BYTES]


def rest(request_id):
    return whole(request_id)[FIRST_BYTES:]


def part(request_id):
    return rest(request_id)[:PART_BYTES]
