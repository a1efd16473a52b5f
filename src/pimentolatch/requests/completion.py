"""Admits completions, selects engines and runs them."""

import contextlib
import datetime
import random
from collections import abc

from pimentolatch import clock, fleet, results
from pimentolatch.decisions import dispatcher, outstanding_work
from pimentolatch.requests import (
    completion_scheduler,
    completion_stream,
    kv_transfer,
    suspect_completions,
)

__all__ = ["CompletionRunner"]

_RETRY_AFTER = datetime.timedelta(seconds=1)


class CompletionRunner:
    """Runs completions on the engines in the current view of the fleet."""

    def __init__(
        self,
        *,
        own_fleet: fleet.Fleet,
        own_domain: str,
        engines: completion_stream.EngineStreams,
        work: outstanding_work.OutstandingWork,
        time: clock.Clock,
        own_instance: str = "",
        kv_client: kv_transfer.KvTransferClient | None = None,
    ) -> None:
        self._fleet = own_fleet
        decisions = dispatcher.Dispatcher(own_instance, own_domain, work)
        self._scheduler = completion_scheduler.Scheduler(decisions, own_fleet, time)
        self._suspects = suspect_completions.SuspectCompletions(time)
        self._stream = completion_stream.ResumingStream(
            engines,
            self._scheduler,
            time,
            suspects=self._suspects,
            kv_client=kv_client,
            # Seeded by instance, so that instances don't retry at the same moments.
            rng=random.Random(own_instance),
        )

    @property
    def suspects(self) -> suspect_completions.SuspectCompletions:
        """Completions suspected of crashing engines."""
        return self._suspects

    @property
    def scheduler(self) -> completion_scheduler.Scheduler:
        """Queue of completions; its `run` must run as a background task."""
        return self._scheduler

    async def run(
        self, completion: completion_stream.Completion
    ) -> abc.AsyncGenerator[completion_stream.CompletionEvent, None]:
        """Yield the text of the completion; the last event is `Ended` or a refusal."""
        if refusal := self._unservable(completion):
            yield refusal
            return
        if refusal := await self._scheduler.admit(completion):
            yield refusal
            return
        events = self._stream.run(completion)
        try:
            async with contextlib.aclosing(events):
                async for event in events:
                    yield event
        finally:
            self._scheduler.leave(completion)

    def _unservable(
        self, completion: completion_stream.Completion
    ) -> results.Refusal | None:
        document = self._fleet.view.document
        if document is None:
            return results.Refusal(
                results.ResultCode.NO_CONFIGURATION,
                "this instance has no configuration yet; retry later",
                results.Execution.NOT_RUN,
                _RETRY_AFTER,
            )
        if all(model.name != completion.model for model in document.models):
            return results.Refusal(
                results.ResultCode.UNKNOWN_MODEL,
                f"no model {completion.model!r} in the configuration; see /v1/models",
                results.Execution.NOT_RUN,
            )
        return None
