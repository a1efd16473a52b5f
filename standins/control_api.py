"""Stand-in for the platform's interface for reports and orders of one holder."""

import asyncio
import collections
import dataclasses
import json
import typing

from starlette import applications, requests, responses, routing

__all__ = ["ControlApi", "Received", "build"]

_SILENT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A call that arrived.

    Attributes:
        path: What was called.
        done: It was carried out.
    """

    path: str
    holder: str
    fence: int
    body: dict[str, typing.Any]
    done: bool


class ControlApi:
    """Checks fences and misbehaves on command.

    Attributes:
        received: Calls in the order of their arrival.
        faults: Taken one by one by calls; empty text for none. `busy` refuses with
            429, `silent` carries out and answers too late for any caller.
        fences: Highest fence by path and subject.
        servers: Ordered servers by service, failure domain and kind.
        none_to_be_had: Failure domains in which orders for more are refused.
    """

    def __init__(self) -> None:
        self.received: list[Received] = []
        self.faults: collections.deque[str] = collections.deque()
        self.fences: dict[tuple[str, str], int] = {}
        self.servers: dict[tuple[str, str, bool], int] = {}
        self.none_to_be_had: set[str] = set()

    def done(self, path: str) -> list[Received]:
        """Return the calls of a path that were carried out."""
        return [call for call in self.received if call.path == path and call.done]

    async def call(self, request: requests.Request) -> responses.Response:
        """Take a call."""
        body = json.loads(await request.body())
        fault = self.faults.popleft() if self.faults else ""
        fence = int(request.headers["x-fence-token"])
        path = request.url.path
        status = 429 if fault == "busy" else self._carry_out(path, fence, body)
        holder = request.headers["x-duty-holder"]
        self.received.append(Received(path, holder, fence, body, status == 200))
        if fault == "silent":
            await asyncio.sleep(_SILENT_S)
        return responses.JSONResponse({}, status)

    def _carry_out(self, path: str, fence: int, body: dict[str, typing.Any]) -> int:
        subject = f"{body.get('service', '')}/{body.get('zone', '')}"
        if fence < self.fences.get((path, subject), 0):
            return 409
        self.fences[path, subject] = fence
        if path == "/scale":
            return self._scale(body)
        return 200

    def _scale(self, body: dict[str, typing.Any]) -> int:
        key = (body["service"], body["zone"], bool(body.get("spot", False)))
        more = body["desired"] > self.servers.get(key, 0)
        if more and body["zone"] in self.none_to_be_had:
            return 409
        self.servers[key] = body["desired"]
        return 200


def build(held: ControlApi) -> typing.Any:
    """Return the ASGI application of the stand-in."""
    routes = [
        routing.Route(path, held.call, methods=["POST"])
        for path in ("/usage", "/scale")
    ]
    return applications.Starlette(routes=routes)
