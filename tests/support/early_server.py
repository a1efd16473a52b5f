"""A server that answers before it has read the request."""

import asyncio
import contextlib
import re
import socket

from pimentolatch.backend import sockets
from tests.support import closing_server

__all__ = ["FORMS", "EarlyServer"]

# How the head tells the end of the body; of the body only a part is sent.
FORMS = {
    "no length": b"",
    "a close": b"connection: close\r\n",
    "chunks": b"transfer-encoding: chunked\r\n",
    "a length": b"content-length: %d\r\n",
}
# Far less than the long requests of the tests have, so that most of one is not sent yet
# when it is answered.
RECEIVE_BUFFER_BYTES = 8192
# Between an answer and what follows it.
PAUSES_S = (0.0, 0.05, 0.3)


class EarlyServer(closing_server.ClosingServer):
    """Answers at once, and then ends its connection or reads on.

    Args:
        name: Its id.
        service: Its service.
        stage: `decode` for an engine, None for a plain server.
        form: One of `FORMS`.
        ending: `is reset`; `ends`, as the connection of a process that ends when it has
            read all that has come: its kernel closes in order, and resets when more
            comes; `reads the rest`, and closes unless the answer has a length.

    Attributes:
        port: Its port.
        pause_s: How long after its answers this follows.
        requests: Head and body of each request, as far as they were read.
    """

    def __init__(self, name, service, stage, form, ending):
        super().__init__(name, service, stage, ending)
        self._form = form
        self.port = 0
        self.pause_s = 0.0
        self.requests = []

    async def start(self):
        """Listen on a free port."""
        listening = socket.create_server(("127.0.0.1", 0))
        size = (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listening.setsockopt(*size)
        self.port = listening.getsockname()[1]
        self._server = await asyncio.start_server(self._serve, sock=listening)

    async def _serve(self, reader, writer):
        # The client may have closed the connection before its end here.
        with contextlib.suppress(
            asyncio.IncompleteReadError, OSError, asyncio.CancelledError
        ):
            while await self._exchange(reader, writer):
                pass
        writer.close()

    async def _exchange(self, reader, writer):
        """Answer a request or a question; return whether the connection stays."""
        head = await reader.readuntil(b"\r\n\r\n")
        if head.startswith(closing_server.QUESTIONS):
            writer.write(closing_server.SOUND_ANSWER)
            return True
        writer.write(self._answer_to(head))
        await asyncio.sleep(self.pause_s)
        sock = writer.get_extra_info("socket")
        if self._ending == "reads the rest":
            await self._read_rest(head, reader)
            return self._form == "a length"
        if self._ending == "is reset":
            sockets.reset_on_close(sock)
            writer.transport.abort()
        else:
            sock.shutdown(socket.SHUT_RDWR)
        return False

    def _answer_to(self, head):
        body = closing_server.PLAIN if self._stage is None else closing_server.EVENTS
        field = FORMS[self._form]
        if self._form == "a length":
            field %= len(body)
        elif self._form == "chunks":
            body = b"%x\r\n%b\r\n" % (len(body), body)
        # Calls of the first daemon may have none.
        name = re.search(rb"x-request-id: .*\r\n|$", head)[0]
        seal = closing_server.SEAL + b"\r\n"
        return b"HTTP/1.1 200 OK\r\n" + seal + name + field + b"\r\n" + body

    async def _read_rest(self, head, reader):
        body = bytearray()
        self.requests.append((head, body))
        left = int(re.search(rb"content-length: (\d+)", head)[1])
        while left and (part := await reader.read(left)):
            body += part
            left -= len(part)
