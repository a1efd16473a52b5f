"""Runs a gateway that connects from its own host, so that relays tell it apart."""

import functools
import json
import os
import pathlib

from pimentolatch import event_loop
from pimentolatch.gateway import daemon
from pimentolatch.platform import http_headers

__all__ = ["BoundLoop", "main"]


class BoundLoop(event_loop.InputFirstEventLoop):
    """Event loop whose connections come from one host."""

    def __init__(self, host):
        super().__init__()
        self._host = host

    async def create_connection(self, factory, host=None, port=None, **options):
        """See `asyncio.AbstractEventLoop.create_connection`."""
        options.setdefault("local_addr", (self._host, 0))
        return await super().create_connection(factory, host, port, **options)


def main():
    """Bind connections to the host in the settings and run the daemon."""
    settings = pathlib.Path(os.environ[http_headers.SETTINGS_VARIABLE])
    host = json.loads(settings.read_text(encoding="utf-8"))["peers"]["host"]
    daemon.main(functools.partial(BoundLoop, host))


if __name__ == "__main__":
    main()
