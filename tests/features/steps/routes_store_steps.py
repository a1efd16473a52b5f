import asyncio
import datetime
import random

import behave

from pimentolatch import clock
from pimentolatch.backend import channel
from pimentolatch.decisions import watch_schedule
from pimentolatch.gateway import (
    expired_entries,
    fleet_state,
    readiness_checks,
    store_watch,
)
from pimentolatch.gateway import settings as gateway_settings
from pimentolatch.gateway.leader import lease
from standins import memory_store, object_table
from tests.support import observed_connection, route_world

BETWEEN = datetime.timedelta(seconds=3)
STEP = datetime.timedelta(milliseconds=100)


@behave.given('lease: instances "one" and "two" on one store')
def two_instances(context):
    context.clock = clock.ManualClock()
    context.faults = memory_store.StoreFaults()
    context.lease_table = object_table.ObjectTable()
    context.leases = {}
    for name in ("one", "two"):
        link = memory_store.MemoryStore(
            context.lease_table, time=context.clock, link=name, faults=context.faults
        )
        context.leases[name] = lease.LeaderLease(
            link, name, "life", BETWEEN, context.clock
        )


@behave.given("lease: the answer to the next write is lost")
def lost_answer(context):
    context.faults.lost_replies = 1


@behave.when('lease: "{name}" asks for the lease')
def asks(context, name):
    asyncio.run(context.leases[name].acquire())


@behave.when('lease: "{name}" asks for the lease again and again for {count:d} seconds')
def asks_again(context, name, count):
    for _ in range(count * 10):
        context.clock.advance(STEP)
        asyncio.run(context.leases[name].acquire())


@behave.when('lease: "{name}" is frozen for {count:d} seconds')
def frozen(context, name, count):
    context.clock.advance(datetime.timedelta(seconds=count))


@behave.when('lease: two tasks of "{name}" ask at once when it has run out')
def two_tasks(context, name):
    held = context.leases[name]
    context.clock.advance(BETWEEN)
    assert not held.valid()

    async def both():
        context.faults.delay = datetime.timedelta(milliseconds=1)
        asked = asyncio.gather(held.acquire(), held.acquire())
        while not asked.done():
            await asyncio.sleep(0)
            context.clock.advance(datetime.timedelta(milliseconds=1))
        context.faults.clear()
        assert await asked == [True, True]

    asyncio.run(both())


@behave.when("lease: both ask at once")
def both_ask(context):
    async def both():
        await asyncio.gather(*(item.acquire() for item in context.leases.values()))

    asyncio.run(both())


@behave.then('lease: "{name}" holds it with fence {fence:d}')
def holds(context, name, fence):
    assert context.leases[name].valid()
    assert context.leases[name].fence == fence, context.leases[name].fence


@behave.then('lease: "{name}" does not hold it')
def does_not_hold(context, name):
    assert not context.leases[name].valid()


@behave.then("lease: exactly one holds it")
def exactly_one(context):
    assert sum(item.valid() for item in context.leases.values()) == 1


def entry(name):
    return {
        "service": "app",
        "address": "127.0.0.1:80",
        "zone": "here",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "name": name,
    }


@behave.given('watch: a store with servers "a1" and "a2"')
def store_with_servers(context):
    context.route_runner = route_world.runner()
    context.world = Following(context.route_runner)
    for name in ("a1", "a2"):
        context.world.write(name)


@behave.given("watch: an entry that is no server")
def bad_entry(context):
    context.world.write("broken", {"service": "app"})


@behave.given('watch: an engine "{name}" is the only one of its service')
def only_engine(context, name):
    context.world.write(name, entry(name) | {"service": "lm", "stage": "decode"})


@behave.then("watch: no engine is left to choose from")
def no_engine(context):
    assert list(context.world.known.loads("lm").all()) == []


@behave.given("watch: an instance that follows it")
def follow(context):
    context.world.start()


@behave.given("watch: an instance that follows it and the configuration")
def follow_both(context):
    context.world.start(context.world.configuration.run)
    context.world.asks_configuration_first = True


@behave.when('watch: the store is away for 5 seconds and comes back without "{name}"')
def away(context, name):
    context.world.faults.outage = True
    context.world.advance(5)
    context.world.remove(name)
    context.world.faults.outage = False
    if context.world.asks_configuration_first:
        context.world.runner.run(context.world.configuration.catch_up())
    context.world.advance(1.2)


@behave.when('watch: "{name}" returns within 1 second')
def returns(context, name):
    context.world.write(name)
    context.world.advance(0.5)


@behave.when("watch: {count:d} servers register within {seconds:d} seconds")
def register(context, count, seconds):
    context.world.watches = 0
    registered = 0
    for step in range(10 * seconds):
        while registered < count * (step + 1) / (10 * seconds):
            context.world.write(f"s{registered}")
            registered += 1
        context.world.advance(0.1)


@behave.then(
    "watch: the instance has asked at most {most:d} times and uses all {all:d}"
)
def asked_at_most(context, most, all):
    context.world.advance(0.5)
    assert 1 <= context.world.watches <= most, context.world.watches
    assert len(context.world.used()) == all, len(context.world.used())


@behave.when("watch: {count:d} seconds pass")
def pass_seconds(context, count):
    context.world.advance(count)


@behave.when('watch: "{name}" is removed')
def removed(context, name):
    context.world.remove(name)
    context.world.advance(0.3)


@behave.when("watch: the open connections to the store fall silent")
def fall_silent(context):
    context.world.advance(1)
    context.world.faults.silenced += 1


@behave.when('watch: "{name}" reports that it drains')
def reports_drain(context, name):
    context.world.write(name, entry(name) | {"state": "draining"})


@behave.when("watch: the store takes {seconds:f} seconds to answer")
def slow_store(context, seconds):
    context.world.faults.delay = datetime.timedelta(seconds=seconds)


@behave.then("watch: the servers have been listed at most {most:d} times")
def listed_at_most(context, most):
    assert 2 <= context.world.listings <= most, context.world.listings


@behave.then(
    "watch: for changes in {within:f} s, silence is noticed after {noticed:f} s"
)
def noticed_after(context, within, noticed):
    limits = watch_schedule.watch_limits(datetime.timedelta(seconds=within))
    context.wait = limits.wait
    assert limits.wait + limits.answer == datetime.timedelta(seconds=noticed), limits


@behave.then(
    "watch: after it a watch may be silent for {most:d} s, if a change is to be in"
    " force in {within:d} s"
)
def silent_after_listing(context, most, within):
    limits = watch_schedule.watch_limits(datetime.timedelta(seconds=within))
    longest = limits.answer_limit(datetime.timedelta(seconds=6))
    assert longest <= datetime.timedelta(seconds=most), longest


@behave.then(
    "watch: {readers:d} instances make at most {calls:d} calls a second for it"
)
def calls_a_second(context, readers, calls):
    made = 2 * readers / context.wait.total_seconds()
    assert calls - 1 < made <= calls, made


@behave.when("watch: version 5 is written")
def write_version(context):
    spec = route_world.configuration(5, route_world.ROUTES)
    context.world.runner.run(context.world.table.put("config", "main", spec, 0))


@behave.when("watch: version 5 is heard of and then version 4")
def versions(context):
    for version in (5, 4):
        spec = route_world.configuration(version, route_world.ROUTES)
        store_watch.apply_configuration(context.world.known, spec)


@behave.then("watch: version 5 is in force")
def in_force(context):
    assert context.world.known.version == 5


@behave.then('watch: the instance uses "a1" and "a2"')
def uses_both(context):
    assert context.world.used() == {"a1", "a2"}, context.world.used()


@behave.then('watch: a request at "{name}" is logged as sent to a kept server')
def logged_as_kept(context, name):
    assert 0 < context.world.kept_ms(name) <= 2000, context.world.kept_ms(name)


@behave.then('watch: a request at "{name}" is logged as sent to a listed server')
def logged_as_listed(context, name):
    assert context.world.kept_ms(name) is None


@behave.then('watch: the instance uses "a2" only')
def uses_one(context):
    assert context.world.used() == {"a2"}, context.world.used()


class Following:
    """A store in memory and an instance that follows its servers."""

    def __init__(self, runner):
        self.runner = runner
        self.clock = clock.ManualClock()
        self.faults = memory_store.StoreFaults()
        self.table = object_table.ObjectTable()
        self.known = fleet_state.FleetState()
        self.known.watches_store = True
        link = memory_store.MemoryStore(self.table, time=self.clock, faults=self.faults)
        self.watches = 0
        ask = link.watch

        async def watch(*args, **kwargs):
            self.watches += 1
            return await ask(*args, **kwargs)

        link.watch = watch
        self.listings = 0
        enumerate_objects = link.list_objects

        async def list_objects(*args, **kwargs):
            self.listings += 1
            return await enumerate_objects(*args, **kwargs)

        link.list_objects = list_objects
        self.expired = expired_entries.ExpiredServers(self.known, self.clock)
        bounds = gateway_settings.BoundSettings()
        self.watch = store_watch.ServerWatch(
            link, self.known, self.expired, self.clock, bounds.server_watch
        )
        self.asks_configuration_first = False
        self.configuration = store_watch.ConfigurationWatch(
            link, self.known, self.clock, bounds.configuration_watch
        )
        self.readiness = readiness_checks.ReadinessChecks(
            self.known,
            self._ask_server,
            lambda: 1,
            lambda server_id: True,
            self.clock,
            random.Random(1),
        )
        self.tasks = []

    async def _ask_server(self, server):
        return readiness_checks.Answer.READY

    def start(self, *others):
        async def begin():
            parts = (self.watch.run, self.expired.run, self.readiness.run)
            for work in (*parts, *others):
                self.tasks.append(asyncio.create_task(work()))

        self.runner.run(begin())
        self.advance(0.2)

    def advance(self, seconds):
        async def step():
            for _ in range(20):
                await asyncio.sleep(0)

        for _ in range(round(seconds * 10)):
            self.clock.advance(STEP)
            self.runner.run(step())

    def write(self, name, spec=None):
        current = self.table.get("servers", name)
        version = 0 if current is None else current.version
        value = entry(name) if spec is None else spec
        self.runner.run(self.table.put("servers", name, value, version))

    def remove(self, name):
        version = self.table.get("servers", name).version
        self.runner.run(self.table.delete("servers", name, version))

    def used(self):
        return {server.server_id for server in self.known.servers.of_service("app")}

    def kept_ms(self, name):
        return self.known.kept_ms(self.clock.monotonic(), name)

    async def stop(self):
        for task in self.tasks:
            task.cancel()


@behave.then("channel: a connection that is closed under a request is reset")
def closed_with_reset(context):
    seen = asyncio.run(seen_by_server(lambda link, _: link.close()))
    assert isinstance(seen, ConnectionResetError), seen


@behave.then("channel: a connection that the server ends under a request is reset")
def ended_then_reset(context):
    seen = asyncio.run(seen_by_server(lambda _, writer: writer.write_eof()))
    assert isinstance(seen, ConnectionResetError), seen


async def seen_by_server(end):
    """Return what a server reads after its connection was ended under a request."""
    async with observed_connection.ObservedConnection() as connection:
        limit = datetime.timedelta(seconds=5)
        link = await channel.connect(connection.address, limit)
        link.send("GET", b"/", [(b"host", b"x")], b"")
        await connection.received()
        end(link, connection.writer)
        return await connection.end()
