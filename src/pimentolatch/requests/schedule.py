"""Holds waiting completions and starts them when engines have room.

The decisions are `decisions.dispatcher`; here is what needs an event loop: a future
for each request that waits, and a tick for what changes without an event of ours, such
as a deadline that passes or room that a peer reports.
"""

import asyncio
import datetime
from collections import abc

from pimentolatch import clock, fleet, results
from pimentolatch.backend import outcomes
from pimentolatch.decisions import dispatcher, model_queues
from pimentolatch.document import schema
from pimentolatch.requests import stream

__all__ = ["Scheduler"]

# Short against a person's notice of a wait. An instance without requests does not tick.
_TICK = datetime.timedelta(milliseconds=50)

_Turn = asyncio.Future["dispatcher.Start | results.Refusal"]


class Scheduler:
    """Admits completions and gives each its turn; an `EngineChoice` for its stream.

    All calls come from one event loop and none of them waits while it changes state,
    so the decisions need no lock.
    """

    def __init__(
        self,
        decisions: dispatcher.Dispatcher,
        own_fleet: fleet.Fleet,
        time: clock.Clock,
    ) -> None:
        self._decisions = decisions
        self._fleet = own_fleet
        self._clock = time
        self._turns: dict[str, _Turn] = {}
        self._first: dict[str, dispatcher.Start] = {}
        self._readers: dict[str, schema.Engine] = {}
        self._arrived = asyncio.Event()

    @property
    def decisions(self) -> dispatcher.Dispatcher:
        """The decisions, for those who tell them of peers."""
        return self._decisions

    async def run(self) -> None:
        """Start and expire waiting requests as time passes; runs until cancelled."""
        while True:
            if not self._decisions.busy:
                self._arrived.clear()
                await self._arrived.wait()
            await self._clock.sleep(_TICK)
            self._move()

    async def admit(self, completion: stream.Completion) -> results.Refusal | None:
        """Wait for an engine; a refusal comes at once, or when none is free in time.

        If the caller goes away while it waits, the wait is cancelled and the request
        leaves the queue.
        """
        request = model_queues.Request(
            completion.request_id,
            completion.caller,
            completion.model,
            completion.prompt,
            completion.max_tokens,
            completion.deadline,
            completion.priority,
        )
        now = self._clock.monotonic()
        answer = self._decisions.arrive(self._fleet.view, request, now)
        if isinstance(answer, results.Refusal):
            return answer
        turn: _Turn = asyncio.get_running_loop().create_future()
        self._turns[completion.request_id] = turn
        self._arrived.set()
        self._move()
        try:
            decided = await turn
        except asyncio.CancelledError:
            self.leave(completion)
            raise
        finally:
            self._turns.pop(completion.request_id, None)
        if isinstance(decided, results.Refusal):
            return decided
        self._first[completion.request_id] = decided
        return None

    def leave(self, completion: stream.Completion) -> None:
        """Forget a completion, whatever became of it."""
        self._first.pop(completion.request_id, None)
        self._readers.pop(completion.request_id, None)
        self._decisions.leave(completion.request_id, self._clock.monotonic())
        self._move()

    def choose(
        self, completion: stream.Completion, failed: abc.Set[str]
    ) -> schema.Engine | None:
        """See `stream.EngineChoice.choose`."""
        start = self._first.pop(completion.request_id, None)
        if start is None:
            start = self._decisions.resume(
                self._fleet.view,
                completion.request_id,
                frozenset(failed),
                self._clock.monotonic(),
            )
        if start is None:
            return None
        if start.prefill_engine is not None:
            self._readers[completion.request_id] = start.prefill_engine
        return start.engine

    def reader(self, completion: stream.Completion) -> schema.Engine | None:
        """See `stream.EngineChoice.reader`."""
        return self._readers.pop(completion.request_id, None)

    def prompt_read(self, completion: stream.Completion) -> None:
        """See `stream.EngineChoice.prompt_read`."""
        self._decisions.prefill_ended(completion.request_id)

    def began(self, completion: stream.Completion, engine: schema.Engine) -> None:
        """Do nothing: a dispatch is counted when it is decided, not when it is sent.

        Between the two other requests are decided, and would be sent to the same
        engine if it still looked free.
        """

    def progressed(self, completion: stream.Completion, engine: schema.Engine) -> None:
        """See `stream.EngineChoice.progressed`."""
        self._decisions.token(completion.request_id, self._clock.monotonic())

    def ended(
        self,
        completion: stream.Completion,
        engine: schema.Engine,
        outcome: outcomes.EngineEvent | None,
    ) -> None:
        """See `stream.EngineChoice.ended`."""
        self._decisions.ended(completion.request_id, outcome, self._clock.monotonic())

    def _move(self) -> None:
        now = self._clock.monotonic()
        for expired in self._decisions.expire(now):
            self._answer(expired.request_id, expired.refusal)
        for started in self._decisions.start(self._fleet.view, now):
            self._answer(started.request_id, started)

    def _answer(
        self, request_id: str, answer: dispatcher.Start | results.Refusal
    ) -> None:
        turn = self._turns.get(request_id)
        if turn is not None and not turn.done():
            turn.set_result(answer)
