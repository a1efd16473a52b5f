"""Writes answers to callers: refusals, whole completions and event streams."""

import asyncio
import contextlib
import datetime
import json
import typing
from collections import abc

import logbook
from starlette import responses

from pimentolatch import clock, metrics, results, reusable_timeout
from pimentolatch.backend import instance
from pimentolatch.entry import guard
from pimentolatch.requests import stream

__all__ = ["CompletionAnswer", "refusal_response"]

_log = logbook.Logger("answers")
# After these the rest of the body may still be on its way; see `servers`.
_CLOSING_CODES = (
    results.ResultCode.BODY_TOO_LARGE,
    results.ResultCode.BODY_TOO_SLOW,
)
# A caller that reads nothing keeps an engine's stream open while others wait for a
# place in the batch. A caller on a poor link still reads something in this time.
_STALL_SECONDS = 10.0
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
    """Return a refusal as an HTTP answer."""
    headers = {results.RESULT_HEADER: str(int(refusal.code))}
    if refusal.retry_after is not None:
        seconds = max(1, round(refusal.retry_after.total_seconds()))
        headers["retry-after"] = str(seconds)
    if request_id is not None:
        headers[instance.REQUEST_ID_HEADER] = request_id
    if refusal.code in _CLOSING_CODES:
        headers["connection"] = "close"
    return responses.JSONResponse(
        refusal.to_json(), status or refusal.http_status, headers
    )


class CompletionAnswer:
    """Answers one completion, streamed or whole, for as long as its caller stays.

    A caller that disconnects ends the work at once: closing the events closes the
    engine's stream, so that no engine goes on writing for nobody.

    Args:
        asked: The completion.
        events: Its events.
        streamed: Whether to send them as they come.
        release: Closed when the answer is over.
        time: Clock of the metrics.
        started: When the request arrived.
        measured: Metrics of this instance.
    """

    def __init__(
        self,
        asked: stream.Completion,
        events: abc.AsyncGenerator[stream.CompletionEvent, None],
        *,
        streamed: bool,
        release: contextlib.ExitStack,
        time: clock.Clock,
        started: datetime.timedelta,
        measured: metrics.Metrics,
    ) -> None:
        self._asked = asked
        self._events = events
        self._streamed = streamed
        self._release = release
        self._clock = time
        self._started = started
        self._metrics = measured

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the answer as an ASGI application."""
        with self._release:
            work = asyncio.ensure_future(self._answer(scope, receive, send))
            gone = asyncio.ensure_future(_disconnected(receive))
            try:
                await asyncio.wait((work, gone), return_when="FIRST_COMPLETED")
            finally:
                gone.cancel()
                if not work.done():
                    work.cancel()
                    await asyncio.wait((work,))
            if not work.cancelled():
                work.result()

    async def _answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        async with contextlib.aclosing(self._events):
            first = await anext(self._events)
            if not isinstance(first, results.Refusal):
                self._metrics.first_token.observe(self._seconds_since(self._started))
                if self._streamed:
                    await self._stream(first, scope, send)
                    return
            response = await self._whole(first)
            await response(scope, receive, send)

    async def _whole(self, event: stream.CompletionEvent) -> responses.Response:
        text: list[str] = []
        while isinstance(event, stream.Delta):
            text.append(event.text)
            event = await anext(self._events)
        request_id = self._asked.request_id
        if isinstance(event, results.Refusal):
            self._count(event.code)
            return refusal_response(event, request_id)
        self._ended(event)
        return responses.JSONResponse(
            self._body("".join(text), event),
            headers={instance.REQUEST_ID_HEADER: request_id},
        )

    async def _stream(
        self, event: stream.CompletionEvent, scope: Scope, send: Send
    ) -> None:
        request_id = self._asked.request_id
        headers = [
            *_STREAM_HEADERS,
            (instance.REQUEST_ID_HEADER.encode(), request_id.encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        limits = reusable_timeout.ReusableTimeout()
        before = f'data: {{"id": "{request_id}", "choices": [{{"index": 0, "text": '
        try:
            while isinstance(event, stream.Delta):
                text = (
                    f'{before}{json.dumps(event.text)}, "finish_reason": null}}]}}\n\n'
                )
                await limits.wait_for(_STALL_SECONDS, _send_body(send, text))
                waiting_since = self._clock.monotonic()
                event = await anext(self._events)
                self._metrics.token_gap.observe(self._seconds_since(waiting_since))
            ending = _send_body(send, self._last_events(event), last=True)
            await limits.wait_for(_STALL_SECONDS, ending)
        except TimeoutError:
            _log.warn("caller reads nothing; answer given up", request=request_id)
            scope["extensions"][guard.ABORT_EXTENSION]["call"]()
            # Lets the server see the connection's end before this answer's.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        finally:
            limits.close()

    def _last_events(self, event: stream.Ended | results.Refusal) -> str:
        if isinstance(event, results.Refusal):
            self._count(event.code)
            return f"data: {json.dumps(event.to_json())}\n\n"
        self._ended(event)
        body = json.dumps(self._body("", event))
        return f"data: {body}\n\ndata: [DONE]\n\n"

    def _body(self, text: str, ended: stream.Ended) -> dict[str, typing.Any]:
        choice = {"index": 0, "text": text, "finish_reason": "stop"}
        return {
            "id": self._asked.request_id,
            "object": "text_completion",
            "model": self._asked.model,
            "choices": [choice],
            "usage": {"completion_tokens": ended.length},
        }

    def _ended(self, event: stream.Ended) -> None:
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


async def _disconnected(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
