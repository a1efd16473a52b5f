import asyncio

import behave

from tests.support import route_world

STARTED_MS, RESTARTED_MS = 1000, 2000
# For how long the writer asks for no requests: longer than a handle is trusted.
REST_S = 0.8
CLOSING = (b"connection", b"close")
REQUEST = "r1"


def engines(context):
    return context.world.servers["p1"], context.world.servers["d1"]


@behave.given("handles: a reader {named} its start and a writer")
def reader_and_writer(context, named):
    context.route_runner = route_world.runner()
    context.world = world = route_world.RouteWorld()
    context.started_ms = STARTED_MS if named == "that names" else None
    context.restarted_ms = RESTARTED_MS if named == "that names" else None

    async def build():
        await world.start_store()
        await world.configure(1)
        reader = await world.add_server("p1", "lm", "prefill")
        reader.started_ms = context.started_ms
        await world.write("servers", "p1", reader.entry())
        await world.add_server("d1", "lm", "decode")
        instance = await world.add_instance()
        # The writer seems to read so much that the prompt is read apart.
        instance.fleet.loads("lm").get("d1").prefill_tokens[0] += 10_000

    context.route_runner.run(build())


@behave.given("handles: a reader {named} its start and a writer that is full")
def reader_and_full_writer(context, named):
    reader_and_writer(context, named)
    _, writer = engines(context)
    writer.retry_after = str(REST_S)


@behave.given("handles: the reader has restarted, which the list does not show")
def restarted_unlisted(context):
    reader, _ = engines(context)
    reader.restart(context.restarted_ms)


async def ask_until_held(world):
    """Send a request; return its task once the full writer has declined it."""
    asked = asyncio.create_task(world.ask("digest", REQUEST))
    await world.until(lambda: world.servers["d1"].declined)
    return asked


def serve_after(context, disturb):
    """Disturb the reader while a prompt is held, then let the writer accept it."""
    world = context.world

    async def serve():
        asked = await ask_until_held(world)
        await disturb()
        world.servers["d1"].retry_after = None
        return await asked

    context.reply = context.route_runner.run(serve())


@behave.when("handles: the reader restarts while a prompt waits that it has read")
def reader_restarts(context):
    async def restart():
        engines(context)[0].restart(context.restarted_ms)

    serve_after(context, restart)


@behave.when("handles: the reader restarts while its connections stay open")
def reader_restarts_silently(context):
    async def restart():
        reader, _ = engines(context)
        reader.restart(context.restarted_ms, silently=True)

    serve_after(context, restart)


@behave.when(
    "handles: the list shows the restart while a prompt waits that it has read"
)
def list_shows_restart(context):
    async def show():
        world, (reader, _) = context.world, engines(context)
        await world.write("servers", "p1", reader.entry())
        known = world.instances["one"][1].fleet.servers
        await world.until(lambda: known.get("p1").started_ms == RESTARTED_MS)

    serve_after(context, show)


@behave.when("handles: the reader closes its connections while a prompt waits")
def reader_closes_connections(context):
    async def close():
        engines(context)[0].reset_connections()

    serve_after(context, close)


@behave.when("handles: the reader closes the connection after it has read a prompt")
def reader_closes_after_reading(context):
    engines(context)[0].notices.append(CLOSING)
    context.reply = context.route_runner.run(context.world.ask("digest", REQUEST))


@behave.when("handles: a client leaves while its prompt waits, and the reader {does}")
def client_leaves(context, does):
    async def leave():
        world, (reader, _) = context.world, engines(context)
        _, writer = await world.connect()
        writer.write(route_world.request("digest", REQUEST))
        await world.until(lambda: world.servers["d1"].declined)
        if does == "has restarted":
            reader.restart(context.restarted_ms)
        elif does == "has closed its connections":
            reader.reset_connections()
        writer.close()
        instance = world.instances["one"][1]
        await world.until(lambda: not instance.in_flight)
        await wait_for_releases(world, reader)

    context.route_runner.run(leave())


async def wait_for_releases(world, reader):
    """Wait until a release would have arrived: until a later request is answered."""
    reply = await world.ask("print", "r2")
    assert reply.status == 503, reply
    for _ in range(30):
        if reader.freed_handles:
            return
        await asyncio.sleep(route_world.POLL_S)


@behave.then("handles: no handle of before the restart was sent or freed")
def no_old_handle(context):
    reader, writer = engines(context)
    old = f"h-{REQUEST}" + ("" if context.started_ms is None else f"-{STARTED_MS}")
    sources = [item.fields.get("x-kv-source", "") for item in writer.received]
    sent = [source.rpartition("/")[2] for source in sources]
    assert sent and old not in sent, sent
    assert old not in reader.freed_handles, reader.freed_handles


@behave.then("handles: the prompt was read {count:d} times")
@behave.then("handles: the prompt was read {count:d} time")
def read_times(context, count):
    reader, _ = engines(context)
    found = [item for item in reader.received if item.kind == "prefill"]
    assert len(found) == count, len(found)


@behave.then("handles: the reader has freed {count:d} handles")
def freed(context, count):
    reader, _ = engines(context)
    assert len(reader.freed_handles) == count, reader.freed_handles
