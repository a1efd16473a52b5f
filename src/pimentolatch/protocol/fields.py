"""Checks of single fields of datagrams, which anybody may have sent."""

import typing
from collections import abc

import cbor2

__all__ = ["DECODE_ERRORS", "count", "counts", "text"]

# No count of ours comes near; above it sums of counts would no longer be exact.
_MAX_COUNT = 2**53
# What decoding raises for what is not a message of ours.
DECODE_ERRORS = (
    cbor2.CBORError,
    ValueError,
    TypeError,
    LookupError,
    OverflowError,
    RecursionError,
)


def text(value: typing.Any) -> str:
    """Return a text; raises `ValueError` for anything else."""
    if not isinstance(value, str):
        raise ValueError(f"not a text: {value!r:.60}")
    return value


def count(value: typing.Any) -> int:
    """Return a whole number from 0 on; raises `ValueError` for anything else."""
    if not isinstance(value, int) or not 0 <= value < _MAX_COUNT:
        raise ValueError(f"not a count: {value!r:.60}")
    return value


def counts(values: abc.Collection[typing.Any]) -> tuple[int, ...]:
    """Return whole numbers from 0 on; raises `ValueError` for anything else."""
    for value in values:
        if not isinstance(value, int) or not 0 <= value < _MAX_COUNT:
            raise ValueError(f"not a count: {value!r:.60}")
    return tuple(values)
