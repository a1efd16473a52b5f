"""Reads the entries that servers write about themselves into the platform's store."""

import datetime
import typing
from collections import abc

from pimentolatch import settings
from pimentolatch.routes import servers

__all__ = ["SERVER_KIND", "decode"]

SERVER_KIND = "servers"
_LEAVING = "draining"


def decode(name: str, spec: abc.Mapping[str, typing.Any]) -> servers.Server:
    """Return the server that an entry describes.

    Raises:
        KeyError, TypeError, ValueError: The entry describes no server.
    """
    stage = spec.get("stage")
    return servers.Server(
        server_id=name,
        service=spec["service"],
        address=settings.Address.from_text(spec["address"]),
        failure_domain=spec.get("zone", ""),
        leaving=spec.get("state") == _LEAVING,
        stage=servers.Stage(stage) if stage else None,
        slots=int(spec.get("slots", 1)),
        cold=datetime.timedelta(milliseconds=spec.get("cold_remaining_ms") or 0),
    )
