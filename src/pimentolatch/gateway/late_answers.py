"""Reports answers that were late, with their cause."""

import dataclasses
import datetime
import typing

from pimentolatch.decisions import lateness, prompt_sizes
from pimentolatch.gateway import client_request, request_log

__all__ = ["Trace", "report"]

_MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(slots=True)
class Trace:
    """What is known of a request's way, should its answer be late.

    Attributes:
        timeline: Its moments.
        size: Size class of its prompt; None for a plain call.
        reader: Engine of its last prefill; None before, and for a plain call.
        writer: Server that it was last dispatched to; None before.
    """

    timeline: lateness.Timeline
    size: prompt_sizes.SizeClass | None = None
    reader: str | None = None
    writer: str | None = None


def report(
    log: request_log.RequestLog,
    request: client_request.ClientRequest,
    response: client_request.ClientResponse,
    trace: Trace,
) -> None:
    """Log and count a successful answer that was late for its client."""
    if response.outcome != client_request.PASSED_ON or response.status // 100 != 2:
        return
    timeline = trace.timeline
    gap = None if trace.size is None else request.route.event_gap_target
    targets = lateness.Targets(request.route.latency_target, gap)
    late = timeline.lateness(targets)
    if late is None:
        return
    spent: dict[str, typing.Any] = {
        f"{phase.value.replace(' ', '_')}_ms": _milliseconds(timeline.spent(phase))
        for phase in lateness.Phase
        if timeline.spent(phase)
    }
    log.write(
        request_log.LATE,
        request.request_id,
        cause=late.cause.value,
        over_ms=_milliseconds(late.over),
        route=request.route.name,
        customer=request.customer_name,
        size=None if trace.size is None else trace.size.value,
        reader=trace.reader,
        writer=trace.writer,
        first_ms=_milliseconds(timeline.first_after),
        gap_ms=_milliseconds(timeline.longest_gap),
        placed_ms=_milliseconds(timeline.placed_after),
        expected_ms=_milliseconds(timeline.expected),
        **spent,
    )


def _milliseconds(duration: datetime.timedelta | None) -> int | None:
    return None if duration is None else round(duration / _MILLISECOND)
