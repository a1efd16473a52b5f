"""Compressed bodies between instances (`Content-Encoding: deflate`, RFC 9110).

The rows of a snapshot resemble each other, so it becomes a small part of its size. Many
instances fetch the same snapshot at the same time, from a few whose links carry 10
Mbit/s.
"""

import dataclasses
import zlib
from collections import abc

__all__ = [
    "ACCEPTED",
    "CompressedBody",
    "CompressionError",
    "compress",
    "decompress",
    "is_accepted",
]

Fields = abc.Iterable[tuple[bytes, bytes]]

_CODING = b"deflate"
# Header field of a request whose response may be compressed.
ACCEPTED = (b"accept-encoding", _CODING)
_ENCODING = (b"content-encoding", _CODING)
# The fastest level; higher ones save little on rows that are alike.
_LEVEL = 1


class CompressionError(ValueError):
    """A body can't be decompressed, or is too large."""


@dataclasses.dataclass(frozen=True, slots=True)
class CompressedBody:
    """A compressed body, and the header field that says that it is."""

    content: bytes
    field: tuple[bytes, bytes] = _ENCODING


def is_accepted(fields: Fields) -> bool:
    """Tell whether a request with these header fields accepts a compressed response."""
    return ACCEPTED in fields


def compress(body: bytes) -> CompressedBody:
    """Return the body of a response, compressed."""
    return CompressedBody(zlib.compress(body, _LEVEL))


def decompress(body: bytes, fields: Fields, max_bytes: int) -> bytes:
    """Return the body of a response with these header fields as it was.

    Raises:
        CompressionError: It is malformed, or larger than `max_bytes`.
    """
    if _ENCODING not in fields:
        return body
    decompressor = zlib.decompressobj()
    try:
        whole = decompressor.decompress(body, max_bytes)
    except zlib.error as error:
        raise CompressionError(str(error)) from error
    if not decompressor.eof:
        raise CompressionError(f"incomplete, or over {max_bytes} bytes")
    return whole
