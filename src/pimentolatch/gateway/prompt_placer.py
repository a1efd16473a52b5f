"""Chooses engines for prompts; prompts wait while no engine is available."""

import datetime

from pimentolatch.decisions import (
    demand_rate,
    engine_loads,
    placement,
    placement_types,
    prompt_sizes,
    wait_policy,
)
from pimentolatch.gateway import client_request, request_log, request_progress
from pimentolatch.routes import servers

__all__ = ["PromptPlacer"]

# Engines that a log line names as accepting no request at the moment.
_MAX_LOGGED = 5


class PromptPlacer:
    """Places the prompts of an instance and counts their demand.

    Args:
        context: Components that all requests share.
        own_domain: Failure domain of this instance.
    """

    def __init__(self, context: request_progress.Context, own_domain: str) -> None:
        self._context = context
        self._domain = own_domain
        self._waiting = wait_policy.Waiting()
        self._demands: dict[str, demand_rate.DemandRate] = {}

    def demand(self, service: str) -> demand_rate.ServiceDemand:
        """Return the demand on a service through this instance."""
        return self._rate(service).rate(self._context.clock.monotonic())

    def demands(self) -> dict[str, demand_rate.ServiceDemand]:
        """Return the demand on each service through this instance."""
        return {service: self.demand(service) for service in self._demands}

    async def place(
        self, request: client_request.ClientRequest, progress: request_progress.Progress
    ) -> (
        placement_types.Colocated
        | placement_types.Disaggregated
        | placement_types.Infeasible
        | placement_types.Elsewhere
    ):
        """Choose engines; wait for one if none accepts requests."""
        since = self._context.clock.monotonic()
        place = self._choose(request, progress, since)
        if not isinstance(place, placement_types.NoEngine):
            return place
        listed = bool(self._context.loads(request).all())
        while isinstance(place, placement_types.NoEngine):
            if self._context.peers.may_forward(request):
                return placement_types.Elsewhere()
            if not listed or not await self.wait(request, progress):
                self._log_wait(request, since, in_vain=True)
                return placement_types.Infeasible(self.retry_after(request))
            place = self._choose(request, progress, self._context.clock.monotonic())
        self._log_wait(request, since, in_vain=False)
        return place

    def place_without(
        self,
        request: client_request.ClientRequest,
        progress: request_progress.Progress,
        engine: engine_loads.EngineLoad,
    ) -> placement_types.PlacementResult:
        """Return where a request could run now without an engine; see `takeover`."""
        now = self._context.clock.monotonic()
        left_out = frozenset({engine.server.incarnation})
        withheld = self._current_withheld(request)
        return self._find_place(
            request, progress, now, withheld, left_out, required_events=0.0
        )

    def choose_decode_engine(
        self,
        request: client_request.ClientRequest,
        prefilled: request_progress.PrefilledPrompt,
        progress: request_progress.Progress,
    ) -> engine_loads.EngineLoad | None:
        """Return the decode engine for a prefilled prompt; None if there is none."""
        assert request.head.prompt is not None and request.service.engine is not None
        loads = self._context.loads(request)
        now = self._context.clock.monotonic()
        return placement.Placement(loads, self._domain).choose_decode_engine(
            request.head.prompt,
            prefilled.engine,
            request.service.engine,
            now,
            without=self._excluded(request, progress, now) | self._withheld(request),
            event_gap_target=request.route.event_gap_target,
            required_events=_required_events(progress),
            time_to_end=request.deadline - now,
        )

    async def wait(
        self, request: client_request.ClientRequest, progress: request_progress.Progress
    ) -> bool:
        """Wait before choosing again; False if no engine accepts it in time."""
        left = self._time_left(request, progress)
        if self._permit_wait(request) > left:
            return False
        if not wait_policy.may_wait(left, self._waiting.total):
            return False
        with self._waiting.counted(request.service.name, request.order):
            pause = wait_policy.recheck_interval(request.rank, request.jitter, left)
            await self._context.clock.sleep(pause)
        # An engine that failed this request before may serve it now; engines that keep
        # failing are excluded for a while for all requests.
        progress.failed.clear()
        return True

    def retry_after(self, request: client_request.ClientRequest) -> datetime.timedelta:
        """Return when a request that got no engine in time should be retried."""
        return wait_policy.retry_after(request.jitter, self._permit_wait(request))

    def _time_left(
        self, request: client_request.ClientRequest, progress: request_progress.Progress
    ) -> datetime.timedelta:
        """Return how much longer the client waits."""
        gives_up_at = request_progress.client_gives_up_at(request, progress)
        return gives_up_at - self._context.clock.monotonic()

    def _withheld(
        self, request: client_request.ClientRequest, *, is_outranked: bool = False
    ) -> frozenset[servers.Incarnation]:
        """Return the engines that accept no more requests at the moment.

        A prompt that is prefilled already is never outranked: its KV cache takes up
        memory, and would be lost.
        """
        engines = self._context.loads(request).all()
        return self._context.flow.withheld(
            (engine.server for engine in engines), is_outranked=is_outranked
        )

    def _permit_wait(self, request: client_request.ClientRequest) -> datetime.timedelta:
        """Return when one of the decode engines accepts a request again.

        Requests of the same or a higher rank that wait already are sent first.
        """
        decode_engines = (
            engine.server
            for engine in self._context.loads(request).all()
            if engine.server.stage is servers.Stage.DECODE
            and not engine.server.draining
        )
        ahead = self._waiting.ahead(request.service.name, request.order)
        return self._context.flow.permit_wait(decode_engines, ahead)

    def _choose(
        self,
        request: client_request.ClientRequest,
        progress: request_progress.Progress,
        now: datetime.timedelta,
    ) -> placement_types.PlacementResult:
        withheld = self._current_withheld(request)
        place = self._find_place(
            request, progress, now, withheld, required_events=_required_events(progress)
        )
        if not progress.demand_counted:
            progress.demand_counted = True
            self._count_demand(request, place)
        if not isinstance(place, placement_types.NoEngine):
            self._log_place(request, place, progress, withheld)
        return place

    def _current_withheld(
        self, request: client_request.ClientRequest
    ) -> frozenset[servers.Incarnation]:
        outranked = self._waiting.is_outranked(request.service.name, request.order)
        return self._withheld(request, is_outranked=outranked)

    def _find_place(
        self,
        request: client_request.ClientRequest,
        progress: request_progress.Progress,
        now: datetime.timedelta,
        withheld: frozenset[servers.Incarnation],
        left_out: frozenset[servers.Incarnation] = frozenset(),
        *,
        required_events: float,
    ) -> placement_types.PlacementResult:
        assert request.head.prompt is not None and request.service.engine is not None
        chooser = placement.Placement(self._context.loads(request), self._domain)
        return chooser.choose(
            placement_types.PlacementRequest(
                request.head.prompt,
                request.rank,
                progress.size is not prompt_sizes.SizeClass.REST,
                time_to_target=request.arrived_at + request.route.latency_target - now,
                time_to_deadline=request_progress.client_gives_up_at(request, progress)
                - now,
                jitter=request.jitter,
                route_rank=request.route_rank,
                event_gap_target=request.route.event_gap_target,
                required_events=required_events,
                time_to_end=request.deadline - now,
                ends_at_stop=(
                    request.time_limit.source is client_request.LimitSource.STOP
                ),
            ),
            request.service.engine,
            now,
            without=self._excluded(request, progress, now) | left_out,
            withheld=withheld,
        )

    def _excluded(
        self,
        request: client_request.ClientRequest,
        progress: request_progress.Progress,
        now: datetime.timedelta,
    ) -> frozenset[servers.Incarnation]:
        """Return the engines that a request must not use."""
        failed = frozenset(progress.failed)
        if progress.build is not None:
            failed |= self._context.resumptions.other_servers(
                request.service.name, progress.build
            )
        if not self._context.crash_quarantine.is_suspect(request):
            return failed
        loads = self._context.loads(request)
        decode_engines = loads.usable(servers.Stage.DECODE, now, failed)
        return failed | self._context.crash_quarantine.avoided(
            request, (engine.server for engine in decode_engines)
        )

    def _rate(self, service: str) -> demand_rate.DemandRate:
        return self._demands.setdefault(service, demand_rate.DemandRate())

    def _count_demand(
        self,
        request: client_request.ClientRequest,
        place: placement_types.PlacementResult,
    ) -> None:
        """Count the tokens to prefill on separate engines and to decode."""
        prompt = request.head.prompt
        assert prompt is not None
        loads = self._context.loads(request)
        if isinstance(place, placement_types.Colocated):
            cost = 0.0
        elif isinstance(place, placement_types.Disaggregated):
            cost = loads.prefill_cost(place.tokens)
        else:
            unread = (engine.uncached_tokens(prompt) for engine in loads.all())
            cost = loads.prefill_cost(min(unread, default=prompt.tokens))
        rate = self._rate(request.service.name)
        rate.add(cost, prompt.expected_output, self._context.clock.monotonic())

    def _log_place(
        self,
        request: client_request.ClientRequest,
        place: placement_types.Colocated
        | placement_types.Disaggregated
        | placement_types.Infeasible,
        progress: request_progress.Progress,
        withheld: frozenset[servers.Incarnation],
    ) -> None:
        assert request.head.prompt is not None
        fleet, now = self._context.fleet, self._context.clock.monotonic()
        listed = fleet.server_list_status(now)
        if isinstance(place, placement_types.Infeasible):
            wait = place.retry_after / datetime.timedelta(milliseconds=1)
            self._context.log.write(
                request_log.PLACED,
                request.request_id,
                wrong=True,
                refused_for_ms=round(wait),
                late_end=place.late_end,
                prompt=request.head.prompt.tokens,
                size=progress.size.value,
                required_events=round(progress.required_events),
                list_revision=listed.revision,
                list_source=listed.source,
                list_age_ms=listed.age_ms,
                list_announced=listed.announced,
                list_behind_ms=listed.behind_ms,
                store=listed.store.value,
            )
            return
        prefill_engine = (
            place.prefill_engine
            if isinstance(place, placement_types.Disaggregated)
            else place.engine
        )
        chosen = (prefill_engine.server.server_id, place.engine.server.server_id)
        self._context.log.write(
            request_log.PLACED,
            request.request_id,
            reader=chosen[0],
            writer=chosen[1],
            donor=None if place.kv_source is None else place.kv_source.server.server_id,
            tokens=place.tokens,
            prompt=request.head.prompt.tokens,
            size=progress.size.value,
            urgency=place.level,
            version=place.engine.server.version,
            after=progress.last_event or None,
            expected_ms=round(place.expected / datetime.timedelta(milliseconds=1)),
            required_events=round(progress.required_events),
            stream_ms=round(
                place.engine.pace.stream_time(progress.required_events, now)
                / datetime.timedelta(milliseconds=1)
            ),
            assumed_rate=self._context.loads(request).assumed_rate(prefill_engine),
            withheld=_logged_ids(withheld),
            list_revision=listed.revision,
            list_source=listed.source,
            list_age_ms=listed.age_ms,
            list_announced=listed.announced,
            list_behind_ms=listed.behind_ms,
            store=listed.store.value,
            kept_ms=fleet.kept_ms(now, *chosen),
        )

    def _log_wait(
        self,
        request: client_request.ClientRequest,
        since: datetime.timedelta,
        *,
        in_vain: bool,
    ) -> None:
        self._context.log.write(
            request_log.WAITED,
            request.request_id,
            wrong=in_vain,
            ms=self._context.log.elapsed_ms(since),
            in_vain=in_vain,
            withheld=_logged_ids(self._withheld(request)),
        )


def _required_events(progress: request_progress.Progress) -> float:
    """Return the events for which an engine must have the time; 0 for any number.

    A stream that has begun is better cut at its limit than not continued.
    """
    return 0.0 if progress.last_event else progress.required_events


def _logged_ids(withheld: frozenset[servers.Incarnation]) -> list[str] | None:
    """Return the engines that a log line names; None for none."""
    return sorted(engine.server_id for engine in withheld)[:_MAX_LOGGED] or None
