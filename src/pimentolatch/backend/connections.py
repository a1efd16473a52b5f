"""HTTP client for engines, and the errors that its calls raise.

To the library, a response that is cut within its head is one without a body, and an
interim response is the response. So it serves only calls whose responses show by their
content that they are complete. Others use `backend.full_response`.
"""

import datetime
import typing

import aiosonic
import aiosonic.connection
import aiosonic.connectors
import aiosonic.exceptions
import aiosonic.pools
import aiosonic.timeout

from pimentolatch.backend import sockets

__all__ = [
    "ANSWER_FAILURES",
    "CONNECT_FAILURES",
    "ConnectError",
    "client",
    "end_after",
    "has_unread",
    "timeouts",
]

_POOL_SIZE = 1024


class ConnectError(aiosonic.exceptions.AiosonicError):
    """The connection could not be opened, so no byte of the request was sent."""


# Raised only before a connection is open. Any other error, whatever its name, may occur
# after the first byte was sent.
CONNECT_FAILURES = (
    aiosonic.exceptions.ConnectTimeout,
    aiosonic.exceptions.ConnectionPoolAcquireTimeout,
    ConnectError,
)

# All errors that a call can raise. A truncated chunked body raises a plain ValueError,
# a body shorter than its Content-Length an EOFError (IncompleteReadError).
ANSWER_FAILURES = (
    aiosonic.exceptions.AiosonicError,
    EOFError,
    OSError,
    TimeoutError,
    ValueError,
)


class _Connection(aiosonic.connection.Connection):
    """A connection that never returns one request's response to another request.

    After a time-out or cancellation, the library returns a connection to its pool
    without closing it, if an earlier response on it allowed keep-alive. The late
    response would then be read as the response to the next request, and a caller would
    get another caller's result. This class therefore closes the connection on every
    error, and does not reuse one that has unread bytes or was closed by the server.
    """

    @property
    def has_unread(self) -> bool:
        """Whether received bytes have not been read yet.

        The standard reader has this only in a private attribute. If it is missing,
        nothing counts as unread; connections are still closed on every error.
        """
        return bool(getattr(self.reader, "_buffer", b""))

    async def connect(self, *args: typing.Any) -> None:
        """Connect; raises `ConnectError` in place of `OSError`."""
        try:
            await super().connect(*args)
        except OSError as error:
            raise ConnectError(repr(error)) from error
        if self.writer is not None and not self.reused:
            sockets.reset_on_close(self.writer.get_extra_info("socket"))

    def reuse(self, *args: typing.Any) -> bool:
        """Return whether the open connection may be used for another request."""
        if not super().reuse(*args):
            return False
        return not self.has_unread and not (self.reader and self.reader.at_eof())

    async def __aexit__(
        self, exc_type: typing.Any, exc: typing.Any, traceback: typing.Any
    ) -> None:
        if exc_type is not None:
            self.keep = False
        await super().__aexit__(exc_type, exc, traceback)


def client() -> aiosonic.HTTPClient:
    """Return a client that reuses its connections."""
    pool = aiosonic.pools.PoolConfig(size=_POOL_SIZE)
    connector = aiosonic.connectors.TCPConnector(
        pool_configs={":default": pool}, connection_cls=_Connection
    )
    return aiosonic.HTTPClient(connector)


def timeouts(
    *, connect: datetime.timedelta, response_timeout: datetime.timedelta
) -> aiosonic.timeout.Timeouts:
    """Return time limits for connecting and for the first line of the response.

    The library does not limit later reads; readers of a body set their own limit.
    """
    return aiosonic.timeout.Timeouts(
        sock_connect=connect.total_seconds(),
        sock_read=response_timeout.total_seconds(),
        request_timeout=None,
    )


def has_unread(response: aiosonic.HttpResponse) -> bool:
    """Return whether received bytes of a response's body have not been read."""
    connection = getattr(response, "_connection", None)
    return isinstance(connection, _Connection) and connection.has_unread


def end_after(response: aiosonic.HttpResponse) -> None:
    """Close the connection of a response once its body has been read.

    For responses that name no request: the server may repeat one later, and it would be
    taken for the response to the next request on the connection.
    """
    connection = getattr(response, "_connection", None)
    if not isinstance(connection, _Connection):
        return
    connection.keep = False
    if not connection.blocked:
        # The body has been read, and the connection is in the pool.
        connection.close()
