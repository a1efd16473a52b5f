import asyncio
import dataclasses
import datetime
import random
import types

import behave

from pimentolatch import clock, settings, store
from pimentolatch.decisions import neighbours
from pimentolatch.gateway import (
    catch_up,
    dispatch,
    expired_entries,
    fleet_state,
    flow_control,
    pause_monitor,
    store_watch,
)
from pimentolatch.gateway import (
    settings as gateway_settings,
)
from pimentolatch.gateway.peers import peer_snapshots, peer_table
from pimentolatch.platform import http_headers
from pimentolatch.protocol import beacons, snapshots
from pimentolatch.routes import servers
from standins import route_server

SECOND = datetime.timedelta(seconds=1)
REVISION = 5
CHANGES = {
    "is listed as draining": {"draining": True},
    "is listed as started again": {"started_ms": 2000},
}


@behave.when(
    "silence: a gateway stands still, two servers report that they drain and requests"
    " come"
)
def drain_in_pause(context):
    world = context.world
    context.answers = world.runner.run(world.ask_in_pause(world.drain))


@behave.when(
    "silence: a gateway stands still, two servers have their entries removed and"
    " requests come"
)
def leave_in_pause(context):
    world = context.world
    context.answers = world.runner.run(world.ask_in_pause(world.leave))


@behave.when(
    "silence: the store gets out of reach of a gateway that stands still, two servers"
    " leave and requests come"
)
def out_of_reach_in_pause(context):
    world = context.world
    context.answers = world.runner.run(world.ask_in_pause(world.leave, cut=True))


@behave.when(
    "silence: the store gets out of reach of a gateway that stands still twice and"
    " requests come"
)
def two_pauses(context):
    world = context.world
    context.answers = world.runner.run(world.ask_in_two_pauses())


@behave.then("silence: the servers that left got none of these requests")
def got_none(context):
    assert not context.world.reached("paused"), context.world.reached("paused")


@behave.given("pauses: a client of servers and a server that is listed")
def client_and_server(context):
    context.fleet = fleet_state.FleetState()
    context.server = route_server.RouteServer("a1", "app", "here")


@behave.when(
    "pauses: a request is sent to it and it {does} before the connection is open"
)
def send_to_changed(context, does):
    context.outcome = asyncio.run(send(context.fleet, context.server, does))


async def send(fleet, server, does):
    await server.start()
    address = settings.Address(host="127.0.0.1", port=server.port)
    listed = servers.Server("a1", "app", address, "here", False, None, 1)
    fleet.replace_servers(1, [listed])

    async def change():
        if does in CHANGES:
            changed = dataclasses.replace(listed, **CHANGES[does])
            fleet.update_servers(2, [changed], [])
        else:
            fleet.update_servers(2, [], ["a1"])

    time = clock.SystemClock()
    client = dispatch.ServerClient(
        time,
        flow_control.FlowControl(neighbours.Place("own", "here"), time),
        acknowledgement_limit=SECOND,
        accepts=fleet.accepts,
        health_target=lambda server: b"/health",
        wait_until_current=change,
    )
    request = types.SimpleNamespace(
        route=types.SimpleNamespace(repeatable=True),
        service=types.SimpleNamespace(health_target=b"/health"),
        customer_name=None,
        fields=[(b"host", b"x")],
        method="POST",
        target=b"/notify",
        request_id="",
        body=b"x",
    )
    options = http_headers.DispatchOptions("a1", SECOND)
    try:
        async with asyncio.timeout(SECOND.total_seconds()):
            return await client.open(listed, request, options)
    finally:
        client.close()
        await server.stop()


@behave.then("pauses: the request is withheld and the server got nothing")
def withheld(context):
    assert isinstance(context.outcome, dispatch.Withheld), context.outcome
    assert not context.server.received


class SilentWatch:
    """A watch whose listing the store does not answer."""

    async def catch_up(self):
        await asyncio.Event().wait()


@behave.given(
    "pauses: an instance that the store does not answer, and {count:d} peers it has"
    " heard"
)
def heard_peers(context, count):
    time = clock.ManualClock()
    place = neighbours.Place("10.0.0.9", "here")
    context.peer_table = peer_table.PeerTable("own", place, time, random.Random(1))
    context.hosts = [f"10.0.0.{number}" for number in range(count)]
    for host in context.hosts:
        time.advance(SECOND)
        beacon = beacons.Beacon(f"of {host}", "here", "1", 0, REVISION, False, (), ())
        context.peer_table.receive(host, beacon)
    context.fleet = fleet_state.FleetState()


@behave.when("pauses: it catches up while the {count:d} peers it heard last are silent")
def catch_up_by_peers(context, count):
    silent = context.hosts[len(context.hosts) - count :]
    context.answering = context.hosts[len(context.hosts) - count - 1]
    asyncio.run(catch_up_beside(context, silent))


def snapshot(path):
    """Return a peer's current response."""
    body = snapshots.encode_configuration(snapshots.Configuration(None))
    if path.startswith("/v1/servers"):
        body = snapshots.encode_servers(snapshots.Servers(REVISION, (), {}))
    return peer_snapshots.Response(((b"list-age-ms", b"1"),), body)


def snapshot_fetcher(context, time, fetch):
    return peer_snapshots.SnapshotFetcher(
        context.fleet,
        context.peer_table,
        expired_entries.ExpiredServers(context.fleet, time),
        1,
        time,
        fetch,
    )


async def catch_up_beside(context, silent):
    time = clock.SystemClock()

    async def fetch(address, path, progress):
        if address.host in silent:
            await asyncio.Event().wait()
        return snapshot(path)

    fetcher = snapshot_fetcher(context, time, fetch)
    await catch_up.CatchUp([SilentWatch()], fetcher, no_catch_up)()


@behave.when(
    "pauses: it fetches the list of the peer, and stands still before it reads it"
)
def stand_still_in_fetch(context):
    time = clock.ManualClock()
    # So that the age of the list lies after the clock's origin.
    time.advance(SECOND)
    context.asked_at = time.monotonic()

    async def fetch(address, path, progress):
        if path.startswith("/v1/servers"):
            time.advance(3 * SECOND)
        return snapshot(path)

    fetcher = snapshot_fetcher(context, time, fetch)
    asyncio.run(fetcher.catch_up())


@behave.then("pauses: the list counts as confirmed before the pause")
def confirmed_before(context):
    assert context.fleet.servers_revision == REVISION
    confirmed_at = context.fleet.servers_confirmed_at
    assert datetime.timedelta() < confirmed_at <= context.asked_at, confirmed_at


@behave.then("pauses: it has the list of the peer that answers")
def has_list(context):
    assert context.fleet.servers_revision == REVISION, context.fleet.servers_revision
    source = context.fleet.servers_source
    assert source == f"of {context.answering}", source


class AnsweringStore:
    """Answers one watch, some time after it began, and then none."""

    def __init__(self, time):
        self._clock = time
        self._finished = asyncio.Event()
        self.takes = datetime.timedelta()
        self.moments = {}

    async def list_objects(self, kind):
        return store.Listing(1, ())

    async def watch(self, kind, **options):
        if self.moments:
            self._finished.set()
            await asyncio.Event().wait()
        self.moments["begin"] = self._clock.monotonic()
        self._clock.advance(self.takes)
        self.moments["answer"] = self._clock.monotonic()
        return store.Changes(1, (), ())

    async def finished(self):
        await self._finished.wait()


@behave.given("pauses: a watch of the servers, which the store answers")
def watch_of_servers(context):
    time = clock.ManualClock()
    limit = gateway_settings.BoundSettings().pause_limit
    pauses = pause_monitor.PauseMonitor(limit, no_catch_up, time)
    context.store = AnsweringStore(time)
    context.fleet = fleet_state.FleetState()
    context.watch = store_watch.ServerWatch(
        context.store,
        context.fleet,
        expired_entries.ExpiredServers(context.fleet, time),
        time,
        gateway_settings.BoundSettings().server_watch,
        pauses.stood_still_since,
    )


async def no_catch_up():
    """Learn nothing."""


@behave.when("pauses: the instance reads the answer {ms:d} ms after the watch began")
def read_answer(context, ms):
    context.store.takes = datetime.timedelta(milliseconds=ms)
    asyncio.run(watch_once(context))


async def watch_once(context):
    watching = asyncio.create_task(context.watch.run())
    async with asyncio.timeout(SECOND.total_seconds()):
        await context.store.finished()
    watching.cancel()


@behave.then("pauses: the list counts as confirmed at the watch's {moment}")
def confirmed_at(context, moment):
    expected = context.store.moments[moment]
    assert context.watch.confirmed_at == expected, context.watch.confirmed_at


class CatchUp:
    """Learns what was missed once it may.

    Attributes:
        begun_at: When each of its runs began.
    """

    def __init__(self, time):
        self._clock = time
        self.may_end = asyncio.Event()
        self.begun_at = []

    async def run(self):
        self.begun_at.append(self._clock.monotonic())
        await self.may_end.wait()


@behave.given("pauses: an instance that learns what it missed in a pause")
def learning_instance(context):
    context.clock = clock.ManualClock()
    context.catch_up = CatchUp(context.clock)
    limit = gateway_settings.BoundSettings().pause_limit
    context.pauses = pause_monitor.PauseMonitor(
        limit, context.catch_up.run, context.clock
    )


@behave.when("pauses: requests wait for that and {count:d} more pauses come")
def more_pauses(context, count):
    context.outcomes = asyncio.run(wait_through(context, count))


async def wait_through(context, count):
    waiting = []
    for _ in range(1 + count):
        context.clock.advance(SECOND)
        waiting.append(asyncio.create_task(context.pauses.wait_until_current()))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    context.early = [task.done() for task in waiting]
    context.catch_up.may_end.set()
    async with asyncio.timeout(SECOND.total_seconds()):
        return await asyncio.gather(*waiting, return_exceptions=True)


@behave.then("pauses: all requests go on, once it was learnt after the last pause")
def all_go_on(context):
    failed = [outcome for outcome in context.outcomes if outcome is not None]
    assert not failed, failed
    assert not any(context.early), context.early
    assert context.catch_up.begun_at[-1] == context.clock.monotonic()
