"""HTTP responses to callers: refusals, full completions and event streams."""

import asyncio
import contextlib
import datetime
import json
import typing
from collections import abc

import logbook
from starlette import responses

from pimentolatch import clock, metrics, results, reusable_timeout
from pimentolatch.backend import instance_client
from pimentolatch.entry import bounded_http
from pimentolatch.requests import completion_stream

__all__ = ["CompletionResponse", "refusal_response"]

_log = logbook.Logger("answers")
# After these refusals the rest of the request body may still be arriving, so the
# connection is closed; see `bounded_http`.
_CLOSING_CODES = (
    results.ResultCode.BODY_TOO_LARGE,
    results.ResultCode.BODY_TOO_SLOW,
)
# A caller that stops reading holds an engine's stream open while other requests wait
# for a place in the batch. A caller on a slow link still reads some bytes in this time.
_SEND_TIMEOUT_SECONDS = 10.0
_STREAM_HEADERS = [
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-store"),
]

Scope = typing.MutableMapping[str, typing.Any]
Receive = typing.Callable[[], abc.Awaitable[typing.MutableMapping[str, typing.Any]]]
Send = typing.Callable[[typing.MutableMapping[str, typing.Any]], abc.Awaitable[None]]


def refusal_response(
    refusal: results.Refusal, request_id: str | None = None, status: int | None = None
) -> responses.Response:
    """Return a refusal as an HTTP response.

    Args:
        refusal: The refusal.
        request_id: Sent in the request id header, if given.
        status: HTTP status to send in place of the refusal's own.
    """
    headers = {results.RESULT_HEADER: str(int(refusal.code))}
    if refusal.retry_after is not None:
        seconds = max(1, round(refusal.retry_after.total_seconds()))
        headers["retry-after"] = str(seconds)
    if request_id is not None:
        headers[instance_client.REQUEST_ID_HEADER] = request_id
    if refusal.code in _CLOSING_CODES:
        headers["connection"] = "close"
    return responses.JSONResponse(
        refusal.to_json(), status or refusal.http_status, headers
    )


class CompletionResponse:
    """ASGI response to one completion, streamed or in one body.

    When the caller disconnects, the completion is cancelled at once: closing its
    events closes the engine's stream, so that no engine decodes for a caller that has
    left.

    Args:
        request: The completion request.
        events: Events of the completion.
        streamed: Whether to send events as they arrive, as server-sent events.
        release: Closed when the response ends.
        time: Clock for the latency metrics.
        started: Time at which the request arrived, on the monotonic clock.
        measured: Metrics of this instance.
    """

    def __init__(
        self,
        request: completion_stream.Completion,
        events: abc.AsyncGenerator[completion_stream.CompletionEvent, None],
        *,
        streamed: bool,
        release: contextlib.ExitStack,
        time: clock.Clock,
        started: datetime.timedelta,
        measured: metrics.Metrics,
    ) -> None:
        self._request = request
        self._events = events
        self._streamed = streamed
        self._release = release
        self._clock = time
        self._started = started
        self._metrics = measured

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the response, as an ASGI application."""
        with self._release:
            work = asyncio.ensure_future(self._respond(scope, receive, send))
            disconnected = asyncio.ensure_future(_wait_for_disconnect(receive))
            try:
                await asyncio.wait((work, disconnected), return_when="FIRST_COMPLETED")
            finally:
                disconnected.cancel()
                if not work.done():
                    work.cancel()
                    await asyncio.wait((work,))
            if not work.cancelled():
                work.result()

    async def _respond(self, scope: Scope, receive: Receive, send: Send) -> None:
        async with contextlib.aclosing(self._events):
            first = await anext(self._events)
            if not isinstance(first, results.Refusal):
                self._metrics.first_token.observe(self._seconds_since(self._started))
                if self._streamed:
                    await self._send_stream(first, scope, send)
                    return
            response = await self._full_response(first)
            await response(scope, receive, send)

    async def _full_response(
        self, event: completion_stream.CompletionEvent
    ) -> responses.Response:
        text: list[str] = []
        while isinstance(event, completion_stream.Delta):
            text.append(event.text)
            event = await anext(self._events)
        request_id = self._request.request_id
        if isinstance(event, results.Refusal):
            self._count(event.code)
            return refusal_response(event, request_id)
        self._count_completed(event)
        return responses.JSONResponse(
            self._body("".join(text), event),
            headers={instance_client.REQUEST_ID_HEADER: request_id},
        )

    async def _send_stream(
        self, event: completion_stream.CompletionEvent, scope: Scope, send: Send
    ) -> None:
        request_id = self._request.request_id
        headers = [
            *_STREAM_HEADERS,
            (instance_client.REQUEST_ID_HEADER.encode(), request_id.encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        timeouts = reusable_timeout.ReusableTimeout()
        prefix = f'data: {{"id": "{request_id}", "choices": [{{"index": 0, "text": '
        try:
            while isinstance(event, completion_stream.Delta):
                text = (
                    f'{prefix}{json.dumps(event.text)}, "finish_reason": null}}]}}\n\n'
                )
                await timeouts.wait_for(_SEND_TIMEOUT_SECONDS, _send_body(send, text))
                waiting_since = self._clock.monotonic()
                event = await anext(self._events)
                self._metrics.token_gap.observe(self._seconds_since(waiting_since))
            ending = _send_body(send, self._final_events(event), last=True)
            await timeouts.wait_for(_SEND_TIMEOUT_SECONDS, ending)
        except TimeoutError:
            _log.warn("caller stopped reading; response aborted", request=request_id)
            scope["extensions"][bounded_http.ABORT_EXTENSION]["call"]()
            # Two turns of the event loop let the server see the lost connection before
            # this response ends.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        finally:
            timeouts.close()

    def _final_events(self, event: completion_stream.Ended | results.Refusal) -> str:
        if isinstance(event, results.Refusal):
            self._count(event.code)
            return f"data: {json.dumps(event.to_json())}\n\n"
        self._count_completed(event)
        body = json.dumps(self._body("", event))
        return f"data: {body}\n\ndata: [DONE]\n\n"

    def _body(self, text: str, ended: completion_stream.Ended) -> dict[str, typing.Any]:
        choice = {"index": 0, "text": text, "finish_reason": "stop"}
        return {
            "id": self._request.request_id,
            "object": "text_completion",
            "model": self._request.model,
            "choices": [choice],
            "usage": {"completion_tokens": ended.length},
        }

    def _count_completed(self, event: completion_stream.Ended) -> None:
        self._count(results.ResultCode.OK)
        self._metrics.resumed.inc(event.resumptions)

    def _count(self, code: results.ResultCode) -> None:
        self._metrics.requests.labels("completion", code.name.lower()).inc()

    def _seconds_since(self, start: datetime.timedelta) -> float:
        return (self._clock.monotonic() - start).total_seconds()


async def _send_body(send: Send, text: str, *, last: bool = False) -> None:
    await send(
        {"type": "http.response.body", "body": text.encode(), "more_body": not last}
    )


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
