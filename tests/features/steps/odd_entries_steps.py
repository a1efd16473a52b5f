import asyncio
import collections
import datetime
import json

import behave
import cbor2
import hypothesis
import hypothesis.strategies as st
import logbook

from pimentolatch import bounded_json, clock, settings, store
from pimentolatch.membership import view_table
from pimentolatch.platform import objects
from pimentolatch.protocol import messages
from standins import object_table, platform, route_server
from tests.support import restartable_store, route_world, usage_world

HOSTS = {"one": "127.0.0.1", "two": "127.0.0.2", "three": "127.0.0.3"}


def entry_text(field, text):
    """Return an entry of which one field has this text for its value."""
    whole = route_server.RouteServer("odd", "app", "here", None).entry()
    mark = "the value"
    encoded = json.dumps(whole | {"address": "127.0.0.1:80"} | {field: mark})
    return object_table.RawJson(encoded.encode().replace(b'"the value"', text))


ODDITIES = {
    "nested 100000 levels deep": entry_text("zone", b"[" * 100_000 + b"]" * 100_000),
    "with a number of 100000 digits": entry_text("slots", b"9" * 100_000),
    "with the port 99999": entry_text("address", b'"127.0.0.1:99999"'),
    "with an unpaired surrogate": entry_text("version", rb'"\ud800"'),
}


def start_instance(context, name):
    known = [] if name == "one" else [f"{HOSTS['one']}:{context.world.peer_port}"]
    context.run(context.world.add_instance(name, known, HOSTS[name]))


def uses(context, name, server_id):
    fleet = context.world.instances[name][1].fleet
    known = context.world.until(lambda: fleet.servers.get(server_id) is not None)
    context.run(known)


@behave.given('odd: instances "one" and "two"')
def two_instances(context):
    context.handler = logbook.TestHandler()
    context.handler.push_application()
    context.add_cleanup(context.handler.pop_application)
    start_instance(context, "one")
    start_instance(context, "two")


@behave.when("odd: another writer adds an entry {oddity} to the servers")
def add_odd(context, oddity):
    context.run(context.world.write("servers", "odd", ODDITIES[oddity]))


@behave.step('odd: a plain server "{name}" starts')
def start_server(context, name):
    context.run(context.world.add_server(name, "app"))


@behave.when('odd: an instance "{name}" starts')
def one_more(context, name):
    start_instance(context, name)


@behave.step('odd: "one" and "two" use "{server_id}"')
def both_use(context, server_id):
    uses(context, "one", server_id)
    uses(context, "two", server_id)


@behave.then('odd: "{name}" uses "{server_id}"')
def one_uses(context, name, server_id):
    uses(context, name, server_id)


@behave.then('odd: "{name}" uses what is written after {seconds:d} s of this')
def still_follows(context, name, seconds):
    context.run(asyncio.sleep(seconds))
    context.run(context.world.add_server("late", "app"))
    uses(context, name, "late")


@behave.then("odd: each of them logs once that it passes over the entry")
def logged(context):
    lines = [r for r in context.handler.records if r.message == "entry passed over"]
    assert [line.kwargs["name"] for line in lines] == ["odd", "odd"], lines
    assert all(line.kwargs["reason"] for line in lines)


def nested(opening, depth, closing):
    return opening * depth + b"1" + closing * depth


# Texts of JSON values, many of which no reader represents.
VALUES = st.one_of(
    st.builds(nested, st.just(b"["), st.integers(1, 20_000), st.just(b"]")),
    st.builds(nested, st.just(b'{"a":'), st.integers(1, 20_000), st.just(b"}")),
    st.builds(
        lambda sign, digits, end: sign + b"9" * digits + end,
        st.sampled_from([b"", b"-"]),
        st.integers(1, 20_000),
        st.sampled_from([b"", b".5", b"e400", b"e-400"]),
    ),
    st.sampled_from([b"NaN", b"Infinity", b"-Infinity", b"null", b"[]", b"{}"]),
    st.sampled_from([rb'"\ud800"', rb'"\udc00\ud800"', b'"\xff\xfe"', rb'"\u0000"']),
    # Brackets, quotes and escapes within strings must not be taken for structure.
    st.text('[]{}"\\,:a\n', max_size=12).map(lambda text: json.dumps(text).encode()),
)
PLACES = st.sampled_from(
    [b"%b", b'{"zone":%b}', b'{"a":[1,%b,{"b":%b}],"c":2}', b'{"%b":1}', b"[%b,%b]"]
)
SOUND = {"sound": True}
KIND = "things"


def odd_text(place, value):
    if place == b'{"%b":1}':
        value = value.strip(b'"') if value.startswith(b'"') else b"key"
    return place.replace(b"%b", value)


async def read_beside(client, table, text):
    """Write an odd object before a sound one; return how the latter is read."""
    before = table.revision
    for name, value in (("odd", object_table.RawJson(text)), ("sound", SOUND)):
        current = table.get(KIND, name)
        version = 0 if current is None else current.version
        await table.put(KIND, name, value, version)
    no_wait = datetime.timedelta()
    listed = await client.list_objects(KIND)
    watched = await client.watch(KIND, after=before, wait=no_wait)
    read = await client.get(KIND, "odd")
    assert isinstance(listed, store.Listing), (text[:80], listed)
    assert isinstance(watched, store.Changes), (text[:80], watched)
    assert isinstance(read, store.Found), (text[:80], read)
    by_list = {item.name: item.value for item in listed.objects}
    by_watch = {item.name: item.value for item in watched.changed}
    assert by_list["sound"] == by_watch["sound"] == SOUND
    return by_list["odd"], by_watch["odd"], read.value


@behave.then(
    "odd: beside {count:d} generated objects a sound one is listed, watched and read"
)
def read_generated(context, count):
    state = platform.Platform(reads_per_second=1e6)
    port = route_world.free_port()
    served = restartable_store.RestartableStore(state, route_world.HOST, port)
    address = settings.Address(host=route_world.HOST, port=port)
    limit = datetime.timedelta(seconds=5)
    client = objects.ObjectStore(address, limit, clock.SystemClock())
    kinds = collections.Counter()

    @hypothesis.settings(
        max_examples=count, database=None, deadline=None, derandomize=True
    )
    @hypothesis.given(PLACES, VALUES)
    def check(place, value):
        text = odd_text(place, value)
        values = runner.run(read_beside(client, state.table, text))
        for found in values:
            readable = not isinstance(found, bounded_json.Unreadable)
            kinds[readable] += 1
            if readable:
                assert bounded_json.first_unreadable(found) is None
                # Peers get what was read.
                cbor2.dumps(found)

    with asyncio.Runner() as runner:
        runner.run(served.start())
        check()
        client.close()
        runner.run(served.stop())
    assert min(kinds[True], kinds[False]) > count / 4, kinds


def overwrite(table, kind, name, value):
    """Replace an object of the instances, as another writer would."""
    version = table.get(kind, name).version
    asyncio.run(table.put(kind, name, value, version))


UNREADABLE = object_table.RawJson(b"[" * 1000 + b"]" * 1000)
LEASES = {
    "unreadable": UNREADABLE,
    "a list": ["one", 1],
    "without a holder": {"fence": 1},
    "with a huge fence": {"holder": "one", "fence": 10**30},
}


@behave.when("odd: another writer makes the lease {oddity}")
def odd_lease(context, oddity):
    overwrite(context.lease_table, "pimentolatch-leases", "stages", LEASES[oddity])


@behave.then('odd: "{name}" holds the lease with a higher fence, which peers can read')
def higher_fence(context, name):
    held = context.leases[name]
    assert held.valid() and 1 < held.fence < 2**53, held.fence


@behave.when("odd: another writer makes the stored number of servers a list")
def odd_number(context):
    (row,) = context.fleet.table.list_objects("pimentolatch-capacity")
    overwrite(context.fleet.table, "pimentolatch-capacity", row.name, [8])


USAGE_RECORDS = {
    "unreadable": UNREADABLE,
    "without readable windows": {"windows": {"x": {"a": 1}, "1": 7, "2": {"a": []}}},
}


@behave.then("odd: usage is reported on after its record is {oddity}")
def usage_goes_on(context, oddity):
    world = usage_world.UsageWorld(1, faulty=False)
    asyncio.run(world.play(60))
    overwrite(world.table, "pimentolatch-usage", "windows", USAGE_RECORDS[oddity])
    before = {call.window for call in world.receiver.accepted}
    asyncio.run(world.play(60))
    after = {call.window for call in world.receiver.accepted}
    assert before and max(after) > max(before), (before, after)


@behave.step("odd: the configuration becomes unreadable")
def odd_configuration(context):
    text = object_table.RawJson(
        b'{"version":2,"routes":' + b"[" * 1000 + b"]" * 1000 + b"}"
    )
    context.run(context.world.write("config", "main", text))


@behave.when('odd: an instance "{name}" starts without a configuration')
def starts_without(context, name):
    context.run(context.world.add_instance(name, host=HOSTS[name], ready=False))
    instance = context.world.instances[name][1]
    context.run(context.world.until(lambda: instance.fleet.servers_listed))


@behave.then('odd: "{name}" still serves with version {version:d}')
def still_serves(context, name, version):
    context.run(asyncio.sleep(1))
    assert context.world.instances[name][1].fleet.version == version
    assert context.run(context.world.ask_ready(name)) == 200
    uses(context, name, "a1")
    reply = context.run(context.world.ask("notify", f"r-{name}", name=name))
    assert reply.status == 200, reply


@behave.then('odd: "{name}" is not ready and refuses requests as not run')
def not_ready(context, name):
    assert context.run(context.world.ask_ready(name)) == 503
    reply = context.run(context.world.ask("notify", "r1", name=name))
    assert reply.status == 503 and "retry-after" in reply.fields, reply


@behave.when("odd: a configuration of version {version:d} is written")
def write_configuration(context, version):
    context.run(context.world.configure(version))


@behave.then('odd: "{name}" becomes ready with version {version:d}')
def becomes_ready(context, name, version):
    context.run(context.world.until_ready(name))
    assert context.world.instances[name][1].fleet.version == version


@behave.then("odd: a peer's view nested {depth:d} levels deep is malformed")
def nested_view(context, depth):
    stored = messages.StoredView("here", 1, "[" * depth + "]" * depth)
    assert view_table.view_from_message(stored) is None
