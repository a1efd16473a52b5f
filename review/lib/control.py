"""Stand-in for the platform's duties (`cloud`), which checks no fence."""

import asyncio
import json

import http11


class Control:
    """Records each call as it arrives, and accepts it.

    Attributes:
        calls: Arrival, path, holder, fence and body of each call.
    """

    def __init__(self, record):
        self.calls = []
        self._record = record
        self._server = None

    async def start(self, host, port):
        """Listen; return host and port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return host, port

    def close(self):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while (request := await http11.read_message(reader)) is not None:
                at = asyncio.get_running_loop().time()
                path = request.start[1]
                holder = request.get("x-duty-holder")
                fence = int(request.get("x-fence-token"))
                body = json.loads(request.body)
                self.calls.append((at, path, holder, fence, body))
                text = f"platform: {path} from {holder} fence {fence} {body}"
                self._record.write(text)
                fields = [("Content-Type", "application/json"), ("Content-Length", "2")]
                writer.write(http11.head_bytes("HTTP/1.1 200 OK", fields) + b"{}")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Relay:
    """Carries connections to one address; may hold back what goes there.

    Attributes:
        delay_s: For how long data on its way there is held back.
        on_data: Called when data on its way there arrives.
    """

    def __init__(self, target):
        self.delay_s = 0.0
        self.on_data = lambda: None
        self._target = target
        self._server = None

    async def start(self, host, port):
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return f"{host}:{port}"

    def close(self):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return

        async def forward():
            while data := await reader.read(65536):
                self.on_data()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                far_writer.write(data)
                await far_writer.drain()

        async def back():
            while data := await far_reader.read(65536):
                writer.write(data)
                await writer.drain()

        tasks = [asyncio.create_task(forward()), asyncio.create_task(back())]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            pass
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            writer.close()
            far_writer.close()
