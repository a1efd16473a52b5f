"""A server that sends copies of its refusals where later answers are due."""

import asyncio
import contextlib
import json

from tests.support import closing_server

__all__ = ["QUESTION", "REPORT", "REQUEST", "CopyingServer"]

# What is refused, or what a copy comes before.
REQUEST = "request"
QUESTION = "question"
REPORT = {"stage": "decode", "busy": False, "sequence": 0, "queued": 0, "running": 1}


class CopyingServer(closing_server.ClosingServer):
    """Refuses some exchanges, and sends copies of the refusals.

    A copy is sent on the connection of the refusal, before the next answer there to an
    exchange of one kind that is not refused. Others are answered in between.

    Args:
        name: Its id.
        service: Its service.
        stage: `decode` for an engine, None for a plain server.
        refused: `REQUEST` to refuse the first ones, `QUESTION` to refuse each question.
        status: Status of the refusals.
        before: `REQUEST` or `QUESTION`, before whose answer the copies are sent.
        refused_requests: Number of requests to refuse.

    Attributes:
        runs: Ids of the requests that it ran.
        refusals: Number of exchanges that it refused.
    """

    def __init__(
        self,
        name,
        service,
        stage,
        refused,
        status=503,
        before=REQUEST,
        refused_requests=1,
    ):
        super().__init__(name, service, stage, "closed")
        self.runs = []
        self.refusals = 0
        self._refused = refused
        self._status = status
        self._before = before
        self._refused_requests = refused_requests

    async def _serve(self, reader, writer):
        owed = []
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = _fields(head)
                await reader.readexactly(int(fields.get("content-length", 0)))
                is_question = head.startswith(closing_server.QUESTIONS)
                kind = QUESTION if is_question else REQUEST
                refuses = self._refuses(kind)
                if kind == self._before and not refuses:
                    writer.write(b"".join(owed))
                    owed.clear()
                if refuses:
                    self.refusals += 1
                    owed.append(_refusal(self._status, fields.get("x-request-id")))
                    writer.write(owed[-1])
                elif is_question:
                    writer.write(self._question_answer())
                else:
                    writer.write(self._run(fields.get("x-request-id")))
        writer.close()

    def _refuses(self, kind):
        if kind != self._refused:
            return False
        return kind == QUESTION or self.refusals < self._refused_requests

    def _question_answer(self):
        body = b"" if self._stage is None else json.dumps(REPORT).encode()
        return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body

    def _run(self, request_id):
        if request_id is None:
            return b"HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n"
        self.runs.append(request_id)
        body = closing_server.PLAIN if self._stage is None else closing_server.EVENTS
        length = b"\r\ncontent-length: %d\r\n\r\n" % len(body)
        name = b"\r\nx-request-id: " + request_id.encode()
        return b"HTTP/1.1 200 OK\r\n" + closing_server.SEAL + name + length + body


def _fields(head):
    lines = head.decode().split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines if line)
    return {name.lower(): value.strip() for name, _, value in pairs}


def _refusal(status, request_id):
    name = b"x-request-id: %s\r\n" % request_id.encode() if request_id else b""
    head = b"HTTP/1.1 %d No\r\nx-not-executed: 1\r\ncontent-length: 0\r\n" % status
    return head + name + b"\r\n"
