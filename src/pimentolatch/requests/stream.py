"""Keeps one answer whole over several engines."""

import contextlib
import dataclasses
import datetime
import random
import typing
from collections import abc

import logbook

from pimentolatch import backoff, clock, results, reusable_timeout, settings
from pimentolatch.backend import engine as engine_client
from pimentolatch.backend import outcomes
from pimentolatch.document import schema
from pimentolatch.requests import digests, handover, identity, suspect_completions

__all__ = [
    "Completion",
    "CompletionEvent",
    "Delta",
    "Ended",
    "EngineChoice",
    "EngineStreams",
    "ResumingStream",
    "SilenceLimits",
]

_log = logbook.Logger("stream")
_ATTEMPTS = 4
_RETRY_AFTER = datetime.timedelta(seconds=1)
_FIRST_PAUSE = datetime.timedelta(milliseconds=100)
_LONGEST_PAUSE = datetime.timedelta(seconds=2)
_CHARACTERS_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class SilenceLimits:
    """How long an engine may say nothing before its stream counts as broken.

    A frozen engine keeps its connections open and never errs: without these bounds
    its callers wait until their deadlines and then get nothing, although any other
    engine could have gone on. The grounds for the figures: a first token should come
    within 1.9 s and the next ones within 71 ms for 95 in 100, so an engine silent
    for several times that has failed, while one that reads a long prompt gets three
    times the time its stated speed calls for.

    Attributes:
        first_token: Bound on the first token of a dispatch, besides reading.
        reading_factor: Times the expected time of reading the prompt, on top.
        next_token: Bound on each later token.
    """

    first_token: datetime.timedelta = datetime.timedelta(seconds=5)
    reading_factor: float = 3.0
    next_token: datetime.timedelta = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """A checked request for a completion.

    Attributes:
        deadline: Time on the instance's monotonic clock after which the answer has
            no use.
        priority: Higher is served first.
    """

    request_id: str
    caller: str
    model: str
    prompt: str
    max_tokens: int
    deadline: datetime.timedelta
    priority: int = 0

    @property
    def digest(self) -> digests.RequestDigest:
        """Names the completion, whichever attempt this is."""
        return digests.request_digest(
            b"",
            caller=self.caller,
            method=str(self.max_tokens),
            host=self.model,
            target=b"",
            body=self.prompt.encode(),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """The next text of the answer."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The answer is whole.

    Attributes:
        length: Number of its tokens.
        resumptions: Times it was continued after an engine failed.
    """

    length: int
    resumptions: int = 0


CompletionEvent = Delta | Ended | results.Refusal


class EngineStreams(typing.Protocol):
    """What is needed of a client of engines."""

    def generate(
        self, address: settings.Address, dispatch: engine_client.Dispatch
    ) -> abc.AsyncGenerator[outcomes.EngineEvent, None]:
        """Stream an answer; the last event is never a chunk."""


class EngineChoice(typing.Protocol):
    """Chooses engines for one completion and counts what is sent to them."""

    def choose(
        self, completion: Completion, failed: abc.Set[str]
    ) -> schema.Engine | None:
        """Return an engine that has not failed this completion, or None."""

    def reader(self, completion: Completion) -> schema.Engine | None:
        """Return the engine that is to read the prompt first, if it is another one."""

    def prompt_read(self, completion: Completion) -> None:
        """Count the prompt as read there, or as given up."""

    def began(self, completion: Completion, engine: schema.Engine) -> None:
        """Count a dispatch as sent."""

    def progressed(self, completion: Completion, engine: schema.Engine) -> None:
        """Count one token as received."""

    def ended(
        self,
        completion: Completion,
        engine: schema.Engine,
        outcome: outcomes.EngineEvent | None,
    ) -> None:
        """Count a dispatch as over; None if the caller left or its deadline passed."""


class ResumingStream:
    """Sends completions to engines and resumes streams that break."""

    def __init__(
        self,
        engines: EngineStreams,
        choice: EngineChoice,
        time: clock.Clock,
        limits: SilenceLimits | None = None,
        moves: handover.KvMoves | None = None,
        chance: random.Random | None = None,
        suspects: suspect_completions.SuspectCompletions | None = None,
    ) -> None:
        self._engines = engines
        self._choice = choice
        self._clock = time
        self._limits = limits or SilenceLimits()
        self._chance = chance or random.Random(0)
        self._suspects = suspects or suspect_completions.SuspectCompletions(time)
        self._handover = handover.Handover(moves or handover.NoHandover())

    async def run(
        self, completion: Completion
    ) -> abc.AsyncGenerator[CompletionEvent, None]:
        """Yield the answer's text; the last event is `Ended` or a refusal.

        A stream that breaks is resumed at the token it broke at, on another engine.
        Completions may run twice without harm, so this is safe; the caller sees one
        stream without a gap because every engine numbers its tokens.
        """
        delivered = 0
        maybe_ran = False
        failed: set[str] = set()
        reason = "no engine is free"
        pauses = backoff.Backoff(_FIRST_PAUSE, _LONGEST_PAUSE, self._chance)
        digest = completion.digest
        for attempt_number in range(_ATTEMPTS):
            if self._time_left(completion) <= 0:
                break
            if (verdict := self._suspects.verdict(digest)) is not None:
                if not maybe_ran:
                    yield results.quarantined(verdict.left)
                    return
                reason = "engines ended while they ran this completion"
                break
            engine = self._choice.choose(completion, failed)
            if engine is None:
                break
            before = delivered
            begun = self._clock.monotonic()
            attempt = self._attempt(completion, engine, delivered)
            async with contextlib.aclosing(attempt):
                async for event in attempt:
                    if isinstance(event, outcomes.Chunk):
                        delivered += event.tokens
                        yield Delta(event.text)
                    elif isinstance(event, outcomes.Finished):
                        self._suspects.completed(digest)
                        yield Ended(event.length, attempt_number)
                        return
                    else:
                        reason = event.reason
                        maybe_ran |= isinstance(event, outcomes.Broken)
                        if isinstance(event, outcomes.Broken) and event.connection_lost:
                            self._suspects.engine_ended(digest, engine.name, begun)
            failed.add(engine.name)
            _log.warn(
                "dispatch failed",
                request=completion.request_id,
                engine=engine.name,
                delivered=delivered,
                reason=reason,
            )
            if delivered == before:
                # What failed together would be tried again together, and the other
                # engines would fail it too. Pauses drawn at random spread it. A
                # stream that gave tokens has a reader and goes on at once.
                left = completion.deadline - self._clock.monotonic()
                await self._clock.sleep(min(pauses.next_pause(), left))
        if self._time_left(completion) <= 0:
            yield _deadline_passed(delivered, maybe_ran)
        else:
            yield _gave_up(delivered, maybe_ran, reason)

    async def _attempt(
        self, completion: Completion, engine: schema.Engine, offset: int
    ) -> abc.AsyncGenerator[outcomes.EngineEvent, None]:
        final: outcomes.EngineEvent | None = None
        limits = reusable_timeout.ReusableTimeout()
        self._choice.began(completion, engine)
        try:
            dispatch = engine_client.Dispatch(
                identity.new_id(),
                completion.model,
                completion.prompt,
                completion.max_tokens,
                offset,
                completion.priority,
                await self._kv_handle(completion, engine),
            )
            events = self._engines.generate(engine.address, dispatch)
            async with contextlib.aclosing(events):
                silence = self._first_silence(completion, engine)
                while True:
                    event = await self._next(limits, events, completion, silence)
                    if not isinstance(event, outcomes.Chunk):
                        # An engine is not to blame for a deadline that passed.
                        expired = self._time_left(completion) <= 0
                        final = None if expired else event
                        yield event
                        return
                    for _ in range(event.tokens):
                        self._choice.progressed(completion, engine)
                    yield event
                    silence = self._limits.next_token.total_seconds()
        finally:
            limits.close()
            self._choice.ended(completion, engine, final)

    async def _kv_handle(
        self, completion: Completion, engine: schema.Engine
    ) -> str | None:
        reader = self._choice.reader(completion)
        if reader is None:
            return None
        limit = min(
            self._first_silence(completion, reader), self._time_left(completion)
        )
        try:
            return await self._handover.handle(
                reader,
                engine,
                completion.model,
                completion.prompt,
                datetime.timedelta(seconds=max(0.0, limit)),
            )
        finally:
            self._choice.prompt_read(completion)

    async def _next(
        self,
        limits: reusable_timeout.ReusableTimeout,
        events: abc.AsyncGenerator[outcomes.EngineEvent, None],
        completion: Completion,
        silence: float,
    ) -> outcomes.EngineEvent:
        """Return the next event, or `Broken` once the engine was silent too long.

        Only the wait for the engine counts, not the time a slow caller takes. The
        deadline bounds it too, so that a final answer comes at once when it passes.
        Ending the wait closes the connection, by which the engine knows to stop.
        """
        limit = min(silence, self._time_left(completion))
        try:
            return await limits.wait_for(limit, anext(events))
        except TimeoutError:
            return outcomes.Broken(f"silent for {limit:.3g} s")
        except StopAsyncIteration:
            return outcomes.Broken("no terminal event")

    def _first_silence(self, completion: Completion, engine: schema.Engine) -> float:
        tokens = len(completion.prompt) / _CHARACTERS_PER_TOKEN
        reading = tokens / engine.prefill_tokens_per_s
        first = self._limits.first_token.total_seconds()
        return first + self._limits.reading_factor * reading

    def _time_left(self, completion: Completion) -> float:
        return (completion.deadline - self._clock.monotonic()).total_seconds()


def _execution(delivered: int, maybe_ran: bool) -> results.Execution:
    if delivered:
        return results.Execution.RAN
    return results.Execution.UNKNOWN if maybe_ran else results.Execution.NOT_RUN


def _deadline_passed(delivered: int, maybe_ran: bool) -> results.Refusal:
    return results.Refusal(
        results.ResultCode.DEADLINE_PASSED,
        f"the deadline passed after {delivered} tokens",
        _execution(delivered, maybe_ran),
    )


def _gave_up(delivered: int, maybe_ran: bool, reason: str) -> results.Refusal:
    execution = _execution(delivered, maybe_ran)
    if delivered:
        return results.Refusal(
            results.ResultCode.STREAM_BROKEN,
            f"the answer broke off after {delivered} tokens: {reason}",
            execution,
        )
    return results.Refusal(
        results.ResultCode.NO_BACKEND_SERVER,
        f"no engine could answer: {reason}",
        execution,
        _RETRY_AFTER,
    )
