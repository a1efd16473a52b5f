"""Forwards requests that one server answers whole."""

import asyncio
import datetime

from pimentolatch import clock
from pimentolatch.decisions import repeat_budget, server_choice
from pimentolatch.gateway import (
    fleet_state,
    inbound,
    permission,
    quarantine,
    refusals,
    request_log,
    sending,
    usage_exchange,
)
from pimentolatch.platform import heads
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["PlainForwarder"]

_Outcome = sending.Whole | sending.NotSent | sending.Declined | sending.Broken
# A server that may be asked again elsewhere gets this many times the latency target:
# long enough for nearly every answer, short enough that a second server can still
# answer before the client stops waiting.
_PATIENCE_TARGETS = 2.0
_LEAST_PATIENCE = datetime.timedelta(milliseconds=150)
# Tries that reached no server, or one that declined, end here at the latest.
_MOST_TRIES = 4


class PlainForwarder:
    """Sends requests to plain servers and passes their answers on.

    A request that may not be repeated goes out again only if the server before it was
    not reached or states that it did not run the request: a second arrival would print
    a second badge.
    """

    def __init__(
        self,
        known: fleet_state.FleetState,
        client: sending.ServerClient,
        choice: server_choice.ServerChoice,
        budget: repeat_budget.RepeatBudget,
        suspects: quarantine.Quarantine,
        allowed: permission.Permission,
        usage: usage_exchange.UsageCounter,
        log: request_log.RequestLog,
        time: clock.Clock,
    ) -> None:
        self._request_log = log
        self._known = known
        self._client = client
        self._choice = choice
        self._budget = budget
        self._suspects = suspects
        self._permission = allowed
        self._usage = usage
        self._clock = time

    async def run(self, asked: inbound.Inbound, answer: inbound.Answer) -> None:
        """Answer a request."""
        service = asked.service.name
        tried: set[servers.Incarnation] = set()
        ran = arrivals = 0
        last: _Outcome | None = None
        for _ in range(_MOST_TRIES):
            now = self._clock.monotonic()
            if now >= asked.until - sending.RETURN_TIME:
                break
            if (refusal := self._permission.refusal(asked)) is not None:
                if ran:
                    break
                await answer.refuse(refusal)
                return
            if arrivals and not self._budget.spend(service, now):
                break
            listed = self._known.servers.of_service(service)
            usable = self._choice.usable(listed, now, tried)
            avoided = self._suspects.avoided(asked, usable)
            server = self._choice.choose(usable, now, avoided)
            if server is None:
                break
            tried.add(server.incarnation)
            may_repeat = asked.route.repeatable and ran + 1 < asked.route.most_servers
            sent_at = self._clock.now()
            outcome = await self._send(server, asked, may_repeat)
            self._note_end(server, asked, outcome, now)
            # A server's own failure says more than what came after it.
            if not isinstance(last, sending.Whole) or isinstance(
                outcome, sending.Whole
            ):
                last = outcome
            if isinstance(outcome, sending.NotSent):
                continue
            arrivals += 1
            if isinstance(outcome, sending.Declined):
                continue
            ran += 1
            if ran == 1:
                self._usage.record_start(asked.customer_name, sent_at)
            if not may_repeat or _final(outcome):
                break
        await _conclude(asked, answer, last, ran)

    def _note_end(
        self,
        server: servers.Server,
        asked: inbound.Inbound,
        outcome: _Outcome,
        begun: datetime.timedelta,
    ) -> None:
        """Note whether a server has ended under a request, or goes on."""
        if isinstance(outcome, sending.Broken):
            if outcome.server_ended:
                self._suspects.record_crash(asked, server, begun)
        elif isinstance(outcome, sending.Whole | sending.Declined):
            self._suspects.record_response(server, begun)
            if isinstance(outcome, sending.Whole) and _successful(outcome):
                self._suspects.record_completion(asked)

    async def _send(
        self, server: servers.Server, asked: inbound.Inbound, may_repeat: bool
    ) -> _Outcome:
        now = self._clock.monotonic()
        left = asked.until - now - sending.RETURN_TIME
        patience = left
        if may_repeat:
            target = _PATIENCE_TARGETS * asked.route.latency_target
            patience = min(left, max(target, _LEAST_PATIENCE))
        delivery = heads.Delivery(server.server_id, left)
        outcome: _Outcome = sending.Broken("cancelled")
        self._choice.begin(server)
        try:
            async with asyncio.timeout(patience.total_seconds()):
                outcome = await self._client.whole(server, asked, delivery)
        except TimeoutError:
            outcome = sending.Broken("no answer in time")
        finally:
            failed = isinstance(outcome, sending.Broken | sending.NotSent)
            self._choice.end(server, self._clock.monotonic(), failed=failed)
        if isinstance(outcome, sending.Whole) and not _genuine(outcome):
            outcome = sending.Broken("a success without the server's proof")
        self._request_log.write(
            request_log.SENT,
            asked.request_id,
            wrong=not _final(outcome),
            server=server.server_id,
            what="run",
            outcome=sending.text_of(outcome),
            ms=self._request_log.elapsed_ms(now),
            digest=digests.digest_text(asked.digest),
        )
        return outcome


def _genuine(whole: sending.Whole) -> bool:
    return whole.head.sealed or not _successful(whole)


def _successful(whole: sending.Whole) -> bool:
    return 200 <= whole.status < 300


def _final(outcome: _Outcome) -> bool:
    return isinstance(outcome, sending.Whole) and outcome.status < 500


async def _conclude(
    asked: inbound.Inbound,
    answer: inbound.Answer,
    last: _Outcome | None,
    ran: int,
) -> None:
    if isinstance(last, sending.Whole):
        if last.status not in sending.PROMISES:
            await answer.whole(last.status, last.head.fields, last.body)
            return
        await answer.refuse(refusals.outcome_unknown(f"server status {last.status}"))
    elif ran == 0:
        await answer.refuse(refusals.no_server(asked.service.name))
    elif isinstance(last, sending.Broken) and last.reason == "no answer in time":
        await answer.refuse(refusals.deadline_passed())
    else:
        reason = last.reason if isinstance(last, sending.Broken) else "not answered"
        await answer.refuse(refusals.outcome_unknown(reason))
