"""A gateway that stands still while requests arrive on connections it has open."""

import asyncio
import signal

from tests.support import route_world, soak_world

__all__ = ["Standstill"]

CONNECTIONS = 40
ANSWER_S = 10.0


class Standstill:
    """One gateway process, and clients that keep their connections to it."""

    def __init__(self, runner, limits):
        self.runner = runner
        self.world = soak_world.SoakWorld()
        self.world.limits = limits
        self.answers = []

    def start(self):
        self.runner.run(self.world.start(1))

    def stop(self):
        self.runner.run(self.world.stop())

    @property
    def _gateway(self):
        return next(iter(self.world.gateways.values()))

    def run(self, first, rest, *, pause_s, send_after_s):
        """Send `first`, stop the gateway, send `rest` meanwhile, and let it go on.

        Args:
            first: Bytes by request id, sent before the gateway stands still.
            rest: Bytes by request id, sent while it stands still.
            pause_s: How long it stands still.
            send_after_s: When, within that time, the rest is sent.
        """
        self.answers = self.runner.run(self._run(first, rest, pause_s, send_after_s))

    async def _run(self, first, rest, pause_s, send_after_s):
        links = [await self._connect() for _ in range(CONNECTIONS)]
        for number, (_, writer) in enumerate(links):
            writer.write(first(f"s-{number}"))
        await asyncio.sleep(0.1)
        self._gateway.popen.send_signal(signal.SIGSTOP)
        await asyncio.sleep(send_after_s)
        for number, (_, writer) in enumerate(links):
            writer.write(rest(f"s-{number}"))
        await asyncio.sleep(pause_s - send_after_s)
        self._gateway.popen.send_signal(signal.SIGCONT)
        answers = [await self._answer(reader) for reader, _ in links]
        for _, writer in links:
            writer.close()
        return answers

    async def _connect(self):
        """Open a connection on which a request has been answered."""
        reader, writer = await asyncio.open_connection(
            self._gateway.host, soak_world.CLIENTS_PORT
        )
        writer.write(route_world.request("notify", "before"))
        assert (await route_world.reply(reader)).status == 200
        return reader, writer

    async def _answer(self, reader):
        """Return the status of the answer; None if the connection was closed."""
        try:
            async with asyncio.timeout(ANSWER_S):
                line = await reader.readline()
        except ConnectionError:
            return None
        return int(line.split()[1]) if line else None
