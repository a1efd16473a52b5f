"""Calls of the model engines' own interface."""

import dataclasses
import json
import typing

import logbook

from pimentolatch.routes import reports, servers

__all__ = [
    "ORDER_TARGET",
    "REPORT_TARGET",
    "PrefillResult",
    "StageOrder",
    "decode_prefill_result",
    "decode_report",
    "encode_stage_order",
    "order_fields",
    "release_target",
]

_log = logbook.Logger("platform")
ORDER_TARGET = b"/v1/order"
REPORT_TARGET = b"/v1/report"


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillResult:
    """A prompt that an engine has read and keeps for another one."""

    handle: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class StageOrder:
    """Tells an engine to change its stage.

    Attributes:
        stage: The new stage, as the platform spells it.
        holder: The instance that orders.
        fence: Fencing token of the holder's lease.
        orders: Orders that the engine has accepted so far. If it has accepted another
            one when this one is carried out, this one has no effect: an order that was
            held up on the way can't undo a newer one.
    """

    stage: str
    holder: str
    fence: int
    orders: int


def decode_prefill_result(body: bytes) -> PrefillResult:
    """Decode the answer to a request that was only read; raises `ValueError`."""
    try:
        fields = json.loads(body)
        return PrefillResult(str(fields["kv_handle"]), int(fields["tokens"]))
    except (LookupError, OverflowError, RecursionError, TypeError) as error:
        raise ValueError(f"not a handle: {body[:60]!r}") from error


def encode_stage_order(order: StageOrder) -> bytes:
    """Return the body of an order."""
    fields: dict[str, typing.Any] = {
        "op": "stage",
        "stage": order.stage,
        "holder": order.holder,
        "fence": order.fence,
        # The platform calls the number of accepted orders `sequence` in reports and
        # `precondition` in orders.
        "precondition": order.orders,
    }
    return json.dumps(fields).encode()


def order_fields(server_id: str) -> tuple[tuple[bytes, bytes], ...]:
    """Return the header of an order that only one server may carry out."""
    return (
        (b"content-type", b"application/json"),
        (b"x-expect-instance", server_id.encode("latin-1")),
    )


def decode_report(body: bytes) -> reports.EngineReport | None:
    """Decode an engine's report; None if it is not understood."""
    try:
        fields = json.loads(body)
        return reports.EngineReport(
            servers.Stage(fields["stage"]),
            # Busy with an order; it says nothing of requests.
            bool(fields["busy"]),
            # Counts accepted orders of this life.
            int(fields["sequence"]),
            int(fields.get("queued", 0)),
            int(fields.get("running", 0)),
            # Each run is a row of id, tokens in memory, events made and priority.
            frozenset(str(row[0]) for row in fields.get("runs", ())),
            _checked_born(fields.get("born")),
        )
    except (
        LookupError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        _log.error("report not understood", reason=repr(error))
        return None


def _checked_born(value: typing.Any) -> int | None:
    if value is None or (isinstance(value, int) and not isinstance(value, bool)):
        return value
    raise ValueError(f"born {value!r:.60} is no whole number")


def release_target(handle: str) -> bytes:
    """Return the target of the call that frees a kept prompt."""
    return f"/v1/kv-handle/{handle}".encode()
