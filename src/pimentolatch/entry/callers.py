"""The HTTP face towards callers."""

import contextlib
import dataclasses
import datetime
import hashlib
import typing
from collections import abc

import logbook
from starlette import applications, exceptions, requests, responses, routing

from pimentolatch import clock, document_index, fleet, metrics, results, settings
from pimentolatch.backend import instance, outcomes
from pimentolatch.entry import answers, bodies, gate
from pimentolatch.requests import completion, identity, service_call, stream

__all__ = ["CallerFace", "TicketIssuer"]

_log = logbook.Logger("callers")
_ANONYMOUS = "anonymous"
_DEFAULT_DEADLINE_SECONDS = 30.0
_REQUEST_ID_LENGTH_LIMIT = 64
_CLOSE_HEADER = (b"connection", b"close")


class TicketIssuer(typing.Protocol):
    """Hands out tickets for calls that may run only once."""

    @property
    def ticket_lifetime(self) -> datetime.timedelta:
        """How long a ticket and its result can be used."""

    async def issue(self, caller: str, count: int) -> list[str] | results.Refusal:
        """Return new tickets for a caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Read:
    """What every kind of request carries."""

    caller: str
    deadline: datetime.timedelta
    body: bytes


class CallerFace:
    """Handlers of callers' requests.

    Args:
        chosen: Settings of this instance.
        own_fleet: The configuration in force.
        completions: Runs completions.
        calls: Runs calls of plain services.
        issuer: Hands out tickets.
        door: Counts requests in flight.
        time: Clock of deadlines.
        measured: Metrics of this instance.
    """

    def __init__(
        self,
        chosen: settings.EntrySettings,
        *,
        own_fleet: fleet.Fleet,
        completions: completion.CompletionRunner,
        calls: service_call.ServiceCallRunner,
        issuer: TicketIssuer,
        door: gate.Gate,
        time: clock.Clock,
        measured: metrics.Metrics,
    ) -> None:
        self._fleet = own_fleet
        self._completions = completions
        self._calls = calls
        self._issuer = issuer
        self._gate = door
        self._clock = time
        self._metrics = measured
        self._indexes = document_index.IndexCache()
        self._limits = bodies.ReadLimits(
            chosen.max_body_bytes, datetime.timedelta(seconds=chosen.body_timeout_s)
        )

    def application(self) -> typing.Any:
        """Return the ASGI application."""
        routed = applications.Starlette(
            routes=[
                routing.Route("/v1/completions", self.complete, methods=["POST"]),
                routing.Route("/v1/models", self.models),
                routing.Route("/v1/tickets", self.tickets, methods=["POST"]),
                routing.Route(
                    "/v1/services/{service}/{operation}", self.call, methods=["POST"]
                ),
            ],
            exception_handlers={
                exceptions.HTTPException: _no_such_path,
                Exception: _internal_error,
            },
        )
        return self._closing_when_stopping(routed)

    async def models(self, request: requests.Request) -> responses.Response:
        """List the models that are served."""
        document = self._fleet.view.document
        names = [] if document is None else [model.name for model in document.models]
        rows = [{"id": name, "object": "model"} for name in names]
        return responses.JSONResponse({"object": "list", "data": rows})

    async def tickets(self, request: requests.Request) -> responses.Response:
        """Hand out tickets, which calls can carry as idempotency keys."""
        with self._gate.request():
            read = await self._read(request)
            if isinstance(read, results.Refusal):
                return self._refused("tickets", read)
            asked = bodies.check_json(bodies.TicketsBody, read.body or b"{}")
            if isinstance(asked, results.Refusal):
                return self._refused("tickets", asked)
            issued = await self._issuer.issue(read.caller, asked.count)
        if isinstance(issued, results.Refusal):
            return self._refused("tickets", issued)
        self._count("tickets", results.ResultCode.OK)
        seconds = self._issuer.ticket_lifetime.total_seconds()
        return responses.JSONResponse(
            {"tickets": issued, "expires_in_seconds": seconds}
        )

    async def complete(self, request: requests.Request) -> typing.Any:
        """Answer a completion, streamed or whole."""
        started = self._clock.monotonic()
        with contextlib.ExitStack() as held:
            held.enter_context(self._gate.request())
            read = await self._read(request)
            if isinstance(read, results.Refusal):
                return self._refused("completion", read)
            body = bodies.check_json(bodies.CompletionBody, read.body)
            if isinstance(body, results.Refusal):
                return self._refused("completion", body)
            asked = stream.Completion(
                identity.new_id(),
                read.caller,
                body.model,
                body.prompt,
                body.max_tokens,
                read.deadline,
                bodies.priority_of(request.headers),
            )
            return answers.CompletionAnswer(
                asked,
                self._completions.run(asked),
                streamed=body.stream,
                release=held.pop_all(),
                time=self._clock,
                started=started,
                measured=self._metrics,
            )

    async def call(self, request: requests.Request) -> responses.Response:
        """Answer a call of a plain service."""
        request_id = _request_id(request)
        with self._gate.request():
            outcome = await self._call_outcome(request, request_id)
        if isinstance(outcome, results.Refusal):
            return self._refused("service", outcome, request_id)
        self._count("service", results.ResultCode.OK)
        return responses.Response(
            outcome.body,
            outcome.status,
            {instance.REQUEST_ID_HEADER: request_id},
            outcome.content_type,
        )

    async def _call_outcome(
        self, request: requests.Request, request_id: str
    ) -> outcomes.Answered | results.Refusal:
        key = bodies.idempotency_key_of(request.headers)
        if isinstance(key, results.Refusal):
            return key
        forwarded = instance.FORWARDED_HEADER in request.headers
        read = await self._read(request, forwarded=forwarded)
        if isinstance(read, results.Refusal):
            return read
        call = service_call.ServiceCall(
            request_id,
            read.caller,
            request.path_params["service"],
            request.path_params["operation"],
            read.body,
            request.headers.get("content-type", "application/json"),
            read.deadline,
            key,
            request.headers.get("authorization"),
            forwarded,
        )
        return await self._calls.run(call)

    async def _read(
        self, request: requests.Request, *, forwarded: bool = False
    ) -> _Read | results.Refusal:
        if refusal := self._gate.refusal(forwarded=forwarded):
            return refusal
        caller = self._caller(request)
        if isinstance(caller, results.Refusal):
            return caller
        deadline = self._deadline(request)
        if isinstance(deadline, results.Refusal):
            return deadline
        body = await bodies.read_body(request, self._limits)
        if isinstance(body, results.Refusal):
            return body
        return _Read(caller, deadline, body)

    def _caller(self, request: requests.Request) -> str | results.Refusal:
        document = self._fleet.view.document
        if document is None or not document.callers:
            return _ANONYMOUS
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        digest = hashlib.sha256(key.encode()).hexdigest()
        known = self._indexes.get(document).callers.get(digest)
        if known is not None and scheme.lower() == "bearer":
            return known.name
        return results.Refusal(
            results.ResultCode.UNKNOWN_CALLER,
            "send the key of a known caller as a bearer token",
            results.Execution.NOT_RUN,
        )

    def _deadline(
        self, request: requests.Request
    ) -> datetime.timedelta | results.Refusal:
        document = self._fleet.view.document
        seconds = _DEFAULT_DEADLINE_SECONDS
        if document is not None:
            seconds = document.admission.default_deadline_s
        return bodies.deadline_of(
            request.headers,
            self._clock.monotonic(),
            datetime.timedelta(seconds=seconds),
        )

    def _refused(
        self, kind: str, refusal: results.Refusal, request_id: str | None = None
    ) -> responses.Response:
        self._count(kind, refusal.code)
        return answers.refusal_response(refusal, request_id)

    def _count(self, kind: str, code: results.ResultCode) -> None:
        self._metrics.requests.labels(kind, code.name.lower()).inc()

    def _closing_when_stopping(self, application: typing.Any) -> typing.Any:
        """Ask callers to leave their kept connections once a stop is announced.

        A caller that keeps a connection open would send its next request into an
        instance that is gone, and see it cut. Told with an answer that it has anyhow,
        it opens its next connection through the balancer, which knows better.
        """

        async def closing(
            scope: answers.Scope, receive: answers.Receive, send: answers.Send
        ) -> None:
            def sending(
                message: typing.MutableMapping[str, typing.Any],
            ) -> abc.Awaitable[None]:
                if message["type"] == "http.response.start" and not self._gate.ready:
                    message["headers"] = [*message["headers"], _CLOSE_HEADER]
                return send(message)

            await application(scope, receive, sending)

        return closing


def _request_id(request: requests.Request) -> str:
    """Return the id of a passed-on request as it is, so that logs fit together."""
    given = request.headers.get(instance.REQUEST_ID_HEADER, "")
    if instance.FORWARDED_HEADER in request.headers and given.isalnum():
        return given[:_REQUEST_ID_LENGTH_LIMIT]
    return identity.new_id()


async def _no_such_path(
    request: requests.Request, error: Exception
) -> responses.Response:
    assert isinstance(error, exceptions.HTTPException)
    refusal = results.invalid(f"{request.method} {request.url.path}: {error.detail}")
    return answers.refusal_response(refusal, status=error.status_code)


async def _internal_error(
    request: requests.Request, error: Exception
) -> responses.Response:
    _log.error("request failed", path=request.url.path, error=repr(error))
    refusal = results.Refusal(
        results.ResultCode.INTERNAL_ERROR,
        "the instance failed on this request",
        results.Execution.UNKNOWN,
    )
    return answers.refusal_response(refusal)
