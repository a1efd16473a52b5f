"""Stand-in for a plain service that records each execution of each call."""

import argparse
import asyncio
import json
import pathlib
import typing

import uvicorn
from starlette import applications, requests, responses, routing

from standins import faults

__all__ = ["PlainService", "build", "main"]


class PlainService:
    """HTTP handlers of a plain server.

    A received call runs to its end even if its sender disconnects. Besides the common
    faults there is `slow_run`, which delays the execution itself.
    """

    def __init__(self, name: str, call_s: float = 0.001) -> None:
        self._name = name
        self._call_s = call_s
        self.fault_injector = faults.FaultInjector()
        self.runs: list[dict[str, typing.Any]] = []

    async def call(self, request: requests.Request) -> responses.JSONResponse:
        """Execute a call and record it before responding."""
        body = await request.body()
        service = request.path_params["service"]
        operation = request.path_params["operation"]
        dispatch = request.headers.get("x-dispatch", "")
        slow = self.fault_injector.trigger("slow_run", request.url.path, None)
        await asyncio.sleep(self._call_s if slow is None else slow.seconds)
        run = {
            "service": service,
            "operation": operation,
            "dispatch": dispatch,
            "body": body.decode(),
        }
        self.runs.append(run)
        response = {"server": self._name, "run": len(self.runs), "echo": body.decode()}
        return responses.JSONResponse(response, headers={"x-dispatch": dispatch})

    async def show_runs(self, request: requests.Request) -> responses.JSONResponse:
        """Return all executions, for history checks."""
        return responses.JSONResponse(self.runs)


def build(service: PlainService) -> typing.Any:
    """Return the ASGI application of a plain service."""
    fault_injector = service.fault_injector
    routes = [
        routing.Route(
            "/v1/services/{service}/{operation}", service.call, methods=["POST"]
        ),
        routing.Route("/runs", service.show_runs),
        routing.Route("/faults", fault_injector.handle_command, methods=["POST"]),
    ]
    return fault_injector.middleware(applications.Starlette(routes=routes))


def main() -> None:
    """Run a plain service with settings from a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", required=True, type=pathlib.Path)
    settings = json.loads(parser.parse_args().settings.read_text(encoding="utf-8"))
    host, port = settings.pop("host"), settings.pop("port")
    application = build(PlainService(**settings))
    uvicorn.run(application, host=host, port=port, log_level="warning")


if __name__ == "__main__":
    main()
