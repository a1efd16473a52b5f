"""Logs as JSON lines that never hold the process up."""

import collections
import datetime
import json
import os
import typing

import logbook

__all__ = ["BoundedStream", "JsonLinesHandler", "set_up"]

_STANDARD_OUTPUT = 1
# Lines that wait for a reader; some seconds of a busy instance.
_MAX_BUFFERED_BYTES = 262_144


class BoundedStream:
    """Writes lines to a file descriptor without ever waiting for its reader.

    With a plain stream, a log collector that stops reading stops the process: the pipe
    fills and the next line blocks the event loop, requests included. Here what the pipe
    does not take waits in a bounded buffer, and what that does not hold is dropped and
    counted; the count is written as soon as there is room again.

    Args:
        descriptor: Where to write; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Take a line."""
        data = text.encode()
        if self._buffered_bytes + len(data) > _MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._append(data)
        self.flush()

    def flush(self) -> None:
        """Hand on what the reader takes now."""
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will ever read it.
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
    """Writes each record as one JSON object; extra fields stand beside the message."""

    def __init__(self, stream: typing.Any, level: int, instance: str) -> None:
        super().__init__(stream, level=level, bubble=False)
        self._instance = instance

    def format(self, record: logbook.LogRecord) -> str:
        """Return the record as a JSON line without its end."""
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
    """Send the records of this process to standard output as JSON lines."""
    logbook.set_datetime_format("utc")
    number = logbook.lookup_level(level)
    stream = BoundedStream(_STANDARD_OUTPUT)
    JsonLinesHandler(stream, number, instance).push_application()
