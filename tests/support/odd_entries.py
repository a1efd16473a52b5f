"""Entries of servers as another writer may write them by mistake."""

import json

from standins import object_table

__all__ = ["draw"]

# No gateway has this service, so that an entry which is accepted gets no request.
SERVICE = "odd"
MARK = "odd value"
FIELDS = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "stage",
    "sequence",
    "born",
    "unknown",
)
PORTS = (b"0", b"65536", b"+80", b"8_0", b"80 ", b"-1", b"", "\u0661".encode())
SCALARS = (
    b"null",
    b"true",
    b"-1",
    b"1.5",
    b"1e999",
    b"-0",
    b"NaN",
    b'""',
    b'"\\ud800"',
    b"[]",
    b"{}",
    b'{"a":[null]}',
)
MAX_DEPTH = 100_000
MAX_DIGITS = 100_000


def draw(rng, name):
    """Return an entry of which one field, or the whole, has an odd value."""
    value = rng.choice((_nested, _large, _scalar, _address))(rng)
    if rng.random() < 0.2:
        return object_table.RawJson(value)
    entry = {
        "service": SERVICE,
        "address": "127.0.0.1:9",
        "zone": "here",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "name": name,
    }
    text = json.dumps(entry | {rng.choice(FIELDS): MARK}).encode()
    return object_table.RawJson(text.replace(b'"%b"' % MARK.encode(), value))


def _nested(rng):
    depth = round(MAX_DEPTH ** rng.random())
    begin, end = rng.choice(((b"[", b"]"), (b'{"a":', b"}")))
    return begin * depth + b"0" + end * depth


def _large(rng):
    digits = round(MAX_DIGITS ** rng.random())
    return rng.choice((b"", b"-")) + b"9" * digits


def _scalar(rng):
    return rng.choice(SCALARS)


def _address(rng):
    return b'"127.0.0.1:%b"' % rng.choice(PORTS)
