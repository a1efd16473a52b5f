"""Calls of plain services."""

import dataclasses
import datetime
import typing

from pimentolatch import clock, document_index, fleet, results, settings
from pimentolatch.backend import outcomes, plain
from pimentolatch.decisions import outstanding_work, plain_routing
from pimentolatch.document import schema
from pimentolatch.requests import identity, keys

__all__ = ["KeyedCalls", "PlainCalls", "ServiceCall", "ServiceCallRunner", "Sender"]

_ATTEMPTS = 3
_RETRY_AFTER = datetime.timedelta(seconds=1)
_NO_TIME = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """A checked call.

    Attributes:
        deadline: On the instance's monotonic clock.
        authorization: The caller's header, for the instance that owns the key.
        forwarded: Whether another instance passed the call on.
    """

    request_id: str
    caller: str
    service: str
    operation: str
    body: bytes
    content_type: str
    deadline: datetime.timedelta
    idempotency_key: str | None = None
    authorization: str | None = None
    forwarded: bool = False


class PlainCalls(typing.Protocol):
    """What is needed of a client of plain servers."""

    async def call(
        self, address: settings.Address, call: plain.Call
    ) -> outcomes.ServiceOutcome:
        """Send a call and wait for its whole answer."""


class KeyedCalls(typing.Protocol):
    """Runs calls that carry an idempotency key at most once."""

    async def run(self, call: ServiceCall) -> keys.Outcome:
        """Return the outcome of the one run of the call's key."""


class Sender:
    """Sends calls to the plain servers that the fleet's view offers."""

    def __init__(
        self,
        *,
        own_fleet: fleet.Fleet,
        own_domain: str,
        servers: PlainCalls,
        work: outstanding_work.OutstandingWork,
        time: clock.Clock,
    ) -> None:
        self._fleet = own_fleet
        self._servers = servers
        self._work = work
        self._clock = time
        self._router = plain_routing.PlainRouter(own_domain, work)
        self._indexes = document_index.IndexCache()
        self._known: document_index.Index | None = None

    async def send(
        self,
        call: ServiceCall,
        *,
        repeatable: bool,
        entry: keys.Entry | None = None,
        patience: datetime.timedelta = _NO_TIME,
    ) -> keys.Outcome:
        """Return the service's answer or a refusal.

        A call that may not be repeated is sent again only while it is certain that no
        server ran it; after that the only answers are its result or "unknown".

        Args:
            call: The call.
            repeatable: Whether it may run twice.
            entry: Entry of the call's key; asked right before each sending.
            patience: How long to wait for an answer past the deadline, for a retry.
        """
        failed: set[str] = set()
        maybe_ran = False
        reason = "no server is free"
        for attempt in range(_ATTEMPTS):
            left = call.deadline - self._clock.monotonic()
            server = self._choose(call.service, repeatable, failed)
            if server is None or left <= _NO_TIME:
                break
            if entry is not None and not entry.take():
                break
            # A repeatable call leaves time to try elsewhere; another one has no use
            # for it, and a longer wait makes fewer unknown outcomes.
            last = not repeatable or attempt == _ATTEMPTS - 1
            limit = left + patience if last else left / 2
            outcome = await self._at(server, _sending(call, repeatable, limit))
            if isinstance(outcome, outcomes.Answered):
                return outcome
            reason = outcome.reason
            failed.add(server.name)
            if isinstance(outcome, outcomes.Broken):
                maybe_ran = True
                if not repeatable:
                    break
            elif entry is not None:
                entry.give_back()
        return _refusal(maybe_ran, reason, call.deadline <= self._clock.monotonic())

    def _choose(
        self, service: str, repeatable: bool, failed: set[str]
    ) -> schema.PlainServer | None:
        view = self._fleet.view
        if view.document is None:
            return None
        known = self._indexes.get(view.document)
        if known is not self._known:
            self._known = known
            self._router.forget({s.name for s in view.document.plain_servers})
        return self._router.choose(
            view,
            known.plain_servers.get(service, ()),
            self._clock.monotonic(),
            repeatable=repeatable,
            avoid=failed,
        )

    async def _at(
        self, server: schema.PlainServer, sending: plain.Call
    ) -> outcomes.ServiceOutcome:
        began = self._clock.monotonic()
        self._work.begin(server.name)
        try:
            outcome = await self._servers.call(server.address, sending)
        finally:
            self._work.end(server.name)
        now = self._clock.monotonic()
        if isinstance(outcome, outcomes.Answered):
            self._router.answered(server.name, now - began, now)
        else:
            self._router.failed(server.name, now)
        return outcome


class ServiceCallRunner:
    """Runs calls by what the document says of their operations.

    Args:
        own_fleet: The configuration in force.
        sender: Sends calls that need no key.
        keyed: Runs calls that may not be repeated and carry a key.
    """

    def __init__(
        self, *, own_fleet: fleet.Fleet, sender: Sender, keyed: KeyedCalls
    ) -> None:
        self._fleet = own_fleet
        self._sender = sender
        self._keyed = keyed
        self._indexes = document_index.IndexCache()

    async def run(self, call: ServiceCall) -> keys.Outcome:
        """Return the service's answer or a refusal."""
        document = self._fleet.view.document
        if document is None:
            return results.Refusal(
                results.ResultCode.NO_CONFIGURATION,
                "no configuration is in force yet",
                results.Execution.NOT_RUN,
                _RETRY_AFTER,
            )
        operations = self._indexes.get(document).operations
        operation = operations.get((call.service, call.operation))
        if operation is None:
            return results.Refusal(
                results.ResultCode.UNKNOWN_SERVICE,
                f"the call {call.service}/{call.operation} is not offered",
                results.Execution.NOT_RUN,
            )
        if call.idempotency_key is not None and not operation.repeatable:
            return await self._keyed.run(call)
        return await self._sender.send(call, repeatable=operation.repeatable)


def _sending(
    call: ServiceCall, repeatable: bool, limit: datetime.timedelta
) -> plain.Call:
    # The request's own id leads the dispatch's, so that logs and histories of both
    # sides can be put together.
    return plain.Call(
        f"{call.request_id}.{identity.new_id()[:8]}",
        call.service,
        call.operation,
        call.body,
        call.content_type,
        repeatable,
        limit,
    )


def _refusal(maybe_ran: bool, reason: str, late: bool) -> results.Refusal:
    if maybe_ran:
        return results.Refusal(
            results.ResultCode.OUTCOME_UNKNOWN,
            f"the answer was lost: {reason}",
            results.Execution.UNKNOWN,
        )
    if late:
        return results.Refusal(
            results.ResultCode.DEADLINE_PASSED,
            f"the deadline passed before a server took the call: {reason}",
            results.Execution.NOT_RUN,
        )
    return results.Refusal(
        results.ResultCode.NO_BACKEND_SERVER,
        f"no server took the call: {reason}",
        results.Execution.NOT_RUN,
        _RETRY_AFTER,
    )
