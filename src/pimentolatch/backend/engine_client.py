"""Client of model engines."""

import asyncio
import contextlib
import dataclasses
import datetime
import json
import typing
from collections import abc

import aiosonic
import logbook

from pimentolatch import settings
from pimentolatch.backend import connections, outcomes

__all__ = ["Dispatch", "EngineClient", "checked_events"]

_log = logbook.Logger("engine")
_UNAVAILABLE = 503
_EVENT_PREFIX = b"data: "
_EVENT_END = b"\n\n"
_DRAIN_SECONDS = 0.05
_CHUNKS_AT_ONCE = 64
_HEADERS = {"content-type": "application/json"}


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """One attempt to run a request on one engine.

    Attributes:
        dispatch_id: Unique per dispatch, so that late responses are recognized.
        offset: Number of the first token to send; above zero to resume a stream.
        priority: Higher values are served first.
        kv_handle: Handle of a transferred KV cache, or None.
    """

    dispatch_id: str
    model: str
    prompt: str
    max_tokens: int
    offset: int = 0
    priority: int = 0
    kv_handle: str | None = None

    def to_json(self) -> dict[str, typing.Any]:
        """Return the JSON body of the request."""
        return {
            "dispatch": self.dispatch_id,
            "model": self.model,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "offset": self.offset,
            "priority": self.priority,
            "kv": self.kv_handle,
        }


class EngineClient:
    """Sends requests to engines and receives their streams.

    Args:
        sender: Name of this instance, for the engines' logs.
        connect: Time limit for opening a connection.
        response_timeout: Time limit for the first line of a response; the reader of a
            stream limits the pauses in it.
    """

    def __init__(
        self,
        sender: str,
        *,
        connect: datetime.timedelta = datetime.timedelta(seconds=1),
        response_timeout: datetime.timedelta = datetime.timedelta(seconds=600),
    ) -> None:
        self._headers = _HEADERS | {"x-instance": sender}
        self._client = connections.client()
        self._timeouts = connections.timeouts(
            connect=connect, response_timeout=response_timeout
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.connector.cleanup()

    async def generate(
        self, address: settings.Address, dispatch: Dispatch
    ) -> abc.AsyncGenerator[outcomes.EngineEvent, None]:
        """Yield the events of a stream; the last one is never a chunk.

        Events name their dispatch and token number, and all others are dropped. So a
        caller gets the response to its own request or an error, never a mixture.
        """
        data = json.dumps(dispatch.to_json()).encode()
        try:
            response = await self._client.post(
                address.url + "/v1/generate",
                data=data,
                headers=self._headers,
                timeouts=self._timeouts,
            )
        except connections.CONNECT_FAILURES as error:
            yield outcomes.NotRun(repr(error), reached=False)
            return
        except connections.ANSWER_FAILURES as error:
            yield outcomes.OutcomeUnknown(repr(error), connection_lost=True)
            return
        if response.status_code != 200:
            connections.end_after(response)
            yield await _parse_refusal(response)
            return
        events = checked_events(response, dispatch)
        async with contextlib.aclosing(events):
            async for event in events:
                yield event

    async def cancel(self, address: settings.Address, dispatch_id: str) -> None:
        """Cancel a stream at an engine; best effort."""
        with contextlib.suppress(*connections.ANSWER_FAILURES):
            response = await self._client.post(
                address.url + "/v1/cancel",
                data=json.dumps({"dispatch": dispatch_id}).encode(),
                headers=self._headers,
                timeouts=self._timeouts,
            )
            connections.end_after(response)


async def _parse_refusal(response: aiosonic.HttpResponse) -> outcomes.EngineEvent:
    try:
        body = json.loads(await response.content())
    except connections.ANSWER_FAILURES as error:
        return outcomes.OutcomeUnknown(repr(error))
    reason = f"status {response.status_code}: {body}"
    says_not_run = isinstance(body, dict) and body.get("ran") is False
    if response.status_code == _UNAVAILABLE and says_not_run:
        return outcomes.NotRun(reason, reached=True)
    return outcomes.OutcomeUnknown(reason)


async def checked_events(
    response: aiosonic.HttpResponse, dispatch: Dispatch
) -> abc.AsyncGenerator[outcomes.EngineEvent, None]:
    """Yield the tokens of each read as one chunk, and finally the end of the stream.

    Tokens that arrive together are forwarded together: under load, one write per token
    is most of an instance's cost per token.
    """
    expected = dispatch.offset
    batches = _event_batches(response)
    try:
        async with contextlib.aclosing(batches):
            async for events in batches:
                text, end = _join(events, dispatch.dispatch_id, expected)
                if text:
                    yield outcomes.Chunk(expected, "".join(text), len(text))
                    expected += len(text)
                if end is not None:
                    await _drain(batches)
                    yield end
                    return
    except connections.ANSWER_FAILURES as error:
        yield outcomes.OutcomeUnknown(repr(error), connection_lost=True)
        return
    yield outcomes.OutcomeUnknown("the stream ended without a terminal marker")


async def _drain(batches: abc.AsyncGenerator[typing.Any, None]) -> None:
    """Read the rest of the HTTP body, which usually arrived with the last event.

    A connection can't be reused until the body is read to its end, so without this each
    completion would open a new connection.
    """
    with contextlib.suppress(*connections.ANSWER_FAILURES):
        async with asyncio.timeout(_DRAIN_SECONDS):
            async for _ in batches:
                pass


def _join(
    events: list[bytes], dispatch_id: str, expected: int
) -> tuple[list[str], outcomes.EngineEvent | None]:
    """Return the next tokens from one read, and the end of the stream if it is there.

    Events of other dispatches and repeated tokens are dropped, so that late or
    misrouted responses add nothing to this one. A missing token breaks the stream,
    which is then resumed at that token.
    """
    text: list[str] = []
    for raw in events:
        following = expected + len(text)
        try:
            event = json.loads(raw.removeprefix(_EVENT_PREFIX))
            if event["dispatch"] != dispatch_id:
                _log.warn("event of another dispatch dropped", dispatch=dispatch_id)
            elif event.get("done"):
                return text, _end(event["length"], following)
            elif event["offset"] < following:
                _log.warn("repeated token dropped", dispatch=dispatch_id)
            elif event["offset"] > following:
                return text, outcomes.OutcomeUnknown(
                    f"token {following} is missing from the stream"
                )
            else:
                text.append(str(event["token"]))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return text, outcomes.OutcomeUnknown(f"malformed event: {error!r}")
    return text, None


def _end(length: int, received: int) -> outcomes.EngineEvent:
    if length == received:
        return outcomes.Finished(length)
    return outcomes.OutcomeUnknown(f"stream ended after {received} of {length} tokens")


async def _event_batches(
    response: aiosonic.HttpResponse,
) -> abc.AsyncGenerator[list[bytes], None]:
    incomplete = b""
    chunks = typing.cast(abc.AsyncGenerator[bytes, None], response.read_chunks())
    async with contextlib.aclosing(chunks):
        async for chunk in chunks:
            # Engines send each token in its own HTTP chunk. Chunks received while this
            # process was busy are read together, which lowers the cost per token under
            # load.
            for _ in range(_CHUNKS_AT_ONCE):
                if not connections.has_unread(response):
                    break
                chunk += await anext(chunks, b"")
            *events, incomplete = (incomplete + chunk).split(_EVENT_END)
            if events:
                yield events
