"""Cuts a stream of server-sent events into whole events."""

import dataclasses

__all__ = ["Event", "EventSplitter"]

_END = b"\n\n"
_ID = b"id:"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event, byte for byte; `number` is None if it bears no number."""

    number: int | None
    data: bytes


class EventSplitter:
    """Holds back the part of an event whose end has not arrived.

    A server that crashes may stop in the middle of an event. Passed on, that half would
    be joined to the first event of the server that goes on.
    """

    def __init__(self) -> None:
        self._partial = b""

    @property
    def incomplete(self) -> bool:
        """Whether the bytes so far end within an event."""
        return bool(self._partial)

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are whole now."""
        *whole, self._partial = (self._partial + data).split(_END)
        return [Event(_number(event), event + _END) for event in whole]


def _number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            return int(text) if text.isdigit() else None
    return None
