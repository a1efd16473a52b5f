"""Asks unresponsive engines whether they still have a request."""

import asyncio
import dataclasses
import datetime
import typing
from collections import abc

from pimentolatch import clock
from pimentolatch.decisions import engine_loads, stall_check
from pimentolatch.gateway import deliveries, dispatch, request_log
from pimentolatch.platform import engines
from pimentolatch.routes import engine_reports, servers

__all__ = ["Chance", "StallChecker"]

# Reports need no slot and arrive within milliseconds. After a time-out there must be
# time left to try another engine for a client that waits two seconds for its first
# event.
_REPORT_TIMEOUT = datetime.timedelta(milliseconds=300)
# Stands for the report of an engine that runs and has not told more.
_RUNNING = engine_reports.EngineReport(servers.Stage.DECODE, False, 0, queued=1)
_Outcome = typing.TypeVar("_Outcome")


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """An engine's report, or that it sent none.

    Attributes:
        content: The report; None if the engine did not answer.
        asked_at: When it was asked for.
        took: Time until then.
    """

    content: engine_reports.EngineReport | None
    asked_at: datetime.timedelta
    took: datetime.timedelta

    @property
    def decoding_ids(self) -> abc.Container[str]:
        """Requests that the engine decodes."""
        return () if self.content is None else self.content.decoding_ids


@dataclasses.dataclass(frozen=True, slots=True)
class _Finding:
    """What a check found, and whether the request leaves its engine."""

    verdict: stall_check.Verdict
    leaves: bool


_STAYS = (stall_check.Verdict.HAS_IT, stall_check.Verdict.UNDER_WAY)
_ReportTask = asyncio.Task[_Report]


class Chance(typing.Protocol):
    """The chance that another server takes over from a silent engine."""

    @property
    def runs(self) -> int:
        """Number of servers that may have run the request."""

    @property
    def others(self) -> int:
        """Number of other engines that could decode now."""

    async def reserve(self) -> bool:
        """Secure a place elsewhere; False if the request should stay."""


class StallChecker:
    """Fetches engines' reports, once for all requests that wait for an engine."""

    def __init__(
        self,
        client: dispatch.ServerClient,
        log: request_log.RequestLog,
        time: clock.Clock,
    ) -> None:
        self._client = client
        self._request_log = log
        self._clock = time
        self._pending_reports: dict[
            servers.Incarnation, tuple[datetime.timedelta, _ReportTask]
        ] = {}

    async def wait_unless_stalled(
        self,
        engine: engine_loads.EngineLoad,
        request_id: str,
        call: abc.Coroutine[typing.Any, typing.Any, _Outcome],
        expected: datetime.timedelta,
        chance: Chance,
        delivery: deliveries.Delivery | None = None,
    ) -> _Outcome | dispatch.OutcomeUnknown | dispatch.NotSent:
        """Wait for a call for as long as its engine has the request.

        If the engine is silent, the call goes on unless another server takes over.

        Args:
            engine: The engine that is called.
            request_id: The request.
            call: The call; it is cancelled when the request leaves the engine.
            expected: Time after which the engine is first checked for a stall.
            chance: The chance that another server takes over.
            delivery: How far the request of the call has got; None if it was answered.
        """
        task = asyncio.create_task(call)
        limit = expected
        used = False
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=limit.total_seconds())
                if task.done():
                    break
                if delivery is not None and not delivery.may_leave:
                    await asyncio.wait({task})
                    break
                found = await _unless_done(
                    task, self._check(engine, request_id, chance, delivery)
                )
                if found is None:
                    break
                verdict = found.verdict
                # It may have been sent while a place elsewhere was sought.
                may_leave = delivery is None or delivery.may_leave
                if found.leaves and may_leave and not task.done():
                    return _left(verdict, delivery)
                limit = (
                    stall_check.UNDER_WAY_INTERVAL
                    if verdict is stall_check.Verdict.UNDER_WAY
                    else stall_check.RECHECK_INTERVAL
                )
            used = True
            return task.result()
        finally:
            task.cancel()
            _close_unused(task, used=used)

    async def _check(
        self,
        engine: engine_loads.EngineLoad,
        request_id: str,
        chance: Chance,
        delivery: deliveries.Delivery | None,
    ) -> _Finding:
        """Ask an engine whether it still has a request, which may have to leave."""
        report = await self._report(engine.server)
        verdict = stall_check.request_status(
            report.content, request_id, engine.server.started_ms, report.took
        )
        if (
            verdict is stall_check.Verdict.LOST
            and delivery is not None
            and stall_check.is_under_way(
                delivery.sent_at, report.asked_at, self._clock.monotonic()
            )
        ):
            verdict = stall_check.Verdict.UNDER_WAY
        others = chance.others
        leaves = verdict not in _STAYS
        if verdict is stall_check.Verdict.SILENT:
            leaves = await chance.reserve()
        self._request_log.write(
            request_log.DOUBTED,
            request_id,
            wrong=verdict not in _STAYS,
            server=engine.server.server_id,
            verdict=verdict.value,
            queued=None if report.content is None else report.content.queued,
            running=None if report.content is None else report.content.running,
            listed=request_id in report.decoding_ids,
            runs=chance.runs,
            others=others,
            leaves=leaves,
        )
        return _Finding(verdict, leaves)

    async def _report(self, server: servers.Server) -> _Report:
        now = self._clock.monotonic()
        at, report_task = self._pending_reports.get(server.incarnation, (now, None))
        if report_task is None or (
            report_task.done() and now - at > stall_check.MAX_REPORT_AGE
        ):
            self._pending_reports = {
                n: a for n, a in self._pending_reports.items() if not a[1].done()
            }
            report_task = asyncio.create_task(self._timed_report(server, now))
            self._pending_reports[server.incarnation] = now, report_task
        # A request that is cancelled must not cancel the report that others wait for.
        return await asyncio.shield(report_task)

    async def _timed_report(
        self, server: servers.Server, since: datetime.timedelta
    ) -> _Report:
        content = await self._fetch_report(server, since)
        return _Report(content, since, self._clock.monotonic() - since)

    async def _fetch_report(
        self, server: servers.Server, since: datetime.timedelta
    ) -> engine_reports.EngineReport | None:
        """Ask for a report over a kept and over a new connection at the same time.

        An engine that leaves is asked for its health only.

        A kept one may have fallen silent, and a server at capacity accepts no new one:
        either alone would make a running engine count as one that has stopped. On a
        kept one an answer to an earlier call may come instead, an older report as well,
        which no id tells. So the report over the new one counts if both come.
        """
        is_leaving = not self._client.accepts(server)
        call = self._ask_health if is_leaving else self._ask_report
        calls = [
            asyncio.create_task(call(server, new_connection=new_connection))
            for new_connection in (True, False)
        ]
        is_running = False
        try:
            for task in calls:
                response = await task
                if isinstance(response, dispatch.FullResponse):
                    if is_leaving:
                        return _RUNNING
                    report = engines.decode_report(response.body)
                    if report is not None:
                        return report
                # It refuses further connections, so it is running and at capacity.
                is_running |= (
                    isinstance(response, dispatch.NotSent) and not response.unresponsive
                )
        finally:
            for task in calls:
                task.cancel()
        # The question waits for a place like a request, and others keep it busy.
        is_running |= self._client.heard_since(server, since)
        return _RUNNING if is_running else None

    async def _ask_health(
        self, server: servers.Server, *, new_connection: bool
    ) -> dispatch.FullResponse | dispatch.NotSent | dispatch.OutcomeUnknown:
        return await self._client.ask(
            server, limit=_REPORT_TIMEOUT, new_connection=new_connection
        )

    async def _ask_report(
        self, server: servers.Server, *, new_connection: bool
    ) -> dispatch.FullResponse | dispatch.NotSent | dispatch.OutcomeUnknown:
        return await self._client.call(
            server,
            "GET",
            engines.REPORT_TARGET,
            limit=_REPORT_TIMEOUT,
            new_connection=new_connection,
        )


def _left(
    verdict: stall_check.Verdict, delivery: deliveries.Delivery | None
) -> dispatch.OutcomeUnknown | dispatch.NotSent:
    """Return the outcome of a call whose request leaves its engine."""
    if delivery is not None and delivery.sent_at is None:
        reason = f"not sent, as it was not heard before: {verdict.value}"
        return dispatch.NotSent(reason, unresponsive=True)
    crashed = verdict is not stall_check.Verdict.LOST
    return dispatch.OutcomeUnknown(verdict.value, server_crashed=crashed)


def _close_unused(task: asyncio.Task[typing.Any], *, used: bool) -> None:
    """Close the connection of a response that came as its caller was cancelled.

    The engine would go on with a request that nobody waits for.
    """
    if used or not task.done() or task.cancelled() or task.exception() is not None:
        return
    if isinstance(response := task.result(), dispatch.OpenResponse):
        response.link.close()


async def _unless_done(
    task: asyncio.Task[typing.Any],
    check: abc.Coroutine[typing.Any, typing.Any, _Finding],
) -> _Finding | None:
    """Return the result of a check; None if a task is done before."""
    checking = asyncio.create_task(check)
    try:
        await asyncio.wait({task, checking}, return_when=asyncio.FIRST_COMPLETED)
        return checking.result() if checking.done() else None
    finally:
        checking.cancel()
