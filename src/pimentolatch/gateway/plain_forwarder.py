"""Forwards requests whose response is returned complete by one server."""

import asyncio
import contextlib
import datetime
import functools
import typing
from collections import abc

from pimentolatch import clock
from pimentolatch.backend import channel
from pimentolatch.decisions import lateness, repeat_budget, server_choice, wait_policy
from pimentolatch.gateway import (
    client_request,
    deliveries,
    dispatch,
    dispatch_check,
    fleet_state,
    flow_control,
    late_answers,
    quarantine,
    reachability_monitor,
    refusals,
    request_log,
)
from pimentolatch.gateway.peers import peer_forwarder, usage_exchange
from pimentolatch.platform import http_headers
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["PlainForwarder"]

_Outcome = (
    dispatch.FullResponse
    | dispatch.NotSent
    | dispatch.Declined
    | dispatch.OutcomeUnknown
    | dispatch.Withheld
)
# Time-out of a dispatch that can be repeated on another server, as a multiple of the
# route's latency target: long enough for nearly every response, short enough that a
# second server can still respond before the client disconnects.
_TIMEOUT_FACTOR = 2.0
_MIN_TIMEOUT = datetime.timedelta(milliseconds=150)
_NO_TIME = datetime.timedelta()
_NO_ANSWER_IN_TIME = "no answer in time"
_NOT_SENT_IN_TIME = "not sent in time"
# Most attempts for one request: those that reached no server and those declined count,
# those whose permit another request took first do not.
_MAX_ATTEMPTS = 4


class PlainForwarder:
    """Sends requests to plain servers and forwards their responses.

    A request that must not be repeated is dispatched again only if the previous server
    was not reached or states that it did not run the request. Otherwise its effect
    could happen twice, for example a badge be printed twice.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        client: dispatch.ServerClient,
        flow: flow_control.FlowControl,
        choice: server_choice.ServerChoice,
        budget: repeat_budget.RepeatBudget,
        crash_quarantine: quarantine.Quarantine,
        check: dispatch_check.DispatchCheck,
        usage: usage_exchange.UsageCounter,
        log: request_log.RequestLog,
        monitor: reachability_monitor.ReachabilityMonitor,
        peers: peer_forwarder.PeerForwarder,
        time: clock.Clock,
    ) -> None:
        self._monitor = monitor
        self._peers = peers
        self._request_log = log
        self._fleet = fleet
        self._client = client
        self._flow = flow
        self._choice = choice
        self._budget = budget
        self._crash_quarantine = crash_quarantine
        self._dispatch_check = check
        self._usage = usage
        self._clock = time
        self._waiting = wait_policy.Waiting()

    async def run(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
    ) -> None:
        """Forward a request and write its response."""
        trace = late_answers.Trace(lateness.Timeline(request.arrived_at))
        await self._run(request, response, trace)
        late_answers.report(self._request_log, request, response, trace)

    async def _run(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        trace: late_answers.Trace,
    ) -> None:
        service = request.service.name
        tried: set[servers.Incarnation] = set()
        attempts = possible_runs = dispatches = 0
        started = request.forwarded is not None and request.forwarded.started
        unanswered = False
        repeats = _Repeats(self._budget, service, self._clock)
        outcome: _Outcome | None = None
        last: _Outcome | None = None
        while attempts < _MAX_ATTEMPTS:
            if self._is_out_of_time(request) or response.is_last_dispatch:
                break
            # A dispatch that was withheld has not used its charge.
            is_charged = not dispatches or isinstance(outcome, dispatch.Withheld)
            if not is_charged and not repeats.spend():
                break
            if self._peers.may_forward(request):
                response.dispatched = True
                forwarded = await self._forward(
                    request, response, possible_runs, trace.timeline
                )
                if forwarded is None:
                    return
                trace.timeline.dispatch_failed(self._clock.monotonic())
                if isinstance(forwarded, dispatch.OutcomeUnknown):
                    last = outcome = forwarded
                    attempts += 1
                    dispatches += 1
                    possible_runs += 1
                    if not _may_repeat(request, possible_runs):
                        break
                    continue
            server = await self._await_server(request, tried)
            if (refusal := self._dispatch_check.refusal(request)) is not None:
                if possible_runs:
                    break
                await response.refuse(refusal)
                return
            if isinstance(server, dispatch.Withheld):
                outcome = server
                break
            if server is None:
                break
            tried.add(server.incarnation)
            may_repeat = _may_repeat(request, possible_runs + 1)
            delivery = deliveries.Delivery(may_repeat)
            sent_at = self._clock.now()
            begun = self._clock.monotonic()
            response.dispatched = True
            outcome = await self._send(
                server,
                request,
                functools.partial(
                    self._may_leave, server, request, tried, repeats, delivery
                )
                if attempts + 1 < _MAX_ATTEMPTS
                else _stay,
                trace,
                delivery,
                new_connection=unanswered,
            )
            unanswered |= isinstance(outcome, dispatch.OutcomeUnknown)
            self._report_outcome(server, request, outcome, begun)
            # An error response of a server says more than a later failed dispatch.
            if not isinstance(last, dispatch.FullResponse) or isinstance(
                outcome, dispatch.FullResponse
            ):
                last = outcome
            if isinstance(outcome, dispatch.Withheld):
                tried.discard(server.incarnation)
                continue
            attempts += 1
            if isinstance(outcome, dispatch.NotSent):
                await self._check_path(server, request)
                continue
            dispatches += 1
            if isinstance(outcome, dispatch.Declined):
                continue
            possible_runs += 1
            if possible_runs == 1 and not started:
                self._usage.record_start(request.customer_name, sent_at)
            if not may_repeat or _final(outcome):
                if isinstance(outcome, dispatch.OutcomeUnknown):
                    self._monitor.suspect(server)
                break
            if isinstance(outcome, dispatch.OutcomeUnknown):
                if self._is_out_of_time(request):
                    self._monitor.suspect(server)
                    break
                await self._check_path(server, request)
        if possible_runs == 0 and await self._refused_by_limits(
            request, response, outcome
        ):
            return
        await _finish(request, response, last, possible_runs)

    async def _forward(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        possible_runs: int,
        timeline: lateness.Timeline,
    ) -> peer_forwarder.NotForwarded | dispatch.OutcomeUnknown | None:
        """Have a peer serve a request; None if its response is finished."""
        timeline.enter(lateness.Phase.PEER, self._clock.monotonic())
        left = request.answer_due - self._clock.monotonic()
        try:
            async with (
                asyncio.timeout(left.total_seconds()),
                self._peers.open(request, possible_runs=possible_runs) as opened,
            ):
                if not isinstance(opened, peer_forwarder.OpenedForward):
                    return opened
                body = await opened.read_body()
        except TimeoutError:
            return dispatch.OutcomeUnknown(_NO_ANSWER_IN_TIME)
        except channel.BrokenError as error:
            return dispatch.OutcomeUnknown(str(error))
        timeline.answered(self._clock.monotonic())
        whole = dispatch.FullResponse(opened.status, opened.head, body)
        if opened.refusal is None:
            if not _genuine(whole):
                return dispatch.OutcomeUnknown("a success without the server's proof")
            await _finish(request, response, whole, possible_runs + 1)
        elif possible_runs and opened.status in dispatch.NOT_RUN_STATUSES:
            await response.refuse(refusals.outcome_unknown(opened.refusal.name.lower()))
        else:
            await response.pass_on_refusal(
                opened.refusal, opened.status, opened.head.fields, body
            )
        return None

    async def _refused_by_limits(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        outcome: _Outcome | None,
    ) -> bool:
        """Refuse a request that got no permit in time; False if that is not why."""
        listed = self._fleet.servers.of_service(request.service.name)
        lost = isinstance(outcome, dispatch.Withheld)
        if not lost and not self._flow.withheld(listed):
            return False
        retry_after = wait_policy.retry_after(
            request.jitter,
            self._permit_wait(request, listed),
        )
        await response.refuse(refusals.overloaded(retry_after))
        return True

    def _permit_wait(
        self, request: client_request.ClientRequest, listed: list[servers.Server]
    ) -> datetime.timedelta:
        """Return when a request may be sent to one of some servers.

        Requests of the same or a higher rank that wait already are sent first.
        """
        ahead = self._waiting.ahead(request.service.name, request.rank)
        return self._flow.permit_wait(listed, ahead)

    def _untried(
        self, request: client_request.ClientRequest, tried: set[servers.Incarnation]
    ) -> list[servers.Server]:
        """Return the servers that have not been tried for a request."""
        listed = self._fleet.servers.of_service(request.service.name)
        return [server for server in listed if server.incarnation not in tried]

    async def _await_server(
        self, request: client_request.ClientRequest, tried: set[servers.Incarnation]
    ) -> servers.Server | dispatch.Withheld | None:
        """Return the server to send a request to; None if none is left for it.

        Waits if all servers withhold their permits, unless that is in vain.
        """
        while True:
            listed = self._untried(request, tried)
            withheld = self._flow.withheld(
                listed,
                is_outranked=self._waiting.is_outranked(
                    request.service.name, request.rank
                ),
            )
            server = self._choose(request, listed, withheld)
            if server is not None or len(withheld) < len(listed) or not listed:
                return server
            if not await self._wait_for_permit(request, listed):
                return dispatch.Withheld()

    def _choose(
        self,
        request: client_request.ClientRequest,
        listed: list[servers.Server],
        withheld: frozenset[servers.Incarnation],
    ) -> servers.Server | None:
        """Return the server to send a request to; None if none accepts it now."""
        now = self._clock.monotonic()
        usable = self._choice.usable(listed, now, withheld)
        avoided = self._crash_quarantine.avoided(request, usable)
        return self._choice.choose(usable, now, avoided)

    async def _wait_for_permit(
        self, request: client_request.ClientRequest, listed: list[servers.Server]
    ) -> bool:
        """Wait before choosing again; False if that is in vain."""
        left = request.deadline - self._clock.monotonic()
        wait = self._permit_wait(request, listed)
        if wait > left or not wait_policy.may_wait(left, self._waiting.total):
            return False
        with self._waiting.counted(request.service.name, request.rank):
            pause = wait_policy.recheck_interval(request.rank, request.jitter, left)
            await self._clock.sleep(pause)
        return self._dispatch_check.refusal(request) is None

    def _report_outcome(
        self,
        server: servers.Server,
        request: client_request.ClientRequest,
        outcome: _Outcome,
        begun: datetime.timedelta,
    ) -> None:
        """Report to quarantine whether a server crashed during a request."""
        if isinstance(outcome, dispatch.OutcomeUnknown):
            if outcome.server_crashed:
                self._crash_quarantine.record_crash(request, server, begun)
        elif isinstance(outcome, dispatch.FullResponse | dispatch.Declined):
            self._crash_quarantine.record_response(server, begun)
            if isinstance(outcome, dispatch.FullResponse) and _successful(outcome):
                self._crash_quarantine.record_completion(request)

    async def _check_path(
        self, server: servers.Server, request: client_request.ClientRequest
    ) -> None:
        """Find out whether the path to servers is lost, while the request has time."""
        left = request.answer_due - self._clock.monotonic()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left.total_seconds()):
                await self._monitor.check(server)

    def _is_out_of_time(self, request: client_request.ClientRequest) -> bool:
        return self._clock.monotonic() >= request.answer_due

    def _may_leave(
        self,
        server: servers.Server,
        request: client_request.ClientRequest,
        tried: set[servers.Incarnation],
        repeats: "_Repeats",
        delivery: deliveries.Delivery,
    ) -> bool:
        """Tell whether a request leaves a silent server, and pay for the next one.

        A sound server may fall silent for a second and go on. Without another one to go
        to, leaving it would only cost the caller the answer. Whether it is the path to
        all servers that is silent is found out meanwhile.
        """
        if not delivery.may_leave:
            return False
        self._monitor.suspect(server)
        if self._dispatch_check.refusal(request) is not None:
            return False
        listed = self._untried(request, tried)
        elsewhere = self._peers.may_forward(request) or self._choose(
            request, listed, self._flow.withheld(listed)
        )
        return bool(elsewhere) and repeats.reserve()

    async def _answer(
        self,
        call: abc.Coroutine[typing.Any, typing.Any, _Outcome],
        request: client_request.ClientRequest,
        time_left: datetime.timedelta,
        may_leave: abc.Callable[[], bool],
        delivery: deliveries.Delivery,
    ) -> _Outcome:
        """Wait for the answer to a dispatch until it may leave or time is up."""
        patience = max(_TIMEOUT_FACTOR * request.route.latency_target, _MIN_TIMEOUT)
        task = asyncio.create_task(call)
        try:
            while time_left > _NO_TIME:
                begun = self._clock.monotonic()
                limit = min(patience, time_left)
                await asyncio.wait({task}, timeout=limit.total_seconds())
                if task.done():
                    return task.result()
                time_left -= self._clock.monotonic() - begun
                if time_left > _NO_TIME and may_leave():
                    if delivery.sent_at is None:
                        return dispatch.NotSent(
                            "not sent, as the server was not heard", unresponsive=True
                        )
                    break
            if delivery.sent_at is None:
                return dispatch.NotSent(_NOT_SENT_IN_TIME, unresponsive=True)
            return dispatch.OutcomeUnknown(_NO_ANSWER_IN_TIME)
        finally:
            task.cancel()

    async def _send(
        self,
        server: servers.Server,
        request: client_request.ClientRequest,
        may_leave: abc.Callable[[], bool],
        trace: late_answers.Trace,
        delivery: deliveries.Delivery,
        *,
        new_connection: bool,
    ) -> _Outcome:
        now = self._clock.monotonic()
        trace.writer = server.server_id
        trace.timeline.enter(lateness.Phase.SERVER, now)
        listed = self._fleet.server_list_status(now)
        kept_ms = self._fleet.kept_ms(now, server.server_id)
        left = request.answer_due - now
        options = http_headers.DispatchOptions(server.server_id, left)
        outcome: _Outcome = dispatch.OutcomeUnknown("cancelled")
        self._choice.begin(server)
        try:
            call = self._client.fetch(
                server,
                request,
                options,
                new_connection=new_connection,
                delivery=delivery,
            )
            outcome = await self._answer(call, request, left, may_leave, delivery)
        finally:
            failed = isinstance(outcome, dispatch.OutcomeUnknown | dispatch.NotSent)
            self._choice.end(server, self._clock.monotonic(), failed=failed)
        if isinstance(outcome, dispatch.FullResponse) and not _genuine(outcome):
            outcome = dispatch.OutcomeUnknown("a success without the server's proof")
        if _final(outcome):
            trace.timeline.answered(self._clock.monotonic())
        else:
            trace.timeline.dispatch_failed(self._clock.monotonic())
        self._request_log.write(
            request_log.SENT,
            request.request_id,
            wrong=not _final(outcome),
            server=server.server_id,
            what="run",
            outcome=dispatch.describe(outcome),
            ms=self._request_log.elapsed_ms(now),
            digest=digests.digest_text(request.digest),
            list_revision=listed.revision,
            list_source=listed.source,
            list_age_ms=listed.age_ms,
            list_announced=listed.announced,
            list_behind_ms=listed.behind_ms,
            store=listed.store.value,
            kept_ms=kept_ms,
        )
        return outcome


class _Repeats:
    """Repeats of one request, of which some are paid for before they are sent."""

    def __init__(
        self, budget: repeat_budget.RepeatBudget, service: str, time: clock.Clock
    ) -> None:
        self._budget = budget
        self._service = service
        self._clock = time
        self._paid = 0

    def reserve(self) -> bool:
        """Pay for a later repeat; False if the budget does not allow it."""
        paid = self._budget.spend(self._service, self._clock.monotonic())
        self._paid += paid
        return paid

    def spend(self) -> bool:
        """Use a repeat that is paid for, or pay for one."""
        if not self._paid and not self.reserve():
            return False
        self._paid -= 1
        return True


def _stay() -> bool:
    """Return False: a request that may not be repeated leaves no server."""
    return False


def _may_repeat(request: client_request.ClientRequest, possible_runs: int) -> bool:
    """Tell whether a request may go to one more server after so many."""
    return request.route.repeatable and possible_runs < request.route.max_attempts


def _genuine(whole: dispatch.FullResponse) -> bool:
    return whole.head.sealed or not _successful(whole)


def _successful(whole: dispatch.FullResponse) -> bool:
    return 200 <= whole.status < 300


def _final(outcome: _Outcome) -> bool:
    return isinstance(outcome, dispatch.FullResponse) and outcome.status < 500


async def _finish(
    request: client_request.ClientRequest,
    response: client_request.ClientResponse,
    last: _Outcome | None,
    possible_runs: int,
) -> None:
    if isinstance(last, dispatch.FullResponse):
        if last.status not in dispatch.NOT_RUN_STATUSES:
            await response.send_full(last.status, last.head.fields, last.body)
            return
        await response.refuse(refusals.outcome_unknown(f"server status {last.status}"))
    elif (
        possible_runs == 0
        and isinstance(last, dispatch.NotSent)
        and last.reason == _NOT_SENT_IN_TIME
    ):
        retry_after = wait_policy.retry_after(request.jitter)
        await response.refuse(refusals.not_run_in_time(retry_after))
    elif possible_runs == 0:
        await response.refuse(refusals.no_server(request.service.name))
    elif (
        isinstance(last, dispatch.OutcomeUnknown) and last.reason == _NO_ANSWER_IN_TIME
    ):
        await response.refuse(refusals.deadline_passed())
    else:
        reason = (
            last.reason if isinstance(last, dispatch.OutcomeUnknown) else "not answered"
        )
        await response.refuse(refusals.outcome_unknown(reason))
