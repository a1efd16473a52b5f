import asyncio

import behave

from pimentolatch import reusable_timeout

SHORT_S = 0.001
LIMIT_S = 0.05
LONG_S = 0.2


@behave.when("waits: {count:d} short waits are followed by one that never ends")
def short_and_endless(context, count):
    async def work():
        limits = reusable_timeout.ReusableTimeout()
        ended = []
        for _ in range(count):
            await limits.wait_for(LIMIT_S, asyncio.sleep(SHORT_S))
            ended.append("in time")
        try:
            await limits.wait_for(LIMIT_S, asyncio.Event().wait())
        except TimeoutError:
            ended.append("timeout")
        ended.append(await limits.wait_for(LIMIT_S, asyncio.sleep(SHORT_S, "again")))
        limits.close()
        return ended

    context.short = count
    context.ended = asyncio.run(work())


@behave.then(
    "waits: the short ones ended, the last one timed out, and a further one works"
)
def ended_as_told(context):
    wanted = ["in time"] * context.short + ["timeout", "again"]
    assert context.ended == wanted, context.ended


@behave.when("waits: a task is cancelled while it waits within a limit")
def cancelled(context):
    async def work():
        limits = reusable_timeout.ReusableTimeout()
        task = asyncio.create_task(limits.wait_for(LONG_S, asyncio.Event().wait()))
        await asyncio.sleep(SHORT_S)
        task.cancel()
        await asyncio.wait([task])
        return task.cancelled()

    context.cancelled = asyncio.run(work())


@behave.then("waits: the task ended cancelled")
def stays_cancelled(context):
    assert context.cancelled


@behave.when("waits: a wait within a short limit is followed by a longer one")
def short_then_long(context):
    async def work():
        limits = reusable_timeout.ReusableTimeout()
        await limits.wait_for(LIMIT_S, asyncio.sleep(SHORT_S))
        return await limits.wait_for(20 * LONG_S, asyncio.sleep(LONG_S, "ended"))

    context.ended = asyncio.run(work())


@behave.then("waits: the longer one ended in time")
def longer_ended(context):
    assert context.ended == "ended", context.ended
