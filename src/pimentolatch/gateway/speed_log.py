"""Logs what is known of engines' speeds, seldom."""

import datetime

import logbook

from pimentolatch.decisions import server_speeds
from pimentolatch.gateway import fleet_state

__all__ = ["SpeedLog"]

_log = logbook.Logger("speeds")
_INTERVAL = datetime.timedelta(seconds=60)


class SpeedLog:
    """Logs when speeds begin or cease to count, and once a minute while they do.

    Args:
        fleet: The engines.
    """

    def __init__(self, fleet: fleet_state.FleetState) -> None:
        self._fleet = fleet
        self._uneven: dict[str, bool] = {}
        self._logged_at: dict[str, datetime.timedelta] = {}

    def write(self, now: datetime.timedelta) -> None:
        """Log the speeds of each service if it is time to."""
        for service, loads in self._fleet.loads_by_service().items():
            speeds = loads.speeds
            has_changed = speeds.uneven is not self._uneven.get(service, False)
            logged_at = self._logged_at.get(service, now)
            is_due = speeds.uneven and now - logged_at >= _INTERVAL
            if has_changed or is_due:
                self._uneven[service] = speeds.uneven
                self._logged_at[service] = now
                _write(service, speeds)


def _write(service: str, speeds: server_speeds.Speeds) -> None:
    _log.info(
        "speeds of engines count" if speeds.uneven else "speeds of engines don't count",
        service=service,
        spread=round(speeds.spread, 2),
        known=speeds.known,
        typical_rate=round(speeds.typical_rate, 1),
        typical_gap_ms=round(speeds.typical_gap_ms, 1),
        pause_factor=round(speeds.pause_factor, 2),
    )
