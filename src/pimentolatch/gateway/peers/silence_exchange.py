"""Exchanges with the own failure domain which servers are silent."""

import datetime

import logbook

from pimentolatch import clock
from pimentolatch.decisions import silent_servers
from pimentolatch.gateway import dispatch, fleet_state
from pimentolatch.protocol import beacons
from pimentolatch.routes import servers

__all__ = ["SilenceExchange"]

_log = logbook.Logger("silence")
_MILLISECOND = datetime.timedelta(milliseconds=1)
# Servers that a log line or a beacon names.
_MAX_NAMED = 20


class SilenceExchange:
    """Knows which servers are avoided because instances found them silent.

    Args:
        fleet: The listed servers.
        own_name: Name of this instance.
        own_domain: Failure domain of this instance.
        shared: Whether what other instances report counts.
        time: Clock of this instance.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        own_name: str,
        own_domain: str,
        time: clock.Clock,
        *,
        shared: bool,
    ) -> None:
        self._fleet = fleet
        self._domain = own_domain
        self._clock = time
        self._shared = shared
        self._known = silent_servers.SilentServers(own_name)

    @property
    def avoided_count(self) -> int:
        """Number of servers that are avoided now."""
        return self._known.avoided_count(self._clock.monotonic())

    def observe(self, client: dispatch.ServerClient) -> None:
        """Learn from the answers to a client's requests, and from their absence."""
        client.on_answer(self._record_answer)
        client.on_silence(self._record_silence)

    def is_avoided(self, server: servers.Incarnation) -> bool:
        """Tell whether a server gets no request while others can serve."""
        # Asked for each server of each request, mostly while none is avoided.
        if not self._known.avoids_any:
            return False
        return self._known.is_avoided(server, self._clock.monotonic())

    def reports(self) -> dict[str, tuple[beacons.SilentServer, ...]]:
        """Return what to report to the instances of this domain, by service."""
        found: dict[str, tuple[beacons.SilentServer, ...]] = {}
        now = self._clock.monotonic()
        for report in self._known.own_reports(now)[:_MAX_NAMED]:
            server = self._fleet.servers.get(report.server.server_id)
            if server is not None and server.incarnation == report.server:
                item = beacons.SilentServer(
                    report.server, round((now - report.at) / _MILLISECOND)
                )
                found[server.service] = (*found.get(server.service, ()), item)
        return found

    def receive(self, beacon: beacons.Beacon) -> None:
        """Apply what an instance of this domain reports."""
        if not self._shared or beacon.failure_domain != self._domain:
            return
        now = self._clock.monotonic()
        self._known.receive(
            beacon.instance,
            [
                silent_servers.Report(item.server, now - item.age_ms * _MILLISECOND)
                for demand in beacon.demands
                for item in demand.silent
            ],
        )
        self._update(now)

    def retain(self, listed: frozenset[servers.Incarnation]) -> None:
        """Forget servers that are not listed any more."""
        self._known.retain(listed)

    def _record_answer(self, server: servers.Server) -> None:
        self._known.answered(server, self._clock.monotonic())

    def _record_silence(self, server: servers.Server) -> None:
        now = self._clock.monotonic()
        self._known.silent(server, now)
        self._update(now)

    def _update(self, now: datetime.timedelta) -> None:
        avoided = self._known.update(self._fleet.servers.all(), now)
        if avoided:
            _log.info(
                "servers avoided that were silent to instances of this domain",
                servers=sorted(server.server_id for server in avoided)[:_MAX_NAMED],
                count=len(avoided),
            )
