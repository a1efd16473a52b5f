"""Serves a stand-in from the test process, so that tests can stop and restart it."""

import asyncio
import contextlib

import uvicorn

from standins import platform

POLL_S = 0.01
START_TIMEOUT_S = 10.0


class RestartableStore:
    """An HTTP server for a stand-in whose state survives restarts.

    Args:
        state: State of the stand-in; its `table` contains the objects.
        host, port: Address to listen on.
        build: Returns the application that serves the state.
    """

    def __init__(self, state, host, port, build=platform.build):
        self._state = state
        self._build = build
        self._host = host
        self._port = port
        self._server = None
        self._task = None

    @property
    def is_running(self):
        """Whether the server is running."""
        return self._server is not None

    async def start(self):
        """Start the server and wait until it accepts connections or is stopped."""
        config = uvicorn.Config(
            self._build(self._state),
            host=self._host,
            port=self._port,
            log_config=None,
            lifespan="off",
        )
        server = uvicorn.Server(config)
        server.capture_signals = contextlib.nullcontext
        self._server = server
        self._task = asyncio.create_task(server.serve())
        for _ in range(round(START_TIMEOUT_S / POLL_S)):
            if server.started or self._server is not server:
                return
            await asyncio.sleep(POLL_S)
        raise TimeoutError(f"the store did not start within {START_TIMEOUT_S} s")

    async def stop(self):
        """Abort every connection and stop; has no effect if it is not running."""
        if self._server is None:
            return
        server, self._server = self._server, None
        server.should_exit = True
        server.force_exit = True
        for connection in list(server.server_state.connections):
            connection.transport.abort()
        await self._task

    async def write(self, kind, name, spec):
        """Write an object directly to the table, whatever its version."""
        current = self._state.table.get(kind, name)
        version = 0 if current is None else current.version
        await self._state.table.put(kind, name, spec, version)
