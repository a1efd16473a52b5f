"""Detects slow and failing backend servers by their answers.

Load pattern: one engine runs at a tenth of its speed, because of heat, a bad link or a
noisy neighbour. It still answers, so no health check finds it. With even load balancing
its share of all answers is late; with least outstanding work it still holds a full
batch of requests, each taking ten times as long.

Each answer gives a latency ratio: the time it took over the expected time. A server's
slowness is its mean ratio over the median of its peers, so that a fault common to all
(or a wrong expectation) ejects none. Its share of the load falls with its slowness.
When it is four times as slow, or after three failures in a row, it is ejected: it gets
one request at a time, as a probe, and only after a pause. The pause doubles up to a
minute while probes fail.

At most half of the servers are ejected. Beyond that the fault is more likely local or
in the network, and the remaining servers would fail under the whole load.

Grounds: an engine that also prefills decodes at half its rate, and the speed-up of
small batches is not known, which leaves another factor of two; so equal engines may
differ by four at the extremes, and routing keeps them from these. Three observations
are what a stream gives within its first 50 tokens.
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
    probed: bool = False
    pause: datetime.timedelta = _INITIAL_PAUSE
    probe_at: datetime.timedelta = datetime.timedelta()


class ServerHealth:
    """Latency ratios and failures of the servers that this instance uses."""

    def __init__(self) -> None:
        self._servers: dict[str, _Server] = {}

    def observe(
        self, server: str, latency_ratio: float, now: datetime.timedelta
    ) -> None:
        """Record an answer, or a part of one.

        Args:
            server: The server that answered.
            latency_ratio: Time it took over the expected time.
            now: The time.
        """
        known = self._servers.setdefault(server, _Server())
        latency_ratio = min(latency_ratio, _MAX_LATENCY_RATIO)
        if known.observations == 0 or (
            known.ejected and latency_ratio < known.latency_ratio
        ):
            # A fast probe replaces the mean, which still contains the slow period.
            known.latency_ratio = latency_ratio
        else:
            known.latency_ratio += _GAIN * (latency_ratio - known.latency_ratio)
        known.observations += 1
        known.failures = 0
        known.probed = False

    def failed(self, server: str, now: datetime.timedelta) -> None:
        """Record an answer that broke off or never began.

        Only that of a probe says that the server still fails: what was sent before the
        server was ejected failed for the same cause.
        """
        known = self._servers.setdefault(server, _Server())
        known.failures += 1
        if known.ejected and known.probed:
            known.probed = False
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
        """Eject slow and failing servers and readmit those that recovered."""
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
        """Record that a probe is sent; the next one waits longer."""
        self._servers[server].probed = True
        self._postpone(self._servers[server], now)

    def retain(self, servers: abc.Set[str]) -> None:
        """Remove all servers but these, which are the document's."""
        for name in self._servers.keys() - servers:
            del self._servers[name]

    def _postpone(self, known: _Server, now: datetime.timedelta) -> None:
        known.probe_at = now + known.pause
        known.pause = min(2 * known.pause, _MAX_PAUSE)
