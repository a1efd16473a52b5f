"""HTTP/1.1 protocol of callers' connections, with bounds on size and time.

It mends these faults of the server library:

- The size of a request's head is unbounded, so one caller can hold any memory.
- Trailers become fields of the head, unbounded as well, and so is a single one.
- All pipelined requests of a read are parsed at once, thousands of them, and more are
  read as each of them is served.
- A read of a body in tiny chunks takes as long to parse as thousands of requests, and
  delays all other callers meanwhile.
- So is the time a head takes to arrive, so one caller can hold a connection forever.
- The response to a caller that half-closes its connection is dropped.
- The error for a malformed pipelined request is written into the middle of a response
  that is still streaming on the connection.
"""

import asyncio
import contextlib
import dataclasses
import datetime
import enum
import json
import typing
from collections import abc

import logbook
from uvicorn.protocols.http import flow_control, httptools_impl

from pimentolatch import results
from pimentolatch.backend import sockets
from pimentolatch.decisions import client_memory

__all__ = [
    "ABORT_EXTENSION",
    "CLOSE_EXTENSION",
    "HALF_CLOSE_EXTENSION",
    "PIPELINE_EXTENSION",
    "TARGET_EXTENSION",
    "BoundedHttpProtocol",
    "HalfClose",
    "Unanswered",
    "is_pipelined_behind",
]

_log = logbook.Logger("connection")
# ASGI extension: aborts the connection at once, for callers that stop reading.
ABORT_EXTENSION = "pimentolatch.abort"
# ASGI extension: closes the connection once written data is sent, for responses that
# end early.
CLOSE_EXTENSION = "pimentolatch.close"
# ASGI extension, set once the caller has closed its sending side: a `HalfClose`.
HALF_CLOSE_EXTENSION = "pimentolatch.half_close"
# ASGI extension: the requests of the connection that wait for the response.
PIPELINE_EXTENSION = "pimentolatch.pipeline"
# ASGI extension: the request target as received, in bytes.
TARGET_EXTENSION = "pimentolatch.target"

HEAD_LIMIT_BYTES = 32_768
HEAD_SECONDS = 10.0
# Upper bound for a whole request. The handlers bound the time of a body themselves;
# this is above the longest they allow.
MESSAGE_SECONDS = 330.0
IDLE_SECONDS = 75.0
# Time for which the rest of a refused body is read and discarded, so that a caller that
# is still sending receives the refusal and not a connection reset.
LINGER_SECONDS = 5.0
# Time that a connection without a request has to send one once the server stops.
FIRST_REQUEST_SECONDS = 1.0
# Pipelined requests beside which a connection is still read, to notice that it ends.
_MAX_READ_AHEAD = 8
# What a request that waits occupies beside its body, in bytes.
_WAITING_BYTES = 2048
# Time after which a request that was refused for want of memory may come back.
_MEMORY_RETRY = datetime.timedelta(seconds=1)
# Bytes that are parsed before the requests that wait are counted. They may hold 150
# requests; larger parts hold more, smaller ones make large bodies slow to parse.
_PARSED_BYTES = 4096
# Chunks of bodies that a connection has parsed before others have their turn. A read of
# an ordinary body holds fewer.
_CHUNKS_PER_TURN = 256
_SERVICE_PATHS = "/v1/services/"


class Unanswered(enum.StrEnum):
    """Why a request got no response."""

    CUT_WITHIN = "the connection ended within the request"
    CUT_BEHIND = "the connection ended before its turn"
    REFUSED_BEHIND = "it was refused behind an earlier request"
    REFUSED_WITHIN = "it was refused after its response had begun"


@dataclasses.dataclass(frozen=True, slots=True)
class HalfClose:
    """A caller has closed its sending side and may wait for its response.

    Attributes:
        after: Time from the last byte of the caller until this was noticed.
        at: When it was noticed, by the clock of the event loop in seconds.
    """

    after: datetime.timedelta
    at: float


class _HeadTooLargeError(Exception):
    """The head of a request is over the limit."""


class _ResponseTransport:
    """A connection's transport, as a response sees it.

    The library closes it with the last response of a connection. Here the protocol
    decides how the connection ends.
    """

    def __init__(self, protocol: "BoundedHttpProtocol") -> None:
        self._protocol = protocol

    def write(self, data: bytes) -> None:
        """Write a part of the response."""
        self._protocol.transport.write(data)

    def is_closing(self) -> bool:
        """Return whether nothing more can be written, as no request for a body can."""
        return self._protocol.transport.is_closing()

    def close(self) -> None:
        """End the connection after the response."""
        self._protocol.close_after_response()


class _ReadControl(flow_control.FlowControl):
    """Flow control that resumes reading only if the protocol takes more input."""

    def __init__(
        self, transport: asyncio.Transport, takes_input: abc.Callable[[], bool]
    ) -> None:
        super().__init__(transport)
        self._takes_input = takes_input

    def resume_reading(self) -> None:
        """Resume reading, unless requests that have been read wait."""
        if self._takes_input():
            super().resume_reading()


class BoundedHttpProtocol(httptools_impl.HttpToolsProtocol):
    """A caller's connection; subclasses override the bounds.

    Args:
        memory: Bounds what is held for the clients of this process.
    """

    def __init__(
        self,
        *args: typing.Any,
        memory: client_memory.ClientMemory,
        **named: typing.Any,
    ) -> None:
        super().__init__(*args, **named)
        self._memory = memory
        self._bodies: dict[
            httptools_impl.RequestResponseCycle, client_memory.Holding
        ] = {}
        self._waiting: client_memory.Holding | None = None
        self._unread_answers: client_memory.Holding | None = None

    @property
    def head_limit_bytes(self) -> int:
        """Largest head of a request, in bytes."""
        return HEAD_LIMIT_BYTES

    @property
    def head_seconds(self) -> float:
        """Longest time a head may take to arrive, in seconds."""
        return HEAD_SECONDS

    @property
    def idle_seconds(self) -> float:
        """Longest time without a request on a connection, in seconds."""
        return IDLE_SECONDS

    _unparsed: bytes | memoryview = b""
    _begun_in_part = 0
    _body_in_part = False
    _chunks_in_turn = 0
    _bytes_without_body = 0
    _head_bytes = 0
    _head_too_large = False
    _in_head = False
    _in_message = False
    _discarding_input = False
    _idle_since = 0.0
    _looked_for_input = False
    _stopping = False
    _last_cycle: httptools_impl.RequestResponseCycle | None = None
    _running_cycle: httptools_impl.RequestResponseCycle | None = None
    _timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: typing.Any) -> None:
        """Start the idle timeout."""
        super().connection_made(transport)
        self.flow = _ReadControl(transport, self._takes_input)
        self._begin_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer, and what runs for the client."""
        self._cancel_timer()
        self._report_cut_requests()
        for body in self._bodies.values():
            self._memory.release(body)
        self._bodies.clear()
        self._unparsed = b""
        self._release_waiting()
        self._release_unread_answers()
        super().connection_lost(exc)
        # The library tells the newest request only, which may be a pipelined one.
        running = self._running_cycle
        if running is not None and not running.response_complete:
            running.disconnected = True
            running.message_event.set()

    def data_received(self, data: bytes) -> None:
        """Parse the data as far as requests may wait, and start timeouts."""
        if self._discarding_input:
            return
        self._unparsed = bytes(self._unparsed) + data if self._unparsed else data
        self._parse()

    def _parse(self) -> None:
        """Parse what has been read, and start the timeout of an incomplete request.

        Most requests arrive in one read and need no timer.
        """
        was_in_head, was_in_message = self._in_head, self._in_message
        self._chunks_in_turn = 0
        while self._unparsed and self._may_parse() and not self._is_turn_over():
            self._parse_part()
            if self._discarding_input:
                return
        self._count_waiting()
        if self._waiting is not None and not self._memory.has_room(self._waiting):
            self._refuse_for_memory()
            return
        if self._is_turn_over() and self._unparsed and self._may_parse():
            self.flow.pause_reading()
            self.loop.call_soon(self._parse_next_turn)
        elif not self._takes_input():
            # The rest of a request waits here for its turn, not for its client.
            self._cancel_timer()
            self.flow.pause_reading()
            return
        elif self.pipeline:
            self.flow.resume_reading()
        if self._in_head:
            if not was_in_head or self._timer is None:
                self._start_timer(self.head_seconds)
        elif self._in_message:
            if was_in_head or not was_in_message or self._timer is None:
                self._start_timer(MESSAGE_SECONDS)
        else:
            self._cancel_timer()
            if not self._response_pending():
                # Nothing but empty lines, for which the library ends the idle timeout.
                self.timeout_keep_alive_handler()

    def _is_turn_over(self) -> bool:
        return self._chunks_in_turn > _CHUNKS_PER_TURN

    def _parse_next_turn(self) -> None:
        """Go on parsing what has been read."""
        if not self._unparsed or self._discarding_input:
            return
        self._parse()
        # The library resumes reading once a handler has taken a larger body.
        if len(self.cycle.body) <= flow_control.HIGH_WATER_LIMIT:
            self.flow.resume_reading()

    def _parse_part(self) -> None:
        """Parse a part of what has been read."""
        was_in_message = self._in_message
        self._begun_in_part = 0
        self._body_in_part = False
        part: bytes | memoryview = self._unparsed
        self._unparsed = b""
        if len(part) > _PARSED_BYTES:
            part = memoryview(part)
            self._unparsed = part[_PARSED_BYTES:]
            part = part[:_PARSED_BYTES]
        super().data_received(typing.cast(bytes, part))
        if self._body_in_part and not self._discarding_input:
            self._ask_for_memory()
        if self._discarding_input:
            return
        if self._in_head:
            # A part in which a head begins may hold other requests before it.
            if self._begun_in_part + was_in_message <= 1:
                self._head_bytes += len(part)
            if self._head_bytes > self.head_limit_bytes:
                self._refuse(431, self._large_head())
        elif self._body_in_part or not self._in_message:
            self._bytes_without_body = 0
        else:
            self._bytes_without_body += len(part)
            if self._bytes_without_body > self.head_limit_bytes:
                self._refuse(431, self._large_trailers())

    def _may_parse(self) -> bool:
        """Whether more requests may wait, and more of the newest one's body."""
        if not self.pipeline:
            return True
        body = len(self.cycle.body)
        return (
            len(self.pipeline) < _MAX_READ_AHEAD
            and body <= flow_control.HIGH_WATER_LIMIT
        )

    def _takes_input(self) -> bool:
        """Whether the connection may be read."""
        return self._discarding_input or (not self._unparsed and self._may_parse())

    def eof_received(self) -> bool | None:  # type: ignore[override]
        """Handle a caller that closed its sending side.

        It has usually disconnected, so a completion is cancelled at once. A service
        call that has started is never cancelled, so its response is still written, for
        a caller that only half-closed the connection.

        Returns:
            True to keep the transport open for the response.
        """
        if self._in_message and not self._discarding_input:
            self._refuse(
                400, results.invalid("connection closed before the end of the request")
            )
        running = self._running_cycle
        if running is None or running.response_complete or running.disconnected:
            return None
        if not self.continues_after_eof(running.scope["path"]):
            return None
        self._close_after(self.cycle)
        self._announce_half_close(running)
        return True

    def continues_after_eof(self, path: str) -> bool:
        """Whether a request continues after its caller closed its sending side."""
        return path.startswith(_SERVICE_PATHS)

    def _now(self) -> datetime.timedelta:
        return datetime.timedelta(seconds=self.loop.time())

    def _count_body(
        self, cycle: httptools_impl.RequestResponseCycle, size: int
    ) -> None:
        holding = self._bodies.get(cycle)
        if holding is None:
            holding = self._memory.hold(
                client_memory.Kind.ARRIVING, self._now(), self._refuse_for_memory
            )
            self._bodies[cycle] = holding
        self._memory.add(holding, size)

    def _ask_for_memory(self) -> None:
        """Ask whether the body that has grown may stay as it is."""
        holding = self._bodies.get(self.cycle)
        if holding is None:
            return
        if not self.pipeline:
            self._memory.make_room(holding, self._now())
        elif not self._memory.has_room(holding):
            # It is held until its turn comes.
            self._refuse_for_memory()

    def _count_waiting(self) -> None:
        """Count what waits here for its turn or for the rest of a head."""
        size = len(self.pipeline) * _WAITING_BYTES + len(self._unparsed)
        if self._in_head:
            size += self._head_bytes
        if not size:
            self._release_waiting()
            return
        if self._waiting is None:
            self._waiting = self._memory.hold(
                client_memory.Kind.WAITING, self._now(), self._refuse_for_memory
            )
        self._memory.add(self._waiting, size - self._waiting.size)

    def _release_waiting(self) -> None:
        if self._waiting is not None:
            self._memory.release(self._waiting)
            self._waiting = None

    def _refuse_for_memory(self) -> None:
        """Refuse the request that is arriving, or has just arrived."""
        if self._discarding_input or self.transport.is_closing():
            return
        if self.pipeline and not self._in_message:
            # All that has been parsed is answered in its turn.
            self._take_no_more()
            self.cycle.keep_alive = False
            return
        refusal = results.Refusal(
            results.ResultCode.OVERLOADED,
            "this instance has no memory left for the request",
            results.Execution.NOT_RUN,
            _MEMORY_RETRY,
        )
        if not self._arrives_behind():
            self.report_refused(refusal, self.headers)
        self._refuse(refusal.http_status, refusal)

    def _release_body(self) -> None:
        """Count the body of the request that has been answered no longer."""
        if self._running_cycle is not None:
            holding = self._bodies.pop(self._running_cycle, None)
            if holding is not None:
                self._memory.release(holding)

    def _release_unread_answers(self) -> None:
        if self._unread_answers is not None:
            self._memory.release(self._unread_answers)
            self._unread_answers = None

    def _announce_half_close(
        self, running: httptools_impl.RequestResponseCycle
    ) -> None:
        """Tell the applications of all requests, and wake the one that runs."""
        since = sockets.since_last_data(self.transport.get_extra_info("socket"))
        half_close = HalfClose(since, self.loop.time())
        for cycle in (running, *(waiting for waiting, _ in self.pipeline)):
            extensions = typing.cast(typing.Any, cycle.scope["extensions"])
            extensions[HALF_CLOSE_EXTENSION] = half_close
        running.message_event.set()

    def send_400_response(self, msg: str) -> None:
        """Refuse a malformed request without corrupting an earlier response."""
        if self._head_too_large:
            self._refuse(431, self._large_head())
        else:
            self._refuse(400, results.invalid("request is not valid HTTP/1.1"))

    def on_message_begin(self) -> None:
        """Start to count the head of a new request."""
        super().on_message_begin()
        self._in_head = self._in_message = True
        self._begun_in_part += 1
        self._head_bytes = 0
        self._bytes_without_body = 0
        self.scope["extensions"] = {
            ABORT_EXTENSION: {"call": self.transport.abort},
            CLOSE_EXTENSION: {"call": self.transport.close},
            PIPELINE_EXTENSION: {"waiting": self.pipeline},
        }

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a field of the head; those behind the body are discarded.

        No check of the head has seen them, and nothing bounds their number.
        """
        if self._in_head:
            super().on_header(name, value)

    def _unsupported_upgrade_warning(self) -> None:
        super()._unsupported_upgrade_warning()
        # What the client has sent behind its request is in another protocol.
        self._unparsed = b""

    def on_headers_complete(self) -> None:
        """Check the size of a head that arrived in one read."""
        size = len(self.url) + sum(len(n) + len(v) for n, v in self.headers)
        if size > self.head_limit_bytes:
            self._head_too_large = True
            raise _HeadTooLargeError
        self._in_head = False
        self.scope["extensions"][TARGET_EXTENSION] = {"bytes": self.url}
        super().on_headers_complete()
        self.cycle.transport = typing.cast(typing.Any, _ResponseTransport(self))
        if self._stopping:
            self._close_after(self.cycle)
        if 0 < len(self.pipeline) < _MAX_READ_AHEAD:
            # The library reads no further, and would not notice that the client leaves.
            self.flow.resume_reading()

    def on_body(self, body: bytes) -> None:
        """Count a part of a body."""
        super().on_body(body)
        self._body_in_part = True
        self._chunks_in_turn += 1
        if not self.cycle.response_complete:
            self._count_body(self.cycle, len(body))

    def on_message_complete(self) -> None:
        """Record that the request is complete."""
        self._in_message = False
        super().on_message_complete()
        holding = self._bodies.get(self.cycle)
        if holding is not None:
            holding.kind = client_memory.Kind.WHOLE

    def pause_writing(self) -> None:
        """Count answers that the client does not read."""
        super().pause_writing()
        now = self._now()
        self._unread_answers = self._memory.hold(
            client_memory.Kind.UNREAD, now, self.transport.abort
        )
        self._memory.add(self._unread_answers, self.transport.get_write_buffer_size())
        self._memory.make_room(self._unread_answers, now)

    def resume_writing(self) -> None:
        """Count answers no longer that the client has read."""
        self._release_unread_answers()
        super().resume_writing()

    def on_response_complete(self) -> None:
        """Start the idle timeout, and shorten that of a body that still arrives."""
        self._release_body()
        if self._discarding_input:
            self.server_state.total_requests += 1
            self._serve_next()
            return
        super().on_response_complete()
        if self.timeout_keep_alive_task is not None:
            self._begin_idle()
        if self._in_head:
            # The next request has begun to arrive; its own limit applies.
            self._unset_keepalive_if_required()
        elif self._in_message and not self.transport.is_closing():
            self._start_timer(LINGER_SECONDS)
        if (self._unparsed or self._in_message) and not self.transport.is_closing():
            self._parse()
        else:
            self._count_waiting()
        self.flow.resume_reading()

    def _serve_next(self) -> None:
        """Serve the next request ahead of one that was refused, if there is any."""
        answered = self._running_cycle
        assert answered is not None
        if self.pipeline and answered.keep_alive and not self.transport.is_closing():
            self._start_asgi_task(*self.pipeline.pop())
        self._count_waiting()

    def close_after_response(self) -> None:
        """End the connection, after the rest of a body that still arrives.

        Unread bytes would reset the connection, and the caller would lose the response.
        """
        if self.transport.is_closing():
            return
        if self._in_message or self._unparsed or self._has_unread_input():
            self._discard_input()
        else:
            self.transport.close()

    def report_unanswered(
        self, reason: Unanswered, headers: abc.Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Report a request without a response; subclasses log it.

        Args:
            reason: Why it has none.
            headers: Its header fields, as far as they have arrived.
        """

    def report_refused(
        self, refusal: results.Refusal, headers: abc.Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Report a request that is refused for want of memory; subclasses log it.

        Args:
            refusal: The refusal.
            headers: Its header fields, as far as they have arrived.
        """

    def shutdown(self) -> None:
        """Close the connection once the requests that its client has sent are answered.

        A request that has not been read, or that has begun to arrive, is answered too.
        So is the first request of a connection that has just been opened: its client
        sends one at once, and has seen no response that announces the stop.
        """
        self._stopping = True
        if self._discarding_input:
            # Its caller may not have read the response yet; the connection ends soon.
            return
        if self._response_pending():
            self._close_after(self.cycle)
        elif self._in_message or self._has_unread_input():
            return
        elif self.cycle is None:
            self._begin_idle()
        else:
            self._close_idle()

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection, unless its bound has been raised meanwhile.

        A request that has just arrived is read first, in the next turn of the loop.
        """
        left = self._idle_since + self._idle_limit() - self.loop.time()
        if self.transport.is_closing():
            return
        if left > 0:
            self._schedule_idle_timeout(left)
        elif not self._looked_for_input and self._has_unread_input():
            self._looked_for_input = True
            self._schedule_idle_timeout(0.0)
        else:
            self._report_unread_input("idle", overdue_seconds=-left)
            self._close_idle()

    def _close_idle(self) -> None:
        """Close the connection; its client learns of it at once.

        The event loop closes a transport in its next turn, which comes late on a busy
        machine. A client that sends a request until then gets a reset for an answer.
        """
        with contextlib.suppress(OSError):
            self.transport.write_eof()
        self.transport.close()

    def _begin_idle(self) -> None:
        self._unset_keepalive_if_required()
        self._idle_since = self.loop.time()
        self._looked_for_input = False
        self._schedule_idle_timeout(self._idle_limit())

    def _idle_limit(self) -> float:
        if self._stopping:
            return min(self.idle_seconds, FIRST_REQUEST_SECONDS)
        return self.idle_seconds

    def _schedule_idle_timeout(self, seconds: float) -> None:
        # The library's own time-out is a whole number of seconds.
        self.timeout_keep_alive_task = self.loop.call_later(
            seconds, self.timeout_keep_alive_handler
        )

    def _report_unread_input(self, limit: str, *, overdue_seconds: float) -> None:
        """Log that a limit ends a connection whose client has sent more.

        The client may have sent a whole request in time, and gets no answer to it.
        """
        if self.transport.is_closing():
            return
        unread = sockets.unread_bytes(self.transport.get_extra_info("socket"))
        if unread:
            _log.warn(
                "closed with unread input",
                limit=limit,
                overdue_ms=round(overdue_seconds * 1000),
                unread=unread,
            )

    def _large_head(self) -> results.Refusal:
        return results.invalid(
            f"request head is larger than the limit of {self.head_limit_bytes} bytes"
        )

    def _large_trailers(self) -> results.Refusal:
        return results.invalid(
            "what comes without a byte of the request's body is larger than the limit "
            f"of {self.head_limit_bytes} bytes"
        )

    def _start_asgi_task(
        self, cycle: httptools_impl.RequestResponseCycle, app: typing.Any
    ) -> None:
        self._running_cycle = cycle
        super()._start_asgi_task(cycle, app)

    def _report_cut_requests(self) -> None:
        waiting = [cycle for cycle, _ in self.pipeline]
        for cycle in reversed(waiting):
            headers = cycle.scope["headers"]
            self.report_unanswered(Unanswered.CUT_BEHIND, headers)
        arriving = self._in_head or (self._in_message and self._response_pending())
        if arriving and not self._discarding_input and self.cycle not in waiting:
            self.report_unanswered(Unanswered.CUT_WITHIN, self.headers)

    def _has_unread_input(self) -> bool:
        return sockets.unread_bytes(self.transport.get_extra_info("socket")) > 0

    def _close_after(self, cycle: httptools_impl.RequestResponseCycle) -> None:
        """Close the connection after this response instead of an earlier one."""
        earlier = self._last_cycle
        if earlier is not None and not earlier.response_started:
            earlier.keep_alive = True
        if cycle.keep_alive:
            cycle.keep_alive = False
            self._last_cycle = cycle

    def _response_pending(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _refuse(self, status: int, refusal: results.Refusal) -> None:
        """Refuse the request that is arriving, and parse nothing more.

        The sending side is closed at once, and incoming data is discarded for
        `LINGER_SECONDS`: closing a socket with unread bytes resets the connection, and
        the caller would lose the refusal.
        """
        self._take_no_more()
        if self._arrives_behind():
            # The response to an earlier request of the connection is still being sent.
            self.report_unanswered(Unanswered.REFUSED_BEHIND, self.headers)
            if self._in_message and not self._in_head:
                self._drop_newest()
            self.cycle.keep_alive = False
            return
        if self._response_pending():
            self._release_body()
            self.cycle.disconnected = True
            self.cycle.message_event.set()
            if self.cycle.response_started:
                self.report_unanswered(Unanswered.REFUSED_WITHIN, self.headers)
                self.transport.close()
                return
        elif self._in_message and not self._in_head:
            # The request has been answered before the end of its body.
            self._discard_input()
            return
        body = json.dumps(refusal.to_json())
        retry = ""
        if refusal.retry_after is not None:
            retry = f"retry-after: {refusal.retry_after.total_seconds():.3f}\r\n"
        self.transport.write(
            f"HTTP/1.1 {status} Refused\r\ncontent-type: application/json\r\n"
            f"content-length: {len(body)}\r\nconnection: close\r\n"
            f"{results.RESULT_HEADER}: {int(refusal.code)}\r\n"
            f"{retry}\r\n{body}".encode()
        )
        self._discard_input()

    def _drop_newest(self) -> None:
        """Drop the request that is arriving and waits for its turn."""
        dropped, _ = self.pipeline.popleft()
        holding = self._bodies.pop(dropped, None)
        if holding is not None:
            self._memory.release(holding)
        earlier = self.pipeline[0][0] if self.pipeline else self._running_cycle
        assert earlier is not None
        self.cycle = earlier

    def _arrives_behind(self) -> bool:
        """Whether what arrives is behind a request that is due an answer."""
        return bool(self.pipeline) or (self._in_head and self._response_pending())

    def _take_no_more(self) -> None:
        """Parse nothing more of what the client has sent or sends."""
        self._discarding_input = True
        self._unparsed = b""
        self._cancel_timer()

    def _discard_input(self) -> None:
        """Close the sending side, and discard what still arrives for a while."""
        self._take_no_more()
        self.flow.resume_reading()
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
        assert self._timer is not None
        self._report_unread_input(
            "head" if self._in_head else "message",
            overdue_seconds=self.loop.time() - self._timer.when(),
        )
        if self._in_head:
            message = f"request head did not arrive within {self.head_seconds:g} s"
            self._refuse(408, results.invalid(message))
        elif not self._response_pending():
            # The rest of a refused body did not arrive.
            self.transport.abort()


def is_pipelined_behind(scope: typing.MutableMapping[str, typing.Any]) -> bool:
    """Whether further requests of a request's connection wait for its response."""
    return bool(scope["extensions"][PIPELINE_EXTENSION]["waiting"])
