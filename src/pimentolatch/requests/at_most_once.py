"""Runs calls with an idempotency key at most once, across instances and retries.

Each key has one owner, the only incarnation of an instance that may send its call. A
client-supplied key is owned by the incarnation that claimed it in the platform's store,
a ticket by the one that issued it. Any other instance forwards the call to the owner.
If the owner is unreachable, the answer is "outcome unknown", never a second run.
"""

import asyncio
import contextlib
import datetime
import typing
from collections import abc

import logbook

from pimentolatch import clock, results, settings
from pimentolatch.backend import instance_client, outcomes
from pimentolatch.requests import (
    idempotency_keys,
    key_claims,
    refusals,
    retired_owners,
    service_call,
    tickets,
)

__all__ = ["AtMostOnce", "InstanceForwarder"]

_log = logbook.Logger("once")
# An answer that arrives after the caller's deadline can still serve a retry.
LATE_ANSWER_TIMEOUT = datetime.timedelta(seconds=30)
_FORWARD_ATTEMPTS = 2
# Bounds how long an unavailable store delays a shutdown.
_RETIRE_TIMEOUT_S = 3.0

_Runner = typing.Callable[
    [service_call.ServiceCall, idempotency_keys.Entry],
    abc.Coroutine[typing.Any, typing.Any, None],
]


class InstanceForwarder(typing.Protocol):
    """Client that forwards calls to other instances."""

    async def forward(
        self, address: settings.Address, call: instance_client.Forward
    ) -> (
        outcomes.Response | results.Refusal | outcomes.NotRun | outcomes.OutcomeUnknown
    ):
        """Forward a call and wait for the owner's answer."""


class AtMostOnce:
    """Runs calls whose key this instance owns, and forwards the others.

    Args:
        owner: This incarnation of this instance.
        pages: Claims in the platform's store.
        ticket_issuer: Issues and verifies tickets.
        table: Keys that this instance owns.
        retirements: Records of the tickets of stopped instances.
        instances: Client of other instances.
        sender: Sends calls to the servers of plain services.
        time: Clock of deadlines.
    """

    def __init__(
        self,
        owner: key_claims.Owner,
        *,
        pages: key_claims.ClaimPages,
        ticket_issuer: tickets.TicketIssuer,
        table: idempotency_keys.KeyTable,
        retirements: retired_owners.RetiredOwners,
        instances: InstanceForwarder,
        sender: service_call.CallSender,
        time: clock.Clock,
    ) -> None:
        self._owner = owner
        self._pages = pages
        self._ticket_issuer = ticket_issuer
        self._table = table
        self._retirements = retirements
        self._retired = False
        self._instances = instances
        self._sender = sender
        self._clock = time
        self._tasks: set[asyncio.Task[None]] = set()

    async def issue(self, caller: str, count: int) -> list[str] | results.Refusal:
        """Return new tickets for a caller."""
        issued = await self._ticket_issuer.issue(caller, count)
        if isinstance(issued, tickets.SecretUnavailable):
            return refusals.store_unavailable(issued.reason)
        return issued

    async def retire(self) -> None:
        """Record the use of this instance's tickets, at a planned shutdown.

        From here on no ticket runs a call, so the record stays correct.
        """
        self._retired = True
        issued = self._ticket_issuer.issued()
        if not issued:
            return
        answered, unknown = self._table.ticket_uses()
        record = retired_owners.TicketRecord(issued, answered, unknown)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_RETIRE_TIMEOUT_S):
                await self._retirements.write(self._owner.incarnation, record)

    @property
    def ticket_lifetime(self) -> datetime.timedelta:
        """How long a ticket is valid and its result is retained."""
        return self._table.lifetime

    async def run(self, call: service_call.ServiceCall) -> idempotency_keys.Outcome:
        """Return the outcome of the only run of the call's key."""
        key = call.idempotency_key or ""
        if key.startswith(tickets.PREFIX):
            return await self._run_ticket(call, key)
        name = idempotency_keys.key_name(call.caller, key)
        return await self._run_once(call, name, self._claim_and_send)

    async def _run_ticket(
        self, call: service_call.ServiceCall, key: str
    ) -> idempotency_keys.Outcome:
        ticket = await self._ticket_issuer.verify(key)
        if isinstance(ticket, tickets.SecretUnavailable):
            return refusals.store_unavailable(ticket.reason)
        if isinstance(ticket, tickets.InvalidTicket) or ticket.caller != call.caller:
            return results.Refusal(
                results.ResultCode.INVALID_REQUEST,
                "idempotency-key: this ticket was not issued to this caller",
                results.Execution.NOT_RUN,
            )
        if ticket.owner.incarnation != self._owner.incarnation:
            outcome = await self._forward(call, ticket.owner)
            return await self._check_retired(call, ticket, outcome)
        if self._ticket_issuer.is_expired(ticket):
            return idempotency_keys.result_expired(results.Execution.UNKNOWN)
        if self._retired:
            return refusals.STOPPED
        return await self._run_once(
            call, idempotency_keys.ticket_name(ticket.number), self._send
        )

    async def _check_retired(
        self,
        call: service_call.ServiceCall,
        ticket: tickets.Ticket,
        outcome: idempotency_keys.Outcome,
    ) -> idempotency_keys.Outcome:
        """Replace an unknown outcome by the record of an owner that has stopped."""
        if call.forwarded or not refusals.is_outcome_unknown(outcome):
            return outcome
        use = await self._retirements.ticket_use(
            ticket.owner.incarnation, ticket.number
        )
        if use == "never":
            return refusals.TICKET_VOID
        return (
            idempotency_keys.result_expired(results.Execution.RAN)
            if use == "answered"
            else outcome
        )

    async def _run_once(
        self, call: service_call.ServiceCall, name: str, runner: _Runner
    ) -> idempotency_keys.Outcome:
        request = idempotency_keys.fingerprint(call.service, call.operation, call.body)
        lookup = self._table.begin(name, request)
        if isinstance(lookup, idempotency_keys.Mismatch):
            return refusals.KEY_REUSED
        if isinstance(lookup, idempotency_keys.TableFull):
            return refusals.overloaded()
        if isinstance(lookup, idempotency_keys.NewKey):
            self._start(runner, call, lookup.entry)
        return await self._await_outcome(call, lookup)

    def _start(
        self,
        runner: _Runner,
        call: service_call.ServiceCall,
        entry: idempotency_keys.Entry,
    ) -> None:
        """Run the call in its own task, which outlives the caller's connection.

        A caller that disconnects and retries must find the run that it started, not a
        cancelled run with an unknown effect.
        """
        task = asyncio.create_task(self._run_and_complete(runner, call, entry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_and_complete(
        self,
        runner: _Runner,
        call: service_call.ServiceCall,
        entry: idempotency_keys.Entry,
    ) -> None:
        try:
            await runner(call, entry)
        except Exception:
            _log.exception("keyed call failed", request=call.request_id)
        finally:
            if not entry.result.done():
                self._table.complete(
                    entry, refusals.outcome_unknown("the call was interrupted")
                )

    async def _await_outcome(
        self,
        call: service_call.ServiceCall,
        lookup: idempotency_keys.NewKey | idempotency_keys.KnownKey,
    ) -> idempotency_keys.Outcome:
        """Wait for the key's outcome, until the deadline at most."""
        left = (call.deadline - self._clock.monotonic()).total_seconds()
        try:
            async with asyncio.timeout(left):
                return await asyncio.shield(lookup.entry.result)
        except TimeoutError:
            pass
        if isinstance(lookup, idempotency_keys.KnownKey):
            return refusals.IN_PROGRESS
        if lookup.entry.abandon():
            return refusals.DEADLINE_PASSED
        return refusals.outcome_unknown(
            "no answer before the deadline; retry with this key to get the outcome"
        )

    async def _claim_and_send(
        self, call: service_call.ServiceCall, entry: idempotency_keys.Entry
    ) -> None:
        found = await self._pages.claim(entry.name, entry.fingerprint)
        if isinstance(found, key_claims.ClaimFailed):
            refusal = refusals.store_unavailable(found.reason, found.retry_after)
            self._table.discard(entry, refusal)
        elif isinstance(found, key_claims.AlreadyClaimed):
            self._table.discard(
                entry, await self._outcome_of_claim(call, entry, found.claim)
            )
        else:
            outcome = await self._send_and_complete(call, entry)
            if refusals.certainly_not_run(outcome):
                await self._pages.release(found.claim)
                self._table.discard(entry, outcome)
            else:
                answer = outcome if isinstance(outcome, outcomes.Response) else None
                state: key_claims.State = "unknown" if answer is None else "answered"
                await self._pages.settle(found.claim, state, answer)

    async def _send(
        self, call: service_call.ServiceCall, entry: idempotency_keys.Entry
    ) -> None:
        outcome = await self._send_and_complete(call, entry)
        if refusals.certainly_not_run(outcome):
            self._table.discard(entry, outcome)

    async def _send_and_complete(
        self, call: service_call.ServiceCall, entry: idempotency_keys.Entry
    ) -> idempotency_keys.Outcome:
        """Send an owned call and complete its entry with the outcome.

        Waiting callers get the outcome before it is recorded in the store, so that a
        slow store does not delay the answer.
        """
        outcome = await self._sender.send(
            call, repeatable=False, entry=entry, extra_wait=LATE_ANSWER_TIMEOUT
        )
        self._table.complete(entry, outcome)
        return outcome

    async def _outcome_of_claim(
        self,
        call: service_call.ServiceCall,
        entry: idempotency_keys.Entry,
        claim: key_claims.Claim,
    ) -> idempotency_keys.Outcome:
        if claim.fingerprint != entry.fingerprint:
            return refusals.KEY_REUSED
        if claim.answer is not None:
            return claim.answer
        if claim.state == "unknown":
            return refusals.outcome_unknown(
                "the call was sent once, but its answer was lost"
            )
        is_own = claim.owner is not None and (
            claim.owner.incarnation == self._owner.incarnation
        )
        answered = claim.state == "answered"
        expired = idempotency_keys.result_expired(
            results.Execution.RAN if answered else results.Execution.UNKNOWN
        )
        if claim.owner is None or is_own:
            return expired
        if not entry.start_dispatch():
            return refusals.DEADLINE_PASSED
        outcome = await self._forward(call, claim.owner)
        # The owner has terminated and its result was too large for the store. The claim
        # still shows that the call ran.
        return expired if answered and refusals.is_outcome_unknown(outcome) else outcome

    async def _forward(
        self, call: service_call.ServiceCall, owner: key_claims.Owner
    ) -> idempotency_keys.Outcome:
        if call.forwarded:
            return refusals.outcome_unknown(
                "the instance that owned this key has terminated"
            )
        reason = "the deadline passed"
        for _ in range(_FORWARD_ATTEMPTS):
            left = call.deadline - self._clock.monotonic()
            if left <= datetime.timedelta():
                break
            outcome = await self._instances.forward(
                owner.address, _to_forward(call, left)
            )
            if isinstance(outcome, outcomes.Response | results.Refusal):
                return outcome
            reason = outcome.reason
        return refusals.outcome_unknown(
            f"the instance that owns this key is unreachable: {reason}"
        )


def _to_forward(
    call: service_call.ServiceCall, left: datetime.timedelta
) -> instance_client.Forward:
    return instance_client.Forward(
        call.request_id,
        call.service,
        call.operation,
        call.body,
        call.content_type,
        call.idempotency_key or "",
        call.authorization,
        left,
    )
