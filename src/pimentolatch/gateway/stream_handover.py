"""Has a peer serve a stream request, or the rest of one."""

from pimentolatch.backend import channel
from pimentolatch.decisions import lateness, repeat_budget
from pimentolatch.gateway import (
    client_request,
    deliveries,
    dispatch,
    event_relay,
    refusals,
    request_progress,
)
from pimentolatch.gateway.peers import peer_forwarder
from pimentolatch.platform import http_headers

__all__ = ["StreamHandover"]


class StreamHandover:
    """Forwards stream requests to peers and relays the events that come back.

    Args:
        context: Components that all stream requests share.
        budget: Pays for a request that may have reached a server before.
    """

    def __init__(
        self,
        context: request_progress.Context,
        budget: repeat_budget.RepeatBudget,
    ) -> None:
        self._context = context
        self._budget = budget

    async def run(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        progress: request_progress.Progress,
    ) -> bool | None:
        """Forward a request; True if its response is finished.

        Returns:
            False if it may be tried once more, None if no peer accepted it.
        """
        now = self._context.clock.monotonic()
        if not request_progress.may_dispatch(request, progress, self._budget, now):
            await request_progress.finish(response, progress)
            return True
        resumed = None
        if progress.last_event > request.head.last_event:
            resumed = http_headers.Resumption(progress.last_event, request.origin_id)
        progress.delivery = deliveries.Delivery(sent_at=now)
        progress.trace.timeline.enter(lateness.Phase.PEER, now)
        async with self._context.peers.open(
            request,
            possible_runs=progress.possible_runs,
            resumed=resumed,
        ) as opened:
            progress.delivery = None
            if isinstance(opened, peer_forwarder.NotForwarded):
                progress.trace.timeline.dispatch_failed(self._context.clock.monotonic())
                return None
            progress.dispatches += 1
            if isinstance(opened, dispatch.OutcomeUnknown):
                request_progress.count_run(request, progress)
                progress.reason = opened.reason
                return False
            try:
                return await self._relay(request, response, progress, opened)
            except channel.BrokenError as error:
                progress.reason = str(error)
        if not request.route.repeatable and response.started:
            response.abort(progress.reason)
            return True
        return False

    async def _relay(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        progress: request_progress.Progress,
        opened: peer_forwarder.OpenedForward,
    ) -> bool:
        if opened.refusal is not None:
            if opened.status not in dispatch.NOT_RUN_STATUSES:
                # Its head says so already, should its body be cut.
                request_progress.count_run(request, progress)
            return await self._refuse(response, progress, opened)
        request_progress.count_run(request, progress)
        if not 200 <= opened.status < 300:
            body = await opened.read_body()
            progress.failure_response = dispatch.FullResponse(
                opened.status, opened.head, body
            )
            progress.reason = f"status {opened.status}"
            await request_progress.finish(response, progress)
            return True
        if not opened.head.sealed:
            raise channel.BrokenError("a success without the server's proof")
        relay = event_relay.EventRelay(
            request,
            response,
            progress,
            opened.status,
            opened.head.fields,
            self._context.metrics,
            self._context.clock,
        )
        while data := await opened.read():
            if blocks := relay.take(data):
                await relay.write(blocks)
        await relay.finish()
        return True

    async def _refuse(
        self,
        response: client_request.ClientResponse,
        progress: request_progress.Progress,
        opened: peer_forwarder.OpenedForward,
    ) -> bool:
        """Answer with a peer's refusal, if it is true for all that was tried."""
        assert opened.refusal is not None
        body = await opened.read_body()
        if response.started:
            response.abort(opened.refusal.name.lower())
        elif progress.possible_runs and opened.status in dispatch.NOT_RUN_STATUSES:
            await response.refuse(refusals.outcome_unknown(opened.refusal.name.lower()))
        else:
            await response.pass_on_refusal(
                opened.refusal, opened.status, opened.head.fields, body
            )
        return True
