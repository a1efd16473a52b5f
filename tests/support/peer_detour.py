"""Has an instance forward its requests to a peer."""

import types

from pimentolatch import clock
from pimentolatch.gateway.peers import peer_table
from pimentolatch.protocol import beacons

__all__ = ["lead"]


def lead(instance, host, port):
    """Have an instance lose the path to all servers; a peer at an address has it."""
    beacon = beacons.Beacon("peer", "here", "1", 1, 1, False, (), ())
    known = peer_table.Peer(host, beacon, clock.SystemClock().monotonic())
    forwarder = instance._peer_forwarder
    forwarder._monitor = types.SimpleNamespace(is_cut_off=lambda service: True)
    forwarder._table = types.SimpleNamespace(
        live=lambda: [known], is_live=lambda instance: True
    )
    forwarder._port = port
