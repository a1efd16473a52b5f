"""Records when servers were last heard."""

import datetime
from collections import abc

from pimentolatch.routes import servers

__all__ = ["ServerLiveness"]


class ServerLiveness:
    """When data of each server last arrived, over whichever connection."""

    def __init__(self) -> None:
        self._heard_at: dict[servers.Incarnation, datetime.timedelta] = {}

    def record(self, server: servers.Incarnation, now: datetime.timedelta) -> None:
        """Record that data of a server has arrived."""
        self._heard_at[server] = now

    def unheard_for(
        self, server: servers.Incarnation, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Return how long ago a server was last heard; None if it never was."""
        heard_at = self._heard_at.get(server)
        return None if heard_at is None else now - heard_at

    def retain(self, listed: abc.Container[servers.Incarnation]) -> None:
        """Forget the servers that are no longer listed."""
        for server in [name for name in self._heard_at if name not in listed]:
            del self._heard_at[server]
