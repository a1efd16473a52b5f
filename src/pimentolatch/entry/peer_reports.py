"""Brings the peers' work and number to the decisions about completions."""

import dataclasses
import datetime

from pimentolatch import clock
from pimentolatch.decisions import demand, dispatcher, work_reports
from pimentolatch.entry import control_plane

__all__ = ["PeerCountUpdater", "PeerReportTable"]

_INTERVAL = datetime.timedelta(seconds=1)


class PeerReportTable:
    """Puts peers' shares, with the time they came, into the decisions' table."""

    def __init__(self, decisions: dispatcher.Dispatcher, time: clock.Clock) -> None:
        self._decisions = decisions
        self._clock = time
        self._demand: dict[str, demand.Totals] = {}

    def update(self, peer: str, work: work_reports.WorkReport) -> None:
        """See `share_spread.ShareTable.update`."""
        self._decisions.peers.update(peer, work, self._clock.monotonic())
        for totals in work.totals:
            # The process is named by the link: totals that began anew after a restart
            # must not look like a sudden lull.
            self._demand[peer] = dataclasses.replace(totals, incarnation=peer)

    def forget(self, peer: str) -> None:
        """See `share_spread.ShareTable.forget`."""
        self._decisions.peers.forget(peer)
        self._demand.pop(peer, None)

    def demand(self) -> tuple[demand.Totals, ...]:
        """Return the newest totals of this instance and of the peers that are heard."""
        return (*self.own_report().totals, *self._demand.values())

    def own_report(self) -> work_reports.WorkReport:
        """Return the work of this instance, for the peers."""
        return self._decisions.shares(self._clock.monotonic())


class PeerCountUpdater:
    """A task that tells the decisions who shares the engines and the limits."""

    def __init__(
        self,
        decisions: dispatcher.Dispatcher,
        control: control_plane.ControlPlane,
        time: clock.Clock,
    ) -> None:
        self._decisions = decisions
        self._control = control
        self._clock = time

    async def run(self) -> None:
        """Keep the numbers up to date until cancelled."""
        while True:
            self._decisions.set_instances(
                self._control.domain_instances, self._control.instance_count
            )
            await self._clock.sleep(_INTERVAL)
