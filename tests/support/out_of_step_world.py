"""Instances whose list of servers is old while others know a new version.

In one process they know nothing of each other, and each has its own path to the store.
As processes they know each other until one loses its peers and the store.
"""

import asyncio
import datetime
import itertools

from pimentolatch.gateway import settings
from standins import relay
from tests.support import path_world, route_world, version_world

__all__ = ["FIRST", "LATE", "NEW", "SECOND", "CutOffGateways", "OutOfStepWorld"]

FIRST, SECOND = "v1", "v2"
LATE, PROMPT, NEW = "late", "prompt", "new"
# Time limit of the route, for which an instance must have seen one version only.
ROUTE_TIMEOUT_MS = 2000
# How long clients wait; records of their streams count as long.
CLIENT_TIMEOUT_MS = "20000"
_FRESH = datetime.timedelta(milliseconds=60)


class OutOfStepWorld(version_world.VersionWorld):
    """Two instances; the list of the late one does not follow the store."""

    def __init__(self):
        super().__init__()
        self.relays = relay.Relays()
        self._store_ports = {}

    async def start_engines(self, engines):
        """Start the instances and engines of the first version."""
        await self.start_store()
        routes = [
            route | {"timeout_ms": ROUTE_TIMEOUT_MS} for route in route_world.ROUTES
        ]
        await self.configure(1, routes)
        await self.add_version(FIRST, engines)
        for name in (LATE, PROMPT):
            await self.start_instance(name)

    async def start_instance(self, name):
        """Start an instance that knows no other and has its own path to the store."""
        number = len(self.instances)
        self._domains[name] = version_world.DOMAINS[number % len(version_world.DOMAINS)]
        self._store_ports[name] = port = route_world.free_port()
        store = (route_world.HOST, self.store_port)
        self.relays.start(name, (route_world.HOST, port), store)
        await self.add_instance(name, host=f"127.0.1.{number + 1}")

    def settings(self, name, seeds=(), host=route_world.HOST):
        """See `route_world.RouteWorld.settings`."""
        chosen = super().settings(name, seeds, host)
        address = f"{route_world.HOST}:{self._store_ports[name]}"
        store = settings.StoreSettings.model_validate({"address": address})
        return chosen.model_copy(update={"store": store})

    def _request(self, stream, attempt, resumes):
        data = super()._request(stream, attempt, resumes)
        line = b"x-deadline-ms: "
        assert line in data
        return data.replace(line + b"6000", line + CLIENT_TIMEOUT_MS.encode(), 1)

    def fleet(self, name):
        """Return what an instance knows of the fleet."""
        _, instance = self.instances[name]
        return instance.fleet

    async def add_version(self, version, engines):
        """Start decode engines of a version and one that prefills for them."""
        await self.add_engine(f"prefill-{version}", "prefill", version)
        for number in range(engines):
            await self.add_engine(f"decode-{version}-{number}", "decode", version)

    async def set_state(self, version, state):
        """Have all engines of a version say that they are ready, or that they leave."""
        for engine in self.engines(version):
            engine.state = state
            await self.write("servers", engine.server_id, engine.entry())

    async def unlist(self, version):
        """Remove the entries of the engines of a version."""
        for engine in self.engines(version):
            name = engine.server_id
            current = self.platform.table.get("servers", name)
            await self.platform.table.delete("servers", name, current.version)

    async def until_followed(self, name):
        """Wait until an instance knows the store's newest change of a server."""
        newest = max(
            row.version
            for kind, row in self.platform.table.history
            if kind == "servers"
        )
        await self.until(lambda: self.fleet(name).has_servers(newest))

    async def lose_store(self):
        """Have the late instance lose the store just after the store has answered."""
        _, instance = self.instances[LATE]
        clock = instance._clock
        confirmed = self.fleet(LATE).servers_confirmed_at
        await self.until(lambda: self.fleet(LATE).servers_confirmed_at > confirmed)
        assert clock.monotonic() - self.fleet(LATE).servers_confirmed_at < _FRESH
        for direction in (relay.TO_SERVER, relay.TO_CLIENT):
            self.relays.cut(LATE, direction)

    async def regain_store(self):
        """Have the late instance reach the store again, and wait until it follows."""
        _, instance = self.instances[LATE]
        since = instance._clock.monotonic()
        self.relays.heal(LATE)
        await self.until(lambda: self.fleet(LATE).servers_confirmed_at > since)
        await self.until_followed(LATE)

    async def begin_at_prompt(self, count):
        """Begin streams of which the clients have two events."""
        return await self.begin(count, 2, [PROMPT])

    async def begin_at_late(self, count):
        """Begin streams at the instance that does not follow the store."""
        return await self.begin(count, 2, [LATE])

    async def restart_half(self, version):
        """Start every second decode engine again, and list it."""
        for engine in self.restart_half_unlisted(version):
            await self.write("servers", engine.server_id, engine.entry())

    def restart_half_unlisted(self, version):
        """Start every second decode engine again; return them."""
        engines = [s for s in self.engines(FIRST) if s.stage == "decode"]
        for engine in engines[::2]:
            self.restart_unlisted(engine.server_id, version)
        return engines[::2]

    async def resume_at_once(self, streams, resumes, name):
        """Resume streams at an instance, without a pause."""
        await self.resume(streams, None, resumes, [name], pause_s=0.0)

    async def until_resumable(self):
        """Wait until the late instance goes on with streams of the only version."""
        (stream,) = await self.begin_at_prompt(1)
        await self.resume_until_accepted(stream, "nothing", LATE)
        assert stream.whole, stream
        await self.until(
            lambda: self.platform.table.get("pimentolatch-versions", "streams")
        )

    def store_calls(self):
        """Return how many calls the store has received, without those that wait."""
        calls = self.platform.calls
        return calls["arrived"] - calls["waiting"]

    async def stop(self):
        """See `route_world.RouteWorld.stop`."""
        await super().stop()
        self.relays.heal()
        self.relays.stop()


class CutOffGateways(version_world.ProcessWorld):
    """Gateways as processes, of which one loses its peers and the store."""

    def __init__(self):
        super().__init__()
        self._world = path_world.PathWorld()
        self._world.routes = [
            route | {"timeout_ms": ROUTE_TIMEOUT_MS} for route in route_world.ROUTES
        ]

    @property
    def late(self):
        """Name of the gateway that is cut off."""
        return next(iter(self.instances))

    @property
    def others(self):
        """Names of the other gateways."""
        return [name for name in self.instances if name != self.late]

    async def start_settled(self, count, engines):
        """Start gateways, and wait until one version counts as the only one."""
        await self.start(count, engines, [FIRST])
        (stream,) = await self.begin(1, 2, self.others)
        await self.resume_until_accepted(stream, "nothing", self.late)
        assert stream.whole, stream

    def cut_off(self):
        """Have nothing pass between one gateway, its peers and the store."""
        world = self._world
        pairs = [(self.late, other) for other in self.others]
        pairs += [(other, own) for own, other in pairs]
        cuts = [
            relay.Cut(f"store of {self.late}", None, direction)
            for direction in (relay.TO_SERVER, relay.TO_CLIENT)
        ]
        for pair in pairs:
            cuts += world.connection_cuts(*pair) + world.datagram_cuts(*pair)
        world.relays.add_cuts(cuts)

    async def release(self, engines):
        """Start engines of the second version; those of the first drain."""
        world = self._world
        old = [server for server in self.servers.values() if server.service == "lm"]
        world.versions = itertools.repeat(SECOND)
        for stage in ["prefill"] + ["decode"] * engines:
            await world.add_server("lm", stage)
        for server in old:
            server.state = "draining"
            await world.list_server(server.server_id)

    async def begin_and_resume(self, count, pause_s):
        """Begin streams one after the other; resume those of the second version."""
        names = itertools.cycle(self.others)
        moved = []
        for name in itertools.islice(names, count):
            moved.append(asyncio.create_task(self._begin_and_resume(name)))
            await asyncio.sleep(pause_s)
        return [stream for stream in await asyncio.gather(*moved) if stream]

    async def _begin_and_resume(self, name):
        for stream in await self.begin(1, 2, [name]):
            if stream.versions == {SECOND}:
                await self.resume([stream], names=[self.late], pause_s=0.0)
                return stream
        return None

    async def stop(self):
        """See `version_world.ProcessWorld.stop`."""
        self._world.heal_paths()
        self._world.relays.heal(f"store of {self.late}")
        await super().stop()
