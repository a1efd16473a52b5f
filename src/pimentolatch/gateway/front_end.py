"""HTTP front end for clients of routes, as an ASGI application."""

import asyncio
import contextlib
import dataclasses
import datetime
import typing
from collections import abc

import logbook

from pimentolatch import clock, results
from pimentolatch.decisions import access, half_closes, repeat_budget
from pimentolatch.entry import bounded_http, graceful_shutdown
from pimentolatch.gateway import (
    client_request,
    dispatch_check,
    fleet_state,
    forwarded_admission,
    refusals,
    request_log,
)
from pimentolatch.platform import http_headers
from pimentolatch.protocol import forwarding
from pimentolatch.requests import digests
from pimentolatch.routes import route_table

__all__ = ["Forwarder", "RouteFrontEnd"]

_log = logbook.Logger("requests")
_CLOSE = (b"connection", b"close")
# Longest time for a request body to arrive; a deadline may shorten it.
_BODY_TIMEOUT = datetime.timedelta(seconds=10)

Scope = typing.MutableMapping[str, typing.Any]
Message = typing.MutableMapping[str, typing.Any]
Receive = typing.Callable[[], abc.Awaitable[Message]]
Send = typing.Callable[[Message], abc.Awaitable[None]]


class Forwarder(typing.Protocol):
    """Forwards requests of one kind to backend servers."""

    async def run(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
    ) -> None:
        """Forward a request and write its response."""


class RouteFrontEnd:
    """Selects the route of each request and has it forwarded.

    Args:
        fleet: Configuration and servers that this instance knows.
        forwarders: For plain requests and for requests with a prompt.
        budget: Retry budget; each request counts towards it.
        check: Tells which requests may be dispatched.
        shutdown: Counts requests in flight for a graceful shutdown.
        log: Log of requests and their outcomes.
        digest_key: Key of the requests' digests; the same on all instances.
        time: Clock.
        wait_until_current: Waits after a pause of this process until what was missed is
            known.
        admission: Admits the requests, if these are forwarded by peers.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        forwarders: tuple[Forwarder, Forwarder],
        budget: repeat_budget.RepeatBudget,
        shutdown: graceful_shutdown.GracefulShutdown,
        check: dispatch_check.DispatchCheck,
        log: request_log.RequestLog,
        digest_key: bytes,
        time: clock.Clock,
        *,
        wait_until_current: abc.Callable[[], abc.Awaitable[None]],
        admission: forwarded_admission.ForwardedAdmission | None = None,
    ) -> None:
        self._admission = admission
        self._fleet = fleet
        self._digest_key = digest_key
        self._dispatch_check = check
        self._request_log = log
        self._plain, self._prompts = forwarders
        self._budget = budget
        self._shutdown = shutdown
        self._clock = time
        self._wait_until_current = wait_until_current

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request (ASGI)."""
        with self._shutdown.track_request():
            await self._serve(scope, receive, self._announcing_shutdown(scope, send))

    def _announcing_shutdown(self, scope: Scope, send: Send) -> Send:
        """Ask clients to close their connection once this instance is stopping.

        Pipelined requests that have arrived already are answered first.
        """

        async def announcing(message: Message) -> None:
            if (
                message["type"] == "http.response.start"
                and not self._shutdown.ready
                and not bounded_http.is_pipelined_behind(scope)
            ):
                message["headers"] = [*message["headers"], _CLOSE]
            await send(message)

        return announcing

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request, which gets a response whatever fails here."""
        response = client_request.ClientResponse(scope, send)
        try:
            request = await self._accept(scope, receive, response)
        except Exception as error:
            await self._refuse_failed(scope, response, error)
            return
        if request is None:
            return
        counted: contextlib.AbstractContextManager[None] = contextlib.nullcontext()
        if self._admission is not None:
            counted = self._admission.counted()
        with counted:
            await self._forward(request, response, scope, receive)

    async def _refuse_failed(
        self,
        scope: Scope,
        response: client_request.ClientResponse,
        error: Exception,
    ) -> None:
        """Refuse a request that failed before it was forwarded."""
        request_id = http_headers.request_id(scope["headers"])
        _log.error("request failed", id=request_id, reason=repr(error))
        if not response.started:
            await response.refuse(refusals.failed_before_dispatch())
        self._request_log.write(
            request_log.ANSWERED,
            request_id,
            wrong=True,
            status=response.status,
            outcome=response.outcome,
            version=self._fleet.version,
        )

    async def _accept(
        self,
        scope: Scope,
        receive: Receive,
        response: client_request.ClientResponse,
    ) -> client_request.ClientRequest | None:
        """Return a request that is to be forwarded; None if it has been refused."""
        arrived_at = self._clock.monotonic()
        await self._wait_until_current()
        configuration = self._fleet.configuration
        if configuration is None or not self._fleet.complete:
            await response.refuse(refusals.no_configuration())
            return None
        request = await self._read_request(scope, receive, configuration, arrived_at)
        if isinstance(request, results.Refusal):
            self._request_log.write(
                request_log.ANSWERED,
                http_headers.request_id(scope["headers"]),
                wrong=True,
                status=request.http_status,
                outcome=request.message,
                version=configuration.version,
            )
            await response.refuse(request)
            return None
        if request is None:
            return None
        if self._admission is None:
            # The peer has counted a forwarded request.
            self._budget.count_request(request.service.name, arrived_at)
        if (refusal := self._refusal(request)) is not None:
            await response.refuse(refusal)
            self._log_response(request, response)
            return None
        return request

    def _refusal(self, request: client_request.ClientRequest) -> results.Refusal | None:
        """Return why a request is not served; None if it is."""
        if self._admission is not None:
            refusal = self._admission.refusal(request)
            if refusal is not None:
                return refusal
        return self._dispatch_check.refusal(request)

    async def _read_request(
        self,
        scope: Scope,
        receive: Receive,
        configuration: route_table.Configuration,
        arrived_at: datetime.timedelta,
    ) -> client_request.ClientRequest | results.Refusal | None:
        """Read a complete request; None if its client disconnected before its end."""
        target = scope["extensions"][bounded_http.TARGET_EXTENSION]["bytes"]
        fields: client_request.Fields = scope["headers"]
        forwarded = None
        try:
            if self._admission is not None:
                forwarded = forwarding.decode(fields)
                fields = forwarding.without_options(fields)
            head = http_headers.parse_client_headers(fields)
        except ValueError as error:
            return results.invalid(f"header: {error}")
        if forwarded is not None and forwarded.configuration > configuration.version:
            return refusals.no_configuration()
        path = target.partition(b"?")[0].decode("latin-1")
        route = configuration.select(head.host, path)
        if route is None and self._fleet.configuration_behind:
            return refusals.configuration_behind()
        if route is None:
            return refusals.no_route(head.host, path)
        allowed = access.authorize(
            configuration,
            route,
            head.api_keys,
            current=self._fleet.follows_configuration(self._clock.monotonic()),
        )
        if isinstance(allowed, access.Denial):
            return _refusal_for(allowed)
        # A resumed stream stays with the service that began it.
        service_name = route.service_of(head.origin_id or head.request_id)
        service = configuration.services.get(service_name)
        if service is None:
            return refusals.no_server(route.name)
        time_limit = client_request.TimeLimit.shorter_of(
            route.timeout, head.time_left, configuration.version
        )
        if (ends_at := self._shutdown.ends_at) is not None:
            time_limit = time_limit.ended_within(ends_at - arrived_at)
        body = await self._read_body(
            receive,
            configuration.limits.body_bytes,
            arrived_at + time_limit.answer_within,
        )
        if not isinstance(body, bytes):
            return body
        method = scope["method"]
        digest = digests.request_digest(
            self._digest_key,
            caller=_caller(head, allowed),
            method=method,
            host=head.host,
            target=target,
            body=body,
        )
        return client_request.ClientRequest(
            method=method,
            target=target,
            fields=_fields_to_forward(fields, configuration),
            body=body,
            head=head,
            route=_route_for(route, forwarded),
            service=service,
            arrived_at=arrived_at,
            time_limit=time_limit,
            digest=digest,
            access=allowed,
            part_digests=self._part_digests(head),
            forwarded=forwarded,
        )

    def _part_digests(
        self, head: http_headers.ClientHeaders
    ) -> tuple[digests.RequestDigest, ...]:
        if head.prompt is None:
            return ()
        return tuple(
            digests.part_digest(self._digest_key, name)
            for name in head.prompt.shared_names
        )

    async def _read_body(
        self, receive: Receive, limit: int, deadline: datetime.timedelta
    ) -> bytes | results.Refusal | None:
        # Joined once at the end: a buffer that grows holds more than the body.
        parts: list[bytes] = []
        size = 0
        left = min(_BODY_TIMEOUT, deadline - self._clock.monotonic())
        try:
            async with asyncio.timeout(max(0.0, left.total_seconds())):
                while True:
                    message = await receive()
                    if message["type"] == "http.disconnect":
                        return None
                    parts.append(message["body"])
                    size += len(parts[-1])
                    if size > limit:
                        return refusals.body_too_large(limit)
                    if not message["more_body"]:
                        return b"".join(parts)
        except TimeoutError:
            return refusals.body_too_slow()

    async def _forward(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        scope: Scope,
        receive: Receive,
    ) -> None:
        """Forward a request until its response is finished or its client disconnects.

        When the client disconnects, the connection to the server is closed at once, so
        that no server continues a response that no client will receive. When it closes
        its sending side, `half_closes` decides.
        """
        engines = request.head.prompt is not None and request.service.engine is not None
        forwarder = self._prompts if engines else self._plain
        work = asyncio.create_task(
            _run(forwarder, request, response, scope, generation=engines)
        )
        disconnect = asyncio.create_task(_wait_for_disconnect(scope, receive))
        try:
            with self._shutdown.ended_by(disconnect.cancel):
                await asyncio.wait(
                    {work, disconnect}, return_when=asyncio.FIRST_COMPLETED
                )
            is_ended_here = not work.done()
            if is_ended_here:
                half_close = scope["extensions"].get(bounded_http.HALF_CLOSE_EXTENSION)
                if self._shutdown.aborting:
                    response.cut_off()
                    work.cancel()
                elif self._shutdown.ending:
                    await self._end_at_stop(response, work, generation=engines)
                elif half_close is None:
                    response.outcome = client_request.CLIENT_LEFT
                    work.cancel()
                else:
                    await self._end_half_closed(
                        request, response, work, half_close, generation=engines
                    )
            await asyncio.wait({work})
            reason = _failure(work, may_be_cancelled=is_ended_here)
            if reason is not None:
                _log.error("request failed", id=request.request_id, reason=reason)
                await self._finish_failed(response)
        except asyncio.CancelledError:
            response.cut_off()
            raise
        finally:
            disconnect.cancel()
            work.cancel()
            self._log_response(request, response)

    async def _end_at_stop(
        self,
        response: client_request.ClientResponse,
        work: asyncio.Task[None],
        *,
        generation: bool,
    ) -> None:
        """End the work on a request for which this instance has no time left."""
        work.cancel()
        await asyncio.wait({work})
        if not work.cancelled():
            return
        if response.started:
            response.abort(client_request.CUT_OFF)
        else:
            dispatched = generation or response.dispatched
            await response.refuse(refusals.stopped(dispatched=dispatched))

    async def _end_half_closed(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        work: asyncio.Task[None],
        half_close: bounded_http.HalfClose,
        *,
        generation: bool,
    ) -> None:
        """End the work on a request whose client closed its sending side.

        Whoever is left on the other side gets the response, or a refusal.
        """
        left = _time_left(half_close, generation=generation)
        await asyncio.wait({work}, timeout=left.total_seconds())
        if work.done():
            return
        ending = half_closes.ending(
            closed_after=half_close.after,
            dispatched=response.dispatched,
            repeatable=request.route.repeatable,
        )
        if ending is half_closes.Ending.FINISH:
            response.is_last_dispatch = True
            return
        work.cancel()
        await asyncio.wait({work})
        if response.started:
            response.abort(client_request.CLIENT_CLOSED)
        elif work.cancelled():
            dispatched = generation or response.dispatched
            await _refuse_closed(response, dispatched=dispatched)

    def _log_response(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
    ) -> None:
        self._request_log.write(
            request_log.ANSWERED,
            request.request_id,
            wrong=not 200 <= response.status < 300
            or response.outcome != client_request.PASSED_ON,
            route=request.route.name,
            service=request.service.name,
            status=response.status,
            outcome=response.outcome,
            ms=self._request_log.elapsed_ms(request.arrived_at),
            version=self._fleet.version,
            servers=self._fleet.servers_revision,
            digest=digests.digest_text(request.digest),
            cut=response.aborted,
            **(_limit_fields(request, response) if response.aborted else {}),
        )

    async def _finish_failed(self, response: client_request.ClientResponse) -> None:
        if response.finished:
            return
        if response.started:
            response.abort("internal error")
            return
        await response.refuse(refusals.outcome_unknown("internal error"))


async def _run(
    forwarder: Forwarder,
    request: client_request.ClientRequest,
    response: client_request.ClientResponse,
    scope: Scope,
    *,
    generation: bool,
) -> None:
    """Forward a request, unless its client had given up when it was read."""
    half_close = scope["extensions"].get(bounded_http.HALF_CLOSE_EXTENSION)
    if half_close is not None and not _time_left(half_close, generation=generation):
        await _refuse_closed(response, dispatched=False)
        return
    await forwarder.run(request, response)


def _failure(work: asyncio.Task[None], *, may_be_cancelled: bool) -> str | None:
    """Return why the work on a request failed; None if it did not.

    Args:
        work: The finished work.
        may_be_cancelled: Whether it was cancelled on purpose. Otherwise it has awaited
            something that was.
    """
    if work.cancelled():
        return None if may_be_cancelled else "what it waited for was cancelled"
    error = work.exception()
    return None if error is None else repr(error)


def _time_left(
    half_close: bounded_http.HalfClose, *, generation: bool
) -> datetime.timedelta:
    closed_for = asyncio.get_running_loop().time() - half_close.at
    return half_closes.time_left(
        closed_after=half_close.after,
        closed_for=datetime.timedelta(seconds=closed_for),
        generation=generation,
    )


async def _refuse_closed(
    response: client_request.ClientResponse, *, dispatched: bool
) -> None:
    await response.refuse(refusals.client_closed(dispatched=dispatched))
    response.outcome = client_request.CLIENT_CLOSED


def _route_for(
    route: route_table.Route, forwarded: forwarding.ForwardOptions | None
) -> route_table.Route:
    """Return the route with the runs that the peer has left to a forwarded request."""
    if forwarded is None:
        return route
    left = min(route.max_attempts, forwarded.max_runs)
    return dataclasses.replace(route, max_attempts=left)


def _limit_fields(
    request: client_request.ClientRequest, response: client_request.ClientResponse
) -> dict[str, typing.Any]:
    """Return what tells in the log how far a cut response was from its limit."""
    limit, prompt = request.time_limit, request.head.prompt
    return {
        "limit_ms": round(limit.duration / datetime.timedelta(milliseconds=1)),
        "limit_source": limit.source.value,
        "limit_version": limit.version,
        "events": response.events,
        "expected_tokens": None if prompt is None else prompt.expected_output,
    }


def _refusal_for(denial: access.Denial) -> results.Refusal:
    if denial is access.Denial.OUT_OF_DATE:
        return refusals.key_possibly_new()
    return refusals.unknown_key()


def _caller(head: http_headers.ClientHeaders, allowed: access.Access) -> str:
    """Return the identity of a caller, for the request's digest.

    A customer has the same identity whichever of its keys it uses.
    """
    if allowed.customer is not None:
        return allowed.customer.name
    return b"".join(head.api_keys).decode("latin-1")


def _fields_to_forward(
    fields: client_request.Fields, configuration: route_table.Configuration
) -> client_request.Fields:
    """Return the client's header fields that are forwarded to servers.

    Keys are removed if the configuration has customers: no server needs them then.
    """
    if configuration.customers is None:
        return fields
    return http_headers.without_api_keys(fields)


async def _wait_for_disconnect(scope: Scope, receive: Receive) -> None:
    """Wait until the client ends the connection, or its sending side."""
    while bounded_http.HALF_CLOSE_EXTENSION not in scope["extensions"]:
        if (await receive())["type"] == "http.disconnect":
            return
