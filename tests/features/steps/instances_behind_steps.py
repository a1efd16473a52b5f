import asyncio
from unittest import mock

import behave

from pimentolatch import clock
from pimentolatch.gateway import expired_entries, fleet_state, store_watch
from pimentolatch.gateway.peers import peer_snapshots
from pimentolatch.protocol import snapshots
from tests.support import path_world, route_world

READERS = 3
NEW_ROUTE = route_world.route("fresh", "app", "safe")


@behave.given("paths: {count:d} gateways, of which two learn from peers")
def start(context, count):
    context.route_runner = route_world.runner()
    context.world = path_world.Paths(context.route_runner)
    context.world.start_settled(count)
    context.behind = sorted(context.world.world.gateways)[READERS:]
    assert len(context.behind) == count - READERS == 2


@behave.when("paths: these two lose {path}")
def lose(context, path):
    context.world.harm(context.behind, path)


@behave.when("paths: two servers drain and a route is added")
def change(context):
    context.route_runner.run(context.world.drain())
    context.route_runner.run(context.world.configure(NEW_ROUTE))


@behave.then("paths: all gateways learn of the changes")
def learn(context):
    context.route_runner.run(context.world.until_known())
    context.route_runner.run(context.world.until_configured())


@behave.then("paths: the servers that drain get no request that is sent later")
def unused(context):
    context.route_runner.run(context.world.check_unused())


@behave.then("paths: each version is encoded once for {count:d} peers that fetch it")
def encoded_once(context, count):
    fleet, time = fleet_state.FleetState(), clock.ManualClock()
    expired = expired_entries.ExpiredServers(fleet, time)
    endpoint = peer_snapshots.SnapshotEndpoint(fleet, expired, time)
    for version in (1, 2):
        spec = route_world.configuration(version, [NEW_ROUTE])
        assert store_watch.apply_configuration(fleet, spec)
        with mock.patch.object(
            snapshots, "encode_configuration", wraps=snapshots.encode_configuration
        ) as encode:
            bodies = {asyncio.run(fetched(endpoint)) for _ in range(count)}
        assert encode.call_count == 1, encode.call_count
        (body,) = bodies
        assert snapshots.decode_configuration(body).spec == spec


async def fetched(endpoint):
    """Return the configuration that an endpoint sends to a peer."""
    sent = []

    async def send(message):
        sent.append(message)

    await endpoint({"path": "/v1/configuration"}, None, send)
    return sent[-1]["body"]
