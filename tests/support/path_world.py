"""Gateways as processes, with relays on the paths between them.

Connections and datagrams between two gateways are harmed separately, and each way by
itself, while all gateways reach the store, the servers and their clients.
"""

import asyncio

from standins import relay
from tests.support import relayed_gateway, silent_world, soak_world

__all__ = ["PathWorld", "Paths"]

_CONNECTIONS = ("lists", "forwarding")
_DATAGRAMS = ("beacons", "usage", "origins")
# Time in which instances hear that peers read the store, and stop to read it.
SETTLE_S = 4.0


class PathWorld(soak_world.SoakWorld):
    """A world whose gateways reach each other through relays."""

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

    def cut_datagrams(self, sender, receiver):
        """Lose the datagrams that a gateway sends to another one."""
        host = self.gateways[sender].host
        for what in _DATAGRAMS:
            self.relays.cut(f"{what} of {receiver}", relay.TO_SERVER, host)

    def cut_connections(self, sender, receiver):
        """Hold what a gateway sends to another one over connections of either."""
        for what in _CONNECTIONS:
            self.relays.cut(
                f"{what} of {receiver}", relay.TO_SERVER, self.gateways[sender].host
            )
            self.relays.cut(
                f"{what} of {sender}", relay.TO_CLIENT, self.gateways[receiver].host
            )

    def heal_paths(self):
        """End all cuts between gateways."""
        for name in self.gateways:
            for what in (*_CONNECTIONS, *_DATAGRAMS):
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
        for name in names:
            for other in others:
                if kind != "datagrams from peers":
                    self.world.cut_connections(name, other)
                if kind == "connections":
                    self.world.cut_connections(other, name)
                if kind == "all to peers":
                    self.world.cut_datagrams(name, other)
                if kind == "datagrams from peers":
                    self.world.cut_datagrams(other, name)

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
