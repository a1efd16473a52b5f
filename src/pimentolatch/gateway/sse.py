"""Splits a byte stream of server-sent events into complete events."""

import dataclasses

__all__ = ["Event", "EventSplitter", "OversizedEventError"]

_END = b"\n\n"
# An event has one or a few tokens.
_MAX_EVENT_BYTES = 262_144
_ID = b"id:"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event, byte for byte; `number` is None if it has no numeric id."""

    number: int | None
    data: bytes


class OversizedEventError(Exception):
    """An event does not end."""


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
        """Return the events that are now complete.

        Raises:
            OversizedEventError: The next event is too large.
        """
        *whole, self._partial = (self._partial + data).split(_END)
        if len(self._partial) > _MAX_EVENT_BYTES:
            raise OversizedEventError(
                f"an event exceeds {_MAX_EVENT_BYTES} bytes without an end"
            )
        return [Event(_number(event), event + _END) for event in whole]


def _number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            return int(text) if text.isdigit() else None
    return None
