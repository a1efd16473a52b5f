import asyncio
import re
import types

import behave

from pimentolatch.backend import channel
from pimentolatch.gateway import event_relay, sse
from tests.support import route_world

FORMS = {
    "plain events": "id: {number}\ndata: piece {number}\n\n",
    "a comment after each event": "id: {number}\ndata: piece {number}\n\n: c\n\n",
    "a comment line after each": "id: {number}\ndata: piece {number}\n\n: c\n",
    "a comment before each event": ":\n\nid: {number}\ndata: piece {number}\n\n",
    "a comment in each event": "id: {number}\n: c\ndata: piece {number}\n\n",
    "several comments": ": a\n:b\n\nid: {number}\ndata: piece {number}\n\n:\n\n: d\n",
    "several data lines": "data: piece {number}\nid:{number}\ndata: more\n\n",
    "a retry time": "id: {number}\nretry: 50\ndata: piece {number}\n\nretry: 9\n\n",
    "a second id": "id: x\nid: {number}\ndata: piece {number}\n\n",
    "CR LF": "id: {number}\r\ndata: piece {number}\r\n\r\n",
    "CR": "id: {number}\rdata: piece {number}\r\r",
    "CR LF and comments": "id: {number}\r\ndata: piece {number}\r\n\r\n: c\r\n\r\n",
    "a byte order mark": "id: {number}\ndata: piece {number}\n\n",
    "unnumbered events": "id: {number}\ndata: piece {number}\n\ndata: extra\n\n",
}
MARK = "\ufeff".encode()
LAST_PARTS = {
    "a comment line": b": bye\n",
    "a comment without a line end": b": bye",
}


def numbers_and_extras(body):
    """Parse a stream as a client does: its pieces, and how many other events it has."""
    text = body.decode().removeprefix("\ufeff")
    assert "\ufeff" not in text, "a byte order mark within the stream"
    pieces, extras = [], 0
    for event in re.split(r"(?:\r\n|\n|\r){2}", text):
        lines = re.split(r"\r\n|\n|\r", event)
        data = [line.removeprefix("data: ") for line in lines if line[:5] == "data:"]
        if data and data[0].startswith("piece "):
            pieces.append(int(data[0].split()[1]))
        extras += bool(data) and not data[0].startswith("piece ")
    return pieces, extras


@behave.given(
    "event streams: two engines that send {form}, in chunks of {size:d} bytes"
)
def two_engines(context, form, size):
    context.route_runner = route_world.runner()
    context.world = world = route_world.RouteWorld()

    async def build():
        await world.start_store()
        await world.configure(1)
        for name in ("d1", "d2"):
            server = await world.add_server(name, "lm", "decode")
            server.event_format = FORMS[form]
            server.chunk_bytes = size
            server.stream_prefix = MARK if form == "a byte order mark" else b""
        await world.add_instance()

    context.route_runner.run(build())


def share_faults(context, *faults):
    """Give the faults to whichever engines serve the next requests."""
    shared = context.world.servers["d1"].faults
    shared.clear()
    shared.extend(faults)
    context.world.servers["d2"].faults = shared


@behave.given("event streams: the engine that takes over starts from the beginning")
def starts_from_beginning(context):
    context.then = "from the start"


@behave.when("event streams: the engine that streams crashes within its third event")
def crashes(context):
    share_faults(context, "cut", getattr(context, "then", ""))
    ask(context, "digest")


@behave.given("event streams: the last event is followed by {what}")
def last_part(context, what):
    for server in context.world.servers.values():
        server.stream_suffix = LAST_PARTS[what]


@behave.when("event streams: a client asks")
def client_asks(context):
    ask(context, "digest")


def ask(context, route):
    context.reply = context.route_runner.run(context.world.ask(route, "r1"))


@behave.when(
    "event streams: an engine sends a comment only, for a request that may not move"
)
def comment_only_stays(context):
    share_faults(context, "comment only")
    ask(context, "draft")


@behave.when(
    "event streams: an engine sends a comment only, for a request that may move"
)
def comment_only_moves(context):
    share_faults(context, "comment only")
    ask(context, "digest")


@behave.then("event streams: the client is told that its request failed")
def told(context):
    assert context.reply.status == 502, context.reply


@behave.then("event streams: the client has events 1 to {count:d} once each")
def has_events(context, count):
    assert context.reply.status == 200 and context.reply.complete, context.reply
    pieces, _ = numbers_and_extras(context.reply.body)
    assert pieces == list(range(1, count + 1)), (pieces, context.reply.body)


@behave.then("event streams: the client has {count:d} unnumbered events")
def has_unnumbered(context, count):
    _, extras = numbers_and_extras(context.reply.body)
    assert extras == count, (extras, context.reply.body)


@behave.then("event streams: the second engine was told to go on after event {last:d}")
def told_to_go_on(context, last):
    found = [
        item.fields.get("last-event-id")
        for server in context.world.servers.values()
        for item in server.received
        if item.kind == "run"
    ]
    assert sorted(found, key=str) == sorted([None, str(last)], key=str), found


def blocks_of(parts):
    splitter = sse.BlockSplitter()
    return [block for part in parts for block in splitter.feed(part)]


@behave.then("event streams: each split of each form gives the same numbers and bytes")
def same_blocks(context):
    for form, template in FORMS.items():
        text = "".join(template.format(number=n) for n in (7, 8)).encode()
        ways = [[text[:i], text[i:]] for i in range(len(text))]
        ways.append([bytes([byte]) for byte in text])
        for parts in ways:
            blocks = blocks_of([part for part in parts if part])
            assert b"".join(block.data for block in blocks) == text, (form, parts)
            numbers = [block.number for block in blocks if block.number]
            assert numbers == [7, 8], (form, parts, numbers)


ENDLESS = {
    "comments": (b"id: 1\ndata: x\n\n", b": c\n\n"),
    "empty lines": (b"id: 1\ndata: x\n\n", b"\n" * 1000),
    "bytes before the first event": (b"", b": " + b"c" * 1000 + b"\n"),
}


@behave.then('event streams: a relay gives up endless "{what}"')
def gives_up(context, what):
    first, repeated = ENDLESS[what]
    nothing = types.SimpleNamespace(monotonic=lambda: 0)
    response = types.SimpleNamespace(started=bool(first))
    progress = types.SimpleNamespace(last_event=0)
    request = types.SimpleNamespace(head=types.SimpleNamespace(prompt=None))
    relay = event_relay.EventRelay(
        request, response, progress, 200, (), nothing, nothing
    )
    if first:
        assert sse.count_events(relay.take(first))

    async def read_on():
        for _ in range(10_000):
            blocks = relay.take(repeated)
            if not first:
                await relay.write(blocks)

    try:
        asyncio.run(read_on())
    except channel.BrokenError:
        return
    raise AssertionError("the relay has not given up")
