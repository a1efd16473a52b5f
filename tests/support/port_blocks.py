"""Ports for tests, in blocks of which each belongs to one process at a time."""

import itertools
import os
import socket

__all__ = ["PortBlock"]

# Below the ephemeral port range: a free port from that range could be taken by an
# outgoing connection of another process before the test had bound it.
_FIRST_PORT = 10_000
_BLOCKS = 200
_PORTS_OF_BLOCK = 100


class PortBlock:
    """Consecutive ports that no other process takes from a block.

    The first port of a block stays bound while a process uses the block, so the claim
    ends with the process.

    Args:
        host: Where the ports are bound.
    """

    def __init__(self, host):
        self._host = host
        self._claim = _claim(host)
        first = self._claim.getsockname()[1] + 1
        self._ports = itertools.cycle(range(first, first + _PORTS_OF_BLOCK - 1))

    def free_port(self):
        """Return a port of the block that is not in use."""
        for port in itertools.islice(self._ports, _PORTS_OF_BLOCK - 1):
            if _is_free(self._host, port):
                return port
        raise RuntimeError(f"no port is free above {self._claim.getsockname()[1]}")


def _claim(host):
    """Return a socket bound to the first port of a block that is not claimed."""
    own = os.getpid() % _BLOCKS
    for block in (*range(own, _BLOCKS), *range(own)):
        claim = socket.socket()
        try:
            claim.bind((host, _FIRST_PORT + block * _PORTS_OF_BLOCK))
        except OSError:
            claim.close()
            continue
        return claim
    raise RuntimeError("all blocks of ports are claimed")


def _is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
