"""Fault injection, controlled by commands at `POST /faults` of each stand-in.

A command is a JSON object: `kind` is the fault, `times` the number of calls that it
affects (null: until cleared), `sender` limits it to one calling instance, `path` to a
prefix of the path, `method` limits `drop_reply` to one HTTP method, and `seconds` is
the delay of `slow`. `{"kind": "clear"}` removes all faults.

Kinds: `slow` delays the call, `refuse` returns 503 before any effect, `drop_reply`
executes the call and closes the connection without a response, `hang` never responds,
like a network partition, and `crash` terminates the process.
"""

import asyncio
import dataclasses
import os
import typing

from starlette import requests, responses

__all__ = ["Fault", "FaultInjector"]

CRASH_EXIT_CODE = 70


@dataclasses.dataclass(slots=True)
class Fault:
    """An active fault; the fields are those of the command."""

    kind: str
    times: int | None = None
    sender: str | None = None
    path: str = ""
    seconds: float = 0.0
    method: str | None = None

    def applies_to(self, path: str, sender: str | None, method: str) -> bool:
        """Return whether the fault affects a call."""
        if self.times == 0:
            return False
        if self.sender is not None and self.sender != sender:
            return False
        if self.method is not None and self.method != method:
            return False
        return path.startswith(self.path)


class FaultInjector:
    """Active faults of a stand-in."""

    def __init__(self) -> None:
        self._faults: list[Fault] = []

    async def handle_command(self, request: requests.Request) -> responses.Response:
        """Handle `POST /faults`."""
        body = await request.json()
        if body["kind"] == "clear":
            self._faults.clear()
        elif body["kind"] == "crash":
            os._exit(CRASH_EXIT_CODE)
        else:
            self._faults.append(Fault(**body))
        return responses.JSONResponse({})

    def trigger(
        self, kind: str, path: str, sender: str | None, method: str = ""
    ) -> Fault | None:
        """Return the first fault of a kind that affects the call, and count it."""
        for fault in self._faults:
            if fault.kind == kind and fault.applies_to(path, sender, method):
                if fault.times is not None:
                    fault.times -= 1
                return fault
        return None

    def middleware(self, application: typing.Any) -> typing.Any:
        """Return an ASGI application that injects the faults into its calls."""

        async def inject(
            scope: typing.Any, receive: typing.Any, send: typing.Any
        ) -> None:
            if scope["type"] != "http" or scope["path"] == "/faults":
                await application(scope, receive, send)
                return
            headers = dict(scope["headers"])
            sender = headers.get(b"x-instance", b"").decode() or None
            path = scope["path"]
            if self.trigger("hang", path, sender):
                await asyncio.Event().wait()
            if slow := self.trigger("slow", path, sender):
                await asyncio.sleep(slow.seconds)
            if self.trigger("refuse", path, sender):
                refusal = responses.JSONResponse({"ran": False}, status_code=503)
                await refusal(scope, receive, send)
                return
            if self.trigger("drop_reply", path, sender, scope["method"]):
                await application(scope, receive, _discard)
                # If an application raises before it responds, the server sends status
                # 500. A response head whose body never follows makes the server close
                # the connection instead.
                await send(_INCOMPLETE_RESPONSE)
                return
            await application(scope, receive, send)

        return inject


_INCOMPLETE_RESPONSE = {
    "type": "http.response.start",
    "status": 200,
    "headers": [(b"content-length", b"1")],
}


async def _discard(message: typing.Any) -> None:
    """Discard an ASGI message of a response that is dropped."""
