"""Relays the events of a stream to a client, over all the responses they come in."""

from pimentolatch import clock
from pimentolatch.backend import channel
from pimentolatch.gateway import (
    client_request,
    request_progress,
    route_metrics,
    sse,
)

__all__ = ["EventRelay"]

# An event has a token at least. Servers may also send comments, and repeat events that
# the client has.
_EVENTS_PER_TOKEN = 2
_MAX_OTHER_EVENTS = 1000


class EventRelay:
    """Relays the complete events of one response that the client does not have yet.

    Args:
        request: The request.
        response: Response to the client, which an earlier server may have started.
        progress: Progress of the request.
        status: Status of the response that is relayed.
        fields: Its header fields.
        metrics: Measures latencies as the client sees them, across all servers.
        time: Clock of this instance.
    """

    def __init__(
        self,
        request: client_request.ClientRequest,
        response: client_request.ClientResponse,
        progress: request_progress.Progress,
        status: int,
        fields: client_request.Fields,
        metrics: route_metrics.RouteMetrics,
        time: clock.Clock,
    ) -> None:
        self._request = request
        self._response = response
        self._progress = progress
        self._status = status
        self._fields = fields
        self._metrics = metrics
        self._clock = time
        self._splitter = sse.EventSplitter()
        self._events = 0
        prompt = request.head.prompt
        tokens = 0 if prompt is None else prompt.max_output
        self._max_events = _EVENTS_PER_TOKEN * tokens + _MAX_OTHER_EVENTS

    def take(self, data: bytes) -> list[sse.Event]:
        """Return the events that are now complete and that the client does not have.

        Raises:
            BrokenError: The stream has no end.
        """
        last = self._progress.last_event
        try:
            events = self._splitter.feed(data)
        except sse.OversizedEventError as error:
            raise channel.BrokenError(str(error)) from error
        self._events += len(events)
        if self._events > self._max_events:
            raise channel.BrokenError(f"more than {self._max_events} events came")
        return [
            event for event in events if event.number is None or event.number > last
        ]

    async def write(self, events: list[sse.Event]) -> None:
        """Write events to the client."""
        self._measure()
        await self._start()
        await self._response.write(b"".join(event.data for event in events))
        self._progress.trace.timeline.written(self._clock.monotonic())
        self._progress.last_event = events[-1].number or self._progress.last_event

    async def finish(self) -> None:
        """Write the end of the response.

        Raises:
            BrokenError: The stream ended within an event.
        """
        if self._splitter.incomplete:
            raise channel.BrokenError("the stream ended within an event")
        await self._start()
        await self._response.finish()

    async def _start(self) -> None:
        if not self._response.started:
            await self._response.start(self._status, self._fields)

    def _measure(self) -> None:
        progress, now = self._progress, self._clock.monotonic()
        if progress.last_event_at is None:
            self._metrics.first_event((now - self._request.arrived_at).total_seconds())
        else:
            self._metrics.pause((now - progress.last_event_at).total_seconds())
        progress.last_event_at = now
        progress.trace.timeline.answered(now)
