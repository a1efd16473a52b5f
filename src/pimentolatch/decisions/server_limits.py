"""Permits to send to servers that limit their request rate.

Load pattern: two of nine engines are short of capacity and accept three requests a
second each, from all instances together. If every instance sent three, they would get
twenty. If one instance sent all of them, its clients alone would be served there, and
nobody when it stops.

Each server ranks the instances by rendezvous hashing, those of its own failure domain
first, and the first ones are its senders. A sender has a token bucket that is refilled
with its part of the rate. All instances rank alike, so the parts add up to the rate
without coordination, and in a network partition as well: an instance that is out of
reach keeps its part. An instance that knows fewer members than there are takes too
much; a bucket starts empty, so it has learned the members before its first permit.

The number of senders is bounded because each may send a whole request at any moment:
three requests a second divided by 195 instances would be 195 requests at once after a
quiet minute. The excess of a server that allows little is what it tolerates of such
bursts: half of its rate for four seconds, and five requests.

An instance that is no sender learns the end of a limit from the senders. If it has not
heard of the limit for some time, its senders have stopped or have nothing to send: then
it may send one request at a time, rarely and at a time of its own, and learns from the
answer.
"""

import dataclasses
import datetime
from collections import abc

from pimentolatch.decisions import neighbours, rendezvous
from pimentolatch.routes import servers

__all__ = ["ServerLimits"]

# Requests above its rate that a server tolerates in a window: a part that grows with
# the rate and a constant one, less a margin for requests that were delayed on the way.
_EXCESS_S = 2.0
_EXCESS_REQUESTS = 4.0
_EXCESS_USED = 0.8
# A server that accepts nothing still gets some requests, because only their answers
# tell when it accepts more.
_MIN_RATE = 0.2
# An instance that is no sender may probe a server when it has not heard of the limit
# for the first time; all probes together take this share of the rate; each has a window
# in which it may be sent.
_STALE_AFTER = datetime.timedelta(seconds=10)
_PROBED_SHARE = 0.25
_PROBE_WINDOW_S = 1.0
# Longest wait that is reported: an instance without a part of the rate may probe then.
_MAX_WAIT = _STALE_AFTER


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Permits of this instance for one server.

    Attributes:
        limit: Requests per second that the server accepts.
        at: Time of the last refill.
        confirmed_at: When the limit was last named by an answer, here or at a peer.
        rate: Permits per second of this instance; 0 if it is no sender.
        size: Most permits at any moment.
        level: Permits left at the time `at`.
        is_divided: Whether `rate` and `size` follow from the limit and the members.
        probed: Number of the last probe window that was used.
    """

    limit: float
    at: datetime.timedelta
    confirmed_at: datetime.timedelta
    rate: float = 0.0
    size: float = 0.0
    level: float = 0.0
    is_divided: bool = False
    probed: int = -1


class ServerLimits:
    """Permits of this instance to send to the servers that named a limit.

    Args:
        own: This instance.
    """

    def __init__(self, own: neighbours.Place) -> None:
        self._own = own
        self._members: frozenset[neighbours.Place] = frozenset({own})
        self._buckets: dict[servers.Incarnation, _Bucket] = {}

    def set_members(self, others: abc.Iterable[neighbours.Place]) -> None:
        """Set the other instances of the fleet, including those that are cut off."""
        members = frozenset(others) | {self._own}
        if members != self._members:
            self._members = members
            for bucket in self._buckets.values():
                bucket.is_divided = False

    def set_limit(
        self,
        server: servers.Server,
        limit: float,
        named_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Record that a server named a limit.

        Args:
            server: The server.
            limit: Requests per second that it accepts.
            named_at: When the answer that said so arrived, here or at a peer.
            now: The current time.
        """
        bucket = self._buckets.get(server.incarnation)
        if bucket is None:
            bucket = _Bucket(limit, now, named_at)
            self._buckets[server.incarnation] = bucket
        elif bucket.limit != limit:
            bucket.limit, bucket.is_divided = limit, False
        bucket.confirmed_at = max(bucket.confirmed_at, named_at)

    def lift(self, server: servers.Incarnation) -> None:
        """Record that a server names no limit any more."""
        self._buckets.pop(server, None)

    def retain(self, listed: abc.Container[servers.Incarnation]) -> None:
        """Forget the servers that are no longer listed."""
        for server in [name for name in self._buckets if name not in listed]:
            del self._buckets[server]

    def may_send(self, server: servers.Server, now: datetime.timedelta) -> bool:
        """Tell whether this instance may send a request to a server now."""
        bucket = self._refilled(server, now)
        if bucket is None or bucket.level >= 1:
            return True
        return self._probe_window(server, bucket, now) is not None

    def take(self, server: servers.Server, now: datetime.timedelta) -> bool:
        """Use a permit to send a request to a server; False if there is none."""
        bucket = self._refilled(server, now)
        if bucket is None:
            return True
        if bucket.level >= 1:
            bucket.level -= 1
            return True
        window = self._probe_window(server, bucket, now)
        if window is None:
            return False
        bucket.probed = window
        return True

    def permit_wait(
        self, listed: abc.Iterable[servers.Server], ahead: int, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return when a request gets a permit for one of several servers.

        Args:
            listed: The servers.
            ahead: Requests that get a permit before it.
            now: The current time.
        """
        missing, rate = 1.0 + ahead, 0.0
        for server in listed:
            bucket = self._refilled(server, now)
            if bucket is None:
                return datetime.timedelta()
            missing -= bucket.level
            rate += bucket.rate
        if missing <= 0:
            return datetime.timedelta()
        if rate <= 0:
            return _MAX_WAIT
        return min(datetime.timedelta(seconds=missing / rate), _MAX_WAIT)

    def _refilled(
        self, server: servers.Server, now: datetime.timedelta
    ) -> _Bucket | None:
        bucket = self._buckets.get(server.incarnation)
        if bucket is None:
            return None
        if not bucket.is_divided:
            self._divide(server, bucket)
        elapsed = (now - bucket.at).total_seconds()
        bucket.level = min(bucket.size, bucket.level + bucket.rate * elapsed)
        bucket.at = now
        return bucket

    def _divide(self, server: servers.Server, bucket: _Bucket) -> None:
        """Set this instance's part of a server's rate."""
        excess = _EXCESS_USED * (_EXCESS_S * bucket.limit + _EXCESS_REQUESTS)
        bucket.is_divided = True
        senders = max(1, min(len(self._members), int(excess)))
        ranked = sorted(self._members, key=lambda place: _rank(place, server))
        if self._own in ranked[:senders]:
            bucket.rate = max(bucket.limit, _MIN_RATE) / senders
            bucket.size = max(1.0, excess / senders)
        else:
            bucket.rate = bucket.size = 0.0

    def _probe_window(
        self, server: servers.Server, bucket: _Bucket, now: datetime.timedelta
    ) -> int | None:
        """Return the number of the probe window that is open; None if none is."""
        if bucket.rate or now - bucket.confirmed_at < _STALE_AFTER:
            return None
        rate = _PROBED_SHARE * max(bucket.limit, _MIN_RATE)
        period = max(len(self._members) / rate, 2 * _PROBE_WINDOW_S)
        phase = rendezvous.fraction(self._own.host, server.server_id)
        windows = now.total_seconds() / period + phase
        number = int(windows)
        is_open = (windows - number) * period < _PROBE_WINDOW_S
        return number if is_open and number != bucket.probed else None


def _rank(place: neighbours.Place, server: servers.Server) -> tuple[bool, int]:
    """Return the sort key of an instance as a sender; the first ones send."""
    remote = place.failure_domain != server.failure_domain
    return remote, -rendezvous.rank(place.host, server.server_id)
