"""Asks engines that are silent for longer than expected whether they go on."""

import asyncio
import datetime
import typing
from collections import abc

from pimentolatch import clock
from pimentolatch.decisions import engine_loads, stall_check
from pimentolatch.gateway import request_log, sending
from pimentolatch.platform import engines
from pimentolatch.routes import reports, servers

__all__ = ["EngineDoubts"]

# Reports need no slot and come in milliseconds; a client that waits two seconds for its
# first event must still find another engine afterwards.
_CALL_LIMIT = datetime.timedelta(milliseconds=300)
_Outcome = typing.TypeVar("_Outcome")
_Asked = asyncio.Task["reports.EngineReport | None"]


class EngineDoubts:
    """Engines' reports, asked for once for all requests that wait for an engine."""

    def __init__(
        self,
        client: sending.ServerClient,
        log: request_log.RequestLog,
        time: clock.Clock,
    ) -> None:
        self._client = client
        self._request_log = log
        self._clock = time
        self._asked: dict[servers.Incarnation, tuple[datetime.timedelta, _Asked]] = {}

    async def verdict(
        self, engine: engine_loads.EngineLoad, request_id: str
    ) -> stall_check.Verdict:
        """Ask an engine what has become of a request."""
        report = await self._report(engine.server)
        verdict = stall_check.request_status(report, request_id, engine.server.born)
        self._request_log.write(
            request_log.DOUBTED,
            request_id,
            wrong=verdict is not stall_check.Verdict.HAS_IT,
            server=engine.server.server_id,
            verdict=verdict.value,
            queued=None if report is None else report.queued,
            running=None if report is None else report.running,
            listed=report is not None and request_id in report.runs,
        )
        return verdict

    async def until_doubtful(
        self,
        engine: engine_loads.EngineLoad,
        request_id: str,
        call: abc.Coroutine[typing.Any, typing.Any, _Outcome],
        expected: datetime.timedelta,
    ) -> _Outcome | sending.Broken:
        """Wait for a call for as long as its engine has the request."""
        task = asyncio.create_task(call)
        limit = expected
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=limit.total_seconds())
                if task.done():
                    break
                verdict = await self.verdict(engine, request_id)
                if verdict is not stall_check.Verdict.HAS_IT and not task.done():
                    return sending.Broken(
                        verdict.value,
                        server_ended=verdict is not stall_check.Verdict.LOST,
                    )
                limit = stall_check.RECHECK_INTERVAL
            return task.result()
        finally:
            task.cancel()

    async def _report(self, server: servers.Server) -> reports.EngineReport | None:
        now = self._clock.monotonic()
        at, asked = self._asked.get(server.incarnation, (now, None))
        if asked is None or (asked.done() and now - at > stall_check.MAX_REPORT_AGE):
            self._asked = {n: a for n, a in self._asked.items() if not a[1].done()}
            asked = asyncio.create_task(self._ask(server))
            self._asked[server.incarnation] = now, asked
        # One request that leaves must not end the question of the others.
        return await asyncio.shield(asked)

    async def _ask(self, server: servers.Server) -> reports.EngineReport | None:
        answer = await self._client.call(
            server, "GET", engines.REPORT_TARGET, limit=_CALL_LIMIT
        )
        if isinstance(answer, sending.Whole):
            return engines.decode_report(answer.body)
        if isinstance(answer, sending.NotSent) and not answer.silent:
            # It takes no further connection: it lives and is full.
            return reports.EngineReport(servers.Stage.DECODE, False, 0, queued=1)
        return None
