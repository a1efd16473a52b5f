"""Unique ids of requests and dispatches."""

import uuid

__all__ = ["new_id"]


def new_id() -> str:
    """Return an id that is unique across instances and incarnations."""
    return uuid.uuid4().hex
