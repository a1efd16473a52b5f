"""Runs relays in a process of its own, as its parent asks over a connection.

The process ends with the connection, so also when its parent is killed.
"""

import asyncio
import signal
import sys
from multiprocessing import connection

from standins import relay_calls, relay_engine

__all__ = ["main"]


async def _execute(
    engine: relay_engine.RelayEngine, call: relay_calls.Call
) -> relay_calls.Reply:
    try:
        return relay_calls.Reply(await call.method(engine, *call.arguments))
    except OSError as error:
        return relay_calls.Reply(error=error)


async def _serve(parent: connection.Connection) -> None:
    engine = relay_engine.RelayEngine()
    while True:
        try:
            call = await asyncio.to_thread(parent.recv)
        except (EOFError, ConnectionError):
            return
        parent.send(await _execute(engine, call))


def main() -> None:
    """Run relays until the parent closes the connection or ends."""
    # An interrupt of the process group is meant for the parent; its end is this one's.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    asyncio.run(_serve(connection.Connection(int(sys.argv[1]))))


if __name__ == "__main__":
    main()
