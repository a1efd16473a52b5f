"""Client of the plain services."""

import asyncio
import dataclasses
import datetime
import json

import aiosonic

from pimentolatch import settings
from pimentolatch.backend import connections, outcomes

__all__ = ["Call", "PlainClient"]

# A server that repeats it in its answer lets crossed answers be told apart.
_DISPATCH_HEADER = "x-dispatch"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One sending of a call to one plain server.

    Attributes:
        time_limit: Longest wait for the whole answer.
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
        sender: Name of this instance, which servers log.
        connect: Time limit of a connection.
    """

    def __init__(
        self,
        sender: str,
        *,
        connect: datetime.timedelta = datetime.timedelta(seconds=1),
    ) -> None:
        self._sender = sender
        self._reusing = connections.client(reuse=True)
        self._fresh = connections.client(reuse=False)
        self._connect = connect

    async def aclose(self) -> None:
        """Close the connections."""
        await self._reusing.connector.cleanup()
        await self._fresh.connector.cleanup()

    async def call(
        self, address: settings.Address, call: Call
    ) -> outcomes.ServiceOutcome:
        """Send a call and wait for its whole answer.

        Returns:
            `NotRun` only when no byte was sent or the server says so itself.
        """
        client = self._reusing if call.repeatable else self._fresh
        headers = {
            "content-type": call.content_type,
            _DISPATCH_HEADER: call.dispatch_id,
            "x-instance": self._sender,
        }
        url = f"{address.url}/v1/services/{call.service}/{call.operation}"
        # Half of the time at most goes to connecting, so that running out of it while
        # connecting is seen as such and not mistaken for a lost answer.
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
        return outcomes.OutcomeUnknown("the answer's headers were cut")
    dispatch_id = response.headers.get(_DISPATCH_HEADER, call.dispatch_id)
    if dispatch_id != call.dispatch_id:
        return outcomes.OutcomeUnknown("crossed answer")
    if response.status_code == 503 and _says_not_run(body):
        return outcomes.NotRun("refused by the server", reached=True)
    return outcomes.Response(response.status_code, body, _content_type(response))


def _says_not_run(body: bytes) -> bool:
    try:
        parsed = json.loads(body)
    except ValueError:
        return False
    return isinstance(parsed, dict) and parsed.get("ran") is False


def _content_type(response: aiosonic.HttpResponse) -> str:
    return str(response.headers.get("content-type", "application/octet-stream"))
