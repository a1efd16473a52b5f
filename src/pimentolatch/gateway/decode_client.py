"""Has an engine generate a response and relays its events to the client."""

import asyncio
import contextlib
import datetime

from pimentolatch.backend import channel
from pimentolatch.decisions import (
    answer_time,
    lateness,
    part_suspects,
    placement_types,
)
from pimentolatch.gateway import (
    client_request,
    deliveries,
    dispatch,
    event_relay,
    kv_handles,
    request_progress,
    sse,
    takeover,
)
from pimentolatch.platform import http_headers

__all__ = ["DecodeClient"]

# An engine that sends nothing for this many times the route's target for gaps between
# events is checked for a stall. A full batch that also prefills stays under two.
_STALL_GAPS = 4.0
_MIN_STALL_TIMEOUT = datetime.timedelta(milliseconds=900)
_AT_ONCE = datetime.timedelta()


class DecodeClient:
    """Dispatches requests to engines that decode.

    Args:
        context: Components that all requests share.
        takeovers: Tells whether a request may leave a silent engine.
        handles: Tells whether a prefilled prompt may be fetched.
    """

    def __init__(
        self,
        context: request_progress.Context,
        takeovers: takeover.TakeoverFinder,
        handles: kv_handles.KvHandles,
    ) -> None:
        self._context = context
        self._takeovers = takeovers
        self._handles = handles

    async def generate(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        progress: request_progress.Progress,
        place: placement_types.Colocated | placement_types.Disaggregated,
        prefilled: request_progress.PrefilledPrompt | None,
    ) -> bool:
        """Have an engine generate; True if the response is finished.

        Args:
            request: The request.
            response: Response to the client.
            progress: Progress of the request.
            place: Engine that decodes, and prefills unless `prefilled` is given.
            prefilled: KV cache of the prompt at another engine, to be fetched first.
        """
        engine = place.engine
        prefill_tokens = place.tokens if prefilled is None else 0
        assert request.head.prompt is not None
        reserved_tokens = (
            request.head.prompt.tokens + request.head.prompt.expected_output
        )
        engine.streams += 1
        engine.kv_tokens += reserved_tokens
        engine.prefill_tokens[place.level] += prefill_tokens
        generation = request_progress.Generation(
            request, response, progress, place, prefill_tokens
        )
        try:
            sent_at = self._context.clock.monotonic()
            self._begin_phase(generation, prefilled, sent_at)
            opened = await self._open(generation, prefilled)
            progress.delivery = None
            progress.withheld = isinstance(opened, dispatch.Withheld)
            self._context.log_sent(
                request, engine, "run", opened, sent_at, prefilled=prefilled
            )
            if prefilled is not None:
                prefilled.transferred = isinstance(opened, dispatch.OpenResponse)
                prefilled.possibly_transferred = isinstance(
                    opened, dispatch.OutcomeUnknown
                )
            if not isinstance(opened, dispatch.OpenResponse):
                progress.trace.timeline.dispatch_failed(self._context.clock.monotonic())
                finished = self._record_failure(generation, opened, sent_at)
                await self._context.check_path(request, progress, engine.server, opened)
                return finished
            if prefilled is not None:
                now = self._context.clock.monotonic()
                progress.trace.timeline.enter(lateness.Phase.FIRST_EVENT, now)
            with self._context.client.returned_to_pool(engine.server, opened):
                return await self._relay_response(generation, opened, sent_at)
        finally:
            engine.streams -= 1
            engine.kv_tokens -= reserved_tokens
            engine.prefill_tokens[place.level] -= generation.unprefilled

    def _begin_phase(
        self,
        generation: request_progress.Generation,
        prefilled: request_progress.PrefilledPrompt | None,
        now: datetime.timedelta,
    ) -> None:
        """Begin the phase of a decode dispatch, which may include the prefill."""
        request, progress = generation.request, generation.progress
        engine = generation.place.engine
        progress.trace.writer = engine.server.server_id
        if prefilled is not None:
            progress.trace.timeline.enter(lateness.Phase.TRANSFER, now)
            return
        progress.trace.reader = progress.trace.writer
        own_work = request_progress.prefill_time(
            self._context.loads(request),
            engine,
            generation.prefill_tokens,
            colocated=True,
        )
        progress.trace.timeline.enter(lateness.Phase.PREFILL, now, own_work)

    async def _open(
        self,
        generation: request_progress.Generation,
        prefilled: request_progress.PrefilledPrompt | None,
    ) -> (
        dispatch.OpenResponse
        | dispatch.NotSent
        | dispatch.Declined
        | dispatch.OutcomeUnknown
        | dispatch.Withheld
    ):
        request, place, progress = (
            generation.request,
            generation.place,
            generation.progress,
        )
        now = self._context.clock.monotonic()
        resumed = progress.last_event > request.head.last_event
        options = http_headers.DispatchOptions(
            place.engine.server.server_id,
            request.deadline - now - answer_time.SHORTEST_RESERVE,
            urgency=place.level,
            prefill_source=None
            if prefilled is None
            else (prefilled.engine.server.address, prefilled.handle),
            last_event=progress.last_event if resumed else None,
            kv_source=request_progress.address_of(place.kv_source)
            if prefilled is None
            else None,
        )
        repeatable = request.route.repeatable
        # If the deadline passes before the outcome is known, an engine that was sent
        # the whole request may be decoding.
        progress.delivery = delivery = deliveries.Delivery(repeatable)
        call = self._context.client.open(
            place.engine.server,
            request,
            options,
            new_connection=progress.unanswered,
            may_send=lambda: (
                prefilled is None or not self._handles.is_doubtful(prefilled)
            ),
            # The version of the engine's software matters to what is resumed.
            listed_incarnation=bool(progress.last_event),
            delivery=delivery,
        )
        return await self._context.stall_checks.wait_unless_stalled(
            place.engine,
            request.request_id,
            call,
            request_progress.first_event_limit(place),
            self._takeovers.from_engine(
                request,
                progress,
                place.engine,
                # One that may not be repeated leaves only if the engine has not got it.
                runs=progress.possible_runs + repeatable,
            ),
            delivery,
        )

    def _record_failure(
        self,
        generation: request_progress.Generation,
        outcome: dispatch.NotSent
        | dispatch.Declined
        | dispatch.OutcomeUnknown
        | dispatch.Withheld,
        sent_at: datetime.timedelta,
    ) -> bool:
        """Record why an engine did not respond; False: the request is retried."""
        request, progress = generation.request, generation.progress
        engine = generation.place.engine
        progress.reason = dispatch.describe(outcome)
        if progress.withheld:
            return False
        if not isinstance(outcome, dispatch.NotSent):
            progress.dispatches += 1
        loads = self._context.loads(request)
        now = self._context.clock.monotonic()
        progress.failed.add(engine.server.incarnation)
        if isinstance(outcome, dispatch.Declined):
            loads.declined(engine, now)
            return False
        if isinstance(outcome, dispatch.NotSent) and outcome.replaced:
            return False
        loads.failed(engine, now)
        if isinstance(outcome, dispatch.OutcomeUnknown):
            progress.unanswered = True
            request_progress.count_run(request, progress)
            if outcome.server_crashed:
                self._context.crash_quarantine.record_crash(
                    request, engine.server, sent_at
                )
        return False

    async def _relay_response(
        self,
        generation: request_progress.Generation,
        opened: dispatch.OpenResponse,
        sent_at: datetime.timedelta,
    ) -> bool:
        """Relay an engine's response; True if the client's response is finished."""
        request, progress = generation.request, generation.progress
        engine = generation.place.engine
        loads = self._context.loads(request)
        progress.dispatches += 1
        request_progress.count_run(request, progress)
        try:
            if not 200 <= opened.status < 300:
                return await self._failure_response(generation, opened)
            if not opened.head.sealed:
                raise channel.BrokenError("a success without the server's proof")
            await self._relay_events(generation, opened)
        except channel.BrokenError as error:
            opened.link.close()
            progress.unanswered = True
            progress.reason = str(error)
            broken = dispatch.OutcomeUnknown(progress.reason, server_crashed=True)
            self._context.crash_quarantine.record_crash(
                request, engine.server, sent_at, proven=self._is_proven(generation)
            )
            self._context.log_sent(
                request,
                engine,
                "stream",
                broken,
                request.arrived_at,
                progress.last_event,
            )
            progress.failed.add(engine.server.incarnation)
            loads.failed(engine, self._context.clock.monotonic())
            is_over = not request.route.repeatable and generation.response.started
            if is_over:
                generation.response.abort(progress.reason)
            await self._context.check_path(request, progress, engine.server, broken)
            return is_over
        loads.succeeded(engine, self._context.clock.monotonic())
        self._context.crash_quarantine.record_response(engine.server, sent_at)
        self._context.crash_quarantine.record_completion(request)
        return True

    async def _failure_response(
        self, generation: request_progress.Generation, opened: dispatch.OpenResponse
    ) -> bool:
        body = await opened.link.read_body(dispatch.MAX_BODY_BYTES)
        progress = generation.progress
        progress.failure_response = dispatch.FullResponse(
            opened.status, opened.head, body
        )
        progress.reason = f"status {opened.status}"
        if opened.status < 500:
            await request_progress.finish(generation.response, progress)
            return True
        progress.failed.add(generation.place.engine.server.incarnation)
        return False

    async def _relay_events(
        self, generation: request_progress.Generation, opened: dispatch.OpenResponse
    ) -> None:
        """Relay complete events until the end of the stream.

        Raises:
            BrokenError: The stream broke off before its end.
        """
        relay = event_relay.EventRelay(
            generation.request,
            generation.response,
            generation.progress,
            opened.status,
            opened.head.fields,
            self._context.metrics,
            self._context.clock,
        )
        last = self._context.clock.monotonic()
        while data := await self._read(generation, opened):
            if not (blocks := relay.take(data)):
                continue
            if events := sse.count_events(blocks):
                now = self._context.clock.monotonic()
                self._record_events(generation, opened, events, now - last, now)
                last = now
            await relay.write(blocks)
        await relay.finish()

    async def _read(
        self, generation: request_progress.Generation, opened: dispatch.OpenResponse
    ) -> bytes:
        """Return the next bytes of the stream; empty at its end.

        Raises:
            BrokenError: The stream broke off, or a stall check showed that the engine
                no longer has the request, or answers nobody while another can go on.
        """
        request = generation.request
        if not request.route.repeatable:
            return await opened.link.read()
        limit = max(_STALL_GAPS * request.route.event_gap_target, _MIN_STALL_TIMEOUT)
        if generation.unprefilled:
            limit = max(limit, request_progress.first_event_limit(generation.place))
        with contextlib.suppress(TimeoutError):
            # Nearly all events come in time and need no task of their own.
            async with asyncio.timeout(limit.total_seconds()):
                return await opened.link.read()
        data = await self._context.stall_checks.wait_unless_stalled(
            generation.place.engine,
            request.request_id,
            opened.link.read(),
            _AT_ONCE,
            self._takeovers.from_engine(
                request,
                generation.progress,
                generation.place.engine,
                runs=generation.progress.possible_runs,
            ),
        )
        if isinstance(data, dispatch.OutcomeUnknown | dispatch.NotSent):
            raise channel.BrokenError(f"in its stream, {data.reason}")
        return data

    def _record_events(
        self,
        generation: request_progress.Generation,
        opened: dispatch.OpenResponse,
        events: int,
        since: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Record the end of prefill at the first event, and later the gap."""
        engine = generation.place.engine
        self._context.client.heard(engine.server)
        if generation.first_event_at is None:
            generation.first_event_at = now
            engine.prefill_tokens[generation.place.level] -= generation.unprefilled
            generation.unprefilled = 0
            self._context.record_cached_prompt(generation.request, engine)
            self._record_origin(generation, opened)
            self._count_usage(generation)
            return
        loads = self._context.loads(generation.request)
        loads.record_event_gap(engine, since, now, events)

    def _record_origin(
        self, generation: request_progress.Generation, opened: dispatch.OpenResponse
    ) -> None:
        """Record the build that begins a stream, before the client has an event."""
        progress = generation.progress
        if progress.build is None:
            server = generation.place.engine.server
            resumptions = self._context.resumptions
            progress.build = resumptions.begin(
                generation.request, server, proven=opened.proves(server)
            )

    def _is_proven(self, generation: request_progress.Generation) -> bool:
        """Tell whether an engine has sent events of a response for a while."""
        at = generation.first_event_at
        now = self._context.clock.monotonic()
        return at is not None and now - at >= part_suspects.PROVEN_AFTER

    def _count_usage(self, generation: request_progress.Generation) -> None:
        """Count a request once for its customer, however many engines serve it."""
        if not generation.progress.usage_counted:
            generation.progress.usage_counted = True
            name = generation.request.customer_name
            self._context.usage.record_start(name, self._context.clock.now())
