import asyncio
import datetime
import json
from unittest import mock

import behave
import logbook

from pimentolatch import clock
from pimentolatch.gateway import store_watch
from pimentolatch.gateway.peers import reader_exchange
from pimentolatch.protocol import beacon_codec, beacons
from pimentolatch.routes import notices
from tests.features.steps import routes_serving_steps
from tests.support import route_world

KEYS = {
    "north": ["k-north-first", "k-north-second"],
    "south": ["k-south-first"],
}
UNKNOWN = "k-nobodys"
OPEN = route_world.route("open", "app", "safe", public=True)
ROUTES = [*route_world.ROUTES, OPEN]
WAIT_S = 0.3


def customers(keys=None, **ranks):
    """Return customers as the operator writes them."""
    entries = []
    for name, held in (keys or KEYS).items():
        entry = {"name": name, "api_keys": list(held)}
        if name in ranks:
            entry["priority"] = ranks[name]
        entries.append(entry)
    return entries


async def change(context, version, keys):
    """Write other keys and wait until the instance has them."""
    await context.world.configure(version, ROUTES, customers(keys, north=0))
    await in_force(context, version)


async def in_force(context, version, name="one"):
    _, instance = context.world.instances[name]
    await context.world.until(lambda: instance.fleet.version == version)


async def ask(context, place, key, request_id="r1", name="one", **fields):
    """Ask with a key; None for none."""
    if key is not None:
        fields["api_key"] = key
    return await context.world.ask(place, request_id, name=name, body=b"text", **fields)


@behave.given('customers: a store with customers "north" and "south"')
def store(context):
    routes_serving_steps.start(context)
    context.log = logbook.TestHandler()
    context.log.push_application()
    context.add_cleanup(context.log.pop_application)
    context.run(context.world.start_store())
    context.run(context.world.configure(1, ROUTES, customers(north=0)))


def received(context):
    return [
        item
        for server in context.world.servers.values()
        for item in server.received
        if item.kind in ("run", "prefill")
    ]


@behave.when('customers: "{name}" asks for "{place}" and claims to be "{other}"')
def claims(context, name, place, other):
    asked = ask(context, place, KEYS[name][0], x_tenant=other)
    context.reply = context.run(asked)


@behave.when(
    'customers: "{name}" asks for "{place}" and names the customer a connection field'
)
def named_by_connection(context, name, place):
    asked = ask(context, place, KEYS[name][0], connection="x-tenant")
    context.reply = context.run(asked)


@behave.then('customers: the server was told "{told}" and no key')
def was_told(context, told):
    assert context.reply.status == 200, context.reply
    got = received(context)
    assert got
    for item in got:
        wanted = None if told == "nobody" else told
        assert item.fields.get("x-tenant") == wanted, item.fields
        assert "api-key" not in item.fields
        assert not any(key in str(item) for held in KEYS.values() for key in held)


def key_fields(described):
    """Return the lines of a header that holds keys as described."""
    first, second = KEYS["north"]
    return {
        "no key": "",
        "an empty key": "api-key: \r\n",
        "an unknown key": f"api-key: {UNKNOWN}\r\n",
        "the key in other case": f"api-key: {first.upper()}\r\n",
        "the same key twice": 2 * f"api-key: {first}\r\n",
        "two keys": f"api-key: {first}\r\napi-key: {second}\r\n",
        "spaces around the key": f"api-key: \t {first} \t\r\n",
    }[described]


def ask_with(context, described):
    async def send():
        reader, writer = await context.world.connect()
        whole = route_world.request("notify", "r1")
        head, _, rest = whole.partition(b"\r\n")
        writer.write(head + b"\r\n" + key_fields(described).encode() + rest)
        try:
            async with asyncio.timeout(route_world.WAIT_S):
                return await route_world.reply(reader)
        finally:
            writer.close()

    return context.run(send())


@behave.when('customers: a client asks for "notify" with each of')
def with_each(context):
    context.replies = [ask_with(context, row["keys"]) for row in context.table]


@behave.when('customers: a client asks for "notify" with spaces around the key')
def with_spaces(context):
    context.reply = ask_with(context, "spaces around the key")


@behave.then("customers: each is refused with 401, not run, and no server got one")
def each_refused(context):
    assert context.replies
    for reply in context.replies:
        context.reply = reply
        refused(context)


@behave.then("customers: it is refused with 401, not run, and no server got it")
def refused(context):
    assert context.reply.status == 401, context.reply
    error = json.loads(context.reply.body)["error"]
    assert error["execution"] == "not run", error
    assert "retry-after" not in context.reply.fields
    assert received(context) == []


@behave.when('customers: the first key of "north" is taken away')
def first_goes(context):
    context.run(change(context, 2, KEYS | {"north": KEYS["north"][1:]}))


@behave.then('customers: the first key of "north" is refused and the second is served')
def first_refused(context):
    statuses = [
        context.run(ask(context, "notify", key)).status for key in KEYS["north"]
    ]
    assert statuses == [401, 200], statuses


@behave.when('customers: a third key of "north" is added')
def third_added(context):
    assert context.run(ask(context, "notify", "k-north-third")).status == 401
    context.run(change(context, 2, KEYS | {"north": [*KEYS["north"], "k-north-third"]}))


@behave.then('customers: the third key of "north" is served')
def third_served(context):
    assert context.run(ask(context, "notify", "k-north-third")).status == 200


@behave.when(
    'customers: the first instance alone hears that keys of "north" have changed'
)
def first_alone_hears(context):
    _, instance = context.world.instances["one"]
    changed = customers(KEYS | {"north": ["k-north-third"]})
    spec = route_world.configuration(2, ROUTES, changed)
    store_watch.apply_configuration(instance.fleet, spec)
    context.run(in_force(context, 2, "two"))


@behave.then(
    "customers: the second instance serves the new key and refuses the old one"
)
def second_follows(context):
    keys = ["k-north-third", KEYS["north"][0]]
    statuses = [
        context.run(ask(context, "notify", key, name="two")).status for key in keys
    ]
    # The store is away, so the second is asked to come back rather than shut out.
    assert statuses == [200, 503], statuses


@behave.when("customers: the key goes while its request waits for an engine")
def goes_while_waiting(context):
    async def both():
        world = context.world
        _, instance = world.instances["one"]
        await world.drain("d1")
        await world.until(lambda: instance.fleet.servers.get("d1").draining)
        asked = asyncio.create_task(ask(context, "digest", KEYS["north"][0]))
        await asyncio.sleep(WAIT_S)
        assert not asked.done(), asked.result()
        await change(context, 2, KEYS | {"north": KEYS["north"][1:]})
        await world.add_server("d2", "lm", "decode")
        return await asked

    context.reply = context.run(both())


@behave.when("customers: the key goes while its request waits for a permit")
def goes_while_without_permit(context):
    async def both():
        _, instance = context.world.instances["one"]
        # The answer to a health check would end the limit that is observed below.
        await context.world.until(lambda: not instance.fleet.unconfirmed_servers)
        await context.world.until(lambda: not instance.fleet.presumed_servers)
        server = instance.fleet.servers.get("a1")
        notice = notices.Notice(notices.RateLimit(0.0))
        now = datetime.timedelta(seconds=asyncio.get_running_loop().time())
        instance.flow.observe(server, notice, now, "request")
        asked = asyncio.create_task(ask(context, "notify", KEYS["north"][0]))
        await asyncio.sleep(WAIT_S)
        assert not asked.done(), asked.result()
        await change(context, 2, KEYS | {"north": KEYS["north"][1:]})
        return await asked

    context.reply = context.run(both())


@behave.when("customers: the key goes before the stream of its request breaks")
def goes_before_break(context):
    context.shared_faults = [["late cut"], []]
    context.run(routes_serving_steps.accepted(context, "d2"))
    routes_serving_steps.share_faults(context)

    async def both():
        asked = asyncio.create_task(ask(context, "digest", KEYS["north"][0]))
        await context.world.until(lambda: received(context))
        await change(context, 2, KEYS | {"north": KEYS["north"][1:]})
        return await asked

    context.reply = context.run(both())


@behave.then("customers: one engine ran it and the answer does not look whole")
def one_ran(context):
    assert not context.reply.complete, context.reply
    assert len(received(context)) == 1, received(context)


@behave.when("customers: the store goes away and an unknown key is tried")
def unknown_while_away(context):
    async def both():
        await context.world.stop_store()
        _, instance = context.world.instances["one"]
        await context.world.until(lambda: instance.fleet.store_unreachable)
        return await ask(context, "notify", UNKNOWN)

    context.reply = context.run(both())


@behave.when(
    "customers: the store goes away, a peer goes on reading it and an unknown key is"
    " tried"
)
def unknown_while_turned_away(context):
    async def both():
        await context.world.stop_store()
        _, instance = context.world.instances["one"]
        fleet = instance.fleet
        await context.world.until(lambda: fleet.store_unreachable)
        exchange = reader_exchange.ReaderExchange(
            "one", fleet, instance.peers, clock.SystemClock()
        )
        row = beacons.Reader("two", 0, 0, 0)
        exchange.receive(
            beacons.Beacon("two", "here", "1", fleet.version, 0, False, (row,), ())
        )
        return await ask(context, "notify", UNKNOWN)

    context.reply = context.run(both())


@behave.then("customers: it is refused for good")
def refused_for_good(context):
    assert context.reply.status == 401, context.reply
    assert received(context) == []


@behave.when("customers: a peer announces a newer configuration and {what} is tried")
def tried_while_behind(context, what):
    place, key = {
        "an unknown key": ("notify", UNKNOWN),
        "an unknown route": ("added-later", KEYS["north"][0]),
    }[what]

    async def announce_and_ask():
        _, instance = context.world.instances["one"]
        version = instance.fleet.version + 1
        instance.peers.receive(
            "127.0.0.9", beacons.Beacon("two", "here", "1", version, 0, False, (), ())
        )
        await context.world.until(lambda: instance.fleet.configuration_behind)
        return await ask(context, place, key)

    context.reply = context.run(announce_and_ask())


@behave.then("customers: it may come back later")
def comes_back(context):
    assert context.reply.status == 503, context.reply
    assert float(context.reply.fields["retry-after"]) > 0
    assert received(context) == []


@behave.when('customers: "{name}" asks for "digest"')
def asks_for_digest(context, name):
    context.reply = context.run(ask(context, "digest", KEYS[name][0]))


@behave.then(
    "customers: the engine is asked with an urgency from {least:d} to {most:d}"
)
def urgency(context, least, most):
    assert context.reply.status == 200, context.reply
    (item,) = received(context)
    assert least <= int(item.fields["x-request-urgency"]) <= most, item.fields


@behave.when('customers: "north" asks for the same with both of its keys')
def same_with_both(context):
    for number, key in enumerate(KEYS["north"]):
        context.run(ask(context, "notify", key, f"r{number}"))


@behave.when('customers: "south" asks for the same')
def south_same(context):
    context.run(ask(context, "notify", KEYS["south"][0], "r2"))


@behave.then("customers: the log names the first two alike and the third otherwise")
def digests_alike(context):
    def named():
        records = context.log.records
        return [r.kwargs["digest"] for r in records if r.message == "answered"]

    context.run(context.world.until(lambda: len(named()) == 3))
    digests = named()
    assert digests[0] == digests[1] != digests[2], digests


@behave.when("customers: all kinds of requests are made and servers fail")
def all_kinds(context):
    async def make():
        world = context.world
        for number, place in enumerate(["notify", "print", "digest", "draft", "open"]):
            for key in (KEYS["north"][0], UNKNOWN):
                await ask(context, place, key, f"r{number}")
        for server in world.servers.values():
            server.faults.extend(["reset", "fail"])
        for number, place in enumerate(["notify", "print", "draft"]):
            await ask(context, place, KEYS["south"][0], f"s{number}")
        context.metrics = await world.ask_metrics()
        await world.until(lambda: encoded.called)

    context.datagrams = []

    def encode(beacon, whole=beacon_codec.encode):
        context.datagrams.append(whole(beacon))
        return context.datagrams[-1]

    with mock.patch.object(beacon_codec, "encode", side_effect=encode) as encoded:
        context.run(make())


@behave.then("customers: no log line, metric or datagram holds a key")
def no_key_written(context):
    lines = [f"{r.message} {r.kwargs} {r.extra}" for r in context.log.records]
    assert any("answered" in line for line in lines)
    datagrams = b"".join(context.datagrams).decode("latin-1")
    written = "\n".join([*lines, str(context.metrics), datagrams])
    keys = [UNKNOWN, *KEYS["north"], *KEYS["south"]]
    found = [key for key in keys if key in written]
    assert not found, found


@behave.when("customers: twenty versions follow each other, each with another key")
def storm(context):
    async def write():
        for number in range(2, 22):
            spec = KEYS | {"north": [f"k-{number}"]}
            await context.world.configure(number, ROUTES, customers(spec))
        await in_force(context, 21)

    context.run(write())


@behave.then("customers: the last key is served and the one before is refused")
def last_served(context):
    keys = ["k-21", "k-20"]
    statuses = [context.run(ask(context, "notify", key)).status for key in keys]
    assert statuses == [200, 401], statuses


def errors(context):
    return [r for r in context.log.records if "not understood" in r.message]


def north_with(mistake):
    """Return customers of whom one has what is described."""
    listed = customers()
    listed[0] |= {
        "no list of keys": {"api_keys": KEYS["north"][0]},
        "a number as its key": {"api_keys": [KEYS["north"][0], 17]},
        "an empty key": {"api_keys": [""]},
        'the key of "south"': {"api_keys": KEYS["south"]},
        "a word as priority": {"priority": "urgent"},
        "an unknown field": {"colour": "blue"},
    }[mistake]
    return listed


@behave.when('customers: versions come in which "north" has')
def mistaken(context):
    async def write_all():
        for number, row in enumerate(context.table, 1):
            listed = north_with(row["mistake"])
            await context.world.configure(1 + number, ROUTES, listed)
            await context.world.until(lambda n=number: len(errors(context)) == n)

    context.run(write_all())
    context.named = [row["named"] for row in context.table]


@behave.when('customers: a version comes in which "digest" has the priority {rank:d}')
def mistaken_route(context, rank):
    async def write():
        routes = [
            fields | {"priority": rank} if fields["name"] == "digest" else fields
            for fields in ROUTES
        ]
        await context.world.configure(2, routes, customers(north=0))
        await context.world.until(lambda: len(errors(context)) == 1)

    context.run(write())
    context.named = ["priority of route"]


@behave.then("customers: each error names the customer and no key")
def error_names(context):
    for record, name in zip(errors(context), context.named, strict=True):
        text = str(record.kwargs)
        assert name in text, text
        assert not any(key in text for held in KEYS.values() for key in held), text


@behave.then("customers: the keys of before are in force")
def before_in_force(context):
    assert context.run(ask(context, "notify", KEYS["north"][0])).status == 200
    assert context.run(ask(context, "notify", UNKNOWN)).status == 401


@behave.when('customers: a version comes in which "north" has an unknown field')
def unknown_field(context):
    listed = north_with("an unknown field")
    context.run(context.world.configure(2, ROUTES, listed))


@behave.then("customers: the new version is in force")
def new_in_force(context):
    context.run(in_force(context, 2))
    assert context.run(ask(context, "notify", KEYS["north"][0])).status == 200
