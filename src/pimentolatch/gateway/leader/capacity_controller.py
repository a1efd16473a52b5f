"""Orders servers for services whose servers are billed by the second."""

import collections
import dataclasses
import datetime
from collections import abc

import logbook

from pimentolatch import clock, store
from pimentolatch.decisions import demand_rate, placement, server_need, server_plan
from pimentolatch.gateway import fleet_state
from pimentolatch.gateway.leader import leadership
from pimentolatch.gateway.peers import peer_table
from pimentolatch.platform import control_api, objects
from pimentolatch.routes import route_table

__all__ = ["CapacityController", "ServiceNeed"]

_log = logbook.Logger("capacity")
_KIND = "pimentolatch-capacity"
_INTERVAL = datetime.timedelta(milliseconds=500)
# Far above all real numbers of servers.
_MAX_SIZE = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceNeed:
    """What is known of the servers that a service needs.

    Attributes:
        service: Name of the service.
        provided: Servers that the operator provided; 0 if not known yet.
        seen_need: Servers that the load needs; None if too little was seen.
        seen_peak: Highest load seen, as a number of fully occupied engines.
    """

    service: str
    provided: int
    seen_need: int | None
    seen_peak: float


class CapacityController:
    """Plans and orders servers while this instance is the leader.

    Every instance observes the number of servers and their load, so that a new leader
    need not watch for seconds before it may order or return any.

    Args:
        own_name: Name of this instance.
        fleet: Services and servers.
        own_leadership: Tells whether this instance is the leader.
        source: The platform's store.
        receiver: API to which the orders are sent.
        policy: Rules by which servers are ordered.
        peers: The live peers, which report the demand of their clients.
        own_demand: Returns the demand of this instance's clients for a service.
        time: Clock of this instance.
    """

    def __init__(
        self,
        own_name: str,
        fleet: fleet_state.FleetState,
        own_leadership: leadership.Leadership,
        source: objects.ObjectStore,
        receiver: control_api.ControlApi,
        policy: server_plan.Policy,
        peers: peer_table.PeerTable,
        own_demand: abc.Callable[[str], demand_rate.ServiceDemand],
        time: clock.Clock,
    ) -> None:
        self._name = own_name
        self._fleet = fleet
        self._leadership = own_leadership
        self._store = source
        self._receiver = receiver
        self._policy = policy
        self._peers = peers
        self._own_demand = own_demand
        self._clock = time
        self._needs: dict[str, server_need.SeenNeed] = {}
        self._initial_sizes: dict[str, server_plan.InitialSize] = {}
        self._unreadable_sizes: set[str] = set()
        self._planners: dict[str, server_plan.ServerPlanner] = {}

    @property
    def needs(self) -> list[ServiceNeed]:
        """What this instance has seen of each service that scales."""
        return [self._need_of(service) for service, _ in self._scaled_services()]

    def _need_of(self, service: str) -> ServiceNeed:
        planner = self._planners.get(service)
        size = self._initial_sizes.get(service)
        provided = size.highest if size is not None else 0
        provided = planner.need if planner is not None else provided
        seen = self._needs.get(service)
        if seen is None:
            return ServiceNeed(service, provided, None, 0.0)
        need = seen.need(provided, self._clock.monotonic())
        return ServiceNeed(service, provided, need, round(seen.peak, 1))

    async def run(self) -> None:
        """Order missing servers and return surplus ones; runs until cancelled."""
        while True:
            await self._clock.sleep(_INTERVAL)
            self.observe()
            if self._leadership.active:
                await self.order_due()
            else:
                self._planners.clear()

    def observe(self) -> None:
        """Record the number of servers and the load of each service that scales."""
        for service, _ in self._scaled_services():
            self._observe_size(service)
            self._observe_load(service)

    async def order_due(self) -> None:
        """Send the orders that are due."""
        for service, scaling in self._scaled_services():
            await self._order_for_service(service, scaling)

    def _scaled_services(self) -> list[tuple[str, route_table.Scaling]]:
        configuration = self._fleet.configuration
        if configuration is None or not self._fleet.servers_listed:
            return []
        return [
            (service.name, service.scaling)
            for service in configuration.services.values()
            if service.scaling is not None
        ]

    def _observe_size(self, service: str) -> int | None:
        """Return how many servers there were before any was ordered, once known."""
        listed = self._fleet.provided_servers(service)
        size = self._initial_sizes.setdefault(service, server_plan.InitialSize())
        ordered = sum(server.spot for server in listed) if size.highest else 0
        return size.observe(len(listed) - ordered, self._clock.monotonic())

    def _observe_load(self, service: str) -> None:
        """Record the load of a service as a number of fully occupied engines."""
        traits = self._fleet.engine_traits(service)
        if traits is None or not self._policy.follows_load:
            return
        now = self._clock.monotonic()
        loads = self._fleet.loads(service)
        rate = max(loads.prefill_rate, self._peers.prefill_rate(service))
        prefill = (
            self._own_demand(service).prefill + self._peers.demand(service).prefill
        )
        decode = sum(placement.utilization(e, traits, now) for e in loads.all())
        self._needs.setdefault(service, server_need.SeenNeed()).observe(
            prefill / 1000 / rate + decode, now
        )

    async def _order_for_service(
        self, service: str, scaling: route_table.Scaling
    ) -> None:
        planner = await self._planner(service)
        if planner is None:
            return
        server_counts = self._servers_by_domain(service)
        now = self._clock.monotonic()
        seen_need = self._need_of(service).seen_need
        for order in planner.plan(scaling, server_counts, now, seen_need):
            if not await self._leadership.acquire() or not self._leadership.valid():
                return
            outcome = await self._send(service, order, scaling)
            self._record_outcome(planner, order, outcome)
            if not self._leadership.active:
                return

    def _record_outcome(
        self,
        planner: server_plan.ServerPlanner,
        order: server_plan.Order,
        outcome: control_api.Outcome,
    ) -> None:
        now = self._clock.monotonic()
        if isinstance(outcome, control_api.Accepted | control_api.Unanswered):
            planner.sent(order, now)
        elif isinstance(outcome, control_api.FencedOff):
            self._leadership.fenced_off()
        else:
            planner.refused(order, now)

    async def _planner(self, service: str) -> server_plan.ServerPlanner | None:
        """Return the planner of a service; None until the required size is known."""
        found = self._planners.get(service)
        if found is not None:
            return found
        need = self._policy.servers or await self._size(service)
        if need is None:
            return None
        planner = server_plan.ServerPlanner(self._policy, need)
        self._planners[service] = planner
        return planner

    async def _size(self, service: str) -> int | None:
        """Return how many servers suffice, as stored by the first leader.

        A later leader counts the ordered servers, including spare ones, and would
        mistake that count for the need.
        """
        size = self._observe_size(service)
        if size is None or not await self._leadership.acquire():
            return None
        found = await self._store.get(_KIND, service)
        if isinstance(found, store.Found):
            return self._stored_size(service, found)
        if isinstance(found, store.Unavailable):
            return None
        value = {"servers": size}
        outcome = await self._store.put(_KIND, service, value, if_version=0)
        return size if isinstance(outcome, store.Written) else None

    def _stored_size(self, service: str, found: store.Found) -> int | None:
        fields = found.value if isinstance(found.value, dict) else {}
        size = fields.get("servers")
        if isinstance(size, int) and 0 <= size <= _MAX_SIZE:
            return size
        if service not in self._unreadable_sizes:
            self._unreadable_sizes.add(service)
            _log.error("stored number of servers not understood", service=service)
        return None

    async def _send(
        self, service: str, order: server_plan.Order, scaling: route_table.Scaling
    ) -> control_api.Outcome:
        holder = control_api.Holder(self._name, self._leadership.fence)
        server_order = control_api.ServerOrder(
            service, order.failure_domain, order.count, order.spot
        )
        with self._leadership.call():
            outcome = await self._receiver.order_servers(holder, server_order)
        need = self._need_of(service)
        share = scaling.spot_price if order.spot else 1.0
        _log.info(
            "servers ordered",
            service=service,
            failure_domain=order.failure_domain,
            spot=order.spot,
            count=order.count,
            fence=holder.fence,
            stages=self._stages(service),
            provided=need.provided,
            seen_need=need.seen_need,
            seen_peak=need.seen_peak,
            price=round(scaling.prices[order.failure_domain] * share, 3),
            outcome=repr(outcome),
        )
        return outcome

    def _servers_by_domain(self, service: str) -> dict[str, server_plan.ServerCounts]:
        counts: dict[str, list[int]] = {}
        for server in self._fleet.provided_servers(service):
            counts.setdefault(server.failure_domain, [0, 0])[server.spot] += 1
        return {
            domain: server_plan.ServerCounts(on_demand, spot)
            for domain, (on_demand, spot) in counts.items()
        }

    def _stages(self, service: str) -> dict[str, int]:
        stages = (
            server.stage.value
            for server in self._fleet.provided_servers(service)
            if server.stage is not None
        )
        return dict(collections.Counter(stages))
