"""Non-blocking logging as JSON lines."""

import collections
import datetime
import json
import os
import typing

import logbook

__all__ = ["BoundedStream", "JsonLinesHandler", "set_up"]

_STANDARD_OUTPUT = 1
# Lines that the pipe has not taken yet; some seconds of a busy instance.
_MAX_BUFFERED_BYTES = 262_144


class BoundedStream:
    """Writes lines to a file descriptor without blocking.

    With an ordinary stream, a log collector that stops reading stops the process: the
    pipe fills up, and the next line blocks the event loop with all requests. Here lines
    that the pipe does not take are buffered. When the buffer is full, lines are dropped
    and counted; the count is logged once the buffer has been written out.

    Args:
        descriptor: File descriptor to write to; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write or buffer a line; drop it if the buffer is full."""
        data = text.encode()
        if self._buffered_bytes + len(data) > _MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._append(data)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The process that read the log has closed its end for good.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()
            if self.dropped and not self._buffer:
                self._report_dropped()

    def _append(self, data: bytes) -> None:
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def _report_dropped(self) -> None:
        line = {"level": "warning", "message": "log lines dropped", "n": self.dropped}
        self.dropped = 0
        self._append(json.dumps(line).encode() + b"\n")


class JsonLinesHandler(logbook.StreamHandler):
    """Writes each record as a JSON object; extra fields are added at the top level."""

    def __init__(self, stream: typing.Any, level: int, instance: str) -> None:
        super().__init__(stream, level=level, bubble=False)
        self._instance = instance

    def format(self, record: logbook.LogRecord) -> str:
        """Return the record as JSON, without a newline."""
        fields: dict[str, typing.Any] = {
            "time": _format_time(record.time),
            "level": record.level_name.lower(),
            "instance": self._instance,
            "logger": record.channel,
            "message": record.message,
        }
        fields.update(record.kwargs)
        if record.exc_info:
            fields["exception"] = record.formatted_exception
        return json.dumps(fields, default=str)


def _format_time(time: datetime.datetime | None) -> str | None:
    return None if time is None else time.isoformat(timespec="milliseconds")


def set_up(level: str, instance: str) -> None:
    """Write the log records of this process to standard output as JSON lines."""
    logbook.set_datetime_format("utc")
    number = logbook.lookup_level(level)
    stream = BoundedStream(_STANDARD_OUTPUT)
    JsonLinesHandler(stream, number, instance).push_application()
