"""The HTTP/1.1 protocol of callers' connections, with bounds on what may arrive.

The server library bounds neither the size of a request's head nor the time it takes,
drops the answer of a caller that closes its sending side, and writes the error of a
malformed request into the middle of an answer that still streams on the connection.
Each of these lets one caller hold memory for ever or spoil another answer.
"""

import asyncio
import json
import typing

from uvicorn.protocols.http import httptools_impl

from pimentolatch import results

__all__ = [
    "ABORT_EXTENSION",
    "CLOSE_EXTENSION",
    "TARGET_EXTENSION",
    "BoundedHttpProtocol",
]

# Ends the connection at once; for callers that do not read.
ABORT_EXTENSION = "pimentolatch.abort"
# Closes the connection after what was written; for answers that broke off.
CLOSE_EXTENSION = "pimentolatch.close"
# The request's target as the caller sent it.
TARGET_EXTENSION = "pimentolatch.target"

HEAD_LIMIT_BYTES = 32_768
HEAD_SECONDS = 10.0
# Above the longest time a body may take, which the handlers see to themselves.
MESSAGE_SECONDS = 330.0
FIRST_BYTE_SECONDS = 75.0
# How long the rest of a refused body is read and dropped, so that the caller, still
# sending, gets to read the refusal rather than a reset connection.
LINGER_SECONDS = 5.0
_SERVICE_PATHS = "/v1/services/"


class _HeadTooLargeError(Exception):
    """The head is over `HEAD_LIMIT_BYTES`."""


class BoundedHttpProtocol(httptools_impl.HttpToolsProtocol):
    """One connection of a caller."""

    @property
    def head_limit_bytes(self) -> int:
        """Largest head of a request."""
        return HEAD_LIMIT_BYTES

    @property
    def head_seconds(self) -> float:
        """Longest time a head may take to arrive."""
        return HEAD_SECONDS

    @property
    def first_byte_seconds(self) -> float:
        """Longest time a new connection may stay silent."""
        return FIRST_BYTE_SECONDS

    _head_bytes = 0
    _head_too_large = False
    _in_head = False
    _in_message = False
    _discarding_input = False
    _timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: typing.Any) -> None:
        """Start the bound on the first byte."""
        super().connection_made(transport)
        self._start_timer(self.first_byte_seconds)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the timer."""
        self._cancel_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived, and bound what has not yet arrived.

        Most requests arrive whole in one read and need no timer.
        """
        if self._discarding_input:
            return
        was_in_head, was_in_message = self._in_head, self._in_message
        super().data_received(data)
        if self._in_head:
            self._head_bytes += len(data)
            if self._head_bytes > self.head_limit_bytes:
                self._refuse(431, self._head_too_large_message())
            elif not was_in_head:
                self._start_timer(self.head_seconds)
        elif self._in_message:
            if was_in_head or not was_in_message:
                self._start_timer(MESSAGE_SECONDS)
        else:
            self._cancel_timer()

    def eof_received(self) -> bool | None:  # type: ignore[override]
        """Handle a caller that closed its sending side.

        Mostly it has gone for good, and its completion is cancelled at once. A call
        of a service that has begun runs to its end in any case, so its answer is
        still written, for a caller that only half closed.
        """
        if self._discarding_input:
            return None
        if self._in_message:
            self._refuse(400, "the connection was closed before the request's end")
            return None
        if not self._response_pending():
            return None
        if not self.continues_after_eof(self.cycle.scope["path"]):
            return None
        self.cycle.keep_alive = False
        return True

    def continues_after_eof(self, path: str) -> bool:
        """Tell whether a request goes on when its caller has stopped sending."""
        return path.startswith(_SERVICE_PATHS)

    def send_400_response(self, msg: str) -> None:
        """Refuse a malformed request without a mark on an earlier one's answer."""
        if self._head_too_large:
            self._refuse(431, self._head_too_large_message())
        else:
            self._refuse(400, "the request is not valid HTTP/1.1")

    def on_message_begin(self) -> None:
        """Note that a request's head has begun."""
        super().on_message_begin()
        self._in_head = self._in_message = True
        self._head_bytes = 0
        self.scope["extensions"] = {
            ABORT_EXTENSION: {"call": self.transport.abort},
            CLOSE_EXTENSION: {"call": self.transport.close},
        }

    def on_headers_complete(self) -> None:
        """Bound the head also when it came in one read."""
        size = len(self.url) + sum(len(n) + len(v) for n, v in self.headers)
        if size > self.head_limit_bytes:
            self._head_too_large = True
            raise _HeadTooLargeError
        self._in_head = False
        self.scope["extensions"][TARGET_EXTENSION] = {"bytes": self.url}
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Note that a request is whole."""
        self._in_message = False
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Stop waiting long for a body whose request is answered."""
        super().on_response_complete()
        if self._in_message and not self.transport.is_closing():
            self._start_timer(LINGER_SECONDS)

    def _head_too_large_message(self) -> str:
        return f"the head is over {self.head_limit_bytes} bytes"

    def _response_pending(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _refuse(self, status: int, message: str) -> None:
        """Refuse the request that is now arriving, and read nothing more.

        The sending side is closed at once and the rest of what arrives is dropped for
        a while: closing a socket with unread bytes resets the connection, and the
        caller would lose the refusal.
        """
        self._discarding_input = True
        self._cancel_timer()
        if self.pipeline or (self._in_head and self._response_pending()):
            # An earlier request of the connection is still being answered.
            self.cycle.keep_alive = False
            return
        if self._response_pending():
            self.cycle.disconnected = True
            self.cycle.message_event.set()
            if self.cycle.response_started:
                self.transport.close()
                return
        body = json.dumps(results.invalid(message).to_json())
        self.transport.write(
            f"HTTP/1.1 {status} Refused\r\ncontent-type: application/json\r\n"
            f"content-length: {len(body)}\r\nconnection: close\r\n"
            f"{results.RESULT_HEADER}: {int(results.ResultCode.INVALID_REQUEST)}\r\n"
            f"\r\n{body}".encode()
        )
        self.transport.write_eof()
        self._timer = self.loop.call_later(LINGER_SECONDS, self.transport.abort)

    def _start_timer(self, seconds: float) -> None:
        self._cancel_timer()
        self._timer = self.loop.call_later(seconds, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._in_head:
            self._refuse(
                408, f"the head took more than {self.head_seconds:g} s to arrive"
            )
        elif not self._response_pending():
            # Nothing came at all, or the rest of a body that was refused.
            self.transport.abort()
