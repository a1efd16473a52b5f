"""Runs a backend server of routes as a process of its own, which can stand still.

A stopped process reads nothing, while its kernel goes on accepting connections and
bytes. Its settings are one JSON argument. It prints JSON lines: its port, and then each
request that it has received.
"""

import asyncio
import json
import signal
import sys
import typing

from standins import route_server

__all__ = ["main"]


def _print(**fields: typing.Any) -> None:
    print(json.dumps(fields), flush=True)


def _print_request(request: route_server.ReceivedRequest, at: float) -> None:
    _print(
        at=at,
        kind=request.kind,
        method=request.method,
        target=request.target,
        fields=request.fields,
        body=request.body.decode("latin-1"),
    )


async def _serve(server: route_server.RouteServer) -> None:
    loop = asyncio.get_running_loop()
    server.on_request = lambda request: _print_request(request, loop.time())
    await server.start()
    _print(port=server.port)
    await asyncio.Event().wait()


def main() -> None:
    """Serve until the process is ended."""
    # The kernel hangs up stopped processes whose process group becomes an orphan.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    settings = json.loads(sys.argv[1])
    server = route_server.RouteServer(
        settings["server_id"],
        settings["service"],
        settings["failure_domain"],
        settings["stage"],
    )
    server.event_count = settings["event_count"]
    server.event_pause_s = settings["event_pause_s"]
    asyncio.run(_serve(server))


if __name__ == "__main__":
    main()
