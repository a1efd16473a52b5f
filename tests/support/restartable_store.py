"""A stand-in that is served in this process so that it can stop and start again."""

import asyncio
import contextlib

import uvicorn

from standins import platform

POLL_S = 0.01
START_TIMEOUT_S = 10.0


class RestartableStore:
    """What the store holds outlives its being served.

    Args:
        platform: What it holds.
        host, port: Where it is served.
        build: Returns the application that serves it.
    """

    def __init__(self, held, host, port, build=platform.build):
        self._platform = held
        self._build = build
        self._host = host
        self._port = port
        self._server = None
        self._task = None

    @property
    def is_running(self):
        """Whether it is served."""
        return self._server is not None

    async def start(self):
        """Serve the store."""
        config = uvicorn.Config(
            self._build(self._platform),
            host=self._host,
            port=self._port,
            log_config=None,
            lifespan="off",
        )
        self._server = uvicorn.Server(config)
        self._server.capture_signals = contextlib.nullcontext
        self._task = asyncio.create_task(self._server.serve())
        for _ in range(round(START_TIMEOUT_S / POLL_S)):
            if self._server.started:
                return
            await asyncio.sleep(POLL_S)
        raise TimeoutError("the store did not start")

    async def stop(self):
        """Cut every connection and stop serving; does nothing if it is not served."""
        if self._server is None:
            return
        server, self._server = self._server, None
        server.should_exit = True
        server.force_exit = True
        for connection in list(server.server_state.connections):
            connection.transport.abort()
        await self._task

    async def write(self, kind, name, spec):
        """Write an object as its owner would."""
        current = self._platform.table.get(kind, name)
        version = 0 if current is None else current.version
        await self._platform.table.put(kind, name, spec, version)
