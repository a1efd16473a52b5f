"""Queues completions and starts them when engines have capacity.

The decisions are made by `decisions.dispatcher`. This module adds what needs an event
loop: a future per waiting request, and a periodic tick for changes without a local
event, such as an expired deadline or capacity reported by a peer.
"""

import asyncio
import datetime
from collections import abc

from pimentolatch import clock, fleet, results
from pimentolatch.backend import outcomes
from pimentolatch.decisions import dispatcher, model_queues
from pimentolatch.document import schema
from pimentolatch.requests import completion_stream

__all__ = ["Scheduler"]

# Too short for a person to notice the delay. Idle instances do not tick.
_TICK = datetime.timedelta(milliseconds=50)

_Decision = asyncio.Future["dispatcher.Start | results.Refusal"]


class Scheduler:
    """Admits completions and starts each in turn; the `EngineSelector` of streams.

    All calls come from one event loop and none awaits while it changes state, so no
    lock is needed.
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
        """The decisions, to which reports of peers are passed."""
        return self._decisions

    async def run(self) -> None:
        """Start and expire waiting requests periodically, until cancelled."""
        while True:
            if not self._decisions.busy:
                self._request_arrived.clear()
                await self._request_arrived.wait()
            await self._clock.sleep(_TICK)
            self._advance()

    async def admit(
        self, completion: completion_stream.Completion
    ) -> results.Refusal | None:
        """Wait for an engine; return a refusal at once, or if none is free in time.

        If the caller disconnects meanwhile, the wait is cancelled and the request is
        removed from the queue.
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
        """Remove a completion, whatever its outcome."""
        self._first_starts.pop(completion.request_id, None)
        self._prefill_engines.pop(completion.request_id, None)
        self._decisions.leave(completion.request_id, self._clock.monotonic())
        self._advance()

    def choose(
        self, completion: completion_stream.Completion, failed: abc.Set[str]
    ) -> schema.Engine | None:
        """See `completion_stream.EngineSelector.choose`."""
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
        """See `completion_stream.EngineSelector.prefill_engine`."""
        return self._prefill_engines.pop(completion.request_id, None)

    def prefill_ended(self, completion: completion_stream.Completion) -> None:
        """See `completion_stream.EngineSelector.prefill_ended`."""
        self._decisions.prefill_ended(completion.request_id)

    def dispatched(
        self, completion: completion_stream.Completion, engine: schema.Engine
    ) -> None:
        """Do nothing: a dispatch is counted when it is decided, not when it is sent.

        Other requests are decided in between, and would go to the same engine if it
        still appeared free.
        """

    def token_received(
        self, completion: completion_stream.Completion, engine: schema.Engine
    ) -> None:
        """See `completion_stream.EngineSelector.token_received`."""
        self._decisions.token(completion.request_id, self._clock.monotonic())

    def dispatch_ended(
        self,
        completion: completion_stream.Completion,
        engine: schema.Engine,
        outcome: outcomes.EngineEvent | None,
    ) -> None:
        """See `completion_stream.EngineSelector.dispatch_ended`."""
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
