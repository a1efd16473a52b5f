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

# An event has a token at least. Servers may also repeat events that the client has, and
# send a comment and empty lines with each event.
_EVENTS_PER_TOKEN = 2
_OTHER_BLOCKS_PER_TOKEN = 4
_MAX_EXTRA_BLOCKS = 1000
_MAX_HELD_BYTES = 65_536


class EventRelay:
    """Relays the complete blocks of one response that the client does not have yet.

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
        self._splitter = sse.BlockSplitter(keeps_mark=not response.started)
        self._events = self._other_blocks = 0
        # Blocks before the first event of the response to the client.
        self._held: list[sse.Block] = []
        self._resumed_after = progress.last_event
        self._position = self._highest = 0
        prompt = request.head.prompt
        tokens = 0 if prompt is None else prompt.max_output
        self._max_events = _EVENTS_PER_TOKEN * tokens + _MAX_EXTRA_BLOCKS
        self._max_other_blocks = _OTHER_BLOCKS_PER_TOKEN * tokens + _MAX_EXTRA_BLOCKS

    def take(self, data: bytes) -> list[sse.Block]:
        """Return the blocks that are now complete and that the client does not have.

        Raises:
            BrokenError: The stream has no end.
        """
        try:
            blocks = self._splitter.feed(data)
        except sse.OversizedEventError as error:
            raise channel.BrokenError(str(error)) from error
        for block in blocks:
            self._events += block.is_event
            self._other_blocks += not block.is_event
        if self._events > self._max_events:
            raise channel.BrokenError(f"more than {self._max_events} events came")
        if self._other_blocks > self._max_other_blocks:
            raise channel.BrokenError(
                f"more than {self._max_other_blocks} comments and empty lines came"
            )
        return [block for block in blocks if self._is_new(block)]

    async def write(self, blocks: list[sse.Block]) -> None:
        """Write blocks to the client.

        What comes before the first event waits for it. Until then another engine can
        take over, or the request can be refused, as if nothing had been sent.

        Raises:
            BrokenError: Too much came before the first event.
        """
        if sse.count_events(blocks):
            self._measure()
        elif not self._response.started:
            self._hold(blocks)
            return
        await self._start()
        if self._held:
            blocks = [*self._held, *blocks]
            self._held = []
        await self._response.write(b"".join([block.data for block in blocks]))
        self._progress.trace.timeline.written(self._clock.monotonic())
        for block in blocks:
            self._response.events += block.is_event
            if block.number is not None and block.number > self._progress.last_event:
                self._progress.last_event = block.number

    async def finish(self) -> None:
        """Write the end of the response.

        Raises:
            BrokenError: The stream ended within an event.
        """
        if self._splitter.incomplete:
            raise channel.BrokenError("the stream ended within an event")
        await self._start()
        rest = b"".join(block.data for block in self._held) + self._splitter.rest
        await self._response.finish(rest)

    async def _start(self) -> None:
        if not self._response.started:
            await self._response.start(self._status, self._fields)

    def _hold(self, blocks: list[sse.Block]) -> None:
        self._held += blocks
        if sum(len(block.data) for block in self._held) > _MAX_HELD_BYTES:
            raise channel.BrokenError(
                f"over {_MAX_HELD_BYTES} bytes came before the first event"
            )

    def _is_new(self, block: sse.Block) -> bool:
        """Tell whether the client does not have a block.

        An event without a number belongs to the numbered one before it.
        """
        if block.number is None:
            is_repeated = 0 < self._position <= self._resumed_after
            return not (block.is_event and is_repeated)
        last = max(self._highest, self._resumed_after)
        self._position = block.number
        self._highest = max(self._highest, block.number)
        return block.number > last

    def _measure(self) -> None:
        progress, now = self._progress, self._clock.monotonic()
        if progress.last_event_at is None:
            self._metrics.first_event((now - self._request.arrived_at).total_seconds())
        else:
            self._metrics.pause((now - progress.last_event_at).total_seconds())
        progress.last_event_at = now
        progress.trace.timeline.answered(now)
