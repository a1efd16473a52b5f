"""HTTP connections to backend servers, and the errors a call can end in."""

import datetime
import typing

import aiosonic
import aiosonic.connection
import aiosonic.connectors
import aiosonic.exceptions
import aiosonic.pools
import aiosonic.timeout

__all__ = [
    "ANSWER_FAILURES",
    "CONNECT_FAILURES",
    "ConnectError",
    "client",
    "has_framed_body",
    "has_unread",
    "timeouts",
]

_POOL_SIZE = 1024
_NO_REUSE = 0
_BODILESS = (204, 304)


class ConnectError(aiosonic.exceptions.AiosonicError):
    """The connection never stood, so not a byte of the request has left."""


# Raised only before a connection stands. Any other error may come after the first
# byte was sent, whatever its name says.
CONNECT_FAILURES = (
    aiosonic.exceptions.ConnectTimeout,
    aiosonic.exceptions.ConnectionPoolAcquireTimeout,
    ConnectError,
)

# Everything else a call can raise. A truncated chunked body raises a plain
# ValueError and a short Content-Length an EOFError (IncompleteReadError).
ANSWER_FAILURES = (
    aiosonic.exceptions.AiosonicError,
    EOFError,
    OSError,
    TimeoutError,
    ValueError,
)


class _Connection(aiosonic.connection.Connection):
    """A connection that never carries one request's answer to another.

    The library returns a connection to its pool still open after a timeout or a
    cancellation, if an earlier answer on it allowed keep-alive. The late answer then
    waits in the socket and is read as the answer to the next request: a caller gets
    somebody else's result. Closing on every error, and not reusing a connection
    that holds unread bytes or was closed by the server, leaves nothing to be read.
    """

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that nobody has read yet.

        The standard reader shows this only in a private attribute. Without it nothing
        would be seen as unread: connections would still be closed on every error.
        """
        return bool(getattr(self.reader, "_buffer", b""))

    async def connect(self, *args: typing.Any) -> None:
        """Connect; raises `ConnectError` in place of the system's errors."""
        try:
            await super().connect(*args)
        except OSError as error:
            raise ConnectError(repr(error)) from error

    def reuse(self, *args: typing.Any) -> bool:
        """Tell whether the open connection may carry another request."""
        if not super().reuse(*args):
            return False
        return not self.has_unread and not (self.reader and self.reader.at_eof())

    def keep_alive(self) -> None:
        """Keep the connection after this answer, unless it is for one use only."""
        if self.pool.conf.max_conn_requests != _NO_REUSE:
            super().keep_alive()

    async def __aexit__(
        self, exc_type: typing.Any, exc: typing.Any, traceback: typing.Any
    ) -> None:
        if exc_type is not None:
            self.keep = False
        await super().__aexit__(exc_type, exc, traceback)


def client(*, reuse: bool) -> aiosonic.HTTPClient:
    """Return a client whose connections are kept for reuse, or used once.

    A reused idle connection can die with a request on it, and then nobody knows
    whether the request ran. Calls that may not be repeated therefore use each
    connection once. (The library counts from zero: a limit of 1 allows two uses.)
    """
    if reuse:
        pool = aiosonic.pools.PoolConfig(size=_POOL_SIZE)
    else:
        pool = aiosonic.pools.PoolConfig(size=_POOL_SIZE, max_conn_requests=_NO_REUSE)
    connector = aiosonic.connectors.TCPConnector(
        pool_configs={":default": pool}, connection_cls=_Connection
    )
    return aiosonic.HTTPClient(connector)


def timeouts(
    *, connect: datetime.timedelta, response_timeout: datetime.timedelta
) -> aiosonic.timeout.Timeouts:
    """Return time limits on connecting and on waiting for the answer's first line.

    The library bounds no later read; whoever reads a body sets its own limit.
    """
    return aiosonic.timeout.Timeouts(
        sock_connect=connect.total_seconds(),
        sock_read=response_timeout.total_seconds(),
        request_timeout=None,
    )


def has_unread(response: aiosonic.HttpResponse) -> bool:
    """Tell whether more of an answer's body has arrived than was read."""
    connection = getattr(response, "_connection", None)
    return isinstance(connection, _Connection) and connection.has_unread


def has_framed_body(response: aiosonic.HttpResponse) -> bool:
    """Tell whether an answer states where its body ends.

    An answer cut in the middle of its headers looks to the library like one with no
    body. Taking it for whole would hand the caller an empty success.
    """
    if response.status_code in _BODILESS or response.chunked:
        return True
    return str(response.headers.get("content-length", "")).isdigit()
