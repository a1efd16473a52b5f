"""Answers requests on stream routes from model engines."""

import asyncio
import dataclasses

from pimentolatch import clock
from pimentolatch.decisions import (
    demand_rate,
    places,
    prompt_sizes,
    repeat_budget,
    wait_policy,
)
from pimentolatch.gateway import (
    attempt,
    cache_updates,
    doubting,
    inbound,
    knowledge,
    measuring,
    permission,
    placing,
    quarantine,
    reading,
    refusals,
    request_log,
    sending,
    usage_exchange,
    writing,
)

__all__ = ["StreamForwarder"]

# Engines that one request may be offered to, declining ones included.
_MOST_TRIES = 5
# Engines that a prompt which was read is offered to. One that declines may do so
# because the prompt can't be had any more; a third would be told the same.
_MOST_HANDOVERS = 2


class StreamForwarder:
    """Places requests on engines and passes their events on.

    A stream that breaks goes on at another engine, within the same answer, if its
    route allows it: the client sees no seam. Otherwise its connection is closed, so
    that the answer does not look whole.
    """

    def __init__(
        self,
        known: knowledge.Knowledge,
        client: sending.ServerClient,
        budget: repeat_budget.RepeatBudget,
        time: clock.Clock,
        own_domain: str,
        updates: cache_updates.CacheUpdates,
        suspects: quarantine.Quarantine,
        allowed: permission.Permission,
        usage: usage_exchange.UsageCounter,
        log: request_log.RequestLog,
        measured: measuring.RouteMetrics,
    ) -> None:
        doubts = doubting.EngineDoubts(client, log, time)
        self._context = attempt.Context(
            known,
            client,
            doubts,
            updates,
            suspects,
            allowed,
            usage,
            log,
            measured,
            time,
        )
        self._reader = reading.PromptReader(self._context)
        self._writer = writing.StreamWriter(self._context)
        self._placer = placing.PromptPlacer(self._context, own_domain)
        self._sizes = prompt_sizes.PromptSizes()
        self._budget = budget

    def demand(self, service: str) -> demand_rate.ServiceDemand:
        """Return what clients ask of a service through this instance."""
        return self._placer.demand(service)

    def demands(self) -> dict[str, demand_rate.ServiceDemand]:
        """Return what clients ask of each service through this instance."""
        return self._placer.demands()

    async def run(self, asked: inbound.Inbound, answer: inbound.Answer) -> None:
        """Answer a request."""
        assert asked.head.prompt is not None
        size = self._sizes.classify(asked.route.name, asked.head.prompt.tokens)
        progress = attempt.Progress(size, last_event=asked.head.last_event)
        try:
            await self._run(asked, answer, progress)
        finally:
            self._context.measured.prompt_ended(
                size, answer.status, whole=answer.outcome == inbound.PASSED_ON
            )

    async def _run(
        self, asked: inbound.Inbound, answer: inbound.Answer, progress: attempt.Progress
    ) -> None:
        try:
            async with asyncio.timeout(
                max(
                    0.0, (asked.until - self._context.clock.monotonic()).total_seconds()
                )
            ):
                for _ in range(_MOST_TRIES):
                    if await self._try(asked, answer, progress):
                        return
        except TimeoutError:
            await self._deadline_exceeded(asked, answer, progress)
            return
        await attempt.conclude(answer, progress)

    async def _deadline_exceeded(
        self, asked: inbound.Inbound, answer: inbound.Answer, progress: attempt.Progress
    ) -> None:
        if answer.started:
            answer.break_off("deadline passed in the stream")
        elif progress.ran or progress.open:
            await answer.refuse(refusals.deadline_passed())
        else:
            await answer.refuse(
                refusals.not_run_in_time(wait_policy.retry_after(placing.lot(asked)))
            )

    async def _try(
        self, asked: inbound.Inbound, answer: inbound.Answer, progress: attempt.Progress
    ) -> bool:
        """Offer the request to engines once; True if the answer is finished."""
        if progress.ran >= max(1, asked.route.most_servers):
            return await self._give_up(answer, progress)
        place = await self._placer.place(asked, progress)
        if isinstance(place, places.Hopeless):
            progress.wait = place.retry_after
            return await self._give_up(answer, progress)
        if await self._refused(asked, answer, progress):
            return True
        if not self._may_send(asked, progress):
            return await self._give_up(answer, progress)
        if isinstance(place, places.InPlace):
            return await self._writer.write(asked, answer, progress, place, None)
        source = await self._reader.read(asked, place, progress)
        if source is None:
            return False
        if isinstance(source, sending.TakenBack):
            progress.wait = wait_policy.retry_after(placing.lot(asked))
            return await self._give_up(answer, progress)
        try:
            return await self._hand_over(asked, answer, progress, place, source)
        finally:
            if not source.taken:
                self._reader.release(source)

    async def _hand_over(
        self,
        asked: inbound.Inbound,
        answer: inbound.Answer,
        progress: attempt.Progress,
        place: places.Apart,
        source: attempt.Source,
    ) -> bool:
        """Have an engine go on with a prompt that was read; see `_try`.

        An engine that declines leaves the prompt where it is, and another one takes it,
        so that a change of stage costs no second prefill.
        """
        for _ in range(_MOST_HANDOVERS):
            if self._context.known.has_ended(source.reader.server.incarnation):
                progress.reason = "the engine that read the prompt started again"
                return False
            writer = self._placer.choose_writer(asked, source, progress)
            while writer is None and await self._placer.wait(asked, progress):
                writer = self._placer.choose_writer(asked, source, progress)
            if await self._refused(asked, answer, progress):
                return True
            if writer is None:
                progress.wait = wait_policy.retry_after(placing.lot(asked))
            if writer is None or not self._may_send(asked, progress):
                return await self._give_up(answer, progress)
            chosen = dataclasses.replace(place, engine=writer)
            if await self._writer.write(asked, answer, progress, chosen, source):
                return True
            if source.taken or source.doubtful:
                break
        return False

    def _may_send(self, asked: inbound.Inbound, progress: attempt.Progress) -> bool:
        """Tell whether the budget allows one more sending of a request.

        The first sending is free, and so is the first prompt that is read apart. A
        further one is paid for before it goes out, since a server that declines it has
        been disturbed all the same.
        """
        if not progress.arrivals:
            return True
        return self._budget.spend(asked.service.name, self._context.clock.monotonic())

    async def _refused(
        self, asked: inbound.Inbound, answer: inbound.Answer, progress: attempt.Progress
    ) -> bool:
        """End a request that may go to no further server since it was let in."""
        refusal = self._context.permission.refusal(asked)
        if refusal is None:
            return False
        await attempt.conclude_refused(answer, progress, refusal)
        return True

    async def _give_up(
        self, answer: inbound.Answer, progress: attempt.Progress
    ) -> bool:
        await attempt.conclude(answer, progress)
        return True
