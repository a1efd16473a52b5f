"""Client of other entry instances: forwards a call to the owner of its key."""

import dataclasses
import datetime
import json

from pimentolatch import clock, results, settings
from pimentolatch.backend import full_response, outcomes

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
    """Forwards calls to other entry instances.

    Args:
        sender: Name of this instance.
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

    async def forward(
        self, address: settings.Address, call: Forward
    ) -> (
        outcomes.Response | results.Refusal | outcomes.NotRun | outcomes.OutcomeUnknown
    ):
        """Forward a call and wait for the owner's response.

        Sending it twice is harmless, since the owner runs each key once. Connections
        may therefore be reused.
        """
        fields = {
            "content-type": call.content_type,
            "idempotency-key": call.idempotency_key,
            "x-request-timeout-ms": str(
                max(1, call.time_limit // datetime.timedelta(milliseconds=1))
            ),
            FORWARDED_HEADER: self._sender,
            REQUEST_ID_HEADER: call.request_id,
        }
        if call.authorization is not None:
            fields["authorization"] = call.authorization
        response = await self._client.post(
            address,
            f"/v1/services/{call.service}/{call.operation}",
            fields,
            call.body,
            time_limit=call.time_limit,
            reuse=True,
        )
        if not isinstance(response, full_response.FullResponse):
            return response
        return _parse_response(response)


def _parse_response(
    response: full_response.FullResponse,
) -> outcomes.Response | results.Refusal | outcomes.OutcomeUnknown:
    if not response.field(results.RESULT_HEADER):
        content_type = response.field("content-type")
        return outcomes.Response(response.status, response.body, content_type)
    try:
        error = json.loads(response.body)["error"]
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
