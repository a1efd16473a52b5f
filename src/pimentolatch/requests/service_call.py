"""Calls to plain services: server selection, retries and outcome."""

import dataclasses
import datetime
import typing

from pimentolatch import clock, document_index, fleet, results, settings
from pimentolatch.backend import outcomes, plain_client
from pimentolatch.decisions import outstanding_work, plain_routing
from pimentolatch.document import schema
from pimentolatch.requests import idempotency_keys, identity

__all__ = [
    "KeyedCallRunner",
    "PlainServerClient",
    "ServiceCall",
    "ServiceCallRunner",
    "CallSender",
]

_MAX_ATTEMPTS = 3
_RETRY_AFTER = datetime.timedelta(seconds=1)
_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """A validated call to a plain service.

    Attributes:
        deadline: Time on the instance's monotonic clock.
        authorization: The caller's header, forwarded to the instance that owns the
            key.
        forwarded: Whether the call was forwarded by another instance.
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


class PlainServerClient(typing.Protocol):
    """Client of the servers of plain services."""

    async def call(
        self, address: settings.Address, call: plain_client.Call
    ) -> outcomes.ServiceOutcome:
        """Send a call and wait for the complete answer."""


class KeyedCallRunner(typing.Protocol):
    """Runs calls that carry an idempotency key at most once."""

    async def run(self, call: ServiceCall) -> idempotency_keys.Outcome:
        """Return the outcome of the only run of the call's key."""


class CallSender:
    """Sends calls to the plain servers in the current view of the fleet."""

    def __init__(
        self,
        *,
        own_fleet: fleet.Fleet,
        own_domain: str,
        servers: PlainServerClient,
        work: outstanding_work.OutstandingWork,
        time: clock.Clock,
    ) -> None:
        self._fleet = own_fleet
        self._servers = servers
        self._work = work
        self._clock = time
        self._router = plain_routing.PlainRouter(own_domain, work)
        self._indexes = document_index.IndexCache()
        self._latest_index: document_index.Index | None = None

    async def send(
        self,
        call: ServiceCall,
        *,
        repeatable: bool,
        entry: idempotency_keys.Entry | None = None,
        extra_wait: datetime.timedelta = _ZERO,
    ) -> idempotency_keys.Outcome:
        """Return the service's answer or a refusal.

        A call that is not repeatable is retried only while it is certain that no server
        ran it; after that, the outcome is its result or "unknown".

        Args:
            call: The call.
            repeatable: Whether the call is idempotent and may run twice.
            entry: Entry of the call's key; marked directly before each dispatch.
            extra_wait: How long past the deadline to wait for an answer, which a retry
                can get.
        """
        failed: set[str] = set()
        maybe_ran = False
        reason = "no server is available"
        for attempt in range(_MAX_ATTEMPTS):
            left = call.deadline - self._clock.monotonic()
            server = self._choose(call.service, repeatable, failed)
            if server is None or left <= _ZERO:
                break
            if entry is not None and not entry.start_dispatch():
                break
            # A repeatable call leaves time to retry on another server. Other calls
            # can't be retried after a time-out, and a longer wait gives fewer
            # unknown outcomes.
            last = not repeatable or attempt == _MAX_ATTEMPTS - 1
            limit = left + extra_wait if last else left / 2
            outcome = await self._dispatch_to(
                server, _dispatch(call, repeatable, limit)
            )
            if isinstance(outcome, outcomes.Response):
                return outcome
            reason = outcome.reason
            failed.add(server.name)
            if isinstance(outcome, outcomes.OutcomeUnknown):
                maybe_ran = True
                if not repeatable:
                    break
            elif entry is not None:
                entry.revert_dispatch()
        return _refusal(maybe_ran, reason, call.deadline <= self._clock.monotonic())

    def _choose(
        self, service: str, repeatable: bool, failed: set[str]
    ) -> schema.PlainServer | None:
        view = self._fleet.view
        if view.document is None:
            return None
        latest = self._indexes.get(view.document)
        if latest is not self._latest_index:
            self._latest_index = latest
            self._router.forget({s.name for s in view.document.plain_servers})
        return self._router.choose(
            view,
            latest.plain_servers.get(service, ()),
            self._clock.monotonic(),
            repeatable=repeatable,
            avoid=failed,
        )

    async def _dispatch_to(
        self, server: schema.PlainServer, dispatch: plain_client.Call
    ) -> outcomes.ServiceOutcome:
        started_at = self._clock.monotonic()
        self._work.begin(server.name)
        try:
            outcome = await self._servers.call(server.address, dispatch)
        finally:
            self._work.end(server.name)
        now = self._clock.monotonic()
        if isinstance(outcome, outcomes.Response):
            self._router.answered(server.name, now - started_at, now)
        else:
            self._router.failed(server.name, now)
        return outcome


class ServiceCallRunner:
    """Runs calls as the document declares their operations.

    Args:
        own_fleet: The configuration in force.
        sender: Sends calls that are repeatable or have no key.
        keyed: Runs calls that have a key and are not repeatable.
    """

    def __init__(
        self, *, own_fleet: fleet.Fleet, sender: CallSender, keyed: KeyedCallRunner
    ) -> None:
        self._fleet = own_fleet
        self._sender = sender
        self._keyed = keyed
        self._indexes = document_index.IndexCache()

    async def run(self, call: ServiceCall) -> idempotency_keys.Outcome:
        """Return the service's answer or a refusal."""
        document = self._fleet.view.document
        if document is None:
            return results.Refusal(
                results.ResultCode.NO_CONFIGURATION,
                "this instance has no configuration yet; retry later",
                results.Execution.NOT_RUN,
                _RETRY_AFTER,
            )
        operations = self._indexes.get(document).operations
        operation = operations.get((call.service, call.operation))
        if operation is None:
            return results.Refusal(
                results.ResultCode.UNKNOWN_SERVICE,
                f"no operation {call.service}/{call.operation} in the configuration",
                results.Execution.NOT_RUN,
            )
        if call.idempotency_key is not None and not operation.repeatable:
            return await self._keyed.run(call)
        return await self._sender.send(call, repeatable=operation.repeatable)


def _dispatch(
    call: ServiceCall, repeatable: bool, limit: datetime.timedelta
) -> plain_client.Call:
    # The dispatch id starts with the request id, so that the logs of both sides can be
    # correlated.
    return plain_client.Call(
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
            f"the call was sent, but its answer was lost: {reason}",
            results.Execution.UNKNOWN,
        )
    if late:
        return results.Refusal(
            results.ResultCode.DEADLINE_PASSED,
            f"the deadline passed before a server ran the call: {reason}",
            results.Execution.NOT_RUN,
        )
    return results.Refusal(
        results.ResultCode.NO_BACKEND_SERVER,
        f"no server ran the call; retry later: {reason}",
        results.Execution.NOT_RUN,
        _RETRY_AFTER,
    )
