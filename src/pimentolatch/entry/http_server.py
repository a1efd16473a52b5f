"""HTTP servers that leave signals to the process that holds them."""

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

_IDLE_SECONDS = 75
# Where requests have ended before a server stops, this bounds callers that don't read.
_CLOSE_TIMEOUT = datetime.timedelta(seconds=5)
_DATE_REFRESH_SECONDS = 1.0
_START_POLL_SECONDS = 0.005


class _Server(uvicorn.Server):
    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._exit_requested = asyncio.Event()

    def request_exit(self) -> None:
        """Let the server end."""
        self.should_exit = True
        self._exit_requested.set()

    async def main_loop(self) -> None:
        """Keep the date header up to date until the server is to end.

        The library looks ten times a second whether it should end. Twenty wake-ups a
        second for two servers are a tenth of what control may use of a core.
        """
        while not await self.on_tick(0):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_DATE_REFRESH_SECONDS):
                    await self._exit_requested.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Iterator[None]:
        """Leave the signals alone: the process stops its parts in order."""
        yield


class HttpServer:
    """One ASGI application on one address.

    Args:
        application: The application.
        address: Where to listen.
        protocol: Makes the protocol of each connection.
        close_timeout: How long answers under way may take once the server stops.
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
                timeout_keep_alive=_IDLE_SECONDS,
                timeout_graceful_shutdown=math.ceil(close_timeout.total_seconds()),
                backlog=2048,
            )
        )
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen; raises `OSError` if the address can't be had."""
        self._task = asyncio.create_task(self._serve())
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise OSError("the HTTP server ended at once")
            await asyncio.sleep(_START_POLL_SECONDS)

    async def stop(self) -> None:
        """Close the address and the idle connections, after answers under way."""
        self._server.request_exit()
        if self._task is not None:
            await self._task

    def abort(self) -> None:
        """Close the address and every connection at once."""
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
            raise OSError("the address can't be listened on") from error
