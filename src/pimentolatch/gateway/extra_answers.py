"""Answers of servers that came where another one was due."""

import dataclasses
import enum
import typing

import logbook

from pimentolatch import clock
from pimentolatch.decisions import log_budget
from pimentolatch.routes import servers

__all__ = ["Due", "ExtraAnswer", "ExtraAnswerLog", "OnExtraAnswer"]

_log = logbook.Logger("flow")
_EXTRA = "extra answer"


class Due(enum.StrEnum):
    """What an answer was due to."""

    REQUEST = "request"
    CALL = "call"
    QUESTION = "question"


@dataclasses.dataclass(frozen=True, slots=True)
class ExtraAnswer:
    """An answer that is not the one that was due.

    Attributes:
        server: The server that sent it.
        due: What was due.
        due_id: Id of the request that was due; empty for calls and questions.
        request_id: Id that it bears; empty if it bears none.
        status: Its status.
        sealed: Whether it carries the server's proof of origin.
    """

    server: servers.Server
    due: Due
    due_id: str
    request_id: str
    status: int
    sealed: bool


class OnExtraAnswer(typing.Protocol):
    """Called with each answer that came where another one was due."""

    def __call__(self, answer: ExtraAnswer) -> None:
        """Record an answer."""


class ExtraAnswerLog:
    """Logs and counts extra answers.

    Args:
        time: Clock of the log's budget.
        count: Called with what was due.
    """

    def __init__(self, time: clock.Clock, count: typing.Callable[[Due], None]) -> None:
        self._clock = time
        self._count = count
        self._budget = log_budget.LogBudget()

    def write(self, answer: ExtraAnswer) -> None:
        """Count an extra answer, and write its line if the budget has room for it."""
        self._count(answer.due)
        dropped = self._budget.take(_EXTRA, self._clock.monotonic(), wrong=True)
        if dropped is None:
            return
        _log.warn(
            _EXTRA,
            server=answer.server.server_id,
            due=answer.due.value,
            due_id=answer.due_id,
            id=answer.request_id,
            status=answer.status,
            sealed=answer.sealed,
            dropped_before=dropped,
        )
