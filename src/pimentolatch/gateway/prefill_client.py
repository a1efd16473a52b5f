"""Has prompts prefilled by one engine for decoding on another one."""

import asyncio

import logbook

from pimentolatch.decisions import (
    engine_loads,
    lateness,
    placement_types,
    wait_policy,
)
from pimentolatch.gateway import (
    client_request,
    deliveries,
    dispatch,
    request_progress,
    takeover,
)
from pimentolatch.platform import engines, http_headers
from pimentolatch.routes import servers

__all__ = ["PrefillClient"]

_log = logbook.Logger("reading")
_Outcome = (
    dispatch.FullResponse
    | dispatch.NotSent
    | dispatch.Declined
    | dispatch.OutcomeUnknown
    | dispatch.Withheld
)


class PrefillClient:
    """Dispatches prompts to prefill engines.

    Args:
        context: Components that all requests share.
        takeovers: Tells whether a prompt may leave a silent engine.
    """

    def __init__(
        self,
        context: request_progress.Context,
        takeovers: takeover.TakeoverFinder,
    ) -> None:
        self._context = context
        self._takeovers = takeovers

    async def prefill(
        self,
        request: client_request.ClientRequest,
        place: placement_types.Disaggregated,
        progress: request_progress.Progress,
    ) -> request_progress.PrefilledPrompt | dispatch.Withdrawn | None:
        """Have a prompt prefilled; None if the engine failed to.

        A prompt that is still queued when its client is about to disconnect is
        withdrawn.
        """
        engine = place.prefill_engine
        loads = self._context.loads(request)
        sent_at = self._context.clock.monotonic()
        cost = loads.prefill_cost(place.tokens)
        options = http_headers.DispatchOptions(
            engine.server.server_id,
            request.answer_due - sent_at,
            urgency=place.level,
            prefill_only=True,
            kv_source=request_progress.address_of(place.kv_source),
        )
        own_work = request_progress.prefill_time(loads, engine, place.tokens)
        progress.trace.reader = engine.server.server_id
        progress.trace.timeline.enter(lateness.Phase.PREFILL, sent_at, own_work)
        ahead = engine.total_prefill_tokens(sent_at, place.level)
        engine.prefill_tokens[place.level] += cost
        try:
            outcome = await self._outcome(request, place, progress, options)
        finally:
            engine.prefill_tokens[place.level] -= cost
        prefilled = self._prefilled_prompt(engine, outcome)
        self._context.log_sent(
            request, engine, "read", outcome, sent_at, prefilled=prefilled
        )
        if isinstance(outcome, dispatch.Withdrawn):
            progress.reason = dispatch.describe(outcome)
            return outcome
        progress.withheld = isinstance(outcome, dispatch.Withheld)
        if isinstance(outcome, dispatch.Withheld):
            progress.reason = dispatch.describe(outcome)
            return None
        now = self._context.clock.monotonic()
        if prefilled is None:
            progress.failed.add(engine.server.incarnation)
            if not isinstance(outcome, dispatch.NotSent):
                progress.dispatches += 1
            if isinstance(outcome, dispatch.Declined):
                loads.declined(engine, now)
            else:
                loads.failed(engine, now)
            if isinstance(outcome, dispatch.OutcomeUnknown):
                progress.unanswered = True
                if outcome.server_crashed:
                    self._context.crash_quarantine.record_crash(
                        request, engine.server, sent_at
                    )
            progress.reason = f"prompt not read: {dispatch.describe(outcome)}"
            await self._context.check_path(request, progress, engine.server, outcome)
            return None
        progress.trace.timeline.enter(lateness.Phase.HELD, now)
        if progress.prefilled_before:
            progress.dispatches += 1
        progress.prefilled_before = True
        loads.succeeded(engine, now)
        self._context.crash_quarantine.record_response(engine.server, sent_at)
        loads.record_prefill(engine, place.tokens, now - sent_at, ahead, now)
        self._context.record_cached_prompt(request, engine)
        return prefilled

    async def _outcome(
        self,
        request: client_request.ClientRequest,
        place: placement_types.Disaggregated,
        progress: request_progress.Progress,
        options: http_headers.DispatchOptions,
    ) -> _Outcome | dispatch.Withdrawn:
        """Dispatch a prompt and wait until shortly before its client disconnects.

        A request in the queue of an overloaded engine may wait for longer than its
        client does. The client would then disconnect without knowing that the request
        did not run. Refused just before, it knows that, and when to retry.
        """
        client_gives_up_at = request_progress.client_gives_up_at(request, progress)
        limit = (
            wait_policy.refusal_time(client_gives_up_at)
            - self._context.clock.monotonic()
        )
        delivery = deliveries.Delivery()
        try:
            async with asyncio.timeout(limit.total_seconds()):
                return await self._context.stall_checks.wait_unless_stalled(
                    place.prefill_engine,
                    request.request_id,
                    self._context.client.fetch(
                        place.prefill_engine.server,
                        request,
                        options,
                        new_connection=progress.unanswered,
                        delivery=delivery,
                    ),
                    request_progress.first_event_limit(place),
                    self._takeovers.from_engine(
                        request,
                        progress,
                        place.prefill_engine,
                        runs=progress.possible_runs,
                    ),
                    delivery,
                )
        except TimeoutError:
            return dispatch.Withdrawn()

    def _prefilled_prompt(
        self,
        engine: engine_loads.EngineLoad,
        outcome: _Outcome | dispatch.Withdrawn,
    ) -> request_progress.PrefilledPrompt | None:
        if not isinstance(outcome, dispatch.FullResponse) or outcome.status != 200:
            return None
        assert outcome.link is not None
        try:
            read = engines.decode_prefill_result(outcome.body)
        except ValueError as error:
            _log.warn(
                "prefill engine returned no valid KV handle; retrying",
                reason=str(error),
            )
            return None
        server = engine.server
        incarnation = (
            server.incarnation
            if read.started_ms is None
            else servers.shared_incarnation(server.server_id, read.started_ms)
        )
        now = self._context.clock.monotonic()
        return request_progress.PrefilledPrompt(
            engine, read.handle, incarnation, now, outcome.link, proven_at=now
        )
