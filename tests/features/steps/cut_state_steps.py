import asyncio
import datetime
import json

import behave

from pimentolatch import clock, store
from pimentolatch.backend import channel
from pimentolatch.gateway.peers import peer_snapshots
from pimentolatch.platform import control_api, objects
from pimentolatch.protocol import snapshots
from tests.support import cutting_server

SECOND = datetime.timedelta(seconds=1)
# Long enough for a busy machine: what is cut ends by itself.
AMPLE = 20 * SECOND
AT_ONCE = 32
ITEMS = [
    {"metadata": {"name": f"s{n}", "revision": n + 1}, "spec": {"n": n}}
    for n in range(2)
]
LIST = {"items": ITEMS, "as_of": 7, "has_more": False}
EVENTS = [{"object": item, "deleted": False} for item in ITEMS]
CHANGES = {"events": EVENTS, "as_of": 7}
SERVERS = snapshots.encode_servers(snapshots.Servers(7, (), {}), versions=True)
CONFIGURATION = snapshots.encode_configuration(
    snapshots.Configuration({"version": 3, "routes": []})
)


def object_store(address):
    return objects.ObjectStore(address, AMPLE, clock.SystemClock())


async def get(address):
    return await object_store(address).get("servers", "s0")


async def write(address):
    return await object_store(address).put("servers", "s0", {}, if_version=1)


async def remove(address):
    return await object_store(address).delete("servers", "s0", if_version=1)


async def listing(address):
    return await object_store(address).list_objects("servers")


async def watch(address):
    return await object_store(address).watch("servers", after=1, wait=SECOND)


def snapshot(path, decode):
    async def fetch(address):
        try:
            return decode((await peer_snapshots.fetch(address, path)).body)
        except channel.BrokenError as error:
            return error

    return fetch


async def usage_report(address):
    api = control_api.ControlApi(address, clock.SystemClock())
    return await api.report_usage(control_api.Holder("own", 1), 1, {"c": 1})


# What is called, what is answered, and what counts as a success.
CALLS = {
    "a listing": (listing, LIST, store.Listing),
    "a watch": (watch, CHANGES, store.Changes),
    "a read": (get, ITEMS[0], store.Found),
    "a write": (write, ITEMS[0], store.Written),
    "a removal": (remove, ITEMS[0], store.Written),
    "a usage report": (usage_report, {}, control_api.Accepted),
    "a peer's servers": (
        snapshot("/v1/servers", snapshots.decode_servers),
        SERVERS,
        snapshots.Servers,
    ),
    "a peer's configuration": (
        snapshot("/v1/configuration", snapshots.decode_configuration),
        CONFIGURATION,
        snapshots.Configuration,
    ),
}
FAILURES = (
    store.Unavailable,
    control_api.Unanswered,
    channel.BrokenError,
    snapshots.Malformed,
)


@behave.when("cut state: {call} is answered with {form}, cut after every byte")
def call_with_cuts(context, call, form):
    make, content, context.success = CALLS[call]
    body = content if isinstance(content, bytes) else json.dumps(content).encode()
    half = len(body) // 2
    context.form = cutting_server.plain_forms(b"", [body[:half], body[half:]])[form]
    limit = asyncio.Semaphore(AT_ONCE)

    async def one(cut):
        server = cutting_server.CuttingServer(context.form, cut, names_cuts=False)
        async with limit, server.listening() as address:
            try:
                return cut, await make(address)
            except Exception as error:
                return cut, error

    async def all_of_them():
        return dict(await asyncio.gather(*map(one, context.form.cuts())))

    context.outcomes = asyncio.run(all_of_them())


@behave.then("cut state: only the whole answer succeeds, and the others have failed")
def only_whole(context):
    form = context.form
    whole = context.outcomes[cutting_server.Cut(len(form.raw), "closed")]
    assert isinstance(whole, context.success), whole
    wrong = {}
    for cut, outcome in context.outcomes.items():
        # What has no length may look whole without its last bytes.
        is_whole = form.whole_body(cut) == form.body
        is_right = outcome == whole if is_whole else isinstance(outcome, FAILURES)
        if not is_right:
            wrong[cutting_server.cut_name(cut)] = outcome
    assert not wrong, f"{len(wrong)} of {len(context.outcomes)}: {wrong}"
