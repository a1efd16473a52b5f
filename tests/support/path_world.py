"""Gateways as processes, with relays on the paths between them.

Connections and datagrams between two gateways are harmed separately, and each way by
itself, while all gateways reach the store, the servers and their clients.
"""

import asyncio
import itertools

from standins import relay
from tests.support import relayed_gateway, silent_world, soak_world

__all__ = ["PathWorld", "Paths"]

_DATAGRAMS = ("beacons", "usage", "origins")
# Time in which instances hear that peers read the store, and stop to read it.
SETTLE_S = 4.0


class PathWorld(soak_world.SoakWorld):
    """A world whose gateways reach each other through relays.

    Args:
        arguments: Names of safeguards that the gateways run without.
    """

    CONNECTIONS = ("lists", "forwarding")

    def __init__(self, arguments=()):
        super().__init__("tests.support.relayed_gateway", arguments)

    def _add_gateway(self, name, host, domain, seeds):
        first = soak_world.PEERS_PORT
        for what, number in (("lists", 0), ("forwarding", 2)):
            listen, target = self._ends(host, first + number)
            self.relays.start(f"{what} of {name}", listen, target)
        for number, what in enumerate(_DATAGRAMS):
            listen, target = self._ends(host, first + number)
            self.relays.start_datagrams(f"{what} of {name}", listen, target)
        super()._add_gateway(name, host, domain, seeds)

    def _ends(self, host, port):
        return (host, port), (host, port + relayed_gateway.SHIFT)

    def datagram_cuts(self, sender, receiver):
        """Return the cuts that lose the datagrams of a gateway to another one."""
        host = self.gateways[sender].host
        return [
            relay.Cut(f"{what} of {receiver}", host, relay.TO_SERVER)
            for what in _DATAGRAMS
        ]

    def connection_cuts(self, sender, receiver):
        """Return the cuts that hold what a gateway sends to another one.

        It may be over a connection of either.
        """
        own, other = self.gateways[sender].host, self.gateways[receiver].host
        return [
            cut
            for what in self.CONNECTIONS
            for cut in (
                relay.Cut(f"{what} of {receiver}", own, relay.TO_SERVER),
                relay.Cut(f"{what} of {sender}", other, relay.TO_CLIENT),
            )
        ]

    def heal_paths(self):
        """End all cuts between gateways."""
        for name in self.gateways:
            for what in (*self.CONNECTIONS, *_DATAGRAMS):
                self.relays.heal(f"{what} of {name}")


class Paths(silent_world.Gateways):
    """Gateways of which some are cut off from peers, with clients that ask all."""

    def __init__(self, runner):
        super().__init__(runner)
        self.world = PathWorld()

    def start_settled(self, count):
        """Start gateways; all but the first three learn the list from peers."""
        self.start(count)
        self.runner.run(asyncio.sleep(SETTLE_S))

    def harm(self, names, kind):
        """Harm the paths between some gateways and all others, in one of four ways."""
        others = [name for name in self.world.gateways if name not in names]
        cuts = []
        for name, other in itertools.product(names, others):
            if kind != "datagrams from peers":
                cuts += self.world.connection_cuts(name, other)
            if kind == "connections":
                cuts += self.world.connection_cuts(other, name)
            if kind == "all to peers":
                cuts += self.world.datagram_cuts(name, other)
            if kind == "datagrams from peers":
                cuts += self.world.datagram_cuts(other, name)
        self.world.relays.add_cuts(cuts)

    async def until_configured(self):
        """Wait until all gateways have the newest configuration."""
        async with asyncio.timeout(silent_world.LEARN_S):
            for name in self.world.gateways:
                await self._until(lambda name=name: self._has_configuration(name))

    async def stop(self):
        """Stop everything; connections that relays hold would end with an error."""
        self.world.heal_paths()
        await super().stop()

    async def _has_configuration(self, name):
        version = await self.world.metric(name, "configuration_version")
        return version >= self.world.version
