"""Validates single fields of datagrams, which are untrusted."""

import typing
from collections import abc

import cbor2

__all__ = ["DECODE_ERRORS", "count", "counts", "text"]

# Far above all real counts. Sums of larger counts would no longer be exact.
_MAX_COUNT = 2**53
# Exceptions that decoding an untrusted datagram can raise.
DECODE_ERRORS = (
    cbor2.CBORError,
    ValueError,
    TypeError,
    LookupError,
    OverflowError,
    RecursionError,
)


def text(value: typing.Any) -> str:
    """Return a string; raises `ValueError` for anything else."""
    if not isinstance(value, str):
        raise ValueError(f"must be a string: {value!r:.60}")
    return value


def count(value: typing.Any) -> int:
    """Return an integer from 0; raises `ValueError` for anything else."""
    if not isinstance(value, int) or not 0 <= value < _MAX_COUNT:
        raise ValueError(f"must be an integer from 0: {value!r:.60}")
    return value


def counts(values: abc.Collection[typing.Any]) -> tuple[int, ...]:
    """Return integers from 0; raises `ValueError` for anything else."""
    for value in values:
        if not isinstance(value, int) or not 0 <= value < _MAX_COUNT:
            raise ValueError(f"must be an integer from 0: {value!r:.60}")
    return tuple(values)
