"""Remembers which software version began which stream, and which instances know it.

Load pattern: servers of several software versions serve side by side in one service,
and instances, servers and connections fail. A client then resumes its stream at any
instance, within seconds and with another request id.

What two versions write doesn't fit together. Without a record the resumed stream goes
on at a server of any version: with half of the servers at each of two versions, half of
the resumed streams hold events of both. If only the instance that began a stream knew,
the record would be lost whenever that instance crashes; if all instances were told of
all streams, each would receive every request of the fleet.

So each stream is recorded at three instances, chosen by rendezvous hash of its request
id, in three failure domains if there are as many: any two domains may be lost. Whoever
resumes the stream ranks the instances by the same hash. Twice as many are queried,
since the two views of the fleet may differ by a few members.

Grounds: at 5,500 streams a second, 370 instances and four copies of each record with
that of the recording instance, an instance holds 3,600 records of 60 seconds. The
capacity is nearly three times that.
"""

import collections
import dataclasses
import datetime
import functools
import hashlib
from collections import abc

from pimentolatch.decisions import neighbours

__all__ = [
    "CAPACITY",
    "LIFETIME",
    "OriginTable",
    "build_key",
    "origin_key",
    "query_hosts",
    "replica_hosts",
]

# Longest time after its last event in which a client may still resume a stream.
LIFETIME = datetime.timedelta(seconds=60)
# Records of one instance. A full table takes less than 4 MB, counted with all keys as
# objects of their own.
CAPACITY = 10_000
_REPLICAS = 3
_QUERIED = 2 * _REPLICAS
# In a fleet with up to this many peers all of them are queried.
_MAX_BROADCAST = 16
_KEY_BYTES = 8
_KEY_MASK = (1 << 8 * _KEY_BYTES) - 1
# Multiplier and shift of a 64-bit mixing function (the finalizer of SplitMix64).
_MULTIPLIER = 0xBF58476D1CE4E5B9
_SHIFT = 32


def origin_key(request_id: str) -> int:
    """Return the 64-bit key of the request that began a stream."""
    return _key(request_id)


def build_key(service: str, version: str) -> int:
    """Return the 64-bit key of a software version of a service."""
    return _key(f"{len(service)}/{service}/{version}")


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    """The build that began a stream; None if records contradict each other."""

    build: int | None
    expires_at: datetime.timedelta


class OriginTable:
    """Builds that began streams, by origin; the oldest records are evicted.

    Args:
        capacity: Largest number of records.
    """

    def __init__(self, capacity: int = CAPACITY) -> None:
        self._capacity = capacity
        # Ordered by the time of the last record. Expired records are removed from the
        # front only, since those behind a longer-lived one are bounded by the capacity.
        self._records: collections.OrderedDict[int, _Record] = collections.OrderedDict()

    def __len__(self) -> int:
        """Return the number of records, of which some may have expired."""
        return len(self._records)

    def record(
        self,
        origin: int,
        build: int,
        expires_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Record the build that began a stream.

        A stream recorded with two builds counts as unknown until both have expired.

        Args:
            origin: Key of the request that began the stream.
            build: Key of the software version.
            expires_at: Monotonic time from which the record no longer counts.
            now: Monotonic time.
        """
        known = self._live(origin, now)
        merged = _Record(build, expires_at)
        if known is not None:
            merged = _Record(
                build if known.build == build else None,
                max(known.expires_at, expires_at),
            )
        self._records[origin] = merged
        self._records.move_to_end(origin)
        self._remove_expired(now)
        if len(self._records) > self._capacity:
            self._records.popitem(last=False)

    def find(self, origin: int, now: datetime.timedelta) -> int | None:
        """Return the build that began a stream; None if unknown or ambiguous."""
        self._remove_expired(now)
        known = self._live(origin, now)
        return None if known is None else known.build

    def is_ambiguous(self, origin: int, now: datetime.timedelta) -> bool:
        """Tell whether a stream was recorded with more than one build."""
        known = self._live(origin, now)
        return known is not None and known.build is None

    def _live(self, origin: int, now: datetime.timedelta) -> _Record | None:
        known = self._records.get(origin)
        return known if known is not None and now < known.expires_at else None

    def _remove_expired(self, now: datetime.timedelta) -> None:
        while self._records:
            oldest = next(iter(self._records.values()))
            if now < oldest.expires_at:
                return
            self._records.popitem(last=False)


def replica_hosts(
    origin: int, places: abc.Iterable[neighbours.Place], count: int = _REPLICAS
) -> list[str]:
    """Return the hosts that keep the record of a stream, in the order of their rank.

    Args:
        origin: Key of the request that began the stream.
        places: The known instances.
        count: Number of hosts to return, fewer if there are fewer instances.
    """
    ranked = sorted(
        places, key=lambda place: _rank(origin, _host_key(place.host)), reverse=True
    )
    best: dict[str, str] = {}
    for place in ranked:
        best.setdefault(place.failure_domain, place.host)
    chosen = list(best.values())[:count]
    others = (place.host for place in ranked if place.host not in chosen)
    while len(chosen) < count and (host := next(others, None)) is not None:
        chosen.append(host)
    return chosen


def query_hosts(origin: int, places: abc.Collection[neighbours.Place]) -> list[str]:
    """Return the hosts to query for the record of a stream.

    Args:
        origin: Key of the request that began the stream.
        places: The known instances.
    """
    if len(places) <= _MAX_BROADCAST:
        return sorted(place.host for place in places)
    return replica_hosts(origin, places, _QUERIED)


def _key(text: str) -> int:
    data = text.encode(errors="surrogatepass")
    digest = hashlib.blake2b(data, digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest, "big")


# A table of its own: each origin is ranked once or twice, so that ranking pairs by
# `rendezvous.rank` would evict from its cache what other decisions look up constantly.
@functools.lru_cache(maxsize=4096)
def _host_key(host: str) -> int:
    return _key(host)


def _rank(origin: int, host: int) -> int:
    mixed = (origin ^ host) * _MULTIPLIER & _KEY_MASK
    return (mixed ^ mixed >> _SHIFT) * _MULTIPLIER & _KEY_MASK
