"""Passes peers' work reports and the number of instances to the dispatcher."""

import dataclasses
import datetime

from pimentolatch import clock
from pimentolatch.decisions import demand, dispatcher, work_reports
from pimentolatch.entry import control_plane

__all__ = ["PeerCountUpdater", "PeerReportTable"]

_INTERVAL = datetime.timedelta(seconds=1)


class PeerReportTable:
    """Records peers' work reports, with their time of arrival, in the dispatcher."""

    def __init__(self, decisions: dispatcher.Dispatcher, time: clock.Clock) -> None:
        self._decisions = decisions
        self._clock = time
        self._demand: dict[str, demand.Totals] = {}

    def update(self, peer: str, work: work_reports.WorkReport) -> None:
        """See `work_exchange.PeerWorkTable.update`."""
        self._decisions.peers.update(peer, work, self._clock.monotonic())
        for totals in work.totals:
            # The peer's incarnation comes from the link: a restarted peer counts its
            # totals from zero, which must not look like a drop in demand.
            self._demand[peer] = dataclasses.replace(totals, incarnation=peer)

    def forget(self, peer: str) -> None:
        """See `work_exchange.PeerWorkTable.forget`."""
        self._decisions.peers.forget(peer)
        self._demand.pop(peer, None)

    def demand(self) -> tuple[demand.Totals, ...]:
        """Return the newest totals of this instance and of its reachable peers."""
        return (*self.own_report().totals, *self._demand.values())

    def own_report(self) -> work_reports.WorkReport:
        """Return the work report of this instance, to be sent to peers."""
        return self._decisions.shares(self._clock.monotonic())


class PeerCountUpdater:
    """Task that tells the dispatcher which instances share engines and rate limits."""

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
        """Update the instances every second until cancelled."""
        while True:
            self._decisions.set_instances(
                self._control.domain_instances, self._control.instance_count
            )
            await self._clock.sleep(_INTERVAL)
