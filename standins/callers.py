"""HTTP client for completions, as used by callers of an entry instance."""

import asyncio
import dataclasses
import datetime
import json
import typing

import aiosonic
import aiosonic.connectors
import aiosonic.pools

from pimentolatch.backend import connections
from standins import engine

_LONG = datetime.timedelta(seconds=60)

__all__ = ["Reply", "complete", "expected_text", "complete_concurrently"]


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Response that a caller received.

    Attributes:
        status: HTTP status, or 0 if the connection failed.
        text: Concatenated tokens.
        is_complete: Whether the stream ended with its end marker.
        error: Error record, if the response contained one.
    """

    status: int
    text: str
    is_complete: bool
    error: dict[str, typing.Any] | None = None


def expected_text(prompt: str, max_tokens: int) -> str:
    """Return the complete output of an `engine.Engine` for a prompt."""
    return "".join(engine.answer_token(prompt, i) for i in range(max_tokens))


async def complete(
    client: aiosonic.HTTPClient,
    url: str,
    body: dict[str, typing.Any],
    headers: dict[str, str] | None = None,
) -> Reply:
    """Send a streaming completion request and read the response to its end."""
    text: list[str] = []
    error = None
    try:
        response = await client.post(
            url,
            data=json.dumps(body | {"stream": True}).encode(),
            headers={"content-type": "application/json"} | (headers or {}),
            timeouts=connections.timeouts(connect=_LONG, response_timeout=_LONG),
        )
        if response.status_code != 200:
            parsed = json.loads(await response.content())
            return Reply(response.status_code, "", False, parsed["error"])
        raw = b"".join([chunk async for chunk in response.read_chunks()])
    except connections.ANSWER_FAILURES as failure:
        return Reply(0, "".join(text), False, {"message": repr(failure)})
    is_complete = False
    for event in raw.split(b"\n\n"):
        data = event.removeprefix(b"data: ")
        if data == b"[DONE]":
            is_complete = True
        elif data:
            parsed = json.loads(data)
            error = parsed.get("error", error)
            text += [choice["text"] for choice in parsed.get("choices", ())]
    return Reply(200, "".join(text), is_complete, error)


async def _complete_concurrently(
    calls: typing.Sequence[tuple[str, dict[str, typing.Any], dict[str, str]]],
) -> list[Reply]:
    pool = aiosonic.pools.PoolConfig(size=max(1, len(calls)))
    connector = aiosonic.connectors.TCPConnector(pool_configs={":default": pool})
    async with aiosonic.HTTPClient(connector) as client:
        return list(
            await asyncio.gather(
                *(complete(client, url, body, headers) for url, body, headers in calls)
            )
        )


def complete_concurrently(
    calls: typing.Sequence[tuple[str, dict[str, typing.Any], dict[str, str]]],
) -> list[Reply]:
    """Send completion requests concurrently.

    Args:
        calls: (url, body, headers) of each request.
    """
    return asyncio.run(_complete_concurrently(calls))
