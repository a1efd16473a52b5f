"""HTTP servers that leave signal handling to the process."""

import asyncio
import contextlib
import datetime
import math
import typing
from collections import abc

import uvicorn

from pimentolatch import settings
from pimentolatch.entry import bounded_http

__all__ = ["HttpServer"]

# Requests are drained before a server stops, so this bounds only responses to callers
# that don't read.
_CLOSE_TIMEOUT = datetime.timedelta(seconds=5)
_DATE_REFRESH_SECONDS = 1.0
_START_POLL_SECONDS = 0.005


class _Server(uvicorn.Server):
    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._exit_requested = asyncio.Event()

    def request_exit(self) -> None:
        """Ask the server to exit."""
        self.should_exit = True
        self._exit_requested.set()

    async def main_loop(self) -> None:
        """Refresh the date header once a second until asked to exit.

        The library polls ten times a second for the exit. For two servers these are 20
        wake-ups a second, a tenth of the CPU time that the control plane may use.
        """
        while not await self.on_tick(0):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_DATE_REFRESH_SECONDS):
                    await self._exit_requested.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Iterator[None]:
        """Install no signal handlers: the process stops its parts in order."""
        yield


class HttpServer:
    """Serves one ASGI application on one address.

    Args:
        application: The application.
        address: Address to listen on.
        protocol: Returns the protocol of a new connection.
        close_timeout: Time that open responses have to end once the server stops.
    """

    def __init__(
        self,
        application: typing.Any,
        address: settings.Address,
        protocol: typing.Callable[..., typing.Any] = bounded_http.BoundedHttpProtocol,
        close_timeout: datetime.timedelta = _CLOSE_TIMEOUT,
    ) -> None:
        self._server = _Server(
            uvicorn.Config(
                application,
                host=address.host,
                port=address.port,
                http=typing.cast(typing.Any, protocol),
                interface="asgi3",
                proxy_headers=False,
                ws="none",
                lifespan="off",
                log_config=None,
                access_log=False,
                server_header=False,
                timeout_graceful_shutdown=math.ceil(close_timeout.total_seconds()),
                backlog=2048,
            )
        )
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to listen.

        Raises:
            OSError: The address can't be bound.
        """
        self._task = asyncio.create_task(self._serve())
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise OSError("HTTP server exited during start-up")
            await asyncio.sleep(_START_POLL_SECONDS)

    async def stop(self) -> None:
        """Stop listening, let open responses end and close all connections."""
        self._server.request_exit()
        if self._task is not None:
            await self._task

    def abort(self) -> None:
        """Stop listening and abort all connections at once."""
        self._server.force_exit = True
        self._server.request_exit()
        for connection in list(self._server.server_state.connections):
            connection.transport.abort()
        if self._task is not None:
            self._task.cancel()
        for listener in getattr(self._server, "servers", []):
            listener.close()

    async def _serve(self) -> None:
        try:
            await self._server.serve()
        except SystemExit as error:
            raise OSError("can't listen on the address of the HTTP server") from error
