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
from pimentolatch.decisions import dispatcher, lanes
from pimentolatch.document import schema
from pimentolatch.requests import completion_stream

__all__ = ["Scheduler"]

# Short against a person's notice of a wait. An instance without requests does not tick.
_TICK = datetime.timedelta(milliseconds=50)

_Decision = asyncio.Future["dispatcher.Start | results.Refusal"]


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
        self._waiting: dict[str, _Decision] = {}
        self._first_starts: dict[str, dispatcher.Start] = {}
        self._prefill_engines: dict[str, schema.Engine] = {}
        self._request_arrived = asyncio.Event()

    @property
    def decisions(self) -> dispatcher.Dispatcher:
        """The decisions, for those who tell them of peers."""
        return self._decisions

    async def run(self) -> None:
        """Start and expire waiting requests as time passes; runs until cancelled."""
        while True:
            if not self._decisions.busy:
                self._request_arrived.clear()
                await self._request_arrived.wait()
            await self._clock.sleep(_TICK)
            self._advance()

    async def admit(
        self, completion: completion_stream.Completion
    ) -> results.Refusal | None:
        """Wait for an engine; a refusal comes at once, or when none is free in time.

        If the caller goes away while it waits, the wait is cancelled and the request
        leaves the queue.
        """
        request = lanes.Request(
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
        decision: _Decision = asyncio.get_running_loop().create_future()
        self._waiting[completion.request_id] = decision
        self._request_arrived.set()
        self._advance()
        try:
            decided = await decision
        except asyncio.CancelledError:
            self.leave(completion)
            raise
        finally:
            self._waiting.pop(completion.request_id, None)
        if isinstance(decided, results.Refusal):
            return decided
        self._first_starts[completion.request_id] = decided
        return None

    def leave(self, completion: completion_stream.Completion) -> None:
        """Forget a completion, whatever became of it."""
        self._first_starts.pop(completion.request_id, None)
        self._prefill_engines.pop(completion.request_id, None)
        self._decisions.leave(completion.request_id, self._clock.monotonic())
        self._advance()

    def choose(
        self, completion: completion_stream.Completion, failed: abc.Set[str]
    ) -> schema.Engine | None:
        """See `stream.EngineChoice.choose`."""
        start = self._first_starts.pop(completion.request_id, None)
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
            self._prefill_engines[completion.request_id] = start.prefill_engine
        return start.engine

    def prefill_engine(
        self, completion: completion_stream.Completion
    ) -> schema.Engine | None:
        """See `stream.EngineChoice.reader`."""
        return self._prefill_engines.pop(completion.request_id, None)

    def prefill_ended(self, completion: completion_stream.Completion) -> None:
        """See `stream.EngineChoice.prompt_read`."""
        self._decisions.prefill_ended(completion.request_id)

    def dispatched(
        self, completion: completion_stream.Completion, engine: schema.Engine
    ) -> None:
        """Do nothing: a dispatch is counted when it is decided, not when it is sent.

        Between the two other requests are decided, and would be sent to the same
        engine if it still looked free.
        """

    def token_received(
        self, completion: completion_stream.Completion, engine: schema.Engine
    ) -> None:
        """See `stream.EngineChoice.progressed`."""
        self._decisions.token(completion.request_id, self._clock.monotonic())

    def dispatch_ended(
        self,
        completion: completion_stream.Completion,
        engine: schema.Engine,
        outcome: outcomes.EngineEvent | None,
    ) -> None:
        """See `stream.EngineChoice.ended`."""
        self._decisions.ended(completion.request_id, outcome, self._clock.monotonic())

    def _advance(self) -> None:
        now = self._clock.monotonic()
        for expired in self._decisions.expire(now):
            self._resolve(expired.request_id, expired.refusal)
        for started in self._decisions.start(self._fleet.view, now):
            self._resolve(started.request_id, started)

    def _resolve(
        self, request_id: str, answer: dispatcher.Start | results.Refusal
    ) -> None:
        decision = self._waiting.get(request_id)
        if decision is not None and not decision.done():
            decision.set_result(answer)
