"""Finds slow and failing backend servers by their answers.

Load pattern: one engine runs at a tenth of its speed, because of heat, a bad link or a
neighbour. It still answers, so no health check finds it. Spread evenly, its share of
all answers is late; chosen by outstanding work alone, it still holds a full batch of
requests, each ten times as long.

Each answer gives a pace: the time it took over the time that was expected of it. A
server's slowness is its mean pace over the median of its peers, so that a fault of
everybody (or of the expectation) condemns nobody. Its share falls with its slowness.
From four times as slow, or after three failures in a row, it is ejected: it gets one
request at a time, as a probe, and only after a pause. The pause doubles up to a minute
while probes are bad.

At most half of the servers are ejected. Beyond that the fault is more likely ours or
the network's, and the rest would fall under the load of all.

Grounds: an engine that also reads prompts writes at half its rate, and how much faster
a small batch runs is not known, which leaves another factor of two; so equal engines
may differ by four at the extremes, and routing keeps them from these. Three
observations are what a stream gives within its first 50 tokens.
"""

import dataclasses
import datetime
import statistics
from collections import abc

__all__ = ["ServerHealth"]

_GAIN = 0.3
_EJECTION_SLOWNESS = 4.0
_RETURN_SLOWNESS = 2.0
_MIN_OBSERVATIONS = 3
_EJECTION_FAILURES = 3
_MAX_EJECTED_SHARE = 0.5
_INITIAL_PAUSE = datetime.timedelta(seconds=5)
_MAX_PAUSE = datetime.timedelta(seconds=60)
_MAX_LATENCY_RATIO = 100.0


@dataclasses.dataclass(slots=True)
class _Server:
    latency_ratio: float = 1.0
    observations: int = 0
    failures: int = 0
    ejected: bool = False
    pause: datetime.timedelta = _INITIAL_PAUSE
    probe_at: datetime.timedelta = datetime.timedelta()


class ServerHealth:
    """Paces and failures of the servers that this instance sends to."""

    def __init__(self) -> None:
        self._servers: dict[str, _Server] = {}

    def observe(
        self, server: str, latency_ratio: float, now: datetime.timedelta
    ) -> None:
        """Learn from an answer, or a part of one.

        Args:
            server: Who gave it.
            latency_ratio: Time it took over the time expected of it.
            now: The time.
        """
        known = self._servers.setdefault(server, _Server())
        latency_ratio = min(latency_ratio, _MAX_LATENCY_RATIO)
        if known.observations == 0 or (
            known.ejected and latency_ratio < known.latency_ratio
        ):
            # A good probe speaks for itself: the mean still holds the bad time.
            known.latency_ratio = latency_ratio
        else:
            known.latency_ratio += _GAIN * (latency_ratio - known.latency_ratio)
        known.observations += 1
        known.failures = 0

    def failed(self, server: str, now: datetime.timedelta) -> None:
        """Learn of an answer that broke off or never began."""
        known = self._servers.setdefault(server, _Server())
        known.failures += 1
        if known.ejected:
            self._postpone(known, now)

    def slowness(self, server: str, peers: abc.Collection[str]) -> float:
        """Return how many times slower a server is than its peers; at least 1."""
        known = self._servers.get(server)
        if known is None or known.observations < _MIN_OBSERVATIONS:
            return 1.0
        ratios = [
            self._servers[peer].latency_ratio
            for peer in peers
            if peer in self._servers and self._servers[peer].observations
        ]
        if len(ratios) < 2:
            return 1.0
        return max(1.0, known.latency_ratio / max(statistics.median_low(ratios), 1e-6))

    def update_ejections(
        self, servers: abc.Collection[str], now: datetime.timedelta
    ) -> None:
        """Eject the servers that are slow or fail, and take back those that mended."""
        slowness = {server: self.slowness(server, servers) for server in servers}
        ejections_left = int(_MAX_EJECTED_SHARE * len(servers))
        ejections_left -= sum(self.ejected(server) for server in servers)
        for server in sorted(servers, key=lambda name: slowness[name], reverse=True):
            known = self._servers.get(server)
            if known is None:
                continue
            unhealthy = (
                slowness[server] >= _EJECTION_SLOWNESS
                or known.failures >= _EJECTION_FAILURES
            )
            if known.ejected:
                if slowness[server] < _RETURN_SLOWNESS and known.failures == 0:
                    known.ejected = False
                    known.pause = _INITIAL_PAUSE
            elif unhealthy and ejections_left > 0:
                ejections_left -= 1
                known.ejected = True
                known.probe_at = now + known.pause

    def ejected(self, server: str) -> bool:
        """Tell whether a server gets only probes."""
        known = self._servers.get(server)
        return known is not None and known.ejected

    def may_probe(self, server: str, now: datetime.timedelta) -> bool:
        """Tell whether an ejected server's pause is over."""
        return now >= self._servers[server].probe_at

    def probed(self, server: str, now: datetime.timedelta) -> None:
        """Note that a probe is sent; the next one waits longer."""
        self._postpone(self._servers[server], now)

    def retain(self, servers: abc.Set[str]) -> None:
        """Drop all servers but these, which are the document's."""
        for name in self._servers.keys() - servers:
            del self._servers[name]

    def _postpone(self, known: _Server, now: datetime.timedelta) -> None:
        known.probe_at = now + known.pause
        known.pause = min(2 * known.pause, _MAX_PAUSE)
