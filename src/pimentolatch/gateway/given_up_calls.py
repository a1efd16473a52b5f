"""Reports calls of an instance's own that servers left unanswered.

A server that stands still has a call that was acknowledged, and answers it when it goes
on, although it was given up here. Calls bear no id, so only this tells them apart from
clients' requests in what a server has recorded.
"""

import asyncio
import contextlib
import dataclasses
import datetime
import enum
from collections import abc

import logbook

from pimentolatch import clock
from pimentolatch.backend import channel
from pimentolatch.decisions import log_budget
from pimentolatch.routes import servers

__all__ = ["CallLog", "GivenUpCall", "GivenUpCalls", "Kind", "OnGivenUp"]

_log = logbook.Logger("flow")
_GIVEN_UP = "call given up"
_MILLISECOND = datetime.timedelta(milliseconds=1)


class Kind(enum.StrEnum):
    """What a call is for."""

    QUESTION = "question"
    CALL = "call"
    PROBE = "probe"


@dataclasses.dataclass(frozen=True, slots=True)
class GivenUpCall:
    """A call that was written to a server and given up without an answer.

    Attributes:
        server: The server.
        kind: What it was for.
        target: Its target.
        waited: Time since it was written.
        acknowledged: Whether the server's kernel had all of it, so that the server may
            still read it although the connection is reset.
        accepted: Whether the server was still listed and accepted requests.
    """

    server: servers.Server
    kind: Kind
    target: bytes
    waited: datetime.timedelta
    acknowledged: bool
    accepted: bool


OnGivenUp = abc.Callable[[GivenUpCall], None]


class GivenUpCalls:
    """Reports the calls that are given up.

    Args:
        time: Clock of this instance.
        accepts: Tells whether a server is listed and accepts new requests.
        on_given_up: Called for each call that is given up.
    """

    def __init__(
        self,
        time: clock.Clock,
        accepts: abc.Callable[[servers.Server], bool],
        on_given_up: OnGivenUp,
    ) -> None:
        self._clock = time
        self._accepts = accepts
        self._on_given_up = on_given_up

    @contextlib.contextmanager
    def reported(
        self, server: servers.Server, link: channel.Channel, kind: Kind, target: bytes
    ) -> abc.Generator[None, None, None]:
        """Report a call that is made within the context if it is given up.

        A connection that its server has closed leaves nothing unread there.

        Args:
            server: The server.
            link: The connection, which must not be closed within the context.
            kind: What the call is for.
            target: Its target.
        """
        written_at = self._clock.monotonic()
        try:
            yield
        except (asyncio.CancelledError, channel.UndeliveredError):
            waited = self._clock.monotonic() - written_at
            self._on_given_up(
                GivenUpCall(
                    server,
                    kind,
                    target,
                    waited,
                    acknowledged=link.acknowledged,
                    accepted=self._accepts(server),
                )
            )
            raise


class CallLog:
    """Logs and counts calls that were given up.

    Args:
        time: Clock of the log's budget.
        count: Called with each of them.
    """

    def __init__(self, time: clock.Clock, count: OnGivenUp) -> None:
        self._clock = time
        self._count = count
        self._budget = log_budget.LogBudget()

    def write(self, call: GivenUpCall) -> None:
        """Count a call, and write its line if the budget has room for it."""
        self._count(call)
        dropped = self._budget.take(_GIVEN_UP, self._clock.monotonic(), wrong=True)
        if dropped is None:
            return
        _log.warn(
            _GIVEN_UP,
            server=call.server.server_id,
            what=call.kind.value,
            target=call.target.decode("latin-1"),
            ms=round(call.waited / _MILLISECOND),
            acknowledged=call.acknowledged,
            accepted=call.accepted,
            dropped_before=dropped,
        )
