"""Client of other entry instances: forwards a call to the owner of its key."""

import asyncio
import dataclasses
import datetime
import json

import aiosonic

from pimentolatch import results, settings
from pimentolatch.backend import connections, outcomes

__all__ = [
    "FORWARDED_HEADER",
    "REQUEST_ID_HEADER",
    "Forward",
    "InstanceClient",
]

# Marks a call as forwarded, so that it is never forwarded again in a loop.
FORWARDED_HEADER = "x-forwarded-by-instance"
REQUEST_ID_HEADER = "x-request-id"


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """A call to be forwarded.

    Attributes:
        request_id: Id of the request, which the owner uses as well.
        authorization: The caller's header, which the owner checks again.
        time_limit: Time limit for the complete response.
    """

    request_id: str
    service: str
    operation: str
    body: bytes
    content_type: str
    idempotency_key: str
    authorization: str | None
    time_limit: datetime.timedelta


class InstanceClient:
    """Forwards calls to other entry instances."""

    def __init__(
        self,
        sender: str,
        *,
        connect: datetime.timedelta = datetime.timedelta(seconds=1),
    ) -> None:
        self._sender = sender
        self._connect = connect
        self._client = connections.client(reuse=True)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.connector.cleanup()

    async def forward(
        self, address: settings.Address, call: Forward
    ) -> (
        outcomes.Response | results.Refusal | outcomes.NotRun | outcomes.OutcomeUnknown
    ):
        """Forward a call and wait for the owner's response.

        Sending it twice is harmless, since the owner runs each key once. Connections
        may therefore be reused.
        """
        headers = {
            "content-type": call.content_type,
            "idempotency-key": call.idempotency_key,
            "x-request-timeout-ms": str(
                max(1, call.time_limit // datetime.timedelta(milliseconds=1))
            ),
            FORWARDED_HEADER: self._sender,
            REQUEST_ID_HEADER: call.request_id,
        }
        if call.authorization is not None:
            headers["authorization"] = call.authorization
        connect = min(self._connect, call.time_limit / 2)
        timeouts = connections.timeouts(
            connect=connect, response_timeout=call.time_limit
        )
        url = f"{address.url}/v1/services/{call.service}/{call.operation}"
        try:
            async with asyncio.timeout(call.time_limit.total_seconds()):
                response = await self._client.post(
                    url, data=call.body, headers=headers, timeouts=timeouts
                )
                body = await response.content()
        except connections.CONNECT_FAILURES as error:
            return outcomes.NotRun(repr(error), reached=False)
        except connections.ANSWER_FAILURES as error:
            return outcomes.OutcomeUnknown(repr(error))
        return _parse_response(response, body)


def _parse_response(
    response: aiosonic.HttpResponse, body: bytes
) -> outcomes.Response | results.Refusal | outcomes.OutcomeUnknown:
    if not connections.has_framed_body(response):
        return outcomes.OutcomeUnknown("response truncated within its headers")
    if results.RESULT_HEADER not in response.headers:
        content_type = str(response.headers.get("content-type", ""))
        return outcomes.Response(response.status_code, body, content_type)
    try:
        error = json.loads(body)["error"]
        seconds = error.get("retry_after_seconds")
        return results.Refusal(
            results.ResultCode(error["code"]),
            str(error["message"]),
            results.Execution(error["execution"]),
            None if seconds is None else datetime.timedelta(seconds=seconds),
        )
    except (ValueError, KeyError, TypeError) as problem:
        return outcomes.OutcomeUnknown(
            f"malformed refusal from the owner of the key: {problem!r}"
        )
