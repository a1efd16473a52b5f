"""Answers requests on stream routes from model engines."""

import asyncio
import dataclasses

from pimentolatch import clock
from pimentolatch.decisions import (
    demand_rate,
    places,
    prompt_sizes,
    repeat_budget,
    waiting,
)
from pimentolatch.gateway import (
    cache_updates,
    client_request,
    decode_client,
    dispatch,
    dispatch_check,
    knowledge,
    measuring,
    prefill_client,
    prompt_placer,
    quarantine,
    refusals,
    request_log,
    request_progress,
    stall_checker,
    usage_exchange,
)

__all__ = ["StreamForwarder"]

# Engines that one request may be offered to, declining ones included.
_MAX_ATTEMPTS = 5
# Engines that a prompt which was read is offered to. One that declines may do so
# because the prompt can't be had any more; a third would be told the same.
_MAX_TRANSFERS = 2


class StreamForwarder:
    """Places requests on engines and passes their events on.

    A stream that breaks goes on at another engine, within the same answer, if its
    route allows it: the client sees no seam. Otherwise its connection is closed, so
    that the answer does not look whole.
    """

    def __init__(
        self,
        fleet: knowledge.Knowledge,
        client: dispatch.ServerClient,
        budget: repeat_budget.RepeatBudget,
        time: clock.Clock,
        own_domain: str,
        updates: cache_updates.CacheUpdates,
        suspects: quarantine.Quarantine,
        check: dispatch_check.DispatchCheck,
        usage: usage_exchange.UsageCounter,
        log: request_log.RequestLog,
        measured: measuring.RouteMetrics,
    ) -> None:
        stall_checks = stall_checker.StallChecker(client, log, time)
        self._context = request_progress.Context(
            fleet,
            client,
            stall_checks,
            updates,
            suspects,
            check,
            usage,
            log,
            measured,
            time,
        )
        self._prefill_client = prefill_client.PrefillClient(self._context)
        self._decode_client = decode_client.DecodeClient(self._context)
        self._placer = prompt_placer.PromptPlacer(self._context, own_domain)
        self._sizes = prompt_sizes.PromptSizes()
        self._budget = budget

    def demand(self, service: str) -> demand_rate.ServiceDemand:
        """Return what clients ask of a service through this instance."""
        return self._placer.demand(service)

    def demands(self) -> dict[str, demand_rate.ServiceDemand]:
        """Return what clients ask of each service through this instance."""
        return self._placer.demands()

    async def run(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
    ) -> None:
        """Answer a request."""
        assert request.head.prompt is not None
        size = self._sizes.classify(request.route.name, request.head.prompt.tokens)
        progress = request_progress.Progress(size, last_event=request.head.last_event)
        try:
            await self._run(request, response, progress)
        finally:
            self._context.measured.prompt_ended(
                size,
                response.status,
                whole=response.outcome == client_request.PASSED_ON,
            )

    async def _run(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        progress: request_progress.Progress,
    ) -> None:
        try:
            async with asyncio.timeout(
                max(
                    0.0,
                    (
                        request.deadline - self._context.clock.monotonic()
                    ).total_seconds(),
                )
            ):
                for _ in range(_MAX_ATTEMPTS):
                    if await self._attempt(request, response, progress):
                        return
        except TimeoutError:
            await self._deadline_exceeded(request, response, progress)
            return
        await request_progress.finish(response, progress)

    async def _deadline_exceeded(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        progress: request_progress.Progress,
    ) -> None:
        if response.started:
            response.abort("deadline passed in the stream")
        elif progress.possible_runs or progress.outcome_pending:
            await response.refuse(refusals.deadline_passed())
        else:
            await response.refuse(
                refusals.not_run_in_time(
                    waiting.retry_after(prompt_placer.jitter(request))
                )
            )

    async def _attempt(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        progress: request_progress.Progress,
    ) -> bool:
        """Offer the request to engines once; True if the answer is finished."""
        if progress.possible_runs >= max(1, request.route.most_servers):
            return await self._give_up(response, progress)
        place = await self._placer.place(request, progress)
        if isinstance(place, places.Hopeless):
            progress.retry_after = place.retry_after
            return await self._give_up(response, progress)
        if await self._refused(request, response, progress):
            return True
        if not self._may_send(request, progress):
            return await self._give_up(response, progress)
        if isinstance(place, places.InPlace):
            return await self._decode_client.generate(
                request, response, progress, place, None
            )
        prefilled = await self._prefill_client.prefill(request, place, progress)
        if prefilled is None:
            return False
        if isinstance(prefilled, dispatch.Withdrawn):
            progress.retry_after = waiting.retry_after(prompt_placer.jitter(request))
            return await self._give_up(response, progress)
        try:
            return await self._transfer_to_decode(
                request, response, progress, place, prefilled
            )
        finally:
            if not prefilled.transferred:
                self._prefill_client.release(prefilled)

    async def _transfer_to_decode(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        progress: request_progress.Progress,
        place: places.Apart,
        prefilled: request_progress.PrefilledPrompt,
    ) -> bool:
        """Have an engine go on with a prompt that was read; see `_try`.

        An engine that declines leaves the prompt where it is, and another one takes it,
        so that a change of stage costs no second prefill.
        """
        for _ in range(_MAX_TRANSFERS):
            if self._context.fleet.has_ended(prefilled.engine.server.incarnation):
                progress.reason = "the engine that read the prompt started again"
                return False
            decode_engine = self._placer.choose_decode_engine(
                request, prefilled, progress
            )
            while decode_engine is None and await self._placer.wait(request, progress):
                decode_engine = self._placer.choose_decode_engine(
                    request, prefilled, progress
                )
            if await self._refused(request, response, progress):
                return True
            if decode_engine is None:
                progress.retry_after = waiting.retry_after(
                    prompt_placer.jitter(request)
                )
            if decode_engine is None or not self._may_send(request, progress):
                return await self._give_up(response, progress)
            chosen = dataclasses.replace(place, engine=decode_engine)
            if await self._decode_client.generate(
                request, response, progress, chosen, prefilled
            ):
                return True
            if prefilled.transferred or prefilled.possibly_transferred:
                break
        return False

    def _may_send(
        self, request: client_request.ClientRequest, progress: request_progress.Progress
    ) -> bool:
        """Tell whether the budget allows one more sending of a request.

        The first sending is free, and so is the first prompt that is read apart. A
        further one is paid for before it goes out, since a server that declines it has
        been disturbed all the same.
        """
        if not progress.dispatches:
            return True
        return self._budget.spend(request.service.name, self._context.clock.monotonic())

    async def _refused(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        progress: request_progress.Progress,
    ) -> bool:
        """End a request that may go to no further server since it was let in."""
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
