"""The HTTP application that clients of routes talk to."""

import asyncio
import datetime
import typing
from collections import abc

import logbook

from pimentolatch import clock, results
from pimentolatch.decisions import access, repeat_budget
from pimentolatch.entry import gate, guard
from pimentolatch.gateway import (
    inbound,
    knowledge,
    permission,
    refusals,
    request_log,
)
from pimentolatch.platform import heads
from pimentolatch.requests import digests
from pimentolatch.routes import table

__all__ = ["Forwarder", "RouteFace"]

_log = logbook.Logger("requests")
_CLOSE = (b"connection", b"close")
# Time in which a body must have arrived, when the client states no deadline.
_BODY_LIMIT = datetime.timedelta(seconds=10)

Scope = typing.MutableMapping[str, typing.Any]
Message = typing.MutableMapping[str, typing.Any]
Receive = typing.Callable[[], abc.Awaitable[Message]]
Send = typing.Callable[[Message], abc.Awaitable[None]]


class Forwarder(typing.Protocol):
    """Answers requests of one kind of route."""

    async def run(self, asked: inbound.Inbound, answer: inbound.Answer) -> None:
        """Answer a request."""


class RouteFace:
    """Selects the route of each request and has it answered.

    Args:
        known: What this instance knows.
        forwarders: For plain requests and for those that carry a prompt.
        budget: Counts requests, which bound how many may be sent twice.
        allowed: Tells which requests may go to servers.
        door: Counts requests in flight for a graceful stop.
        log: Log of what became of requests.
        digest_key: Key of the digests of requests; the same in all instances.
    """

    def __init__(
        self,
        known: knowledge.Knowledge,
        forwarders: tuple[Forwarder, Forwarder],
        budget: repeat_budget.RepeatBudget,
        door: gate.Gate,
        allowed: permission.Permission,
        log: request_log.RequestLog,
        digest_key: bytes,
        time: clock.Clock,
    ) -> None:
        self._known = known
        self._digest_key = digest_key
        self._permission = allowed
        self._request_log = log
        self._plain, self._prompts = forwarders
        self._budget = budget
        self._door = door
        self._clock = time

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request (ASGI)."""
        with self._door.request():
            await self._serve(scope, receive, self._closing(send))

    def _closing(self, send: Send) -> Send:
        """Ask clients to leave their connection once this instance is stopping."""

        async def announcing(message: Message) -> None:
            if message["type"] == "http.response.start" and not self._door.ready:
                message["headers"] = [*message["headers"], _CLOSE]
            await send(message)

        return announcing

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        arrived = self._clock.monotonic()
        answer = inbound.Answer(scope, send)
        configuration = self._known.configuration
        if configuration is None or not self._known.complete:
            await answer.refuse(refusals.no_configuration())
            return
        asked = await self._read(scope, receive, configuration, arrived)
        if isinstance(asked, results.Refusal):
            self._request_log.write(
                request_log.ANSWERED,
                _request_id(scope),
                wrong=True,
                status=asked.http_status,
                outcome=asked.message,
                version=configuration.version,
            )
            await answer.refuse(asked)
            return
        if asked is None:
            return
        self._budget.count_request(asked.service.name, arrived)
        if (refusal := self._permission.refusal(asked)) is not None:
            await answer.refuse(refusal)
            self._log_answer(asked, answer)
            return
        await self._answer(asked, answer, receive)

    async def _read(
        self,
        scope: Scope,
        receive: Receive,
        configuration: table.Configuration,
        arrived: datetime.timedelta,
    ) -> inbound.Inbound | results.Refusal | None:
        """Read a request whole; None if its client left before its end."""
        target = scope["extensions"][guard.TARGET_EXTENSION]["bytes"]
        try:
            head = heads.read_client(scope["headers"])
        except ValueError as error:
            return results.invalid(f"header: {error}")
        path = target.partition(b"?")[0].decode("latin-1")
        route = configuration.select(head.host, path)
        if route is None:
            return refusals.no_route(head.host, path)
        allowed = access.authorize(
            configuration, route, head.keys, current=not self._known.store_lost
        )
        if isinstance(allowed, access.Denial):
            return _denied(allowed)
        service = configuration.services.get(route.service_of(head.request_id))
        if service is None:
            return refusals.no_server(route.name)
        until = arrived + route.timeout
        if head.time_left is not None:
            until = min(until, arrived + head.time_left)
        body = await self._body(receive, configuration.limits.body_bytes, until)
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
        return inbound.Inbound(
            method=method,
            target=target,
            fields=_passed_on(scope["headers"], configuration),
            body=body,
            head=head,
            route=route,
            service=service,
            arrived=arrived,
            until=until,
            digest=digest,
            access=allowed,
        )

    async def _body(
        self, receive: Receive, limit: int, until: datetime.timedelta
    ) -> bytes | results.Refusal | None:
        body = bytearray()
        left = min(_BODY_LIMIT, until - self._clock.monotonic())
        try:
            async with asyncio.timeout(max(0.0, left.total_seconds())):
                while True:
                    message = await receive()
                    if message["type"] == "http.disconnect":
                        return None
                    body += message["body"]
                    if len(body) > limit:
                        return refusals.body_too_large(limit)
                    if not message["more_body"]:
                        return bytes(body)
        except TimeoutError:
            return refusals.body_too_slow()

    async def _answer(
        self, asked: inbound.Inbound, answer: inbound.Answer, receive: Receive
    ) -> None:
        """Answer a request for as long as its client stays.

        A client that leaves ends the work at once: the connection to the server is
        closed, so that no server goes on working for nobody.
        """
        engines = asked.head.prompt is not None and asked.service.engine is not None
        forwarder = self._prompts if engines else self._plain
        work = asyncio.create_task(forwarder.run(asked, answer))
        leaving = asyncio.create_task(_until_gone(receive))
        try:
            await asyncio.wait({work, leaving}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                answer.outcome = "client left"
                work.cancel()
            await asyncio.wait({work})
            if not work.cancelled() and (error := work.exception()) is not None:
                _log.error("request failed", id=asked.request_id, reason=repr(error))
                await self._failed(answer)
        finally:
            leaving.cancel()
            work.cancel()
            self._log_answer(asked, answer)

    def _log_answer(self, asked: inbound.Inbound, answer: inbound.Answer) -> None:
        self._request_log.write(
            request_log.ANSWERED,
            asked.request_id,
            wrong=not 200 <= answer.status < 300 or answer.outcome != inbound.PASSED_ON,
            route=asked.route.name,
            service=asked.service.name,
            status=answer.status,
            outcome=answer.outcome,
            ms=self._request_log.elapsed_ms(asked.arrived),
            version=self._known.version,
            servers=self._known.servers_revision,
            digest=digests.digest_text(asked.digest),
        )

    async def _failed(self, answer: inbound.Answer) -> None:
        if answer.finished:
            return
        if answer.started:
            answer.break_off("internal error")
            return
        await answer.refuse(refusals.outcome_unknown("internal error"))


def _request_id(scope: Scope) -> str:
    try:
        return heads.read_client(scope["headers"]).request_id
    except ValueError:
        return ""


def _denied(denial: access.Denial) -> results.Refusal:
    if denial is access.Denial.OUT_OF_DATE:
        return refusals.key_not_heard_of()
    return refusals.unknown_key()


def _caller(head: heads.ClientHead, allowed: access.Access) -> str:
    """Return by what requests of the same caller are known.

    A customer stays the same whichever of its keys it uses.
    """
    if allowed.customer is not None:
        return allowed.customer.name
    return b"".join(head.keys).decode("latin-1")


def _passed_on(
    fields: inbound.Fields, configuration: table.Configuration
) -> inbound.Fields:
    """Return the client's fields that concern servers.

    Where customers have keys, no server ever needs one.
    """
    if configuration.customers is None:
        return fields
    return heads.without_keys(fields)


async def _until_gone(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
