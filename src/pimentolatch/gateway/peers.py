"""Tells peers several times a second what this instance knows and has under way."""

import asyncio
import dataclasses
import datetime
import typing
from collections import abc

import logbook

from pimentolatch import clock, settings
from pimentolatch.decisions import demand_rate, engine_loads, subset
from pimentolatch.gateway import knowledge
from pimentolatch.gateway import settings as gateway_settings
from pimentolatch.protocol import beacons
from pimentolatch.requests import prompts

__all__ = ["Peer", "PeerTable", "Peers", "Sightings"]

_log = logbook.Logger("peers")
# Counts of work are worth little after half a second; four beacons a second keep the
# mean age at an eighth of one, for some 10 KB/s at a neighbourhood of sixteen.
_INTERVAL = datetime.timedelta(milliseconds=250)
# An instance that was not heard for eight beacons has ended or is cut off.
_SILENCE = datetime.timedelta(seconds=2)
# Addresses that were heard once are tried again for this long, so that a partition
# that heals is noticed without the store.
_REMEMBERED = datetime.timedelta(seconds=120)
# Peers that each instance writes to. Those of its own failure domain share its engines
# and come first in the ranking by name, the same at both ends.
_NEIGHBOURS = 16
_MEMBERS_TOLD = 12
# A datagram stays under what passes every link unfragmented.
_LOADS_TOLD = 40
_SIGHTINGS_TOLD = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """What was last heard of an instance."""

    address: settings.Address
    beacon: beacons.Beacon
    heard: datetime.timedelta


class Sightings:
    """Shared parts that were sent to engines since the last beacon."""

    def __init__(self) -> None:
        self._waiting: list[beacons.Sighting] = []

    def add(self, server_id: str, parts: abc.Sequence[prompts.Part]) -> None:
        """Note the parts that other requests may share: all but the last."""
        for part in parts[:-1]:
            self._waiting.append(beacons.Sighting(server_id, part.name, part.tokens))

    def take(self) -> tuple[beacons.Sighting, ...]:
        """Return what was noted, newest first, and forget it."""
        taken = self._waiting[: -_SIGHTINGS_TOLD - 1 : -1]
        self._waiting = []
        return tuple(taken)


class PeerTable:
    """The instances that are heard.

    Args:
        own_name: Name of this instance.
    """

    def __init__(self, own_name: str, time: clock.Clock) -> None:
        self._own = own_name
        self._clock = time
        self._peers: dict[str, Peer] = {}

    def heard(self, address: settings.Address, beacon: beacons.Beacon) -> bool:
        """Take a beacon; tells whether its sender was not heard before."""
        known = self._peers.get(beacon.instance)
        self._peers[beacon.instance] = Peer(address, beacon, self._clock.monotonic())
        return known is None or known.beacon.life != beacon.life

    def live(self) -> list[Peer]:
        """Return the peers that were heard lately and go on."""
        now = self._clock.monotonic()
        return [
            peer
            for peer in self._peers.values()
            if now - peer.heard <= _SILENCE and not peer.beacon.stopping
        ]

    def addresses(self) -> list[settings.Address]:
        """Return where beacons may find somebody."""
        now = self._clock.monotonic()
        for name in [n for n, p in self._peers.items() if now - p.heard > _REMEMBERED]:
            del self._peers[name]
        return [peer.address for peer in self._peers.values()]

    @property
    def instances(self) -> int:
        """Instances that live, this one included."""
        return 1 + len(self.live())

    def demand(self, service: str) -> demand_rate.ServiceDemand:
        """Return what all live peers are asked of a service."""
        found = [
            demand
            for peer in self.live()
            for demand in peer.beacon.demands
            if demand.service == service
        ]
        return demand_rate.ServiceDemand(
            float(sum(demand.reading for demand in found)),
            float(sum(demand.writing for demand in found)),
        )


class Peers(asyncio.DatagramProtocol):
    """Owns the socket between instances.

    Args:
        chosen: Addresses of this instance and of some others.
        own_name: Name of this instance.
        life: Differs for each start of this instance.
        known: What this instance knows; peers' work is added to its engines.
        table: Takes what is heard.
        sightings: What was sent to engines.
        demands: Returns what clients ask through this instance.
    """

    def __init__(
        self,
        chosen: gateway_settings.PeerSettings,
        own_name: str,
        life: str,
        known: knowledge.Knowledge,
        table: PeerTable,
        sightings: Sightings,
        demands: abc.Callable[[], abc.Mapping[str, demand_rate.ServiceDemand]],
        time: clock.Clock,
    ) -> None:
        self._chosen = chosen
        self._name = own_name
        self._life = life
        self._known = known
        self._table = table
        self._sightings = sightings
        self._demands = demands
        self._clock = time
        self._transport: asyncio.DatagramTransport | None = None
        self._told: set[str] = {seed.host for seed in chosen.seeds}
        self._busy: dict[str, set[str]] = {}
        self.stopping = False

    async def start(self) -> None:
        """Open the socket; raises `OSError` if the address can't be had."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._chosen.host, self._chosen.address.port)
        )

    async def run(self) -> None:
        """Send beacons for ever."""
        while True:
            self._send()
            await self._clock.sleep(_INTERVAL)

    def introduce(self, hosts: abc.Iterable[str]) -> None:
        """Learn of addresses where instances may be."""
        self._told.update(hosts)

    def announce_stop(self) -> None:
        """Tell peers at once that this instance is about to end."""
        self.stopping = True
        self._send()

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a beacon."""
        beacon = beacons.decode(data)
        if isinstance(beacon, beacons.Malformed):
            _log.warn("datagram dropped", sender=addr[0], reason=beacon.reason)
            return
        if beacon.instance == self._name:
            return
        address = settings.Address(host=addr[0], port=addr[1])
        if self._table.heard(address, beacon):
            _log.info("peer heard", peer=beacon.instance, host=addr[0])
        self._told.update(beacon.members)
        self._take(beacon)

    def _take(self, beacon: beacons.Beacon) -> None:
        now = self._clock.monotonic()
        reported = {load.server_id for load in beacon.loads}
        for server_id in self._busy.get(beacon.instance, set()) - reported:
            engine = self._known.engine(server_id)
            if engine is not None:
                engine.forget(beacon.instance)
        self._busy[beacon.instance] = reported
        for load in beacon.loads:
            engine = self._known.engine(load.server_id)
            if engine is not None:
                told = engine_loads.PeerLoad(load.reading, load.writing, load.held)
                engine.hear(beacon.instance, told, now)
        for seen in beacon.sightings:
            engine = self._known.engine(seen.server_id)
            if engine is None:
                continue
            traits = self._known.engine_traits(engine.server.service)
            if traits is not None:
                part = prompts.Part(seen.part, seen.tokens)
                engine.keep((part,), traits.kv_tokens)

    def _send(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        data = beacons.encode(self._beacon())
        for host in self._neighbours():
            self._transport.sendto(data, (host, self._chosen.address.port))

    def _neighbours(self) -> list[str]:
        hosts = {address.host for address in self._table.addresses()} | self._told
        hosts.discard(self._chosen.host)
        ranked = sorted(
            hosts,
            key=lambda host: subset.rank(*sorted((host, self._chosen.host))),
            reverse=True,
        )
        return ranked[:_NEIGHBOURS]

    def _beacon(self) -> beacons.Beacon:
        members = [peer.address.host for peer in self._table.live()]
        return beacons.Beacon(
            instance=self._name,
            life=self._life,
            configuration=self._known.version,
            servers=self._known.servers_revision,
            stopping=self.stopping,
            members=tuple(members[:_MEMBERS_TOLD]),
            loads=tuple(self._own_loads()[:_LOADS_TOLD]),
            sightings=self._sightings.take(),
            demands=tuple(
                beacons.Demand(service, int(demand.reading), int(demand.writing))
                for service, demand in self._demands().items()
            ),
        )

    def _own_loads(self) -> list[beacons.Load]:
        found = []
        for loads in self._known.all_loads().values():
            for engine in loads.all():
                if engine.writing or any(engine.reading):
                    found.append(_load(engine))
        return sorted(found, key=lambda load: sum(load.reading), reverse=True)


def _load(engine: engine_loads.EngineLoad) -> beacons.Load:
    reading = [max(0, int(tokens)) for tokens in engine.reading]
    while reading and not reading[-1]:
        reading.pop()
    return beacons.Load(
        engine.server.server_id, tuple(reading), engine.writing, engine.held
    )
