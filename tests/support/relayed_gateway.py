"""Runs a gateway whose ports for peers are taken by relays in front of it.

It listens on other ports of its host and connects from its host, so that relays know
both ends of each path between instances.
"""

import json
import os
import pathlib
import sys

from pimentolatch.gateway import daemon
from pimentolatch.platform import http_headers
from tests.support import bound_gateway, safeguard_removal

__all__ = ["PEER_PORTS", "SHIFT", "main"]

# Ports of an instance for its peers, from the first one of its settings on.
PEER_PORTS = 3
SHIFT = 400


class _ShiftedLoop(bound_gateway.BoundLoop):
    def __init__(self, host, first_port):
        super().__init__(host)
        self._own = [(host, first_port + number) for number in range(PEER_PORTS)]

    async def create_server(self, factory, host=None, port=None, **options):
        """See `asyncio.AbstractEventLoop.create_server`."""
        # The metrics are served on one of these ports; no relay is in front of it.
        if (host, port) in self._own[::2]:
            port += SHIFT
        return await super().create_server(factory, host, port, **options)

    async def create_datagram_endpoint(self, factory, local_addr=None, **options):
        """See `asyncio.AbstractEventLoop.create_datagram_endpoint`."""
        if local_addr in self._own:
            local_addr = (local_addr[0], local_addr[1] + SHIFT)
        return await super().create_datagram_endpoint(factory, local_addr, **options)


def _new_event_loop():
    settings = pathlib.Path(os.environ[http_headers.SETTINGS_VARIABLE])
    peers = json.loads(settings.read_text(encoding="utf-8"))["peers"]
    return _ShiftedLoop(peers["host"], peers["ports"][0])


def main():
    """Run the daemon, without the safeguard that the first argument names, if any."""
    for name in sys.argv[1:]:
        safeguard_removal.SAFEGUARDS[name]()
    daemon.main(_new_event_loop)


if __name__ == "__main__":
    main()
