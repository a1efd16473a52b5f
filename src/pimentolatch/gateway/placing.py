"""Chooses engines for prompts and has those wait for which there is none."""

import datetime

from pimentolatch.decisions import (
    demand_rate,
    engine_loads,
    placement,
    places,
    prompt_sizes,
    subset,
    wait_policy,
)
from pimentolatch.gateway import attempt, inbound, request_log
from pimentolatch.routes import servers

__all__ = ["PromptPlacer", "lot"]


class PromptPlacer:
    """Places the prompts of an instance and counts what they ask of engines.

    Args:
        context: What serves every request.
        own_domain: Failure domain of this instance.
    """

    def __init__(self, context: attempt.Context, own_domain: str) -> None:
        self._context = context
        self._domain = own_domain
        self._waiting = 0
        self._demands: dict[str, demand_rate.DemandRate] = {}

    def demand(self, service: str) -> demand_rate.ServiceDemand:
        """Return what clients ask of a service through this instance."""
        return self._rate(service).rate(self._context.clock.monotonic())

    def demands(self) -> dict[str, demand_rate.ServiceDemand]:
        """Return what clients ask of each service through this instance."""
        return {service: self.demand(service) for service in self._demands}

    async def place(
        self, asked: inbound.Inbound, progress: attempt.Progress
    ) -> places.InPlace | places.Apart | places.Hopeless:
        """Choose engines, waiting for one if none takes requests."""
        since = self._context.clock.monotonic()
        place = self._choose(asked, progress, since)
        if not isinstance(place, places.NoEngine):
            return place
        listed = bool(self._context.loads(asked).all())
        while isinstance(place, places.NoEngine):
            if not listed or not await self.wait(asked, progress):
                self._log_wait(asked, since, in_vain=True)
                return places.Hopeless(wait_policy.retry_after(lot(asked)))
            place = self._choose(asked, progress, self._context.clock.monotonic())
        self._log_wait(asked, since, in_vain=False)
        return place

    def choose_writer(
        self, asked: inbound.Inbound, source: attempt.Source, progress: attempt.Progress
    ) -> engine_loads.EngineLoad | None:
        """Return the engine that is to go on with a prompt; None if there is none."""
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

    async def wait(self, asked: inbound.Inbound, progress: attempt.Progress) -> bool:
        """Wait before looking for an engine again; False if there is no time left."""
        left = attempt.leaves_at(asked, progress) - self._context.clock.monotonic()
        if not wait_policy.may_wait(left, self._waiting):
            return False
        self._waiting += 1
        try:
            pause = wait_policy.recheck_interval(asked.rank, lot(asked))
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
                asked.rank,
                progress.size is not prompt_sizes.SizeClass.REST,
                due=asked.arrived + asked.route.latency_target - now,
                patience=attempt.leaves_at(asked, progress) - now,
                lot=lot(asked),
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


def lot(asked: inbound.Inbound) -> float:
    """Return a number from 0 to 1, drawn evenly and the same wherever it is asked."""
    return subset.rank(asked.request_id, "lot") / 2**64
