"""Finds the answer to an exchange among the answers that its server sends.

A server may repeat an answer at any later time on its connection, where another one is
due. It bears the id of its request, and none if it answers a call of this instance's
own. A connection carries a request once, so the id tells which answer is due.
"""

import dataclasses

from pimentolatch.backend import channel
from pimentolatch.gateway import extra_answers
from pimentolatch.platform import http_headers
from pimentolatch.routes import servers

__all__ = ["Answer", "AnswerReader", "OnlyExtraError"]

# A server that sends more than these and one for each exchange of the connection before
# the answer that is due is out of order.
_MAX_EXTRA_ANSWERS = 16
# Largest answer that is passed over.
_MAX_EXTRA_BYTES = 8_000_000


class OnlyExtraError(channel.BrokenError):
    """Only answers to other exchanges came."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The head of the answer that was due; its body has not been read."""

    status: int
    head: http_headers.ResponseHeaders


class AnswerReader:
    """Reads the heads of answers that are due, and passes over others.

    Args:
        on_extra: Called with each answer that is passed over.
    """

    def __init__(self, on_extra: extra_answers.OnExtraAnswer) -> None:
        self._on_extra = on_extra

    async def read(
        self,
        server: servers.Server,
        link: channel.Channel,
        due: extra_answers.Due,
        request_id: str = "",
    ) -> Answer:
        """Return the head of the answer to what has been sent.

        Args:
            server: The server.
            link: The connection.
            due: What has been sent.
            request_id: Id of the request; empty for calls and questions.

        Raises:
            BrokenError: The connection broke, or only other answers came.
        """
        for _ in range(_MAX_EXTRA_ANSWERS + link.exchanges):
            start = await link.read_head()
            head = http_headers.parse_response_headers(start.fields, start.status)
            # Only a server that has run the request can seal an answer to it.
            if head.request_id == request_id or (head.sealed and not head.request_id):
                return Answer(start.status, head)
            self._on_extra(
                extra_answers.ExtraAnswer(
                    server, due, request_id, head.request_id, start.status, head.sealed
                )
            )
            await link.read_body(_MAX_EXTRA_BYTES)
            link.skip_response()
        raise OnlyExtraError("only answers to other requests came")
