"""Exchanges what instances learned of engines' speeds, by way of their beacons."""

import datetime
from collections import abc

from pimentolatch.decisions import engine_loads, server_speeds
from pimentolatch.gateway import fleet_state
from pimentolatch.protocol import beacons
from pimentolatch.routes import servers

__all__ = ["SpeedExchange"]

# Rows of a beacon, and their bytes: at ten receivers, 120 bytes once a second are 1.2
# KB/s. A row of an engine that the beacon names for its load is short. Applying them
# with each beacon took a twentieth of an instance's processor time.
_INTERVAL = datetime.timedelta(milliseconds=900)
_MAX_ROWS = 8
# Rows while no difference is known: the engines of one failure domain may all be alike
# and differ from those of another.
_ROWS_IF_EVEN = 2
_MAX_BYTES = 120
_NAMED_BYTES = 12
_UNNAMED_BYTES = 40
# An engine that the beacon doesn't name is reported when this many more beacons have
# passed since its last report.
_UNNAMED_WAIT = 10
_PER_SECOND = 1000.0
_MIN_SAMPLES = 1.0


class SpeedExchange:
    """Applies the speeds in peers' beacons and collects those to send.

    Args:
        fleet: The engines, to whose speeds the peers' evidence is added.
        own_domain: Failure domain of this instance.
    """

    def __init__(self, fleet: fleet_state.FleetState, own_domain: str) -> None:
        self._fleet = fleet
        self._domain = own_domain
        self._sent = 0
        self._sent_at: dict[tuple[str, bool], datetime.timedelta] = {}
        self._reported: dict[servers.Incarnation, int] = {}

    def receive(
        self, beacon: beacons.Beacon, now: datetime.timedelta, *, partial_view: bool
    ) -> None:
        """Apply the speeds in a beacon.

        Args:
            beacon: The beacon.
            now: The current time.
            partial_view: Whether the instances of another domain count as one sender,
                since any of them reports what all of them saw.
        """
        is_domain = partial_view and beacon.failure_domain != self._domain
        sender = beacon.failure_domain if is_domain else beacon.instance
        for demand in beacon.demands:
            for row in demand.speeds:
                engine = self._fleet.engine_load(row.server)
                if engine is None:
                    continue
                loads = self._fleet.loads(engine.server.service)
                report = server_speeds.Report(
                    row.prefill_rate / _PER_SECOND,
                    row.event_gap_us / _PER_SECOND,
                    float(row.samples),
                )
                loads.speeds.receive(
                    sender, engine.speed, report, now, is_domain=is_domain
                )
            if demand.speeds:
                self._fleet.loads(demand.service).refresh_speeds(now)

    def rows(
        self,
        service: str,
        named: abc.Container[servers.Incarnation],
        now: datetime.timedelta,
        *,
        of_domain: bool,
    ) -> tuple[beacons.ServerSpeed, ...]:
        """Return the speeds of some engines, those that waited longest first.

        There are none in most beacons.

        Args:
            service: Name of the service.
            named: Engines that the beacon names anyway.
            now: The current time.
            of_domain: Whether the reports of this domain's instances are included, for
                the instances of other domains.
        """
        loads = self._fleet.loads(service)
        last = self._sent_at.get((service, of_domain))
        if not loads.speeds.learned or (last is not None and now - last < _INTERVAL):
            return ()
        most = _MAX_ROWS if loads.speeds.reports else _ROWS_IF_EVEN
        self._sent_at[service, of_domain] = now
        self._sent += 1
        listed = {engine.server.incarnation: engine for engine in loads.all()}
        self._reported = {
            server: number
            for server, number in self._reported.items()
            if self._fleet.engine_load(server) is not None
        }
        waiting = sorted(
            listed,
            key=lambda server: (
                self._reported.get(server, -_UNNAMED_WAIT)
                + (0 if server in named else _UNNAMED_WAIT)
            ),
        )
        found: list[beacons.ServerSpeed] = []
        left = _MAX_BYTES
        for server in waiting:
            size = _NAMED_BYTES if server in named else _UNNAMED_BYTES
            row = _row(listed[server], now, of_domain=of_domain)
            if row is None or size > left:
                continue
            found.append(row)
            self._reported[server] = self._sent
            left -= size
            if len(found) == most:
                break
        return tuple(found)


def _row(
    engine: engine_loads.EngineLoad, now: datetime.timedelta, *, of_domain: bool
) -> beacons.ServerSpeed | None:
    """Return what is reported of an engine; None if nothing is known."""
    report = (
        engine.speed.combined(now, with_domains=False)
        if of_domain
        else engine.speed.own(now)
    )
    if report.samples < _MIN_SAMPLES or not (report.rate or report.gap_ms):
        return None
    return beacons.ServerSpeed(
        engine.server.incarnation,
        round(report.rate * _PER_SECOND),
        round(report.gap_ms * _PER_SECOND),
        round(report.samples),
    )
