import asyncio
import datetime
import json

import behave

from pimentolatch import clock, settings, store
from pimentolatch.backend import channel
from pimentolatch.entry import http_server
from pimentolatch.gateway import expired_entries, fleet_state
from pimentolatch.gateway.peers import peer_snapshots
from pimentolatch.platform import configuration, objects
from pimentolatch.protocol import compression, snapshots
from tests.support import route_world

PATH = "/v1/configuration"
SECOND = datetime.timedelta(seconds=1)


def configure(context, version, count):
    routes = [route_world.route(f"r{n}", "app", "safe") for n in range(count)]
    spec = route_world.configuration(version, routes)
    assert context.fleet.configure(configuration.decode(spec), spec)


@behave.given("snapshots: an instance with a configuration of {count:d} routes")
def serve(context, count):
    context.fleet, time = fleet_state.FleetState(), clock.SystemClock()
    configure(context, 1, count)
    expired = expired_entries.ExpiredServers(context.fleet, time)
    context.endpoint = peer_snapshots.SnapshotEndpoint(context.fleet, expired, time)


@behave.when("snapshots: the instance has a later one of {count:d} routes")
def change(context, count):
    configure(context, 2, count)


async def served(context, fetch):
    """Return what a peer fetches from the instance."""
    address = settings.Address(host=route_world.HOST, port=route_world.free_port())
    server = http_server.HttpServer(context.endpoint, address)
    await server.start()
    try:
        return await fetch(address)
    finally:
        await server.stop()


@behave.when("snapshots: a peer fetches the configuration")
def fetch(context):
    context.parts = []

    async def fetching(address):
        return await peer_snapshots.fetch(address, PATH, context.parts.append)

    context.body = asyncio.run(served(context, fetching)).body


@behave.when("snapshots: a peer that accepts no compression fetches the configuration")
def fetch_plain(context):
    async def fetching(address):
        link = await channel.connect(address, SECOND)
        link.send("GET", PATH.encode(), [(b"host", b"peer")], b"")
        await link.read_head()
        return await link.read_body(10_000_000)

    context.body = asyncio.run(served(context, fetching))


@behave.then("snapshots: the peer has that configuration")
def same(context):
    found = snapshots.decode_configuration(context.body)
    assert found == snapshots.Configuration(context.fleet.configuration_spec), found


@behave.then("snapshots: less than a fifth of it was transferred")
def small(context):
    assert 5 * sum(context.parts) < len(context.body), sum(context.parts)


@behave.when("snapshots: a compressed body of {size:d} bytes is {damage}")
def damage(context, size, damage):
    is_larger = damage == "larger than may be"
    plain = bytes(size if is_larger else size // 4)
    compressed = compression.compress(plain)
    content = compressed.content
    if damage == "cut in the middle":
        content = content[: len(content) // 2]
    if damage == "changed":
        content = content[:-1] + bytes([content[-1] ^ 1])
    context.damaged, context.fields = content, [compressed.field]


@behave.then("snapshots: it can't be decompressed within {limit:d} bytes")
def rejected(context, limit):
    try:
        whole = compression.decompress(context.damaged, context.fields, limit)
    except compression.CompressionError:
        return
    raise AssertionError(len(whole))


async def listed(count, pause_s):
    """Return what a reader of a store gets that sends its listing in parts."""
    body = json.dumps({"items": [], "has_more": False, "as_of": 7}).encode()
    cuts = [len(body) * part // count for part in range(count + 1)]

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body))
        for begin, end in zip(cuts, cuts[1:], strict=False):
            writer.write(body[begin:end])
            await asyncio.sleep(pause_s)

    host, port = route_world.HOST, route_world.free_port()
    async with await asyncio.start_server(answer, host, port):
        address = settings.Address(host=host, port=port)
        reader = objects.ObjectStore(address, SECOND, clock.SystemClock())
        return await reader.list_objects("servers")


@behave.when(
    "snapshots: the store sends a listing in {count:d} parts, {pause:g} seconds apart"
)
def send_slowly(context, count, pause):
    context.listing = asyncio.run(listed(count, pause))


@behave.then("snapshots: a reader that allows 1 second of silence has it")
def has_listing(context):
    assert context.listing == store.Listing(7, ()), context.listing


@behave.then("snapshots: a reader that allows 1 second of silence goes without it")
def has_none(context):
    assert isinstance(context.listing, store.Unavailable), context.listing
