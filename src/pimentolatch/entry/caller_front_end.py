"""HTTP front end for callers: completions, service calls, tickets and models."""

import contextlib
import dataclasses
import datetime
import hashlib
import typing
from collections import abc

import logbook
from starlette import applications, exceptions, requests, responses, routing

from pimentolatch import clock, document_index, fleet, metrics, results, settings
from pimentolatch.backend import instance_client, outcomes
from pimentolatch.entry import (
    bounded_http,
    graceful_shutdown,
    http_responses,
    request_parsing,
)
from pimentolatch.requests import completion, completion_stream, identity, service_call

__all__ = ["CallerFrontEnd", "TicketIssuer"]

_log = logbook.Logger("callers")
_ANONYMOUS = "anonymous"
_DEFAULT_DEADLINE_SECONDS = 30.0
_REQUEST_ID_LENGTH_LIMIT = 64
_CLOSE_HEADER = (b"connection", b"close")


class TicketIssuer(typing.Protocol):
    """Issues tickets: idempotency keys of calls that may run at most once."""

    @property
    def ticket_lifetime(self) -> datetime.timedelta:
        """Time for which a ticket and its result stay valid."""

    async def issue(self, caller: str, count: int) -> list[str] | results.Refusal:
        """Issue tickets to a caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class _RequestData:
    """The caller, deadline and body of a request of any kind."""

    caller: str
    deadline: datetime.timedelta
    body: bytes


class CallerFrontEnd:
    """Handlers of callers' requests.

    Args:
        chosen: Settings of this instance.
        own_fleet: Holds the configuration in force.
        completions: Runs completions.
        calls: Runs calls of plain services.
        issuer: Issues tickets.
        shutdown: Tracks requests in flight for a graceful shutdown.
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
        shutdown: graceful_shutdown.GracefulShutdown,
        time: clock.Clock,
        measured: metrics.Metrics,
    ) -> None:
        self._fleet = own_fleet
        self._completions = completions
        self._calls = calls
        self._issuer = issuer
        self._shutdown = shutdown
        self._clock = time
        self._metrics = measured
        self._indexes = document_index.IndexCache()
        self._limits = request_parsing.BodyLimits(
            chosen.max_body_bytes, datetime.timedelta(seconds=chosen.body_timeout_s)
        )

    def application(self) -> typing.Any:
        """Return the ASGI application."""
        router = applications.Starlette(
            routes=[
                routing.Route("/v1/completions", self.complete, methods=["POST"]),
                routing.Route("/v1/models", self.models),
                routing.Route("/v1/tickets", self.tickets, methods=["POST"]),
                routing.Route(
                    "/v1/services/{service}/{operation}", self.call, methods=["POST"]
                ),
            ],
            exception_handlers={
                exceptions.HTTPException: _http_error,
                Exception: _internal_error,
            },
        )
        return self._close_connections_on_stop(router)

    async def models(self, request: requests.Request) -> responses.Response:
        """List the models of the configuration."""
        document = self._fleet.view.document
        names = [] if document is None else [model.name for model in document.models]
        rows = [{"id": name, "object": "model"} for name in names]
        return responses.JSONResponse({"object": "list", "data": rows})

    async def tickets(self, request: requests.Request) -> responses.Response:
        """Issue tickets, which calls can carry as idempotency keys."""
        with self._shutdown.track_request():
            data = await self._read_request(request)
            if isinstance(data, results.Refusal):
                return self._refusal_response("tickets", data)
            body = request_parsing.parse_json(
                request_parsing.TicketsBody, data.body or b"{}"
            )
            if isinstance(body, results.Refusal):
                return self._refusal_response("tickets", body)
            issued = await self._issuer.issue(data.caller, body.count)
        if isinstance(issued, results.Refusal):
            return self._refusal_response("tickets", issued)
        self._count("tickets", results.ResultCode.OK)
        seconds = self._issuer.ticket_lifetime.total_seconds()
        return responses.JSONResponse(
            {"tickets": issued, "expires_in_seconds": seconds}
        )

    async def complete(self, request: requests.Request) -> typing.Any:
        """Run a completion; the response is streamed if the request asks for it."""
        started = self._clock.monotonic()
        with contextlib.ExitStack() as request_scope:
            request_scope.enter_context(self._shutdown.track_request())
            data = await self._read_request(request)
            if isinstance(data, results.Refusal):
                return self._refusal_response("completion", data)
            body = request_parsing.parse_json(request_parsing.CompletionBody, data.body)
            if isinstance(body, results.Refusal):
                return self._refusal_response("completion", body)
            completion_request = completion_stream.Completion(
                identity.new_id(),
                data.caller,
                body.model,
                body.prompt,
                body.max_tokens,
                data.deadline,
                request_parsing.parse_priority(request.headers),
            )
            return http_responses.CompletionResponse(
                completion_request,
                self._completions.run(completion_request),
                streamed=body.stream,
                release=request_scope.pop_all(),
                time=self._clock,
                started=started,
                measured=self._metrics,
            )

    async def call(self, request: requests.Request) -> responses.Response:
        """Run a call of a plain service."""
        request_id = _request_id(request)
        with self._shutdown.track_request():
            outcome = await self._call_outcome(request, request_id)
        if isinstance(outcome, results.Refusal):
            return self._refusal_response("service", outcome, request_id)
        self._count("service", results.ResultCode.OK)
        return responses.Response(
            outcome.body,
            outcome.status,
            {instance_client.REQUEST_ID_HEADER: request_id},
            outcome.content_type,
        )

    async def _call_outcome(
        self, request: requests.Request, request_id: str
    ) -> outcomes.Response | results.Refusal:
        key = request_parsing.parse_idempotency_key(request.headers)
        if isinstance(key, results.Refusal):
            return key
        forwarded = instance_client.FORWARDED_HEADER in request.headers
        data = await self._read_request(request, forwarded=forwarded)
        if isinstance(data, results.Refusal):
            return data
        call = service_call.ServiceCall(
            request_id,
            data.caller,
            request.path_params["service"],
            request.path_params["operation"],
            data.body,
            request.headers.get("content-type", "application/json"),
            data.deadline,
            key,
            request.headers.get("authorization"),
            forwarded,
        )
        return await self._calls.run(call)

    async def _read_request(
        self, request: requests.Request, *, forwarded: bool = False
    ) -> _RequestData | results.Refusal:
        if refusal := self._shutdown.refusal(forwarded=forwarded):
            return refusal
        caller = self._caller(request)
        if isinstance(caller, results.Refusal):
            return caller
        deadline = self._deadline(request)
        if isinstance(deadline, results.Refusal):
            return deadline
        body = await request_parsing.read_body(request, self._limits)
        if isinstance(body, results.Refusal):
            return body
        return _RequestData(caller, deadline, body)

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
            "caller key missing or unknown; send the key of a configured caller as a "
            "bearer token",
            results.Execution.NOT_RUN,
        )

    def _deadline(
        self, request: requests.Request
    ) -> datetime.timedelta | results.Refusal:
        document = self._fleet.view.document
        seconds = _DEFAULT_DEADLINE_SECONDS
        if document is not None:
            seconds = document.admission.default_deadline_s
        return request_parsing.parse_deadline(
            request.headers,
            self._clock.monotonic(),
            datetime.timedelta(seconds=seconds),
        )

    def _refusal_response(
        self, kind: str, refusal: results.Refusal, request_id: str | None = None
    ) -> responses.Response:
        self._count(kind, refusal.code)
        return http_responses.refusal_response(refusal, request_id)

    def _count(self, kind: str, code: results.ResultCode) -> None:
        self._metrics.requests.labels(kind, code.name.lower()).inc()

    def _close_connections_on_stop(self, application: typing.Any) -> typing.Any:
        """Add `connection: close` to every response once a stop is announced.

        A caller with a keep-alive connection would otherwise send its next request to
        an instance that has stopped, and see it cut. It now reconnects through the
        load balancer, which picks an instance that is ready. Pipelined requests that
        have arrived already are answered first.
        """

        async def wrapped(
            scope: http_responses.Scope,
            receive: http_responses.Receive,
            send: http_responses.Send,
        ) -> None:
            def send_closing(
                message: typing.MutableMapping[str, typing.Any],
            ) -> abc.Awaitable[None]:
                if (
                    message["type"] == "http.response.start"
                    and not self._shutdown.ready
                    and not bounded_http.is_pipelined_behind(scope)
                ):
                    message["headers"] = [*message["headers"], _CLOSE_HEADER]
                return send(message)

            await application(scope, receive, send_closing)

        return wrapped


def _request_id(request: requests.Request) -> str:
    """Return the request id: that of a forwarded request is kept, to correlate logs."""
    given = request.headers.get(instance_client.REQUEST_ID_HEADER, "")
    if instance_client.FORWARDED_HEADER in request.headers and given.isalnum():
        return given[:_REQUEST_ID_LENGTH_LIMIT]
    return identity.new_id()


async def _http_error(
    request: requests.Request, error: Exception
) -> responses.Response:
    assert isinstance(error, exceptions.HTTPException)
    refusal = results.invalid(f"{request.method} {request.url.path}: {error.detail}")
    return http_responses.refusal_response(refusal, status=error.status_code)


async def _internal_error(
    request: requests.Request, error: Exception
) -> responses.Response:
    _log.error("request failed", path=request.url.path, error=repr(error))
    refusal = results.Refusal(
        results.ResultCode.INTERNAL_ERROR,
        "internal error; whether the request ran is unknown",
        results.Execution.UNKNOWN,
    )
    return http_responses.refusal_response(refusal)
