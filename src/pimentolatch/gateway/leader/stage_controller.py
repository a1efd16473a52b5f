"""Orders engines to change stage when the ratio of prefill to decode work shifts."""

import datetime
from collections import abc

import logbook

from pimentolatch import clock
from pimentolatch.decisions import demand_rate, engine_loads, stage_plan
from pimentolatch.gateway import dispatch, fleet_state, flow_control
from pimentolatch.gateway.leader import leadership
from pimentolatch.gateway.peers import peer_table
from pimentolatch.platform import engines
from pimentolatch.routes import route_table, servers

__all__ = ["StageController"]

_log = logbook.Logger("stages")
_INTERVAL = datetime.timedelta(milliseconds=500)
_CALL_TIMEOUT = datetime.timedelta(milliseconds=800)
# An order that was not answered may still be carried out within this time.
_UNKNOWN_PERIOD = datetime.timedelta(seconds=13)
_ACCEPTED = (200, 202)
_FENCED_OFF = 412


class StageController:
    """Plans and orders stage changes while this instance is the leader."""

    def __init__(
        self,
        own_name: str,
        fleet: fleet_state.FleetState,
        table_of_peers: peer_table.PeerTable,
        own_leadership: leadership.Leadership,
        client: dispatch.ServerClient,
        flow: flow_control.FlowControl,
        own_demand: abc.Callable[[str], demand_rate.ServiceDemand],
        time: clock.Clock,
    ) -> None:
        self._name = own_name
        self._fleet = fleet
        self._peers = table_of_peers
        self._leadership = own_leadership
        self._client = client
        self._flow = flow
        self._own_demand = own_demand
        self._clock = time
        self._planners: dict[str, stage_plan.StagePlanner] = {}
        self._unknown_until: dict[str, datetime.timedelta] = {}

    async def run(self) -> None:
        """Order stage changes whose gain exceeds their cost; runs until cancelled."""
        while True:
            await self._clock.sleep(_INTERVAL)
            if not self._leadership.should_lead():
                continue
            for service in list(self._fleet.loads_by_service()):
                await self._plan_service(service)

    async def _plan_service(self, service: str) -> None:
        traits = self._fleet.engine_traits(service)
        if traits is None or self._fleet.configuration is None:
            return
        loads = self._fleet.loads(service)
        planner = self._planners.setdefault(service, stage_plan.StagePlanner())
        now = self._clock.monotonic()
        own, others = self._own_demand(service), self._peers.demand(service)
        changes = planner.plan(
            loads,
            traits,
            _pause_target(self._fleet.configuration, service),
            own.prefill + others.prefill,
            max(loads.prefill_rate, self._peers.prefill_rate(service)),
            now,
            self._flow.limited_servers,
        )
        for change in changes:
            if await self.carry_out(change):
                planner.changed(change, self._clock.monotonic())

    async def carry_out(self, change: stage_plan.Change) -> bool:
        """Order a stage change; return whether it was or may have been accepted."""
        if self._is_outcome_unknown(change.engine.server_id, self._clock.monotonic()):
            return False
        server = self._fleet.servers.get(change.engine.server_id)
        if server is None or server.incarnation != change.engine:
            return False
        if not await self._leadership.acquire():
            return False
        async with self._client.session(server, exclusive=True) as calls:
            ordered = await self._order(calls, server, change)
        if ordered and not self._is_outcome_unknown(
            server.server_id, self._clock.monotonic()
        ):
            self._mark_changing(change)
        return ordered

    def _mark_changing(self, change: stage_plan.Change) -> None:
        """Exclude an engine from routing during its change, here and at peers."""
        engine = self._fleet.engine_load(change.engine)
        if engine is None:
            return
        traits = self._fleet.engine_traits(engine.server.service)
        if traits is not None:
            absence = traits.stage_change_time + stage_plan.STREAM_DRAIN_TIME
            until = self._clock.monotonic() + absence
            engine.begin_change(engine_loads.StageChange(change.stage, until))

    def _is_outcome_unknown(self, server_id: str, now: datetime.timedelta) -> bool:
        until = self._unknown_until.get(server_id)
        return until is not None and now < until

    async def _order(
        self,
        calls: dispatch.Session,
        server: servers.Server,
        change: stage_plan.Change,
    ) -> bool:
        """Send the order.

        The order names the number of orders from the engine's report as a precondition
        and is sent over the same connection as the report. An engine that restarts
        counts from zero, so over another connection its new incarnation might carry
        out an order that was meant for the previous one.
        """
        report = await calls.call("GET", engines.REPORT_TARGET, limit=_CALL_TIMEOUT)
        if not isinstance(report, dispatch.FullResponse):
            _log.info(
                "stage change not ordered: engine sent no report",
                server=server.server_id,
            )
            return False
        state = engines.decode_report(report.body)
        if state is None or state.changing or state.stage is change.stage:
            return False
        if change.engine.started_ms is not None and state.started_ms not in (
            None,
            change.engine.started_ms,
        ):
            _log.info(
                "started again, no order",
                server=server.server_id,
            )
            return False
        if not self._leadership.valid():
            return False
        order = engines.StageOrder(
            change.stage.value,
            self._name,
            self._leadership.fence,
            state.accepted_orders,
        )
        with self._leadership.call():
            answer = await calls.call(
                "POST",
                engines.ORDER_TARGET,
                engines.order_fields(server.server_id),
                engines.encode_stage_order(order),
                limit=_CALL_TIMEOUT,
            )
        _log.info(
            "stage ordered",
            server=server.server_id,
            stage=change.stage.value,
            fence=self._leadership.fence,
            reading_share=round(change.prefill_share, 2),
            writing_share=round(change.decode_share, 2),
            reading_rate=round(change.prefill_rate, 1),
            outcome=dispatch.describe(answer),
        )
        if isinstance(answer, dispatch.NotSent):
            return False
        if isinstance(answer, dispatch.OutcomeUnknown):
            self._unknown_until[server.server_id] = (
                self._clock.monotonic() + _UNKNOWN_PERIOD
            )
            return True
        if answer.status == _FENCED_OFF:
            self._leadership.fenced_off()
        return answer.status in _ACCEPTED


def _pause_target(configuration: route_table.Configuration, service: str) -> float:
    """Return the shortest pause target of a service's routes in ms; 0 if none."""
    targets = [
        route.event_gap_target / datetime.timedelta(milliseconds=1)
        for route in configuration.routes
        if route.event_gap_target and any(s.service == service for s in route.shares)
    ]
    return min(targets, default=0.0)
