"""Stand-in for the platform's interface for reports and orders of one holder."""

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
    """A call that arrived.

    Attributes:
        path: What was called.
        executed: It was carried out.
    """

    path: str
    holder: str
    fence: int
    body: dict[str, typing.Any]
    executed: bool


class ControlApi:
    """Checks fences and misbehaves on command.

    Attributes:
        received: Calls in the order of their arrival.
        faults: Taken one by one by calls; empty text for none. `busy` refuses with
            429, `silent` carries out and answers too late for any caller.
        fences: Highest fence by path and subject.
        servers: Ordered servers by service, failure domain and kind.
        exhausted_domains: Failure domains in which orders for more are refused.
    """

    def __init__(self) -> None:
        self.received: list[ReceivedCall] = []
        self.faults: collections.deque[str] = collections.deque()
        self.fences: dict[tuple[str, str], int] = {}
        self.servers: dict[tuple[str, str, bool], int] = {}
        self.exhausted_domains: set[str] = set()

    def executed_calls(self, path: str) -> list[ReceivedCall]:
        """Return the calls of a path that were carried out."""
        return [call for call in self.received if call.path == path and call.executed]

    async def call(self, request: requests.Request) -> responses.Response:
        """Take a call."""
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
