import asyncio
import datetime
import json
import types

import behave

from pimentolatch import clock, settings, store
from pimentolatch.platform import objects
from standins import platform
from tests.support import slow_store

CALL_LIMIT = datetime.timedelta(seconds=0.2)


@behave.given('a store that answers for the object "{name}" too late')
def late_store(context, name):
    context.slow_store = slow_store.SlowStore(delayed=name)


@behave.given('a store that cuts its answer for the object "{name}" short')
def cut_store(context, name):
    context.slow_store = slow_store.SlowStore(truncated=name)


@behave.given("a store that takes writes and never answers them")
def deaf_store(context):
    context.slow_store = slow_store.SlowStore()


async def with_store(slow, work):
    server = await asyncio.start_server(slow.handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    address = settings.Address(host=host, port=port)
    client = objects.ObjectStore(address, CALL_LIMIT, clock.SystemClock())
    try:
        return await work(client)
    finally:
        client.close()
        server.close()


async def read_all(client, names):
    found = {}
    for name in names:
        found[name] = await client.get("things", name)
        await asyncio.sleep(slow_store.DELAY_S)
    return found


async def read_and_write(client):
    await client.get("things", "a")
    return await client.put("things", "a", "new", if_version=1)


@behave.when('an instance reads the objects "a", "b" and "c"')
def read_objects(context):
    work = with_store(context.slow_store, lambda client: read_all(client, "abc"))
    context.found = asyncio.run(work)


@behave.when("an instance reads an object and then writes it")
def read_then_write(context):
    context.outcome = asyncio.run(with_store(context.slow_store, read_and_write))


@behave.then("the write arrived once and its effect is unknown")
def write_once(context):
    assert context.slow_store.writes == 1, context.slow_store
    assert isinstance(context.outcome, store.Unavailable), context.outcome
    assert context.outcome.effect_unknown, context.outcome


@behave.then('"a" and "c" come with their own values and "b" is unavailable')
def own_values(context):
    found = context.found
    assert found["a"] == store.Found("a", 1, "a"), found
    assert isinstance(found["b"], store.Unavailable), found
    assert found["c"] == store.Found("c", 1, "c"), found


@behave.given('a store that rejects reads of "{name}" with Retry-After "{value}"')
def rejecting_store(context, name, value):
    context.slow_store = slow_store.SlowStore(delayed=name, retry_after=value)


@behave.then("it asks to come back after {delay}")
def come_back(context, delay):
    found = context.found["b"].retry_after
    if delay == "no time":
        assert found is None, found
    else:
        assert found == datetime.timedelta(seconds=float(delay.split()[0])), found


@behave.given("a stand-in of the store with one object")
def stand_in(context):
    context.platform = platform.Platform()


@behave.when("another object is written while a watch is answered")
def written_meanwhile(context):
    async def watch():
        table = context.platform.table

        async def is_disconnected():
            await table.put("things", "b", "second", 0)
            return False

        request = types.SimpleNamespace(
            query_params={"watch": "0", "wait_ms": "5000"},
            path_params={"kind": "things"},
            is_disconnected=is_disconnected,
        )
        answer = asyncio.create_task(context.platform.list_objects(request))
        await asyncio.sleep(0.05)
        await table.put("things", "a", "first", 0)
        return json.loads((await answer).body)

    context.answer = asyncio.run(watch())


@behave.then("the answer has both objects or its revision is before the second one")
def loses_none(context):
    names = [event["object"]["metadata"]["name"] for event in context.answer["events"]]
    assert len(names) == context.answer["as_of"], context.answer
