"""Client of the model engines."""

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
_EVENT_PREFIX = b"data: "
_EVENT_END = b"\n\n"
_DRAIN_SECONDS = 0.05
_CHUNKS_AT_ONCE = 64
_HEADERS = {"content-type": "application/json"}


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """One sending of a request to one engine.

    Attributes:
        dispatch_id: Differs for each sending, so that late answers are told apart.
        offset: First token wanted; above zero when a broken stream is resumed.
        priority: Higher is served first.
        kv_handle: Handle of an imported KV cache, or None.
    """

    dispatch_id: str
    model: str
    prompt: str
    max_tokens: int
    offset: int = 0
    priority: int = 0
    kv_handle: str | None = None

    def to_json(self) -> dict[str, typing.Any]:
        """Return the body the engine receives."""
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
    """Sends requests to engines and reads their streams.

    Args:
        sender: Name of this instance, which engines log.
        connect: Time limit of a connection.
        silence: Longest wait for the first line of an answer; whoever reads a stream
            bounds the silences in it.
    """

    def __init__(
        self,
        sender: str,
        *,
        connect: datetime.timedelta = datetime.timedelta(seconds=1),
        response_timeout: datetime.timedelta = datetime.timedelta(seconds=600),
    ) -> None:
        self._headers = _HEADERS | {"x-instance": sender}
        self._client = connections.client(reuse=True)
        self._timeouts = connections.timeouts(
            connect=connect, response_timeout=response_timeout
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.connector.cleanup()

    async def generate(
        self, address: settings.Address, dispatch: Dispatch
    ) -> abc.AsyncGenerator[outcomes.EngineEvent, None]:
        """Stream an answer; the last event is never a chunk.

        What a caller receives is the answer to its own request or an error, never a
        mix: events name their dispatch and their place, and others are not used.
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
            yield await _parse_refusal(response)
            return
        events = checked_events(response, dispatch)
        async with contextlib.aclosing(events):
            async for event in events:
                yield event

    async def cancel(self, address: settings.Address, dispatch_id: str) -> None:
        """Ask an engine to stop a stream; best effort."""
        with contextlib.suppress(*connections.ANSWER_FAILURES):
            await self._client.post(
                address.url + "/v1/cancel",
                data=json.dumps({"dispatch": dispatch_id}).encode(),
                headers=self._headers,
                timeouts=self._timeouts,
            )


async def _parse_refusal(response: aiosonic.HttpResponse) -> outcomes.EngineEvent:
    try:
        body = json.loads(await response.content())
    except connections.ANSWER_FAILURES as error:
        return outcomes.OutcomeUnknown(repr(error))
    reason = f"status {response.status_code}: {body}"
    if isinstance(body, dict) and body.get("ran") is False:
        return outcomes.NotRun(reason, reached=True)
    return outcomes.OutcomeUnknown(reason)


async def checked_events(
    response: aiosonic.HttpResponse, dispatch: Dispatch
) -> abc.AsyncGenerator[outcomes.EngineEvent, None]:
    """Yield the tokens of each read as one chunk, then how the stream ended.

    Tokens that arrive together are handed on together: under load a write for each
    token is most of what a token costs an instance.
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
    yield outcomes.OutcomeUnknown("no terminal marker")


async def _drain(batches: abc.AsyncGenerator[typing.Any, None]) -> None:
    """Read the end of the HTTP body, which mostly came along with the last event.

    A connection whose body was not read to its end can't be used again, so each
    completion would open one of its own.
    """
    with contextlib.suppress(*connections.ANSWER_FAILURES):
        async with asyncio.timeout(_DRAIN_SECONDS):
            async for _ in batches:
                pass


def _join(
    events: list[bytes], dispatch_id: str, expected: int
) -> tuple[list[str], outcomes.EngineEvent | None]:
    """Return the tokens of one read that follow on, and the stream's end if seen.

    Events of another dispatch, and tokens that came before, are dropped: a late or
    crossed answer can add nothing to this one. A token that is missing breaks the
    stream, which is then resumed at that token.
    """
    text: list[str] = []
    for raw in events:
        following = expected + len(text)
        try:
            event = json.loads(raw.removeprefix(_EVENT_PREFIX))
            if event["dispatch"] != dispatch_id:
                _log.warn("crossed event dropped", dispatch=dispatch_id)
            elif event.get("done"):
                return text, _end(event["length"], following)
            elif event["offset"] < following:
                _log.warn("repeated event dropped", dispatch=dispatch_id)
            elif event["offset"] > following:
                return text, outcomes.OutcomeUnknown(f"gap at token {following}")
            else:
                text.append(str(event["token"]))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return text, outcomes.OutcomeUnknown(f"malformed event: {error!r}")
    return text, None


def _end(length: int, received: int) -> outcomes.EngineEvent:
    if length == received:
        return outcomes.Finished(length)
    return outcomes.OutcomeUnknown(f"{received} tokens of {length}")


async def _event_batches(
    response: aiosonic.HttpResponse,
) -> abc.AsyncGenerator[list[bytes], None]:
    incomplete = b""
    chunks = typing.cast(abc.AsyncGenerator[bytes, None], response.read_chunks())
    async with contextlib.aclosing(chunks):
        async for chunk in chunks:
            # Engines send each token in a chunk of its own. What piled up while this
            # process was busy is taken at once, so that load makes a token cheaper.
            for _ in range(_CHUNKS_AT_ONCE):
                if not connections.has_unread(response):
                    break
                chunk += await anext(chunks, b"")
            *events, incomplete = (incomplete + chunk).split(_EVENT_END)
            if events:
                yield events
