"""Forwards requests on stream routes to model engines."""

import asyncio
import contextlib
import dataclasses
import datetime
from collections import abc

from pimentolatch import clock
from pimentolatch.decisions import (
    answer_time,
    demand_rate,
    lateness,
    placement_types,
    prompt_sizes,
    repeat_budget,
    stream_lengths,
)
from pimentolatch.gateway import (
    client_request,
    decode_client,
    dispatch,
    dispatch_check,
    fleet_state,
    flow_control,
    kv_handles,
    late_answers,
    prefill_client,
    prompt_placer,
    quarantine,
    reachability_monitor,
    refusals,
    request_log,
    request_progress,
    resumptions,
    route_metrics,
    stall_checker,
    stream_handover,
    takeover,
)
from pimentolatch.gateway.peers import cache_updates, peer_forwarder, usage_exchange
from pimentolatch.requests import prompts

__all__ = ["StreamForwarder"]

# Decode engines that a prefilled prompt is offered to. An engine may decline because
# the KV cache is no longer available, in which case a third one would decline as well.
_MAX_TRANSFERS = 2
_HANDLE_LOST = "the engine that prefilled the prompt may have started again"


class StreamForwarder:
    """Places requests on engines and relays their events.

    If its route allows it, a broken stream is resumed on another engine within the same
    response, so that the client sees no interruption. Otherwise the client's connection
    is closed, so that the response does not look complete.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        client: dispatch.ServerClient,
        flow: flow_control.FlowControl,
        budget: repeat_budget.RepeatBudget,
        time: clock.Clock,
        own_domain: str,
        updates: cache_updates.CacheUpdates,
        crash_quarantine: quarantine.Quarantine,
        check: dispatch_check.DispatchCheck,
        usage: usage_exchange.UsageCounter,
        log: request_log.RequestLog,
        metrics: route_metrics.RouteMetrics,
        monitor: reachability_monitor.ReachabilityMonitor,
        peers: peer_forwarder.PeerForwarder,
        stream_resumptions: resumptions.Resumptions,
    ) -> None:
        stall_checks = stall_checker.StallChecker(client, log, time)
        self._context = request_progress.Context(
            fleet,
            client,
            flow,
            stall_checks,
            updates,
            crash_quarantine,
            check,
            usage,
            log,
            metrics,
            monitor,
            peers,
            stream_resumptions,
            time,
        )
        self._placer = prompt_placer.PromptPlacer(self._context, own_domain)
        takeovers = takeover.TakeoverFinder(self._context, self._placer, budget)
        self._handles = kv_handles.KvHandles(self._context)
        self._prefill_client = prefill_client.PrefillClient(self._context, takeovers)
        self._decode_client = decode_client.DecodeClient(
            self._context, takeovers, self._handles
        )
        self._handover = stream_handover.StreamHandover(self._context, budget)
        self._sizes = prompt_sizes.PromptSizes()
        self._lengths = stream_lengths.StreamLengths()
        self._budget = budget

    def demand(self, service: str) -> demand_rate.ServiceDemand:
        """Return the demand on a service through this instance."""
        return self._placer.demand(service)

    def demands(self) -> dict[str, demand_rate.ServiceDemand]:
        """Return the demand on each service through this instance."""
        return self._placer.demands()

    async def run(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
    ) -> None:
        """Forward a request and write its response."""
        prompt = request.head.prompt
        assert prompt is not None
        size = self._sizes.classify(request.route.name, prompt.tokens)
        progress = request_progress.Progress(
            size,
            self._required_events(request.route.name, prompt),
            late_answers.Trace(lateness.Timeline(request.arrived_at), size),
            last_event=request.head.last_event,
            usage_counted=request.forwarded is not None and request.forwarded.started,
        )
        try:
            await self._run(request, response, progress)
        finally:
            self._observe_length(request, response, prompt.expected_output)
            self._context.metrics.prompt_ended(
                size,
                response.status,
                whole=response.passed_on,
            )
            late_answers.report(self._context.log, request, response, progress.trace)

    def _required_events(self, route: str, prompt: prompts.Prompt) -> float:
        """Return the events for which a stream must have the time to start.

        An event has a token at least.
        """
        predicted = self._lengths.required_events(route, prompt.expected_output)
        return min(predicted, prompt.max_output)

    def _observe_length(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        expected_tokens: int,
    ) -> None:
        """Learn the length of a stream, unless its client or its engine ended it."""
        if request.head.last_event:
            # The events before are not known.
            return
        if response.passed_on or response.outcome == client_request.CUT_AT_LIMIT:
            self._lengths.observe(
                request.route.name,
                expected_tokens,
                response.events,
                whole=response.passed_on,
            )

    async def _run(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        progress: request_progress.Progress,
    ) -> None:
        now = self._context.clock.monotonic()
        due = _seconds_until(request.answer_due, now)
        leaving = _seconds_until(_refused_unsent_at(request, progress), now)
        try:
            async with asyncio.timeout(_seconds_until(request.deadline, now)):
                with (
                    _ended_early(due, lambda: response.started),
                    _ended_early(leaving, lambda: progress.may_run),
                ):
                    finished = await self._attempt_repeatedly(
                        request, response, progress
                    )
        except TimeoutError:
            await self._deadline_exceeded(request, response, progress)
            return
        if not finished:
            await request_progress.finish(response, progress)

    async def _attempt_repeatedly(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        progress: request_progress.Progress,
    ) -> bool:
        """Place and dispatch a request until its response is finished; see `_attempt`.

        Returns:
            Whether it is; False if no further attempt is allowed.
        """
        while progress.placements < request_progress.MAX_PLACEMENTS:
            if await self._attempt(request, response, progress):
                return True
            now = self._context.clock.monotonic()
            progress.trace.timeline.dispatch_failed(now)
            progress.placements += not progress.withheld
        return False

    async def _deadline_exceeded(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        progress: request_progress.Progress,
    ) -> None:
        if response.started:
            response.abort(client_request.CUT_AT_LIMIT)
        elif progress.may_run:
            await response.refuse(refusals.deadline_passed())
        else:
            await response.refuse(
                refusals.not_run_in_time(self._placer.retry_after(request))
            )

    async def _attempt(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        progress: request_progress.Progress,
    ) -> bool:
        """Place and dispatch a request once; True if its response is finished."""
        if progress.possible_runs >= max(1, request.route.max_attempts):
            return await self._give_up(response, progress)
        if self._context.peers.may_forward(request):
            finished = await self._handover.run(request, response, progress)
            if finished is not None:
                return finished
        if await self._finished_unresumed(request, response, progress):
            return True
        place = await self._placer.place(request, progress)
        if isinstance(place, placement_types.Elsewhere):
            return False
        if isinstance(place, placement_types.Infeasible):
            progress.retry_after = place.retry_after
            return await self._give_up(response, progress)
        now = self._context.clock.monotonic()
        progress.trace.timeline.placed(now, place.expected)
        if await self._refused(request, response, progress):
            return True
        if not self._may_send(request, progress):
            return await self._give_up(response, progress)
        if isinstance(place, placement_types.Colocated):
            return await self._decode_client.generate(
                request, response, progress, place, None
            )
        prefilled = await self._prefill_client.prefill(request, place, progress)
        if prefilled is None:
            return False
        if isinstance(prefilled, dispatch.Withdrawn):
            progress.retry_after = self._placer.retry_after(request)
            return await self._give_up(response, progress)
        try:
            return await self._transfer_to_decode(
                request, response, progress, place, prefilled
            )
        finally:
            if not prefilled.transferred:
                self._handles.release(prefilled)

    async def _transfer_to_decode(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        progress: request_progress.Progress,
        place: placement_types.Disaggregated,
        prefilled: request_progress.PrefilledPrompt,
    ) -> bool:
        """Have a decode engine fetch a prefilled prompt and generate; see `_attempt`.

        If an engine declines, for example because it changes its stage, the KV cache
        stays where it is and is offered to another engine, which saves a second
        prefill.
        """
        offers = 0
        while offers < _MAX_TRANSFERS:
            decode_engine = self._placer.choose_decode_engine(
                request, prefilled, progress
            )
            while decode_engine is None and await self._placer.wait(request, progress):
                if self._context.peers.may_forward(request):
                    return False
                # Found out now, the prompt is prefilled again while it would wait.
                if self._handles.is_doubtful(
                    prefilled
                ) and not await self._handles.confirm(prefilled):
                    progress.reason = _HANDLE_LOST
                    return False
                decode_engine = self._placer.choose_decode_engine(
                    request, prefilled, progress
                )
            if await self._refused(request, response, progress):
                return True
            if decode_engine is None:
                progress.retry_after = self._placer.retry_after(request)
            if decode_engine is None or not self._may_send(request, progress):
                return await self._give_up(response, progress)
            if not await self._handles.confirm(prefilled):
                progress.reason = _HANDLE_LOST
                return False
            chosen = dataclasses.replace(place, engine=decode_engine)
            if await self._decode_client.generate(
                request, response, progress, chosen, prefilled
            ):
                return True
            if prefilled.transferred or prefilled.possibly_transferred:
                break
            # A server that accepts nothing now says nothing about the KV cache.
            server = decode_engine.server
            closed = self._context.flow.withheld([server])
            doubtful = self._handles.is_doubtful(prefilled)
            offers += doubtful or not (progress.withheld or closed)
        return False

    def _may_send(
        self, request: client_request.ClientRequest, progress: request_progress.Progress
    ) -> bool:
        """See `request_progress.may_dispatch`."""
        now = self._context.clock.monotonic()
        return request_progress.may_dispatch(request, progress, self._budget, now)

    async def _finished_unresumed(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        progress: request_progress.Progress,
    ) -> bool:
        """Finish a request whose stream no known server may go on with; True if so."""
        if not progress.last_event:
            if not response.started:
                # The client has nothing of the version that was to begin the stream.
                progress.build = None
            return False
        found = self._context.resumptions
        # What is known of its beginning may have been corrected since its first event.
        progress.build = await found.find(request)
        service = request.service.name
        if progress.build is not None and not found.is_gone(service, progress.build):
            return False
        await request_progress.finish_with_refusal(
            response, progress, refusals.version_unavailable()
        )
        return True

    async def _refused(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        progress: request_progress.Progress,
    ) -> bool:
        """Finish a request that must not be dispatched any more; True if so."""
        refusal = self._context.dispatch_check.refusal(request)
        if refusal is None:
            return False
        await request_progress.finish_with_refusal(response, progress, refusal)
        return True

    async def _give_up(
        self,
        response: client_request.ClientResponse,
        progress: request_progress.Progress,
    ) -> bool:
        await request_progress.finish(response, progress)
        return True


def _seconds_until(time: datetime.timedelta, now: datetime.timedelta) -> float:
    return max(0.0, (time - now).total_seconds())


def _refused_unsent_at(
    request: client_request.ClientRequest, progress: request_progress.Progress
) -> datetime.timedelta:
    """Return when a request is refused that no engine has been sent.

    Its client leaves without a first event, long before the deadline, and learns from a
    refusal that it may come back. One that an engine has been sent goes on: the event
    may still come in time. So does one that has begun at a peer, whose client would get
    no refusal but a stream that is cut.
    """
    if request.forwarded is not None and request.forwarded.started:
        return request.answer_due
    leaves_at = request_progress.client_gives_up_at(request, progress)
    return leaves_at - answer_time.reserve(leaves_at - request.arrived_at)


@contextlib.contextmanager
def _ended_early(
    seconds: float, unless: abc.Callable[[], bool]
) -> abc.Generator[None, None, None]:
    """End what the running task does after a time, unless a condition holds then.

    A refusal at the deadline itself would come when the client has left. A response
    that has been started can't be refused any more, and may still end in time. The task
    is cancelled as the condition is found not to hold: in a later step of the event
    loop it could have started the response.

    Raises:
        TimeoutError: The condition did not hold.
    """
    current = asyncio.current_task()
    assert current is not None
    task, cancelled_before, is_ended = current, current.cancelling(), False

    def end() -> None:
        nonlocal is_ended
        if not unless():
            is_ended = task.cancel()

    timer = asyncio.get_running_loop().call_later(seconds, end)
    try:
        yield
    except asyncio.CancelledError:
        if is_ended and task.cancelling() == cancelled_before + 1:
            raise TimeoutError from None
        raise
    finally:
        timer.cancel()
        if is_ended:
            task.uncancel()
