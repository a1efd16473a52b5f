import asyncio
import dataclasses
import datetime
import json
import math

import behave
import cbor2
import hypothesis
import hypothesis.strategies as st
import logbook

from pimentolatch import clock, store
from pimentolatch.platform import configuration, engines, objects, server_entries
from pimentolatch.protocol import beacon_codec, beacons, snapshots
from pimentolatch.routes import engine_reports, route_table, servers
from standins import route_server
from tests.features.steps import routes_logic_steps, routes_store_steps
from tests.support import raw_server, route_world

WORDS = {
    "true": True,
    "null": None,
    "1e400": math.inf,
    "NaN": math.nan,
}


def an_entry():
    entry = route_server.RouteServer("e1", "lm", "here", "decode").entry()
    return entry | {"address": "127.0.0.1:80", "born": 1000}


def changed_entry(change):
    whole = an_entry()
    kind, *words = change.split()
    if kind == "without":
        del whole[words[-1]]
        return whole
    if kind == "that":
        return {"list": [whole], "text": "entry", "null": None}[words[-1]]
    field, text = words[0], " ".join(words[1:])
    value = WORDS[text] if text in WORDS else json.loads(text)
    return whole | {field: value}


@behave.then("entries: one {change} is unusable")
def unusable(context, change):
    assert isinstance(server_entries.decode("e1", an_entry()), servers.Server)
    decoded = server_entries.decode("e1", changed_entry(change))
    assert isinstance(decoded, server_entries.InvalidEntry), decoded
    assert decoded.reason and len(decoded.reason) < 200


@behave.then("entries: one with {field} {value:d} is unusable or can be told to peers")
def told_to_peers(context, field, value):
    server = server_entries.decode("e1", an_entry() | {field: value})
    if isinstance(server, server_entries.InvalidEntry):
        return
    told = routes_logic_steps.a_beacon()
    demand = beacons.Demand("lm", 0, 0, 0, leaving=(server.incarnation,))
    told = dataclasses.replace(told, demands=(demand,))
    assert beacon_codec.decode(beacon_codec.encode(told)) == told
    listed = snapshots.Servers(7, (server,), {})
    assert snapshots.decode_servers(snapshots.encode_servers(listed)) == listed


@behave.then('entries: the entry named "{name}" is unusable')
def unusable_name(context, name):
    # Examples lose their outer spaces.
    decoded = server_entries.decode(name.replace("_", " "), an_entry())
    assert isinstance(decoded, server_entries.InvalidEntry), decoded


@behave.then("entries: a configuration of version {version:d} is understood")
def understood(context, version):
    spec = route_world.configuration(version, route_world.ROUTES)
    assert configuration.decode(spec).version == version


@behave.then("entries: a configuration of version {version:d} is not understood")
def not_understood(context, version):
    found = decode_configuration(route_world.configuration(version, route_world.ROUTES))
    assert isinstance(found, Exception), found


@behave.then("entries: one without its born is usable")
def usable(context):
    decoded = server_entries.decode("e1", changed_entry("without its born"))
    assert decoded.incarnation == servers.Incarnation("e1", None)
    again = server_entries.decode("e1", an_entry())
    assert again.incarnation == servers.Incarnation("e1", 1000)


def rewrite(context, value):
    context.world.write("a1", value)
    context.world.advance(0.3)


@behave.when('entries: the entry of "a1" is replaced by a list')
def replaced(context):
    rewrite(context, ["no", "entry"])


@behave.when('entries: the entry of "a1" is written as it was')
def as_it_was(context):
    rewrite(context, routes_store_steps.entry("a1"))


@behave.when('entries: the entry of "a1" is replaced by {count:d} lists in turn')
def replaced_often(context, count):
    handler = logbook.TestHandler()
    with handler.applicationbound():
        for number in range(count):
            rewrite(context, [number])
    context.lines = [r for r in handler.records if r.message == "entry passed over"]


@behave.then("entries: one line tells of it")
def one_line(context):
    assert len(context.lines) == 1, context.lines


@behave.then("entries: a page with bytes that are no text gives the other server")
def unreadable_bytes(context):
    good, bad = an_entry(), an_entry() | {"service": "BAD"}
    items = [
        {"metadata": {"name": name, "revision": 3}, "spec": spec}
        for name, spec in (("e1", good), ("e2", bad))
    ]
    page = {"items": items, "has_more": False, "as_of": 3}
    body = json.dumps(page).encode().replace(b"BAD", b"\xff\xfe")

    async def listing():
        server = raw_server.RawServer(
            raw_server.ScriptedResponse(raw_server.http_response(body))
        )
        async with server.listening() as address:
            limit = datetime.timedelta(seconds=5)
            client = objects.ObjectStore(address, limit, clock.SystemClock())
            found = await client.list_objects("servers")
            client.close()
            return found

    found = asyncio.run(listing())
    assert isinstance(found, store.Listing), found
    decoded = [server_entries.decode(item.name, item.value) for item in found.objects]
    assert [isinstance(item, servers.Server) for item in decoded] == [True, False]


SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=12)
    | st.sampled_from(["ready", "draining", "decode", "127.0.0.1:80", "1:2:3"])
)
ANYTHING = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=6), inner, max_size=4)
    ),
    max_leaves=12,
)


def mutated(whole):
    """Return a strategy of values like `whole` with one place replaced or left out."""
    if not isinstance(whole, dict | list) or not whole:
        return st.just(whole) | ANYTHING
    places = st.sampled_from(
        list(whole) if isinstance(whole, dict) else range(len(whole))
    )
    changed = places.flatmap(
        lambda place: mutated(whole[place]).map(
            lambda new: replaced_at(whole, place, new)
        )
    )
    left_out = places.map(lambda place: without_place(whole, place))
    return st.one_of(changed, changed, changed, left_out, ANYTHING)


def replaced_at(whole, place, new):
    if isinstance(whole, dict):
        return whole | {place: new}
    return [*whole[:place], new, *whole[place + 1 :]]


def without_place(whole, place):
    if isinstance(whole, dict):
        return {key: value for key, value in whole.items() if key != place}
    return [*whole[:place], *whole[place + 1 :]]


def report():
    return {
        "stage": "decode",
        "busy": False,
        "sequence": 2,
        "queued": 1,
        "running": 3,
        "runs": [["r1", 10, 2, 5]],
        "born": 1000,
    }


def as_json(value):
    return json.dumps(value).encode()


def snapshot():
    listed = (server_entries.decode("e1", an_entry()),)
    expired = {"e1": datetime.timedelta(seconds=1)}
    return cbor2.loads(snapshots.encode_servers(snapshots.Servers(7, listed, expired)))


def decode_configuration(spec):
    try:
        return configuration.decode(spec)
    except configuration.DECODE_ERRORS as error:
        return error


def decode_prefill_result(value):
    try:
        return engines.decode_prefill_result(as_json(value))
    except ValueError as error:
        return error


def decode_cbor(decode):
    return lambda value: decode(cbor2.dumps(value))


@dataclasses.dataclass(frozen=True)
class Fuzzed:
    whole: object
    decode: object
    given: tuple


TARGETS = {
    "entries": Fuzzed(
        an_entry(),
        lambda spec: server_entries.decode("e1", spec),
        (servers.Server, server_entries.InvalidEntry),
    ),
    "configurations": Fuzzed(
        route_world.configuration(3, route_world.ROUTES[:1]),
        decode_configuration,
        (route_table.Configuration, Exception),
    ),
    "reports": Fuzzed(
        report(),
        lambda value: engines.decode_report(as_json(value)),
        (engine_reports.EngineReport, type(None)),
    ),
    "read prompts": Fuzzed(
        {"kv_handle": "h1", "tokens": 5, "version": 1},
        decode_prefill_result,
        (engines.PrefillResult, ValueError),
    ),
    "beacons": Fuzzed(
        cbor2.loads(beacon_codec.encode(routes_logic_steps.a_beacon())),
        decode_cbor(beacon_codec.decode),
        (beacons.Beacon, beacon_codec.Malformed),
    ),
    "snapshots": Fuzzed(
        snapshot(),
        decode_cbor(snapshots.decode_servers),
        (snapshots.Servers, snapshots.Malformed),
    ),
}


@behave.then("entries: {count:d} fuzzed {what} give a value or a reason")
def fuzzed(context, count, what):
    target = TARGETS[what]
    seen = set()

    @hypothesis.seed(11)
    @hypothesis.settings(
        max_examples=count,
        database=None,
        deadline=None,
        derandomize=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(mutated(target.whole))
    def check(value):
        given = target.decode(value)
        assert isinstance(given, target.given), given
        seen.add(type(given).__name__)

    with logbook.NullHandler():
        check()
    assert len(seen) > 1, f"only {seen}"


@behave.given('entries: a server of software version "{version}"')
def server_of_version(context, version):
    entry = route_server.RouteServer("s1", "lm", "here", "decode", version).entry()
    server = server_entries.decode("s1", entry | {"address": "127.0.0.1:9100"})
    assert isinstance(server, servers.Server), server
    context.snapshot = snapshots.Servers(7, (server,), {})


@behave.then('entries: peers that ask for versions read "{version}" in its list')
def versions_read(context, version):
    body = snapshots.encode_servers(context.snapshot)
    (read,) = snapshots.decode_servers(body).listed
    assert read.version == version, read
    assert read == context.snapshot.listed[0]


@behave.then(
    "entries: peers of an earlier release get rows of {count:d} fields,"
    " without a version"
)
def rows_without(context, count):
    body = snapshots.encode_servers(context.snapshot, versions=False)
    _, (row,), _ = cbor2.loads(body)
    assert len(row) == count, row
    (read,) = snapshots.decode_servers(body).listed
    assert read.version == "", read


@behave.then("entries: its list with any field of another row made odd has it")
def odd_rows(context):
    body = snapshots.encode_servers(context.snapshot)
    revision, (row,), expired = cbor2.loads(body)
    passed_over = 0
    for place in range(len(row)):
        for odd in (10**400, "x" * 300, [[]], {}, float("nan")):
            changed = replaced_at(row, place, odd)
            listed = cbor2.dumps([revision, [changed, None, row], expired])
            read = snapshots.decode_servers(listed)
            assert isinstance(read, snapshots.Servers), (place, odd, read)
            assert context.snapshot.listed[0] in read.listed, (place, odd)
            passed_over += len(read.passed_over) == 2
    assert passed_over > len(row), passed_over
