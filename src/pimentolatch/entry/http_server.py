"""HTTP servers that leave signal handling to the process."""

import asyncio
import contextlib
import datetime
import functools
import math
import socket
import typing
from collections import abc

import logbook
import uvicorn

from pimentolatch import settings
from pimentolatch.decisions import client_memory
from pimentolatch.entry import bounded_http

__all__ = ["HttpServer"]

_log = logbook.Logger("http server")
# Requests are drained before a server stops, so this bounds only responses to callers
# that don't read.
_CLOSE_TIMEOUT = datetime.timedelta(seconds=5)
_DATE_REFRESH_SECONDS = 1.0
_START_POLL_SECONDS = 0.005
# Steps of the event loop from accepting a connection to its protocol.
_STEPS_TO_PROTOCOL = 2


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

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Stop listening and close each connection once its requests are answered."""
        await self._stop_listening()
        await super().shutdown(sockets)

    async def _stop_listening(self) -> None:
        """Stop listening, and serve the connections that have been made by now.

        A listener that is closed resets the connections that wait to be accepted, with
        the requests that they hold. The event loop drops, without a word, those that it
        has accepted and not handed to a protocol yet.
        """
        loop = asyncio.get_running_loop()
        listeners = [one for server in self.servers for one in server.sockets or ()]
        for listener in listeners:
            loop.remove_reader(listener.fileno())
        # The loop hands over what it has accepted: first to transports, then to
        # protocols.
        for _ in range(_STEPS_TO_PROTOCOL):
            await asyncio.sleep(0)
        waiting = [found for listener in listeners for found in _accept_all(listener)]
        for server in self.servers:
            server.close()
        for connection in waiting:
            await loop.connect_accepted_socket(self._protocol, connection)

    def _protocol(self) -> asyncio.Protocol:
        protocol = typing.cast(typing.Any, self.config.http_protocol_class)
        made: asyncio.Protocol = protocol(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )
        return made

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
        memory: Counts what is held for clients; shared by the servers of a process.
    """

    def __init__(
        self,
        application: typing.Any,
        address: settings.Address,
        protocol: typing.Callable[..., typing.Any] = bounded_http.BoundedHttpProtocol,
        close_timeout: datetime.timedelta = _CLOSE_TIMEOUT,
        memory: client_memory.ClientMemory | None = None,
    ) -> None:
        memory = client_memory.ClientMemory() if memory is None else memory
        protocol = functools.partial(protocol, memory=memory)
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


def _accept_all(listener: typing.Any) -> abc.Iterator[socket.socket]:
    """Accept the connections that wait at a listener."""
    with listener.dup() as accepting:
        while True:
            try:
                connection, _ = accepting.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                _log.error("connections not accepted", reason=repr(error))
                return
            connection.setblocking(False)
            yield connection
