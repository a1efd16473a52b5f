"""Keyed digests that identify a request by its content across retries."""

import hashlib

__all__ = ["RequestDigest", "digest_text", "part_digest", "request_digest"]

# Among ten million requests, two share one of 2**48 digests with a probability of one
# in six, but rarely is one of the two among the thousand digests that are retained. The
# size fits a CBOR integer and is exact as a JSON number.
_DIGEST_BYTES = 6
_LENGTH_BYTES = 8

RequestDigest = int


def request_digest(
    key: bytes, *, caller: str, method: str, host: str, target: bytes, body: bytes
) -> RequestDigest:
    """Return the digest of a request, equal at all instances with the same key.

    What differs between attempts of one request is excluded: its id, its deadline and
    the event after which a stream resumes.

    Args:
        key: Secret key of up to 64 bytes; prevents confirming guessed bodies.
        caller: Caller named by the request, or empty.
        method: HTTP method.
        host: Value of the Host header.
        target: Path and query.
        body: The whole body.
    """
    digest = hashlib.blake2b(key=key, digest_size=_DIGEST_BYTES)
    head = (caller.encode(), method.encode(), host.encode(), target)
    for field in head:
        # The length prefix keeps different splits of the same bytes distinct.
        digest.update(len(field).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(field)
    digest.update(body)
    return int.from_bytes(digest.digest(), "big")


def part_digest(key: bytes, name: str) -> RequestDigest:
    """Return the digest of a part of prompts, equal at all instances with the same key.

    Args:
        key: Secret key of up to 64 bytes.
        name: Name of the part.
    """
    digest = hashlib.blake2b(name.encode(), key=key, digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")


def digest_text(digest: RequestDigest) -> str:
    """Return a digest in the form used in logs and settings."""
    return f"{digest:0{2 * _DIGEST_BYTES}x}"
