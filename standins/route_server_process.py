"""Runs a backend server of routes as a process of its own, which can stand still.

A stopped process reads nothing, while its kernel goes on accepting connections and
bytes. Its settings are one JSON argument. It prints JSON lines: its port, and then each
head that it has read and each request that it has received.

After SIGUSR1 it stands still by itself as soon as it has read the head of a client's
request. A server that stutters stands still for half of the time.
"""

import asyncio
import json
import os
import signal
import sys
import time
import typing

from standins import route_server

__all__ = ["HEAD_LIMIT_S", "main"]

# A server that is to stand still after a head does so within this time, or not at all.
HEAD_LIMIT_S = 0.2
# A server that stutters stands still for so long, and runs for as long, in turn.
_STUTTER_S = 0.05


def _print(**fields: typing.Any) -> None:
    print(json.dumps(fields), flush=True)


def _print_request(what: str, request: route_server.ReceivedRequest, at: float) -> None:
    _print(
        what=what,
        at=at,
        kind=request.kind,
        method=request.method,
        target=request.target,
        fields=request.fields,
        body=request.body.decode("latin-1"),
    )


class _HeadRecorder:
    """Prints heads, and stops the process after one if it was told to."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._stops_until = 0.0
        self._loop.add_signal_handler(signal.SIGUSR1, self._stop_after_next)

    def __call__(self, head: route_server.ReceivedRequest) -> None:
        """Record a head."""
        _print_request("head", head, self._loop.time())
        now = self._loop.time()
        if now < self._stops_until and "x-request-id" in head.fields:
            self._stops_until = 0.0
            os.kill(os.getpid(), signal.SIGSTOP)

    def _stop_after_next(self) -> None:
        self._stops_until = self._loop.time() + HEAD_LIMIT_S


def _stutter() -> None:
    time.sleep(_STUTTER_S)
    asyncio.get_running_loop().call_later(_STUTTER_S, _stutter)


async def _serve(server: route_server.RouteServer, *, stutters: bool) -> None:
    loop = asyncio.get_running_loop()
    server.on_request = lambda request: _print_request("whole", request, loop.time())
    server.on_head = _HeadRecorder()
    await server.start()
    if stutters:
        _stutter()
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
    server.body_requests = settings["body_requests"]
    server.started_ms = settings["started_ms"]
    asyncio.run(_serve(server, stutters=settings["stutters"]))


if __name__ == "__main__":
    main()
