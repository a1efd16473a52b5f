"""Streams a completion and resumes it on another engine after a failure."""

import contextlib
import dataclasses
import datetime
import random
import typing
from collections import abc

import logbook

from pimentolatch import backoff, clock, results, reusable_timeout, settings
from pimentolatch.backend import engine_client, outcomes
from pimentolatch.document import schema
from pimentolatch.requests import digests, identity, kv_transfer, suspect_completions

__all__ = [
    "Completion",
    "CompletionEvent",
    "Delta",
    "Ended",
    "EngineSelector",
    "EngineStreams",
    "ResumingStream",
    "ResponseTimeouts",
]

_log = logbook.Logger("stream")
_MAX_ATTEMPTS = 4
_RETRY_AFTER = datetime.timedelta(seconds=1)
_MIN_PAUSE = datetime.timedelta(milliseconds=100)
_MAX_PAUSE = datetime.timedelta(seconds=2)
_CHARACTERS_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseTimeouts:
    """Time without a token after which the stream of an engine counts as broken.

    A frozen engine keeps its connections open and reports no error. Without time-outs
    its callers would wait until their deadlines and get nothing, although another
    engine could have resumed the stream. The latency targets are 1.9 s for the first
    token and 71 ms for each next one, at the 95th percentile. An engine that exceeds
    several times that has failed; prefilling a long prompt is allowed three times the
    time expected from the engine's stated speed.

    Attributes:
        first_token: Time-out for the first token of a dispatch, without prefill.
        prefill_factor: Multiple of the expected prefill time that is added to it.
        next_token: Time-out for each later token.
    """

    first_token: datetime.timedelta = datetime.timedelta(seconds=5)
    prefill_factor: float = 3.0
    next_token: datetime.timedelta = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """A validated completion request.

    Attributes:
        deadline: Time on the instance's monotonic clock after which the answer is
            useless.
        priority: Higher values are served first.
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
        """Digest of the completion, equal for all its attempts."""
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
    """Text that extends the completion."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The completion is finished.

    Attributes:
        length: Number of tokens.
        resumptions: How often it was resumed after an engine failed.
    """

    length: int
    resumptions: int = 0


CompletionEvent = Delta | Ended | results.Refusal


class EngineStreams(typing.Protocol):
    """Client of engines."""

    def generate(
        self, address: settings.Address, dispatch: engine_client.Dispatch
    ) -> abc.AsyncGenerator[outcomes.EngineEvent, None]:
        """Yield the events of a stream; the last one is never a chunk."""


class EngineSelector(typing.Protocol):
    """Selects the engines of completions and accounts for their work."""

    def choose(
        self, completion: Completion, failed: abc.Set[str]
    ) -> schema.Engine | None:
        """Return an engine that has not failed this completion, or None."""

    def prefill_engine(self, completion: Completion) -> schema.Engine | None:
        """Return the prefill engine if prefill is disaggregated, else None."""

    def prefill_ended(self, completion: Completion) -> None:
        """Record that the disaggregated prefill was completed or given up."""

    def dispatched(self, completion: Completion, engine: schema.Engine) -> None:
        """Record that a dispatch was sent."""

    def token_received(self, completion: Completion, engine: schema.Engine) -> None:
        """Record that one token was received."""

    def dispatch_ended(
        self,
        completion: Completion,
        engine: schema.Engine,
        outcome: outcomes.EngineEvent | None,
    ) -> None:
        """Record the end of a dispatch.

        Args:
            completion: The completion.
            engine: Engine of the dispatch.
            outcome: Last event, or None if the caller disconnected or its deadline
                passed.
        """


class ResumingStream:
    """Sends completions to engines and resumes broken streams."""

    def __init__(
        self,
        engines: EngineStreams,
        choice: EngineSelector,
        time: clock.Clock,
        limits: ResponseTimeouts | None = None,
        kv_client: kv_transfer.KvTransferClient | None = None,
        rng: random.Random | None = None,
        suspects: suspect_completions.SuspectCompletions | None = None,
    ) -> None:
        self._engines = engines
        self._choice = choice
        self._clock = time
        self._limits = limits or ResponseTimeouts()
        self._rng = rng or random.Random(0)
        self._suspects = suspects or suspect_completions.SuspectCompletions(time)
        self._kv_transfer = kv_transfer.KvTransfer(
            kv_client or kv_transfer.NoKvTransfer()
        )

    async def run(
        self, completion: Completion
    ) -> abc.AsyncGenerator[CompletionEvent, None]:
        """Yield the text of the completion; the last event is `Ended` or a refusal.

        A broken stream is resumed on another engine, at the first token not received.
        This is safe because completions are idempotent. The caller sees one stream
        without gaps because engines number their tokens.
        """
        delivered = 0
        maybe_ran = False
        failed: set[str] = set()
        reason = "no engine is available"
        pauses = backoff.Backoff(_MIN_PAUSE, _MAX_PAUSE, self._rng)
        digest = completion.digest
        for attempt_number in range(_MAX_ATTEMPTS):
            if self._time_left(completion) <= 0:
                break
            if (verdict := self._suspects.verdict(digest)) is not None:
                if not maybe_ran:
                    yield results.quarantined(verdict.remaining)
                    return
                reason = "quarantined: engines crashed while they ran this completion"
                break
            engine = self._choice.choose(completion, failed)
            if engine is None:
                break
            before = delivered
            started_at = self._clock.monotonic()
            attempt = self._attempt(completion, engine, delivered)
            async with contextlib.aclosing(attempt):
                async for event in attempt:
                    if isinstance(event, outcomes.Chunk):
                        delivered += event.tokens
                        yield Delta(event.text)
                    elif isinstance(event, outcomes.Finished):
                        self._suspects.record_completion(digest)
                        yield Ended(event.length, attempt_number)
                        return
                    else:
                        reason = event.reason
                        maybe_ran |= isinstance(event, outcomes.OutcomeUnknown)
                        if (
                            isinstance(event, outcomes.OutcomeUnknown)
                            and event.connection_lost
                        ):
                            self._suspects.record_crash(digest, engine.name, started_at)
            failed.add(engine.name)
            _log.warn(
                "dispatch failed",
                request=completion.request_id,
                engine=engine.name,
                delivered=delivered,
                reason=reason,
            )
            if delivered == before:
                # Requests that failed together would be retried together, and fail
                # on the other engines too. Randomized pauses spread the retries.
                # A stream that delivered tokens is resumed at once, since its
                # client is waiting for the next token.
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
        self._choice.dispatched(completion, engine)
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
                timeout = self._first_token_timeout(completion, engine)
                while True:
                    event = await self._next_event(limits, events, completion, timeout)
                    if not isinstance(event, outcomes.Chunk):
                        # A passed deadline is not a failure of the engine.
                        expired = self._time_left(completion) <= 0
                        final = None if expired else event
                        yield event
                        return
                    for _ in range(event.tokens):
                        self._choice.token_received(completion, engine)
                    yield event
                    timeout = self._limits.next_token.total_seconds()
        finally:
            limits.close()
            self._choice.dispatch_ended(completion, engine, final)

    async def _kv_handle(
        self, completion: Completion, engine: schema.Engine
    ) -> str | None:
        prefill_engine = self._choice.prefill_engine(completion)
        if prefill_engine is None:
            return None
        limit = min(
            self._first_token_timeout(completion, prefill_engine),
            self._time_left(completion),
        )
        try:
            return await self._kv_transfer.transfer(
                prefill_engine,
                engine,
                completion.model,
                completion.prompt,
                datetime.timedelta(seconds=max(0.0, limit)),
            )
        finally:
            self._choice.prefill_ended(completion)

    async def _next_event(
        self,
        limits: reusable_timeout.ReusableTimeout,
        events: abc.AsyncGenerator[outcomes.EngineEvent, None],
        completion: Completion,
        timeout: float,
    ) -> outcomes.EngineEvent:
        """Return the next event, or `OutcomeUnknown` after the time-out.

        Only the time spent waiting for the engine counts, not that of a slow caller.
        The deadline limits the wait as well, so that the caller is answered as soon as
        it passes. Cancelling the wait closes the connection, which tells the engine to
        stop.
        """
        limit = min(timeout, self._time_left(completion))
        try:
            return await limits.wait_for(limit, anext(events))
        except TimeoutError:
            return outcomes.OutcomeUnknown(f"no token for {limit:.3g} s")
        except StopAsyncIteration:
            return outcomes.OutcomeUnknown("the stream ended without a terminal event")

    def _first_token_timeout(
        self, completion: Completion, engine: schema.Engine
    ) -> float:
        tokens = len(completion.prompt) / _CHARACTERS_PER_TOKEN
        prefill_time = tokens / engine.prefill_tokens_per_s
        first_token = self._limits.first_token.total_seconds()
        return first_token + self._limits.prefill_factor * prefill_time

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
            f"the stream broke after {delivered} tokens, resumption failed: {reason}",
            execution,
        )
    return results.Refusal(
        results.ResultCode.NO_BACKEND_SERVER,
        f"no engine could run the completion; retry later: {reason}",
        execution,
        _RETRY_AFTER,
    )
