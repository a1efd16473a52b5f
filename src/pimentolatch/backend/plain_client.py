"""Client of the servers of plain services."""

import dataclasses
import datetime
import json

from pimentolatch import clock, settings
from pimentolatch.backend import full_response, outcomes

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
        time: Clock of this instance.
        connect: Time limit for opening a connection.
    """

    def __init__(
        self,
        sender: str,
        time: clock.Clock,
        *,
        connect: datetime.timedelta = datetime.timedelta(seconds=1),
    ) -> None:
        self._sender = sender
        self._client = full_response.FullResponseClient(time, connect=connect)

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()

    async def call(
        self, address: settings.Address, call: Call
    ) -> outcomes.ServiceOutcome:
        """Send a call and wait for the complete response.

        Returns:
            `NotRun` only if no byte was sent or the server reports it.
        """
        fields = {
            "content-type": call.content_type,
            _DISPATCH_HEADER: call.dispatch_id,
            "x-instance": self._sender,
        }
        response = await self._client.post(
            address,
            f"/v1/services/{call.service}/{call.operation}",
            fields,
            call.body,
            time_limit=call.time_limit,
            reuse=call.repeatable,
            repeated_field=_DISPATCH_HEADER,
        )
        if not isinstance(response, full_response.FullResponse):
            return response
        return _parse_response(call, response)


def _parse_response(
    call: Call, response: full_response.FullResponse
) -> outcomes.ServiceOutcome:
    if response.field(_DISPATCH_HEADER, call.dispatch_id) != call.dispatch_id:
        return outcomes.OutcomeUnknown("response to another dispatch")
    if response.status == 503 and _says_not_run(response.body):
        return outcomes.NotRun(
            "the server refused the call without running it", reached=True
        )
    content_type = response.field("content-type", "application/octet-stream")
    return outcomes.Response(response.status, response.body, content_type)


def _says_not_run(body: bytes) -> bool:
    try:
        parsed = json.loads(body)
    except ValueError:
        return False
    return isinstance(parsed, dict) and parsed.get("ran") is False
