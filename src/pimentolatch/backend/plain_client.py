"""Client of the servers of plain services."""

import asyncio
import dataclasses
import datetime
import json

import aiosonic

from pimentolatch import settings
from pimentolatch.backend import connections, outcomes

__all__ = ["Call", "PlainClient"]

# Servers that echo it let responses to other dispatches be recognized.
_DISPATCH_HEADER = "x-dispatch"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One dispatch of a call to one plain server.

    Attributes:
        time_limit: Time limit for the complete response.
    """

    dispatch_id: str
    service: str
    operation: str
    body: bytes
    content_type: str
    repeatable: bool
    time_limit: datetime.timedelta = datetime.timedelta(seconds=10)


class PlainClient:
    """Sends calls to plain servers.

    Args:
        sender: Name of this instance, for the servers' logs.
        connect: Time limit for opening a connection.
    """

    def __init__(
        self,
        sender: str,
        *,
        connect: datetime.timedelta = datetime.timedelta(seconds=1),
    ) -> None:
        self._sender = sender
        self._reusing = connections.client(reuse=True)
        self._single_use = connections.client(reuse=False)
        self._connect = connect

    async def aclose(self) -> None:
        """Close the connections."""
        await self._reusing.connector.cleanup()
        await self._single_use.connector.cleanup()

    async def call(
        self, address: settings.Address, call: Call
    ) -> outcomes.ServiceOutcome:
        """Send a call and wait for the complete response.

        Returns:
            `NotRun` only if no byte was sent or the server reports it.
        """
        client = self._reusing if call.repeatable else self._single_use
        headers = {
            "content-type": call.content_type,
            _DISPATCH_HEADER: call.dispatch_id,
            "x-instance": self._sender,
        }
        url = f"{address.url}/v1/services/{call.service}/{call.operation}"
        # Connecting gets half of the time at most, so that a time-out while connecting
        # is reported as such and not taken for a lost response.
        connect = min(self._connect, call.time_limit / 2)
        timeouts = connections.timeouts(
            connect=connect, response_timeout=call.time_limit
        )
        try:
            async with asyncio.timeout(call.time_limit.total_seconds()):
                response = await client.post(
                    url, data=call.body, headers=headers, timeouts=timeouts
                )
                body = await response.content()
        except connections.CONNECT_FAILURES as error:
            return outcomes.NotRun(repr(error), reached=False)
        except connections.ANSWER_FAILURES as error:
            return outcomes.OutcomeUnknown(repr(error))
        return _parse_response(call, response, body)


def _parse_response(
    call: Call, response: aiosonic.HttpResponse, body: bytes
) -> outcomes.ServiceOutcome:
    if not connections.has_framed_body(response):
        return outcomes.OutcomeUnknown("response truncated within its headers")
    dispatch_id = response.headers.get(_DISPATCH_HEADER, call.dispatch_id)
    if dispatch_id != call.dispatch_id:
        return outcomes.OutcomeUnknown("response to another dispatch")
    if response.status_code == 503 and _says_not_run(body):
        return outcomes.NotRun(
            "the server refused the call without running it", reached=True
        )
    return outcomes.Response(response.status_code, body, _content_type(response))


def _says_not_run(body: bytes) -> bool:
    try:
        parsed = json.loads(body)
    except ValueError:
        return False
    return isinstance(parsed, dict) and parsed.get("ran") is False


def _content_type(response: aiosonic.HttpResponse) -> str:
    return str(response.headers.get("content-type", "application/octet-stream"))
