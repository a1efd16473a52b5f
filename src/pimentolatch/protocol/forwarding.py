"""Header fields of requests that an instance forwards to a peer.

A forwarded request is the client's own request, sent to a separate port of the peer,
with these fields added. They are removed before the request goes to a server.
"""

import dataclasses
from collections import abc

__all__ = ["HEAD_BYTES", "ForwardOptions", "decode", "encode", "without_options"]

_MAX_RUNS = b"pimentolatch-max-runs"
_CONFIGURATION = b"pimentolatch-configuration"
_STARTED = b"pimentolatch-started"
_NAMES = frozenset({_MAX_RUNS, _CONFIGURATION, _STARTED})
# The fields' largest size, by which a forwarded request may exceed the limit of the
# client's own header.
HEAD_BYTES = 512

Fields = abc.Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardOptions:
    """What the peer has to know about a forwarded request.

    Attributes:
        max_runs: Number of servers that may still start to run it.
        configuration: The peer must not serve it by an older configuration.
        started: Whether a server has started to run it, which its customer's usage
            includes already.
    """

    max_runs: int
    configuration: int
    started: bool


def encode(options: ForwardOptions) -> list[tuple[bytes, bytes]]:
    """Return the header fields of the options."""
    return [
        (_MAX_RUNS, b"%d" % options.max_runs),
        (_CONFIGURATION, b"%d" % options.configuration),
        (_STARTED, b"%d" % options.started),
    ]


def decode(fields: Fields) -> ForwardOptions:
    """Return the options in a header.

    Raises:
        ValueError: A field is missing or malformed.
    """
    found = {name.lower(): value for name, value in fields}
    missing = _NAMES - found.keys()
    if missing:
        raise ValueError(f"not a forwarded request: {sorted(missing)!r} missing")
    return ForwardOptions(
        int(found[_MAX_RUNS]), int(found[_CONFIGURATION]), found[_STARTED] == b"1"
    )


def without_options(fields: Fields) -> list[tuple[bytes, bytes]]:
    """Return the header fields of the client's own request."""
    return [field for field in fields if field[0].lower() not in _NAMES]
