import asyncio
import contextlib
import datetime
from unittest import mock

import behave

from pimentolatch.decisions import engine_loads, wait_policy
from pimentolatch.routes import servers
from tests.features.steps import routes_serving_steps

NOW = datetime.timedelta(seconds=100)
SECOND = datetime.timedelta(seconds=1)


def known(context):
    return context.world.instances["one"][1].fleet


async def leaves(context, name):
    """Have an engine leave and wait until the instance knows."""
    await context.world.drain(name)
    await context.world.until(lambda: known(context).servers.get(name).draining)


@behave.when(
    'waiting: "d1" leaves and "d2" comes while a client asks for "digest" as "r1"'
)
def leaves_and_comes(context):
    world = context.world

    async def ask():
        await leaves(context, "d1")
        asked = asyncio.create_task(world.ask("digest", "r1"))
        await asyncio.sleep(0.3)
        assert not asked.done(), asked.result()
        await world.add_server("d2", "lm", "decode")
        return await asked

    context.reply = context.run(ask())


@behave.when('waiting: "d1" leaves while a client asks for "digest" as "r1"')
def leaves_only(context):
    async def ask():
        await leaves(context, "d1")
        return await context.world.ask("digest", "r1")

    context.reply = context.run(ask())


@behave.then("waiting: it may come back after {least:f} to {most:f} seconds")
def comes_back(context, least, most):
    seconds = float(context.reply.fields["retry-after"])
    assert least <= seconds <= most, seconds


@behave.when('waiting: a client asks for "digest" as "r1" and the pauses are counted')
def ask_counting_pauses(context):
    whole = wait_policy.recheck_interval
    with mock.patch.object(
        wait_policy, "recheck_interval", side_effect=whole
    ) as looked:
        context.reply = context.run(context.world.ask("digest", "r1"))
    context.pauses = looked.call_count


@behave.then("waiting: it did not wait")
def did_not_wait(context):
    assert context.pauses == 0, context.pauses


@behave.when(
    'waiting: a client asks for "digest" as "r1" with a prompt of {tokens:d} tokens'
)
def long_prompt(context, tokens):
    fields = {
        "x_token_counts": f"{tokens},20",
        "x_prompt_prefix": f"aa:800,bb:{tokens - 800}",
    }
    context.reply = context.run(context.world.ask("digest", "r1", **fields))


@behave.given('waiting: the next stream of each writer ends by "late cut"')
def late_and_cut(context):
    context.shared_faults = [["late cut"], []]
    routes_serving_steps.share_faults(context)


@behave.then(
    "waiting: rank 0 looks again sooner than rank 1 and rank 1 sooner than rank 2"
)
def sooner(context):
    pauses = [wait_policy.recheck_interval(rank, 0.5, SECOND) for rank in range(3)]
    assert pauses == sorted(pauses) and len(set(pauses)) == 3, pauses


@behave.then(
    "waiting: a request of rank {rank:d} whose client waits for {wait:d} ms looks "
    "again within {most:d} ms"
)
def looks_in_time(context, rank, wait, most):
    left = SECOND / 1000 * wait
    assert wait_policy.may_wait(left, 0)
    assert wait_policy.recheck_interval(rank, 1.0, left) <= SECOND / 1000 * most


@behave.then("waiting: with {count:d} requests waiting one more is refused")
def bounded(context, count):
    assert wait_policy.may_wait(SECOND, count - 1)
    assert not wait_policy.may_wait(SECOND, count)


@behave.then(
    'waiting: of {one:d} requests for "{a}" and {two:d} for "{b}" {n:d} are ahead of '
    'one for "{c}"'
)
def ahead(context, one, a, two, b, n, c):
    waiting = wait_policy.Waiting()
    with contextlib.ExitStack() as held:
        for service in [a] * one + [b] * two:
            held.enter_context(waiting.counted(service, 1))
        assert waiting.ahead(c, 1) == n
        assert waiting.total == one + two
    assert waiting.total == 0


@behave.then("waiting: a request whose client is about to leave is refused")
def about_to_leave(context):
    assert not wait_policy.may_wait(SECOND / 10, 0)
    assert not wait_policy.may_wait(-SECOND, 0)


def engine(name):
    return servers.Server(name, "lm", None, "here", False, servers.Stage.DECODE, 8)


def usable(loads, seconds):
    at = NOW + datetime.timedelta(seconds=seconds)
    return {e.server.server_id for e in loads.usable(servers.Stage.DECODE, at, ())}


@behave.then(
    "waiting: a failed engine is left alone for {short:f} seconds"
    " and tried after {later:f}"
)
def tried_again(context, short, later):
    loads = engine_loads.EngineLoads()
    loads.update([engine("d1")])
    loads.failed(loads.get("d1"), NOW)
    assert usable(loads, short) == set()
    assert usable(loads, later) == {"d1"}


@behave.then("waiting: it is passed over for longer while another one is sound")
def passed_over(context):
    loads = engine_loads.EngineLoads()
    loads.update([engine("d1"), engine("d2")])
    loads.failed(loads.get("d1"), NOW)
    assert usable(loads, 0.9) == {"d2"}
    assert usable(loads, 1.1) == {"d1", "d2"}
