"""Stand-in for the platform's control API: usage reports and server orders.

Only the leader calls it; fencing tokens reject calls of a former leader.
"""

import asyncio
import collections
import dataclasses
import json
import typing

from starlette import applications, requests, responses, routing

__all__ = ["ControlApi", "ReceivedCall", "build"]

_RESPONSE_DELAY_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedCall:
    """A received call.

    Attributes:
        path: URL path.
        holder: Instance that sent the call as leader.
        fence: Fencing token of the call.
        executed: Whether the call took effect.
    """

    path: str
    holder: str
    fence: int
    body: dict[str, typing.Any]
    executed: bool


class ControlApi:
    """Checks fencing tokens and injects faults.

    Attributes:
        received: Calls in the order of arrival.
        faults: Faults of the next calls, one per call; an empty string is no fault.
            `busy` refuses with 429; `silent` executes the call, but responds after the
            timeout of every caller.
        fences: Highest fencing token by path and subject.
        servers: Ordered servers by service, failure domain and kind.
        exhausted_domains: Failure domains without capacity: orders that increase the
            number of servers are refused.
    """

    def __init__(self) -> None:
        self.received: list[ReceivedCall] = []
        self.faults: collections.deque[str] = collections.deque()
        self.fences: dict[tuple[str, str], int] = {}
        self.servers: dict[tuple[str, str, bool], int] = {}
        self.exhausted_domains: set[str] = set()

    def executed_calls(self, path: str) -> list[ReceivedCall]:
        """Return the calls to a path that took effect."""
        return [call for call in self.received if call.path == path and call.executed]

    async def call(self, request: requests.Request) -> responses.Response:
        """Handle a usage report or an order."""
        body = json.loads(await request.body())
        fault = self.faults.popleft() if self.faults else ""
        fence = int(request.headers["x-fence-token"])
        path = request.url.path
        status = 429 if fault == "busy" else self._execute(path, fence, body)
        holder = request.headers["x-duty-holder"]
        self.received.append(ReceivedCall(path, holder, fence, body, status == 200))
        if fault == "silent":
            await asyncio.sleep(_RESPONSE_DELAY_S)
        return responses.JSONResponse({}, status)

    def _execute(self, path: str, fence: int, body: dict[str, typing.Any]) -> int:
        subject = f"{body.get('service', '')}/{body.get('zone', '')}"
        if fence < self.fences.get((path, subject), 0):
            return 409
        self.fences[path, subject] = fence
        if path == "/scale":
            return self._scale(body)
        return 200

    def _scale(self, body: dict[str, typing.Any]) -> int:
        key = (body["service"], body["zone"], bool(body.get("spot", False)))
        scales_up = body["desired"] > self.servers.get(key, 0)
        if scales_up and body["zone"] in self.exhausted_domains:
            return 409
        self.servers[key] = body["desired"]
        return 200


def build(api: ControlApi) -> typing.Any:
    """Return the ASGI application of the stand-in."""
    routes = [
        routing.Route(path, api.call, methods=["POST"]) for path in ("/usage", "/scale")
    ]
    return applications.Starlette(routes=routes)
