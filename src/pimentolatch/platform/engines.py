"""Calls of the model engines' own interface."""

import dataclasses
import json
import typing

__all__ = [
    "JSON_FIELDS",
    "ORDER_TARGET",
    "ReadPrompt",
    "StageOrder",
    "decode_read_prompt",
    "encode_stage_order",
    "release_target",
]

JSON_FIELDS = ((b"content-type", b"application/json"),)
ORDER_TARGET = b"/v1/order"


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPrompt:
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
    """

    stage: str
    holder: str
    fence: int


def decode_read_prompt(body: bytes) -> ReadPrompt:
    """Decode the answer to a request that was only read; raises `ValueError`."""
    try:
        fields = json.loads(body)
        return ReadPrompt(str(fields["kv_handle"]), int(fields["tokens"]))
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a handle: {body[:60]!r}") from error


def encode_stage_order(order: StageOrder) -> bytes:
    """Return the body of an order."""
    fields: dict[str, typing.Any] = {
        "op": "stage",
        "stage": order.stage,
        "holder": order.holder,
        "fence": order.fence,
    }
    return json.dumps(fields).encode()


def release_target(handle: str) -> bytes:
    """Return the target of the call that frees a kept prompt."""
    return f"/v1/kv-handle/{handle}".encode()
