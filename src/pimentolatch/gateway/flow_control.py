"""Applies what servers ask for in their responses, and logs it."""

import datetime
from collections import abc

import logbook

from pimentolatch import clock
from pimentolatch.decisions import log_budget, server_notices
from pimentolatch.routes import notices, servers

__all__ = ["FlowControl"]

_log = logbook.Logger("flow")
_CHANGED = "server notice"


class FlowControl:
    """What the servers have asked this instance for.

    Args:
        time: Clock of this instance.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._notices = server_notices.ServerNotices()
        self._log_budget = log_budget.LogBudget()

    @property
    def limited(self) -> int:
        """Number of servers that are under a limit."""
        return self._notices.limited

    def observe(
        self,
        server: servers.Server,
        notice: notices.Notice,
        sent_at: datetime.timedelta,
        source: str,
    ) -> None:
        """Record the notice in the header of a response that has just arrived.

        Args:
            server: The server that responded.
            notice: What the response states.
            sent_at: When its request was sent.
            source: Kind of the response, for the log.
        """
        now = self._clock.monotonic()
        change = self._notices.observe(server.incarnation, notice, sent_at, now)
        if change is not None:
            self._log_change(change, source, now)

    def retain(self, listed: abc.Container[servers.Incarnation]) -> None:
        """Forget the servers that are no longer listed."""
        self._notices.retain(listed)

    def _log_change(
        self, change: server_notices.Change, source: str, now: datetime.timedelta
    ) -> None:
        dropped = self._log_budget.take(_CHANGED, now, wrong=False)
        if dropped is None:
            return
        _log.info(
            _CHANGED,
            server=change.server.server_id,
            started_ms=change.server.started_ms,
            what=change.what,
            value=change.value,
            source=source,
            known_for_ms=round(change.known_for / datetime.timedelta(milliseconds=1)),
            dropped_before=dropped,
        )
