"""Runs a backend server of routes as a process of its own, which can stand still.

A stopped process reads nothing, while its kernel goes on accepting connections and
bytes. Each received request is printed as a JSON line.
"""

import asyncio
import json
import sys

from standins import route_server

__all__ = ["main"]


def _print(**fields: str | float) -> None:
    print(json.dumps(fields), flush=True)


async def _serve(server: route_server.RouteServer) -> None:
    loop = asyncio.get_running_loop()
    server.on_request = lambda request: _print(
        kind=request.kind,
        request_id=request.fields.get("x-request-id", ""),
        at=loop.time(),
    )
    await server.start()
    _print(port=server.port)
    await asyncio.Event().wait()


def main() -> None:
    """Serve until the process is ended; the arguments are those of `RouteServer`."""
    server_id, service, failure_domain, stage = sys.argv[1:]
    server = route_server.RouteServer(server_id, service, failure_domain, stage or None)
    asyncio.run(_serve(server))


if __name__ == "__main__":
    main()
