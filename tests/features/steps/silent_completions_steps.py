import asyncio
import dataclasses
import datetime
import types

import behave

from pimentolatch import clock
from pimentolatch.backend import outcomes
from pimentolatch.requests import completion_stream

TOKENS = 4
PAUSES_AFTER = 2
# Time-out of a token, a pause of the engine and the caller's deadline, in seconds.
TOKEN_TIMEOUT_S = 0.2
PAUSE_S = 1.0
DEADLINE_S = 30.0


@dataclasses.dataclass
class Engines:
    """Engines by address; the first one pauses in its stream and then goes on."""

    asked: list = dataclasses.field(default_factory=list)

    async def generate(self, address, dispatch):
        self.asked.append(address)
        for number in range(dispatch.offset, TOKENS):
            if address == "engine-0" and number == PAUSES_AFTER:
                await asyncio.sleep(PAUSE_S)
            yield outcomes.Chunk(number, str(number))
        yield outcomes.Finished(TOKENS)


class Selector:
    """Chooses the first engine that has not failed the completion."""

    def __init__(self, count):
        self._engines = [
            types.SimpleNamespace(
                name=f"engine-{number}",
                address=f"engine-{number}",
                prefill_tokens_per_s=1000.0,
            )
            for number in range(count)
        ]

    def choose(self, completion, failed):
        left = (engine for engine in self._engines if engine.name not in failed)
        return next(left, None)

    def prefill_engine(self, completion):
        return None

    def prefill_ended(self, completion):
        pass

    def dispatched(self, completion, engine):
        pass

    def token_received(self, completion, engine):
        pass

    def dispatch_ended(self, completion, engine, outcome):
        pass


@behave.given(
    "completion: {count:d} engine, of which the first pauses after two tokens"
)
@behave.given(
    "completion: {count:d} engines, of which the first pauses after two tokens"
)
def engines(context, count):
    time = clock.SystemClock()
    context.engines = Engines()
    limits = completion_stream.ResponseTimeouts(
        next_token=datetime.timedelta(seconds=TOKEN_TIMEOUT_S)
    )
    context.stream = completion_stream.ResumingStream(
        context.engines, Selector(count), time, limits
    )
    deadline = time.monotonic() + datetime.timedelta(seconds=DEADLINE_S)
    context.completion = completion_stream.Completion(
        "silent-1", "caller", "m", "prompt", TOKENS, deadline
    )


@behave.when("completion: a caller reads a completion of four tokens")
def reads(context):
    async def read():
        return [event async for event in context.stream.run(context.completion)]

    context.events = asyncio.run(read())


@behave.then("completion: it is whole, and {count:d} engine was asked")
@behave.then("completion: it is whole, and {count:d} engines were asked")
def whole(context, count):
    *deltas, last = context.events
    assert isinstance(last, completion_stream.Ended), last
    assert [delta.text for delta in deltas] == [str(n) for n in range(TOKENS)], deltas
    assert len(context.engines.asked) == count, context.engines.asked
