"""Peers of an instance, as known from their beacons."""

import dataclasses
import datetime
import random

from pimentolatch import clock
from pimentolatch.decisions import (
    demand_rate,
    neighbours,
    rendezvous,
    store_readers,
)
from pimentolatch.protocol import beacons

__all__ = ["Peer", "PeerTable"]

# An instance that has missed eight beacons has terminated or is partitioned.
_LIVENESS_TIMEOUT = datetime.timedelta(seconds=2)
# Instances that nobody has heard for this long are removed. Until then beacons are
# still sent to them, so that the end of a partition is noticed without the store. They
# also still count as members of the fleet, since a partitioned instance goes on using
# its share of shared limits. Partitions between failure domains last for minutes.
_RETENTION = datetime.timedelta(minutes=10)
_MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Last beacon of an instance, with its sender's host and time of receipt."""

    host: str
    beacon: beacons.Beacon
    received_at: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class _Mention:
    """An instance, and when it was last heard here or by another instance."""

    place: neighbours.Place
    at: datetime.timedelta


class PeerTable:
    """Instances whose beacons are received, and those that peers list as members.

    Args:
        own_name: Name of this instance.
        own_place: Host and failure domain of this instance.
        time: Clock of this instance.
        rng: Picks the members that a beacon lists.
    """

    def __init__(
        self,
        own_name: str,
        own_place: neighbours.Place,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._own = own_name
        self._place = own_place
        self._clock = time
        self._rng = rng
        self._peers: dict[str, Peer] = {}
        self._mentions: dict[str, _Mention] = {}
        self._readers: dict[str, store_readers.Reader] = {}

    @property
    def failure_domain(self) -> str:
        """Failure domain of this instance."""
        return self._place.failure_domain

    @property
    def instances(self) -> int:
        """Number of instances in the fleet, including this one."""
        return 1 + len(self._mentions)

    def receive(self, host: str, beacon: beacons.Beacon) -> bool:
        """Record a beacon; return whether it is its sender's first.

        A new incarnation of an instance counts as a new sender.
        """
        now = self._clock.monotonic()
        known = self._peers.get(beacon.instance)
        self._peers[beacon.instance] = Peer(host, beacon, now)
        self._mention(neighbours.Place(host, beacon.failure_domain), now)
        for member in beacon.members:
            heard_at = now - member.age_ms * _MILLISECOND
            self._mention(
                neighbours.Place(member.host, member.failure_domain), heard_at
            )
        if beacon.failure_domain == self._place.failure_domain:
            self._update_readers(beacon, now)
        return known is None or known.beacon.incarnation != beacon.incarnation

    def forget_old(self) -> None:
        """Remove instances that nobody has heard within the retention time."""
        now = self._clock.monotonic()
        for host in [h for h, m in self._mentions.items() if _is_old(m.at, now)]:
            del self._mentions[host]
        for name in [n for n, p in self._peers.items() if _is_old(p.received_at, now)]:
            del self._peers[name]
            self._readers.pop(name, None)

    def live(self) -> list[Peer]:
        """Return the peers with a recent beacon that are not stopping."""
        now = self._clock.monotonic()
        return [
            peer
            for peer in self._peers.values()
            if now - peer.received_at <= _LIVENESS_TIMEOUT and not peer.beacon.stopping
        ]

    def last_heard(self, most: int) -> list[Peer]:
        """Return the peers that were heard last, those of this domain first."""
        own = self._place.failure_domain
        known = [p for p in self._peers.values() if not p.beacon.stopping]
        known.sort(key=lambda p: (p.beacon.failure_domain == own, p.received_at))
        return known[: -most - 1 : -1]

    def is_live(self, instance: str) -> bool:
        """Tell whether an instance has sent a recent beacon."""
        peer = self._peers.get(instance)
        now = self._clock.monotonic()
        return peer is not None and now - peer.received_at <= _LIVENESS_TIMEOUT

    def is_first_for(self, key: int | str) -> bool:
        """Tell whether this instance is the first of all known ones for a key."""
        hosts = [place.host for place in self.places()]
        ranks = (rendezvous.rank(host, str(key)) for host in hosts)
        return rendezvous.rank(self._place.host, str(key)) > max(ranks, default=-1)

    def places(self) -> list[neighbours.Place]:
        """Return host and failure domain of all other known instances."""
        return [mention.place for mention in self._mentions.values()]

    def reachable_places(self) -> list[neighbours.Place]:
        """Return the other instances that may answer now.

        In a small fleet each instance hears all that are live.
        """
        if not neighbours.hears_all(len(self._mentions)):
            return self.places()
        return [
            neighbours.Place(peer.host, peer.beacon.failure_domain)
            for peer in self.live()
        ]

    def sample_members(self, most: int) -> tuple[beacons.Member, ...]:
        """Return a random sample of the known instances, `most` of them at most."""
        now = self._clock.monotonic()
        known = list(self._mentions.values())
        return tuple(
            beacons.Member(
                mention.place.host,
                mention.place.failure_domain,
                beacons.passed_on_age_ms(now - mention.at),
            )
            for mention in self._rng.sample(known, min(most, len(known)))
        )

    def weights(self) -> dict[str, float]:
        """Return the number of instances that a live peer represents, by domain."""
        live_places = [
            neighbours.Place(peer.host, peer.beacon.failure_domain)
            for peer in self.live()
        ]
        return neighbours.domain_weights(self.places(), live_places)

    def readers(self) -> tuple[store_readers.Reader, ...]:
        """Return this domain's candidates for watching the store, without this one."""
        return store_readers.select(self._readers.values(), self._clock.monotonic())

    def demand(self, service: str) -> demand_rate.ServiceDemand:
        """Estimate the demand for a service at all other instances.

        The demand that live peers report is scaled up to the size of the fleet.
        """
        live = self.live()
        found = [
            demand
            for peer in live
            for demand in peer.beacon.demands
            if demand.service == service
        ]
        scale = max(1.0, (self.instances - 1) / max(1, len(live)))
        return demand_rate.ServiceDemand(
            scale * sum(demand.prefill for demand in found),
            scale * sum(demand.decode for demand in found),
        )

    def prefill_rate(self, service: str) -> float:
        """Return the highest prefill rate that a live peer has learned, in tokens/ms.

        A prompt that had to wait makes the learned rate too low and none makes it too
        high, so the highest rate of several instances is the most accurate.
        """
        rates = [
            demand.prefill_rate / 1000
            for peer in self.live()
            for demand in peer.beacon.demands
            if demand.service == service
        ]
        return max(rates, default=0.0)

    def _mention(self, place: neighbours.Place, at: datetime.timedelta) -> None:
        known = self._mentions.get(place.host)
        if place.host != self._place.host and (known is None or at > known.at):
            self._mentions[place.host] = _Mention(place, at)

    def _update_readers(self, beacon: beacons.Beacon, now: datetime.timedelta) -> None:
        self._readers.pop(beacon.instance, None)
        for reported in beacon.readers:
            last_seen = now - datetime.timedelta(milliseconds=reported.age_ms)
            known = self._readers.get(reported.instance)
            if reported.instance != self._own and (
                known is None or last_seen > known.last_seen
            ):
                self._readers[reported.instance] = store_readers.Reader(
                    reported.instance, last_seen
                )


def _is_old(at: datetime.timedelta, now: datetime.timedelta) -> bool:
    return now - at > _RETENTION
