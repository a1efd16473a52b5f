"""Simulates completions on engines with faulty streams, scheduled by a seed.

The engines' bytes are parsed by the production event parser; the simulation replaces
only the socket.
"""

import asyncio
import contextlib
import dataclasses
import datetime
import json
import random
import typing
from collections import abc

from pimentolatch import results, settings
from pimentolatch.backend import engine_client, outcomes
from pimentolatch.document import schema
from pimentolatch.requests import completion_stream
from standins import engine as engine_standin
from tests.support import request_history, virtual_time

__all__ = ["FAULTS", "run"]

ENGINES = 4
COMPLETIONS = 24
_SPAN_S = 20.0
_HORIZON_S = 400.0
_TOKEN_S = 0.02


@dataclasses.dataclass(slots=True)
class _Engine:
    """One engine; each counter is the number of coming streams with that fault."""

    name: str
    frozen_until: float = 0.0
    down: bool = False
    slow_s: float = 0.0
    misdirected: int = 0
    repeated: int = 0
    gaps: int = 0
    cut: int = 0
    refusals: int = 0


class _World:
    def __init__(self, seed: int, safeguards: bool) -> None:
        self.random = random.Random(seed)
        self.safeguards = safeguards
        self.time = virtual_time.LoopClock()
        self.history = request_history.RequestHistory()
        self.engines = {f"127.0.3.{n}": _Engine(f"engine-{n}") for n in range(ENGINES)}
        self.recent_events: list[str] = []

    def any_engine(self) -> _Engine:
        return self.random.choice(list(self.engines.values()))


class _RandomSelector:
    """Selects an engine at random, so that faulty ones are used too."""

    def __init__(self, world: _World) -> None:
        self._world = world

    def choose(
        self, completion: completion_stream.Completion, failed: abc.Set[str]
    ) -> schema.Engine | None:
        candidates = [
            schema.Engine(
                name=found.name,
                failure_domain="north",
                address=settings.Address(host=host, port=9100),
                checks_fencing=True,
                models=("m",),
            )
            for host, found in self._world.engines.items()
            if found.name not in failed
        ]
        return self._world.random.choice(candidates) if candidates else None

    def dispatched(
        self, completion: completion_stream.Completion, chosen: schema.Engine
    ) -> None:
        """See `completion_stream.EngineSelector`."""

    def prefill_engine(
        self, completion: completion_stream.Completion
    ) -> schema.Engine | None:
        """Return None: the prompt is prefilled on the decode engine."""
        return None

    def prefill_ended(self, completion: completion_stream.Completion) -> None:
        """Do nothing: no prompt is prefilled on another engine."""

    def token_received(
        self, completion: completion_stream.Completion, chosen: schema.Engine
    ) -> None:
        """See `completion_stream.EngineSelector`."""

    def dispatch_ended(
        self,
        completion: completion_stream.Completion,
        chosen: schema.Engine,
        outcome: outcomes.EngineEvent | None,
    ) -> None:
        """See `completion_stream.EngineSelector`."""


class _Response:
    """The part of an engine's HTTP response that the client reads."""

    def __init__(self, body: abc.AsyncGenerator[bytes, None]) -> None:
        self._body = body

    def read_chunks(self) -> abc.AsyncGenerator[bytes, None]:
        return self._body


class _EngineStreams:
    """See `completion_stream.EngineStreams`; a prompt begins with its request's id."""

    def __init__(self, world: _World) -> None:
        self._world = world

    async def generate(
        self, address: settings.Address, dispatch: engine_client.Dispatch
    ) -> abc.AsyncGenerator[outcomes.EngineEvent, None]:
        found = self._world.engines[address.host]
        if found.down:
            yield outcomes.NotRun("refused", reached=False)
            return
        await self._wait_while_frozen(found)
        if found.refusals:
            found.refusals -= 1
            yield outcomes.NotRun("busy", reached=True)
            return
        request = dispatch.prompt.split()[0]
        self._world.history.add(request_history.Run(request, request, ""))
        if not self._world.safeguards:
            dispatch = dataclasses.replace(dispatch, offset=0)
        body = self._body(found, dispatch)
        response = typing.cast(typing.Any, _Response(body))
        reader = (
            engine_client.checked_events
            if self._world.safeguards
            else _unchecked_events
        )
        events = reader(response, dispatch)
        async with contextlib.aclosing(events):
            async for event in events:
                yield event

    async def _body(
        self, found: _Engine, dispatch: engine_client.Dispatch
    ) -> abc.AsyncGenerator[bytes, None]:
        rng, pending = self._world.random, ""
        misdirected, found.misdirected = (
            found.misdirected > 0,
            max(0, found.misdirected - 1),
        )
        repeated, found.repeated = found.repeated > 0, max(0, found.repeated - 1)
        gap_at = rng.randint(0, dispatch.max_tokens) if found.gaps else -1
        found.gaps = max(0, found.gaps - 1)
        cut_at = rng.randint(0, dispatch.max_tokens) if found.cut else -1
        found.cut = max(0, found.cut - 1)
        for index in range(dispatch.offset, dispatch.max_tokens):
            await asyncio.sleep(_TOKEN_S + found.slow_s)
            await self._wait_while_frozen(found)
            if found.down:
                raise ConnectionResetError
            if index == cut_at:
                return
            token = engine_standin.answer_token(dispatch.prompt, index)
            event = _event(dispatch=dispatch.dispatch_id, offset=index, token=token)
            others = self._world.recent_events
            if misdirected and others:
                pending += rng.choice(others)
            if index != gap_at:
                pending += event
            if repeated:
                pending += event
            self._world.recent_events = [*others[-5:], event]
            if rng.random() < 0.7:
                split = rng.randint(0, len(pending))
                yield pending[:split].encode()
                pending = pending[split:]
        length = dispatch.max_tokens
        end = _event(dispatch=dispatch.dispatch_id, done=True, length=length)
        yield (pending + end).encode()

    async def _wait_while_frozen(self, found: _Engine) -> None:
        left = found.frozen_until - asyncio.get_running_loop().time()
        if left > 0:
            await asyncio.sleep(left)
            await self._wait_while_frozen(found)


async def _unchecked_events(
    response: typing.Any, dispatch: engine_client.Dispatch
) -> abc.AsyncGenerator[outcomes.EngineEvent, None]:
    """Parse events without checking their dispatch, offset and length.

    No offset is requested either, so a broken stream starts again at its first token.
    """
    pending = b""
    try:
        async for chunk in response.read_chunks():
            *whole, pending = (pending + chunk).split(b"\n\n")
            for text in whole:
                event = json.loads(text.removeprefix(b"data: "))
                if event.get("done"):
                    yield outcomes.Finished(event["length"])
                    return
                yield outcomes.Chunk(event["offset"], event["token"])
    except OSError as error:
        yield outcomes.OutcomeUnknown(repr(error))
        return
    yield outcomes.OutcomeUnknown("no terminal marker")


def _event(**fields: typing.Any) -> str:
    return f"data: {json.dumps(fields)}\n\n"


async def _caller(world: _World, number: int) -> None:
    rng = world.random
    await asyncio.sleep(rng.uniform(0, _SPAN_S))
    request, length = f"c{number}", rng.choice((0, 1, 8, 60)) + 1
    prompt = f"{request} asks"
    deadline = world.time.monotonic() + datetime.timedelta(
        seconds=rng.choice((0.05, 1.0, 8.0, 30.0))
    )
    completion = completion_stream.Completion(
        request, "caller", "m", prompt, length, deadline
    )
    answering = completion_stream.ResumingStream(
        _EngineStreams(world), _RandomSelector(world), world.time
    )
    text, final, after, ready_at = "", None, 0, deadline
    async for event in answering.run(completion):
        after += final is not None
        if isinstance(event, completion_stream.Delta):
            text += event.text
            if rng.random() < 0.02:
                # A slow reader must delay nothing but its own response.
                await asyncio.sleep(3.0)
                ready_at = max(deadline, world.time.monotonic())
        else:
            final = event
    if isinstance(final, results.Refusal):
        seen = request_history.Refused(request, final.code, final.execution)
        world.history.add(seen)
    late = (world.time.monotonic() - ready_at).total_seconds()
    expected = "".join(
        engine_standin.answer_token(prompt, index) for index in range(length)
    )
    world.history.add(
        request_history.StreamResult(
            request,
            text,
            expected,
            isinstance(final, completion_stream.Ended),
            isinstance(final, results.Refusal),
            late if isinstance(final, results.Refusal) else -1.0,
            after,
        )
    )


async def _kill(world: _World) -> None:
    """Crash an engine during its streams."""
    found = world.any_engine()
    found.down = True
    await asyncio.sleep(world.random.uniform(0.1, 3.0))
    found.down = False


async def _freeze(world: _World) -> None:
    length = world.random.choice((1.0, 4.0, 60.0))
    world.any_engine().frozen_until = asyncio.get_running_loop().time() + length


async def _cut(world: _World) -> None:
    """Truncate streams before their end marker, or omit one of their events."""
    world.any_engine().cut += 3
    world.any_engine().gaps += 3


async def _reply_lost(world: _World) -> None:
    """Insert events of other streams, and duplicate tokens, into streams."""
    for found in world.engines.values():
        found.misdirected += world.random.randint(0, 3)
        found.repeated += world.random.randint(0, 3)


async def _busy(world: _World) -> None:
    found = world.any_engine()
    found.refusals += 3
    found.slow_s = 0.5
    await asyncio.sleep(world.random.uniform(0.1, 3.0))
    found.slow_s = 0.0


_Fault = typing.Callable[[_World], abc.Coroutine[typing.Any, typing.Any, None]]
FAULTS: dict[str, tuple[_Fault, ...]] = {
    "kill": (_kill,),
    "freeze": (_freeze,),
    "cut": (_cut,),
    "reply_lost": (_reply_lost,),
    "engine_crash": (_kill, _busy),
}


async def _inject(world: _World, name: str) -> None:
    for _ in range(world.random.randint(3, 7)):
        await asyncio.sleep(world.random.uniform(0, _SPAN_S / 5))
        await world.random.choice(FAULTS[name])(world)


async def _history(
    faults: tuple[str, ...], seed: int, safeguards: bool
) -> request_history.RequestHistory:
    world = _World(seed, safeguards)
    tasks = [asyncio.create_task(_caller(world, n)) for n in range(COMPLETIONS)]
    tasks += [asyncio.create_task(_inject(world, name)) for name in faults]
    done, pending = await asyncio.wait(tasks, timeout=_HORIZON_S)
    for task in done:
        task.result()
    assert not pending, "completions or faults did not finish within the time limit"
    return world.history


def run(
    faults: tuple[str, ...], seed: int, *, safeguards: bool = True
) -> request_history.RequestHistory:
    """Return the history of one seeded run under faults."""
    return virtual_time.run(_history(faults, seed, safeguards))
