"""Has servers show that they read before requests are written to them.

See `decisions.server_liveness` for the reasons.
"""

import asyncio
import dataclasses
import datetime
import typing
from collections import abc

from pimentolatch import clock
from pimentolatch.backend import channel
from pimentolatch.gateway import (
    answer_reader,
    extra_answers,
    flow_control,
    given_up_calls,
    question_turns,
)
from pimentolatch.platform import engines
from pimentolatch.routes import servers

__all__ = ["LivenessCheck", "OnQuestion"]

# A connection that gives no answer for this long may have fallen silent alone. Long for
# a server that reads, and short for a caller.
_NEXT_CONNECTION_AFTER = datetime.timedelta(milliseconds=100)
# A report is a few kilobytes.
_MAX_ANSWER_BYTES = 1_000_000
_OK = 200
_MISDIRECTED = 421


class OnQuestion(typing.Protocol):
    """Called when a question has ended."""

    def __call__(self, *, answered: bool) -> None:
        """Record a question and whether it was answered."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Reply:
    answer: answer_reader.Answer
    content: bytes


class LivenessCheck:
    """Asks servers whether they read, over connections of a pool.

    Args:
        pool: Connections to servers.
        flow: Records what servers ask for in their answers.
        time: Clock of this instance.
        on_answer: Called for each answer of a server.
        on_question: Called for each question with whether it was answered.
        answers: Reads the answers that are due.
        given_up: Reports the questions that are given up.
    """

    def __init__(
        self,
        pool: channel.ChannelPool,
        flow: flow_control.FlowControl,
        time: clock.Clock,
        on_answer: abc.Callable[[servers.Server], None],
        on_question: OnQuestion,
        answers: answer_reader.AnswerReader,
        given_up: given_up_calls.GivenUpCalls,
    ) -> None:
        self._pool = pool
        self._flow = flow
        self._clock = time
        self._on_answer = on_answer
        self._on_question = on_question
        self._answers = answers
        self._given_up = given_up
        self._turns = question_turns.QuestionTurns(_NEXT_CONNECTION_AFTER, time)

    def retain(self, listed: abc.Container[servers.Incarnation]) -> None:
        """Forget the servers that are no longer listed and that nobody asks."""
        self._turns.retain(listed)

    async def ask(
        self, server: servers.Server, link: channel.Channel, target: bytes
    ) -> channel.Channel:
        """Ask a server until it answers; return a connection to it that can be used.

        While a server leaves one request's questions unanswered, the others wait; see
        `question_turns`.

        Args:
            server: The server.
            link: The connection to ask over first; it is returned or closed.
            target: What to ask for.

        Raises:
            BrokenError: The exchange failed, over a new connection as well.
            ConnectError: No other connection could be opened.
        """
        is_turn = False
        try:
            async with self._turns.turn(server.incarnation):
                is_turn = True
                link = await self._first_answer(server, link, target)
        except (channel.BrokenError, channel.ConnectError):
            self._turns.ended(server.incarnation)
            raise
        except BaseException:
            if not is_turn:
                link.close()
            raise
        self._turns.ended(server.incarnation)
        return await self._usable(server, link)

    async def _first_answer(
        self, server: servers.Server, link: channel.Channel, target: bytes
    ) -> channel.Channel:
        """Ask over a connection, and over a new one if no answer comes there."""
        exchanges = {asyncio.create_task(self._exchange(server, link, target))}
        answered: asyncio.Task[channel.Channel] | None = None
        try:
            await asyncio.wait(
                exchanges, timeout=_NEXT_CONNECTION_AFTER.total_seconds()
            )
            answered = _first_success(exchanges)
            if answered is not None:
                return answered.result()
            exchanges.add(asyncio.create_task(self._exchange_anew(server, target)))
            pending = set(exchanges)
            while pending and answered is None:
                _, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                answered = _first_success(exchanges)
            if answered is None:
                raise next(e for task in exchanges if (e := task.exception()))
            return answered.result()
        finally:
            for task in exchanges - {answered}:
                self._drop(server, task)

    async def _exchange_anew(
        self, server: servers.Server, target: bytes
    ) -> channel.Channel:
        link = await self._pool.acquire(
            server.incarnation, server.address, self._clock.monotonic(), reuse=False
        )
        return await self._exchange(server, link, target)

    async def _exchange(
        self, server: servers.Server, link: channel.Channel, target: bytes
    ) -> channel.Channel:
        """Ask over one connection; it is closed on failure."""
        sent_at = self._clock.monotonic()
        try:
            reply = await self._call(server, link, target)
        except BaseException:
            link.close()
            self._on_question(answered=False)
            raise
        self._on_question(answered=True)
        if reply.answer.status != _MISDIRECTED:
            self._flow.observe(server, reply.answer.head.notice, sent_at, "check")
        self._on_answer(server)
        return link

    async def read_start(
        self, server: servers.Server, link: channel.Channel
    ) -> channel.Channel:
        """Learn when the process at the end of a connection started.

        A report may not lie unread at a server that leaves, so it is asked for only
        over a connection over which the server has just answered.

        Args:
            server: An engine that tells when it started.
            link: The connection; it is returned or closed.

        Returns:
            A connection that can be used.

        Raises:
            BrokenError: The exchange failed.
            ConnectError: No other connection could be opened.
        """
        try:
            reply = await self._call(server, link, engines.REPORT_TARGET)
        except BaseException:
            link.close()
            raise
        if reply.answer.status == _OK:
            report = engines.decode_report(reply.content)
            link.started_ms = None if report is None else report.started_ms
        return await self._usable(server, link)

    async def _usable(
        self, server: servers.Server, link: channel.Channel
    ) -> channel.Channel:
        """Return a connection, or a new one if the server closes it."""
        if link.reusable:
            return link
        link.close()
        return await self._pool.acquire(
            server.incarnation, server.address, self._clock.monotonic(), reuse=False
        )

    async def _call(
        self, server: servers.Server, link: channel.Channel, target: bytes
    ) -> _Reply:
        host = f"{server.address.host}:{server.address.port}".encode()
        question = given_up_calls.Kind.QUESTION
        with self._given_up.reported(server, link, question, target):
            link.send("GET", target, [(b"host", host)], b"")
            answer = await self._answers.read(server, link, extra_answers.Due.QUESTION)
            return _Reply(answer, await link.read_body(_MAX_ANSWER_BYTES))

    def _drop(
        self, server: servers.Server, exchange: asyncio.Task[channel.Channel]
    ) -> None:
        """End an exchange that is not needed, and keep its connection if it can be."""
        if not exchange.done():
            exchange.cancel()
        elif not exchange.cancelled() and exchange.exception() is None:
            now = self._clock.monotonic()
            self._pool.release(server.incarnation, exchange.result(), now)


def _first_success(
    exchanges: abc.Iterable[asyncio.Task[channel.Channel]],
) -> asyncio.Task[channel.Channel] | None:
    """Return an exchange that has succeeded; None if none has."""
    for task in exchanges:
        if task.done() and not task.cancelled() and task.exception() is None:
            return task
    return None
