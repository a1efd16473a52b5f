"""Splits a byte stream of server-sent events into complete events."""

import dataclasses

__all__ = ["Event", "EventSplitter"]

_END = b"\n\n"
_ID = b"id:"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event, byte for byte; `number` is None if it has no numeric id."""

    number: int | None
    data: bytes


class EventSplitter:
    """Holds back a partial event until its end has arrived.

    A server that crashes may stop in the middle of an event. If the partial event were
    forwarded, the first event of the server that resumes the stream would be joined to
    it.
    """

    def __init__(self) -> None:
        self._partial = b""

    @property
    def incomplete(self) -> bool:
        """Whether the bytes so far end within an event."""
        return bool(self._partial)

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are now complete."""
        *whole, self._partial = (self._partial + data).split(_END)
        return [Event(_number(event), event + _END) for event in whole]


def _number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            return int(text) if text.isdigit() else None
    return None
