"""Builds the leader tasks, which only one instance runs at a time."""

import datetime
import typing
from collections import abc

from pimentolatch import clock
from pimentolatch.decisions import demand_rate, usage
from pimentolatch.gateway import fleet_state, settings
from pimentolatch.gateway.leader import (
    capacity_controller,
    leadership,
    lease,
    usage_reports,
)
from pimentolatch.gateway.peers import peer_table, usage_exchange
from pimentolatch.platform import control_api, objects

__all__ = ["LeaderTasks"]

Runner = typing.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]]

_USAGE = "usage"
_SCALE = "scale"


class LeaderTasks:
    """Builds and owns the leader tasks that the settings enable.

    Args:
        chosen: Settings of this instance.
        incarnation: Differs for each start of this instance.
        fleet: Services and servers.
        peers: The live peers.
        source: The platform's store.
        own_demand: Returns the demand of this instance's clients for a service.
        time: Clock of this instance.

    Attributes:
        leadership: Tells whether this instance is the leader.
        usage: Counts the started executions of customers' requests.
    """

    def __init__(
        self,
        chosen: settings.GatewaySettings,
        incarnation: str,
        fleet: fleet_state.FleetState,
        peers: peer_table.PeerTable,
        source: objects.ObjectStore,
        own_demand: abc.Callable[[str], demand_rate.ServiceDemand],
        time: clock.Clock,
    ) -> None:
        self._settings = chosen
        self._fleet = fleet
        self._peers = peers
        self._store = source
        self._clock = time
        handover_gap = datetime.timedelta(milliseconds=chosen.bounds.lease_ms)
        leader_lease = lease.LeaderLease(
            source,
            f"{chosen.instance}@{chosen.peers.host}",
            incarnation,
            handover_gap,
            time,
        )
        self.leadership = leadership.Leadership(
            chosen.instance,
            chosen.peers.host,
            peers,
            leader_lease,
            time,
            permanent=chosen.control is not None,
        )
        self.usage: usage_exchange.UsageCounter = usage_exchange.NullUsageCounter()
        self._runners: list[Runner] = []
        self._receiver: control_api.ControlApi | None = None
        self._capacity: capacity_controller.CapacityController | None = None
        self._exchange: usage_exchange.UsageExchange | None = None
        if chosen.control is not None:
            self._receiver = control_api.ControlApi(chosen.control.address, time)
            self._runners.append(self.leadership.run)
            if _USAGE in chosen.control.duties:
                self._link_usage(chosen.control, self._receiver, incarnation)
            if _SCALE in chosen.control.duties and chosen.capacity.order:
                controller = capacity_controller.CapacityController(
                    chosen.instance,
                    fleet,
                    self.leadership,
                    source,
                    self._receiver,
                    chosen.capacity.policy,
                    peers,
                    own_demand,
                    time,
                )
                self._capacity = controller
                self._runners.append(controller.run)

    def _link_usage(
        self,
        chosen: settings.ControlSettings,
        receiver: control_api.ControlApi,
        incarnation: str,
    ) -> None:
        name, own = self._settings.instance, self._settings.peers
        length = datetime.timedelta(seconds=chosen.usage_window_s)
        counter = usage.UsageCounter(
            usage.Origin(name, incarnation), length, self._clock.now()
        )
        self._exchange = usage_exchange.UsageExchange(
            own.usage_address, counter, self._peers, self.leadership, self._clock
        )
        reporter = usage_reports.UsageReporter(
            name,
            length,
            counter,
            self._peers,
            self.leadership,
            self._store,
            receiver,
            self._clock,
        )
        self.usage = self._exchange
        self._runners += [self._exchange.run, reporter.run]

    @property
    def runners(self) -> tuple[Runner, ...]:
        """Functions to run as background tasks."""
        return tuple(self._runners)

    def server_needs(self) -> list[capacity_controller.ServiceNeed]:
        """Return what is known of the servers that each scaled service needs."""
        return [] if self._capacity is None else self._capacity.needs

    async def start(self) -> None:
        """Open the sockets.

        Raises:
            OSError: An address can't be bound.
        """
        if self._exchange is not None:
            await self._exchange.start()

    def close(self) -> None:
        """Close sockets and connections."""
        if self._exchange is not None:
            self._exchange.close()
        if self._receiver is not None:
            self._receiver.close()
