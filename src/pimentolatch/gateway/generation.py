"""Answers requests on stream routes from model engines."""

import asyncio
import dataclasses
import datetime

from pimentolatch import clock
from pimentolatch.decisions import (
    demand_rate,
    engine_loads,
    placement,
    places,
    prompt_sizes,
    repeat_budget,
    subset,
    waiting,
)
from pimentolatch.gateway import (
    attempt,
    cache_updates,
    doubting,
    inbound,
    knowledge,
    measuring,
    quarantine,
    reading,
    refusals,
    request_log,
    sending,
    writing,
)
from pimentolatch.routes import servers

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
        log: request_log.RequestLog,
        measured: measuring.RouteMetrics,
    ) -> None:
        doubts = doubting.EngineDoubts(client, log, time)
        self._context = attempt.Context(
            known, client, doubts, updates, suspects, log, measured, time
        )
        self._reader = reading.PromptReader(self._context)
        self._writer = writing.StreamWriter(self._context)
        self._waiting = 0
        self._demands: dict[str, demand_rate.DemandRate] = {}
        self._sizes = prompt_sizes.PromptSizes()
        self._budget = budget
        self._domain = own_domain

    def demand(self, service: str) -> demand_rate.ServiceDemand:
        """Return what clients ask of a service through this instance."""
        return self._rate(service).rate(self._context.clock.monotonic())

    def demands(self) -> dict[str, demand_rate.ServiceDemand]:
        """Return what clients ask of each service through this instance."""
        return {service: self.demand(service) for service in self._demands}

    def _rate(self, service: str) -> demand_rate.DemandRate:
        return self._demands.setdefault(service, demand_rate.DemandRate())

    def _count_demand(self, asked: inbound.Inbound, place: places.Place) -> None:
        """Count what the engines that read apart are asked for."""
        prompt = asked.head.prompt
        assert prompt is not None
        loads = self._context.loads(asked)
        if isinstance(place, places.InPlace):
            cost = 0.0
        elif isinstance(place, places.Apart):
            cost = loads.reading_cost(place.tokens)
        else:
            unread = (engine.unread(prompt) for engine in loads.all())
            cost = loads.reading_cost(min(unread, default=prompt.tokens))
        rate = self._rate(asked.service.name)
        rate.add(cost, prompt.expected_output, self._context.clock.monotonic())

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
                refusals.not_run_in_time(waiting.retry_after(_lot(asked)))
            )

    async def _try(
        self, asked: inbound.Inbound, answer: inbound.Answer, progress: attempt.Progress
    ) -> bool:
        """Offer the request to engines once; True if the answer is finished."""
        if progress.ran >= max(1, asked.route.most_servers):
            return await self._give_up(answer, progress)
        place = await self._place(asked, progress)
        if isinstance(place, places.Hopeless):
            progress.wait = place.retry_after
            return await self._give_up(answer, progress)
        if await self._quarantined(asked, answer, progress):
            return True
        if not self._may_send(asked, progress):
            return await self._give_up(answer, progress)
        if isinstance(place, places.InPlace):
            return await self._writer.write(asked, answer, progress, place, None)
        source = await self._reader.read(asked, place, progress)
        if source is None:
            return False
        if isinstance(source, sending.TakenBack):
            progress.wait = waiting.retry_after(_lot(asked))
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
            writer = self._choose_writer(asked, source, progress)
            while writer is None and await self._wait(asked, progress):
                writer = self._choose_writer(asked, source, progress)
            if await self._quarantined(asked, answer, progress):
                return True
            if writer is None:
                progress.wait = waiting.retry_after(_lot(asked))
            if writer is None or not self._may_send(asked, progress):
                return await self._give_up(answer, progress)
            chosen = dataclasses.replace(place, engine=writer)
            if await self._writer.write(asked, answer, progress, chosen, source):
                return True
            if source.taken or source.doubtful:
                break
        return False

    def _choose_writer(
        self, asked: inbound.Inbound, source: attempt.Source, progress: attempt.Progress
    ) -> engine_loads.EngineLoad | None:
        assert asked.head.prompt is not None and asked.service.engine is not None
        loads = self._context.loads(asked)
        now = self._context.clock.monotonic()
        return placement.Placement(loads, self._domain).choose_writer(
            asked.head.prompt,
            source.reader,
            asked.service.engine,
            now,
            without=self._without(asked, progress, now),
        )

    def _may_send(self, asked: inbound.Inbound, progress: attempt.Progress) -> bool:
        """Tell whether the budget allows one more sending of a request.

        The first sending is free, and so is the first prompt that is read apart. A
        further one is paid for before it goes out, since a server that declines it has
        been disturbed all the same.
        """
        if not progress.arrivals:
            return True
        return self._budget.spend(asked.service.name, self._context.clock.monotonic())

    async def _quarantined(
        self, asked: inbound.Inbound, answer: inbound.Answer, progress: attempt.Progress
    ) -> bool:
        """End a request that has come into quarantine meanwhile."""
        verdict = self._context.suspects.verdict(asked)
        if verdict is None:
            return False
        await attempt.conclude_quarantined(answer, progress, verdict.left)
        return True

    def _without(
        self,
        asked: inbound.Inbound,
        progress: attempt.Progress,
        now: datetime.timedelta,
    ) -> frozenset[servers.Incarnation]:
        """Return the engines that a request does not use."""
        failed = frozenset(progress.failed)
        if not self._context.suspects.is_suspect(asked):
            return failed
        loads = self._context.loads(asked)
        writers = loads.usable(servers.Stage.DECODE, now, failed)
        return failed | self._context.suspects.avoided(
            asked, (writer.server for writer in writers)
        )

    async def _give_up(
        self, answer: inbound.Answer, progress: attempt.Progress
    ) -> bool:
        await attempt.conclude(answer, progress)
        return True

    async def _place(
        self, asked: inbound.Inbound, progress: attempt.Progress
    ) -> places.InPlace | places.Apart | places.Hopeless:
        """Choose engines, waiting for one if none takes requests."""
        since = self._context.clock.monotonic()
        place = self._choose(asked, progress, since)
        if not isinstance(place, places.NoEngine):
            return place
        listed = bool(self._context.loads(asked).all())
        while isinstance(place, places.NoEngine):
            if not listed or not await self._wait(asked, progress):
                self._log_wait(asked, since, in_vain=True)
                return places.Hopeless(waiting.retry_after(_lot(asked)))
            place = self._choose(asked, progress, self._context.clock.monotonic())
        self._log_wait(asked, since, in_vain=False)
        return place

    def _log_wait(
        self, asked: inbound.Inbound, since: datetime.timedelta, *, in_vain: bool
    ) -> None:
        self._context.log.write(
            request_log.WAITED,
            asked.request_id,
            wrong=in_vain,
            ms=self._context.log.elapsed_ms(since),
            in_vain=in_vain,
        )

    async def _wait(self, asked: inbound.Inbound, progress: attempt.Progress) -> bool:
        """Wait before looking for an engine again; False if there is no time left."""
        left = attempt.leaves_at(asked, progress) - self._context.clock.monotonic()
        if not waiting.may_wait(left, self._waiting):
            return False
        self._waiting += 1
        try:
            pause = waiting.look_again(asked.route.rank, _lot(asked))
            await self._context.clock.sleep(pause)
        finally:
            self._waiting -= 1
        # Whatever failed the request before may serve it now; engines that fail are
        # left alone for a while whoever asks.
        progress.failed.clear()
        return True

    def _choose(
        self,
        asked: inbound.Inbound,
        progress: attempt.Progress,
        now: datetime.timedelta,
    ) -> places.Place:
        assert asked.head.prompt is not None and asked.service.engine is not None
        loads = self._context.loads(asked)
        chooser = placement.Placement(loads, self._domain)
        place = chooser.choose(
            places.Asked(
                asked.head.prompt,
                asked.route.rank,
                progress.size is not prompt_sizes.SizeClass.REST,
                due=asked.arrived + asked.route.latency_target - now,
                patience=attempt.leaves_at(asked, progress) - now,
                lot=_lot(asked),
            ),
            asked.service.engine,
            now,
            without=self._without(asked, progress, now),
        )
        if not progress.counted:
            progress.counted = True
            self._count_demand(asked, place)
        if not isinstance(place, places.NoEngine):
            self._log_place(asked, place, progress.size)
        return place

    def _log_place(
        self,
        asked: inbound.Inbound,
        place: places.InPlace | places.Apart | places.Hopeless,
        size: prompt_sizes.SizeClass,
    ) -> None:
        assert asked.head.prompt is not None
        if isinstance(place, places.Hopeless):
            wait = place.retry_after / datetime.timedelta(milliseconds=1)
            self._context.log.write(
                request_log.PLACED,
                asked.request_id,
                wrong=True,
                refused_for_ms=round(wait),
                prompt=asked.head.prompt.tokens,
                size=size.value,
            )
            return
        reader = place.reader if isinstance(place, places.Apart) else place.engine
        self._context.log.write(
            request_log.PLACED,
            asked.request_id,
            reader=reader.server.server_id,
            writer=place.engine.server.server_id,
            donor=None if place.donor is None else place.donor.server.server_id,
            tokens=place.tokens,
            prompt=asked.head.prompt.tokens,
            size=size.value,
            urgency=place.level,
            expected_ms=round(place.expected / datetime.timedelta(milliseconds=1)),
        )


def _lot(asked: inbound.Inbound) -> float:
    """Return a number from 0 to 1, drawn evenly and the same wherever it is asked."""
    return subset.rank(asked.request_id, "lot") / 2**64
