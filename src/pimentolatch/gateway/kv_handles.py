"""Checks the KV handles of prefilled prompts and releases those that are not used.

A handle names a KV cache within one incarnation of an engine only; see
`decisions.handle_validity`.
"""

import asyncio
import datetime

import logbook

from pimentolatch.decisions import handle_validity
from pimentolatch.gateway import dispatch, request_progress
from pimentolatch.platform import engines

__all__ = ["KvHandles"]

_log = logbook.Logger("reading")
# Reports take milliseconds. The client waits for its first event meanwhile.
_REPORT_TIMEOUT = datetime.timedelta(milliseconds=300)
_RELEASE_TIMEOUT = datetime.timedelta(seconds=1)
_CONCLUSIVE = (
    handle_validity.Proof.SAME_INCARNATION,
    handle_validity.Proof.OTHER_INCARNATION,
)


class KvHandles:
    """Checks handles before they are sent, and releases them.

    Args:
        context: Components that all stream requests share.
    """

    def __init__(self, context: request_progress.Context) -> None:
        self._context = context
        self._background: set[asyncio.Task[None]] = set()

    def is_doubtful(self, prefilled: request_progress.PrefilledPrompt) -> bool:
        """Tell whether the engine of a handle has probably started again."""
        return handle_validity.is_doubtful(self._evidence(prefilled))

    async def confirm(self, prefilled: request_progress.PrefilledPrompt) -> bool:
        """Return whether a handle may be sent to a decode engine."""
        evidence = self._evidence(prefilled)
        validity = handle_validity.judge(evidence)
        if validity is handle_validity.Validity.VALID:
            return True
        proof = handle_validity.Proof.OTHER_INCARNATION
        if validity is handle_validity.Validity.UNCERTAIN:
            proof = await self._ask(prefilled)
        may_use = handle_validity.may_use(evidence, proof)
        _log.info(
            "KV handle checked",
            server=prefilled.incarnation.server_id,
            handle=prefilled.handle,
            started_ms=prefilled.incarnation.started_ms,
            connected=evidence.connected,
            replaced=evidence.replaced,
            proof=proof.value,
            used=may_use,
        )
        return may_use

    def release(self, prefilled: request_progress.PrefilledPrompt) -> None:
        """Release the KV cache of a prompt that no engine will fetch.

        An engine that leaves needs no room for other prompts, and drops it by itself.
        """
        if self._evidence(prefilled).replaced:
            return
        if not self._context.client.accepts(prefilled.engine.server):
            return
        task = asyncio.create_task(self._release(prefilled))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _evidence(
        self, prefilled: request_progress.PrefilledPrompt
    ) -> handle_validity.Evidence:
        return handle_validity.Evidence(
            self._context.fleet.is_replaced(prefilled.incarnation),
            prefilled.link.is_open,
            prefilled.link.close_announced,
            self._context.clock.monotonic() - prefilled.proven_at,
        )

    async def _ask(
        self, prefilled: request_progress.PrefilledPrompt
    ) -> handle_validity.Proof:
        """Ask an engine for its report, to learn whether it gave a handle.

        Without a start time in its report only a connection tells: one that was opened
        before the handle was given reaches that incarnation or none.
        """
        client, server = self._context.client, prefilled.engine.server
        if prefilled.incarnation.started_ms is None:
            async with client.session(
                server, opened_before=prefilled.given_at
            ) as calls:
                return await self._prove(calls, prefilled)
        proof = handle_validity.Proof.NONE
        for new_connection in (False, True):
            async with client.session(server, new_connection=new_connection) as calls:
                proof = await self._prove(calls, prefilled)
            if proof in _CONCLUSIVE:
                break
        return proof

    async def _prove(
        self, calls: dispatch.Session, prefilled: request_progress.PrefilledPrompt
    ) -> handle_validity.Proof:
        response = await calls.call("GET", engines.REPORT_TARGET, limit=_REPORT_TIMEOUT)
        if isinstance(response, dispatch.OutcomeUnknown) and response.server_crashed:
            return handle_validity.Proof.CONNECTION_LOST
        if not isinstance(response, dispatch.FullResponse) or response.link is None:
            return handle_validity.Proof.NONE
        report = engines.decode_report(response.body)
        if report is None:
            return handle_validity.Proof.NONE
        started_ms = prefilled.incarnation.started_ms
        if started_ms is not None:
            if report.started_ms is None:
                return handle_validity.Proof.NONE
            if report.started_ms != started_ms:
                return handle_validity.Proof.OTHER_INCARNATION
        prefilled.link = response.link
        prefilled.proven_at = self._context.clock.monotonic()
        return handle_validity.Proof.SAME_INCARNATION

    async def _release(self, prefilled: request_progress.PrefilledPrompt) -> None:
        """Release a KV cache over a connection to the incarnation that holds it.

        Over another connection the call could free another request's KV cache. If none
        can be had, the engine drops the KV cache when its handle expires.
        """
        client, server = self._context.client, prefilled.engine.server
        target = engines.release_target(prefilled.handle)
        async with client.session(server, opened_before=prefilled.given_at) as calls:
            released = await calls.call("DELETE", target, limit=_RELEASE_TIMEOUT)
        if not isinstance(released, dispatch.NotSent):
            return
        if prefilled.incarnation.started_ms is None:
            return
        async with client.session(server) as calls:
            proof = await self._prove(calls, prefilled)
            if proof is handle_validity.Proof.SAME_INCARNATION:
                await calls.call("DELETE", target, limit=_RELEASE_TIMEOUT)
