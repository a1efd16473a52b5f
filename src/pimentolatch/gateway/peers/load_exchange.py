"""Exchanges the load of engines between instances, by way of their beacons."""

import datetime
import math
from collections import abc

from pimentolatch.decisions import engine_loads, peer_loads, rendezvous
from pimentolatch.gateway import fleet_state
from pimentolatch.gateway.peers import cache_updates
from pimentolatch.protocol import beacons
from pimentolatch.routes import servers

__all__ = ["LoadExchange"]

# Bounds the size of a datagram so that it passes every link unfragmented.
_MAX_LOADS = 40
# The same for totals. Lower, since engines are assigned to chunks by a hash and some
# chunks get more than the average.
_LOADS_PER_CHUNK = 32


class LoadExchange:
    """Applies the engine loads in peers' beacons and collects those to send.

    If not every instance receives every other's beacons, the instances of another
    failure domain count as one peer, and any of them reports that domain's total load.

    Args:
        fleet: The engines, to which peers' load is added.
        own_domain: Failure domain of this instance.
        updates: Receives the peers' prefix-cache updates that are to be forwarded.

    Attributes:
        partial_view: Whether there are instances that exchange no beacons with each
            other.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        own_domain: str,
        updates: cache_updates.CacheUpdates,
    ) -> None:
        self._fleet = fleet
        self._updates = updates
        self._domain = own_domain
        self._busy: dict[str, set[servers.Incarnation]] = {}
        self.partial_view = False

    def receive(
        self, beacon: beacons.Beacon, weight: float, now: datetime.timedelta
    ) -> None:
        """Apply what a beacon reports about engines.

        Args:
            beacon: The beacon.
            weight: Number of instances that its sender represents.
            now: Current time.
        """
        if self.partial_view and beacon.failure_domain != self._domain:
            self._receive_domain(beacon, now)
        else:
            self._receive_loads(beacon, weight, now)
        for reported_change in beacon.stage_changes:
            engine = self._fleet.engine_load(reported_change.engine)
            if engine is not None:
                left = datetime.timedelta(milliseconds=reported_change.remaining_ms)
                engine.begin_change(
                    engine_loads.StageChange(reported_change.stage, now + left)
                )
        for part in beacon.cached:
            self._receive_cached(part)

    def retain(self, live: abc.Container[str]) -> None:
        """Forget the busy engines of all peers except the live ones."""
        self._busy = {name: ids for name, ids in self._busy.items() if name in live}

    def own(self) -> tuple[beacons.Load, ...]:
        """Return the engine loads of this instance, largest prefill load first."""
        found = [
            _load(engine, engine.own_load())
            for engine in self._engines()
            if engine.streams or any(engine.prefill_tokens)
        ]
        found.sort(key=lambda load: sum(load.prefill_tokens), reverse=True)
        return tuple(found[:_MAX_LOADS])

    def totals(
        self, now: datetime.timedelta
    ) -> list[tuple[beacons.TotalsChunk, tuple[beacons.Load, ...]]]:
        """Return the engine loads of this domain's instances, at engines of any domain.

        The loads are split into as many chunks as datagrams are needed. If the excess
        was left out instead, the least loaded decode engines would look idle to the
        other domains, and all of these would choose them.
        """
        works = [(engine, engine.domain_load(now)) for engine in self._engines()]
        busy = [
            (e, work) for e, work in works if work.streams or any(work.prefill_tokens)
        ]
        count = max(1, math.ceil(len(busy) / _LOADS_PER_CHUNK))
        chunks: list[list[beacons.Load]] = [[] for _ in range(count)]
        for engine, work in busy:
            chunks[_chunk_of(engine, count)].append(_load(engine, work))
        return [
            (beacons.TotalsChunk(number, count), tuple(loads))
            for number, loads in enumerate(chunks)
        ]

    def changing(self, now: datetime.timedelta) -> tuple[beacons.StageChange, ...]:
        """Return the engines that are known to be changing their stage."""
        return tuple(
            beacons.StageChange(
                engine.server.incarnation,
                engine.change.stage,
                int((engine.change.until - now) / datetime.timedelta(milliseconds=1)),
            )
            for engine in self._engines()
            if engine.change is not None and engine.is_changing(now)
        )

    def _engines(self) -> abc.Iterator[engine_loads.EngineLoad]:
        for loads in self._fleet.loads_by_service().values():
            yield from loads.all()

    def _receive_loads(
        self, beacon: beacons.Beacon, weight: float, now: datetime.timedelta
    ) -> None:
        reported = {load.engine for load in beacon.loads}
        for idle in self._busy.get(beacon.instance, set()) - reported:
            engine = self._fleet.engine_load(idle)
            if engine is not None:
                engine.peers.forget(beacon.instance)
        self._busy[beacon.instance] = reported
        for load in beacon.loads:
            engine = self._fleet.engine_load(load.engine)
            if engine is not None:
                peer_load = peer_loads.PeerLoad(
                    load.prefill_tokens, load.streams, load.kv_tokens, weight
                )
                engine.peers.update(beacon.instance, peer_load, now)

    def _receive_domain(self, beacon: beacons.Beacon, now: datetime.timedelta) -> None:
        """Apply a chunk of another domain's total load; see `totals`."""
        domain = beacon.failure_domain
        for load in beacon.totals:
            engine = self._fleet.engine_load(load.engine)
            if engine is not None:
                work = peer_loads.PeerLoad(
                    load.prefill_tokens, load.streams, load.kv_tokens
                )
                engine.peers.update_domain(domain, work, now)
        reported = {load.engine for load in beacon.totals}
        for engine in self._engines():
            covered = _chunk_of(engine, beacon.chunk.count) == beacon.chunk.number
            if covered and engine.server.incarnation not in reported:
                engine.peers.forget_domain(domain)

    def _receive_cached(self, part: beacons.CachedPrefix) -> None:
        engine = self._fleet.engine_load(part.engine)
        if engine is None:
            return
        traits = self._fleet.engine_traits(engine.server.service)
        if traits is not None and engine.prefix_cache.add(
            part.key, part.tokens, traits.kv_tokens
        ):
            self._updates.forward(part)


def _chunk_of(engine: engine_loads.EngineLoad, count: int) -> int:
    """Return the number of the chunk of the totals that an engine belongs to."""
    return rendezvous.rank(engine.server.server_id, "piece") % count


def _load(engine: engine_loads.EngineLoad, work: peer_loads.PeerLoad) -> beacons.Load:
    prefill_tokens = [max(0, int(tokens)) for tokens in work.prefill_tokens]
    while prefill_tokens and not prefill_tokens[-1]:
        prefill_tokens.pop()
    return beacons.Load(
        engine.server.incarnation, tuple(prefill_tokens), work.streams, work.kv_tokens
    )
