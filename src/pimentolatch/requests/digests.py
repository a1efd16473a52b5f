"""Names a request by what it asks for, whoever sends it again and under which id."""

import hashlib

__all__ = ["RequestDigest", "digest_text", "request_digest"]

# Two of ten million requests share one of 2**48 digests with odds of one in six, but
# one of them is rarely among the thousand that are remembered. It fits an exact CBOR
# integer as well as a JSON number.
_DIGEST_BYTES = 6
_LENGTH_BYTES = 8

RequestDigest = int


def request_digest(
    key: bytes, *, caller: str, method: str, host: str, target: bytes, body: bytes
) -> RequestDigest:
    """Return the digest of a request, alike at every instance with the same key.

    What differs between two attempts of the same request is left out: its id, its
    deadline and the event after which a stream goes on.

    Args:
        key: Keeps the digest from being tried out on guessed bodies; up to 64 bytes.
        caller: Who sends it, as far as the request says; empty if it does not.
        method: HTTP method.
        host: Host that the request names.
        target: Path and query.
        body: The whole body.
    """
    digest = hashlib.blake2b(key=key, digest_size=_DIGEST_BYTES)
    head = (caller.encode(), method.encode(), host.encode(), target)
    for field in head:
        # Without its length a field could give its end to the next one.
        digest.update(len(field).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(field)
    digest.update(body)
    return int.from_bytes(digest.digest(), "big")


def digest_text(digest: RequestDigest) -> str:
    """Return a digest as logs and settings write it."""
    return f"{digest:0{2 * _DIGEST_BYTES}x}"
