"""Messages of the model engines' own interface."""

import dataclasses
import json
import typing

import logbook

from pimentolatch.routes import engine_reports, servers

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
    """Result of a prefill whose KV cache an engine holds for another engine.

    Attributes:
        handle: Names the KV cache at the engine, in its current incarnation only.
        tokens: Number of prompt tokens.
        started_ms: Unix time of the engine's start, in milliseconds; None if it does
            not report one.
    """

    handle: str
    tokens: int
    started_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StageOrder:
    """Order to an engine to change its stage.

    Attributes:
        stage: New stage, as the platform spells it.
        holder: Instance that gives the order.
        fence: Fencing token of the holder's lease.
        orders: Number of orders that the engine has accepted so far. The order has no
            effect if the engine has accepted another one since, so a delayed order
            can't revert a newer one.
    """

    stage: str
    holder: str
    fence: int
    orders: int


def decode_prefill_result(body: bytes) -> PrefillResult:
    """Decode the response to a prefill-only request; raises `ValueError`."""
    try:
        fields = json.loads(body)
        return PrefillResult(
            str(fields["kv_handle"]),
            int(fields["tokens"]),
            _checked_born(fields.get("born")),
        )
    except (LookupError, OverflowError, RecursionError, TypeError) as error:
        raise ValueError(f"response has no valid KV handle: {body[:60]!r}") from error


def encode_stage_order(order: StageOrder) -> bytes:
    """Return the request body of an order."""
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
    """Return the header fields of an order for this server only."""
    return (
        (b"content-type", b"application/json"),
        (b"x-expect-instance", server_id.encode("latin-1")),
    )


def decode_report(body: bytes) -> engine_reports.EngineReport | None:
    """Decode an engine's report; logs an invalid one and returns None."""
    try:
        fields = json.loads(body)
        return engine_reports.EngineReport(
            servers.Stage(fields["stage"]),
            # Whether an order is being carried out; unrelated to requests.
            bool(fields["busy"]),
            # Number of orders accepted in this incarnation.
            int(fields["sequence"]),
            int(fields.get("queued", 0)),
            int(fields.get("running", 0)),
            # Each running request is a row: id, tokens in KV cache, events, priority.
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
    raise ValueError(f"born {value!r:.60} is not a whole number")


def release_target(handle: str) -> bytes:
    """Return the request target that frees the KV cache of a prefilled prompt."""
    return f"/v1/kv-handle/{handle}".encode()
