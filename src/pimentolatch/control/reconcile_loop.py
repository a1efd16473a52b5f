"""Reconciliation passes of one leadership, while the leader lease is held.

A pass reads the view, the slots and the engines, in this order. It writes the view that
follows from them and executes the next step of each engine. State in memory is valid
only during one leadership; all that the next leader needs is in the slots and the view.
"""

import asyncio
import dataclasses
import datetime
import itertools
import typing
from collections import abc

import logbook

from pimentolatch import clock, fleet, store
from pimentolatch.audit import trail
from pimentolatch.backend import order_client
from pimentolatch.control import (
    drain,
    reconciler,
    role_planning,
    slot_cache,
    slots,
    step_executor,
    targets,
    view_publisher,
)
from pimentolatch.document import schema
from pimentolatch.membership import views

__all__ = ["Dependencies", "PassLimits", "ReconcileLoop", "UnfinishedChange"]

_log = logbook.Logger("duty")


@dataclasses.dataclass(frozen=True, slots=True)
class PassLimits:
    """Limits of a pass.

    Attributes:
        engines_polled_per_pass: Engines in service that each pass queries for their
            state.
        load_interval: Minimum time between two orders that fetch weights.
    """

    engines_polled_per_pass: int
    load_interval: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Collaborators of the loop.

    Attributes:
        acknowledgements: Announces views and tracks their acknowledgements.
        senders: Requests in flight, counted by the instances that send them.
        leaving: Returns the backend servers that the platform lists as leaving, or
            None while this instance has not received the list.
    """

    objects: store.Store
    clock: clock.Clock
    acknowledgements: views.Acknowledgements
    senders: drain.SenderCounts
    engines: order_client.OrderClient
    planner: role_planning.RolePlanner
    leaving: typing.Callable[[], abc.Set[str] | None]
    audit: trail.AuditTrail


@dataclasses.dataclass(frozen=True, slots=True)
class UnfinishedChange:
    """A change of an engine in progress, and when this leader first saw it."""

    engine: str
    reason: str
    since: datetime.timedelta


class ReconcileLoop:
    """Runs the reconciliation passes of one leadership."""

    def __init__(
        self,
        failure_domain: str,
        deps: Dependencies,
        executor: step_executor.StepExecutor,
        limits: PassLimits,
    ) -> None:
        self._domain = failure_domain
        self._deps = deps
        self._executor = executor
        self._limits = limits
        self._views = drain.ViewObjects(deps.objects, failure_domain)
        self._slot_cache = slot_cache.SlotCache(
            slots.SlotObjects(deps.objects, failure_domain), deps.clock
        )
        self._view_publisher = view_publisher.ViewPublisher(
            self._views,
            self._slot_cache,
            deps.acknowledgements,
            deps.leaving,
            deps.audit,
        )
        self._status_tracker = role_planning.StatusTracker()
        self._unreachable: set[str] = set()
        self._next_poll_index = 0
        self._met_targets: dict[str, slots.Target] = {}
        self._next_load = datetime.timedelta.min
        self._unfinished_changes: dict[str, UnfinishedChange] = {}

    @property
    def unfinished_changes(self) -> tuple[UnfinishedChange, ...]:
        """Changes in progress, sorted by engine."""
        return tuple(
            self._unfinished_changes[engine]
            for engine in sorted(self._unfinished_changes)
        )

    async def run_pass(self, configuration: fleet.Configuration) -> None:
        """Run one reconciliation pass."""
        view = await self._views.read()
        if isinstance(view, store.Unavailable):
            _log.warn("platform unavailable", reason=view.reason)
            return
        if failed := await self._slot_cache.refresh():
            _log.warn("platform unavailable", reason=failed.reason)
            return
        await self._view_publisher.publish(configuration, view)
        await self._run_steps(configuration)

    async def _run_steps(self, configuration: fleet.Configuration) -> None:
        observed = await self._observe_state(configuration)
        decided = reconciler.next_steps(observed)
        if any(isinstance(s, reconciler.SendOrder) and s.loads for s in decided):
            now = self._deps.clock.monotonic()
            self._next_load = now + self._limits.load_interval
        self._record_unfinished_changes(decided)
        self._slot_cache.invalidate(reconciler.engine_of(step) for step in decided)
        await asyncio.gather(
            *(self._executor.execute(step, configuration.number) for step in decided)
        )

    async def _observe_state(
        self, configuration: fleet.Configuration
    ) -> reconciler.ObservedState:
        document = configuration.document
        engines = [e for e in document.engines if e.failure_domain == self._domain]
        # Determined before the engines are queried, so that the states show an order
        # that arrives in between.
        pending_ages = self._slot_cache.pending_ages()
        busy = self._executor.busy
        # A stream that started before its sender's acknowledgement is in the sender's
        # count until it ends. So engines are queried after acknowledgements and counts.
        sender_outcomes = self._senders_outcomes()
        states = await self._poll_states(document, engines)
        now = self._deps.clock.monotonic()
        planned = self._deps.planner.plan(self._engine_statuses(engines, now), now)
        return reconciler.ObservedState(
            document=document,
            number=configuration.number,
            failure_domain=self._domain,
            slots_by_engine=dict(self._slot_cache.by_engine),
            states=states,
            drain_outcomes={
                engine: outcome
                if isinstance(outcome, drain.InUse)
                else drain.engine_outcome(states.get(engine))
                for engine, outcome in sender_outcomes.items()
            },
            unreachable=frozenset(self._unreachable),
            leaving=self._deps.leaving() or frozenset(),
            planned_changes={change.engine: change for change in planned},
            pending_ages=pending_ages,
            busy=busy,
            may_load=now >= self._next_load,
        )

    def _engine_statuses(
        self, engines: abc.Sequence[schema.Engine], now: datetime.timedelta
    ) -> list[role_planning.EngineStatus]:
        return [
            self._status_tracker.status(
                engine, self._slot(engine.name), engine.name in self._unreachable, now
            )
            for engine in engines
        ]

    def _slot(self, engine: str) -> slots.Slot:
        return self._slot_cache.by_engine.get(engine, slots.Slot(engine))

    def _senders_outcomes(self) -> dict[str, drain.SendersIdle | drain.InUse]:
        return {
            slot.engine: self._senders_outcome(slot)
            for slot in self._slot_cache.not_in_service
            if slot.state is slots.SlotState.DRAINING
        }

    def _senders_outcome(self, slot: slots.Slot) -> drain.SendersIdle | drain.InUse:
        withdrawal = self._view_publisher.withdrawal(slot.engine)
        missing: frozenset[str] = frozenset()
        if withdrawal is not None:
            missing = self._deps.acknowledgements.missing(
                self._domain, withdrawal.view_number
            )
        in_flight = self._deps.senders.in_flight(slot.engine)
        return drain.senders_outcome(withdrawal, slot, missing, in_flight)

    async def _poll_states(
        self, document: schema.FleetDocument, engines: abc.Sequence[schema.Engine]
    ) -> dict[str, reconciler.EngineAnswer]:
        targets_by_engine = {
            engine.name: targets.target_of(document, engine, self._slot(engine.name))
            for engine in engines
        }
        priority = {slot.engine for slot in self._slot_cache.not_in_service}
        priority |= self._retargeted(targets_by_engine)
        polled = [engine for engine in engines if engine.name in priority]
        polled += self._next_to_poll([e for e in engines if e.name not in priority])
        answers = await asyncio.gather(
            *(self._deps.engines.state(engine.address) for engine in polled)
        )
        states = {e.name: answer for e, answer in zip(polled, answers, strict=True)}
        for engine, answer in states.items():
            self._met_targets.pop(engine, None)
            if isinstance(answer, order_client.Unreachable):
                self._unreachable.add(engine)
                continue
            self._unreachable.discard(engine)
            if targets.is_met(answer, targets_by_engine[engine]):
                self._met_targets[engine] = targets_by_engine[engine]
        return states

    def _retargeted(
        self, targets_by_engine: abc.Mapping[str, slots.Target]
    ) -> set[str]:
        """Return engines whose target has changed since they last met it.

        Polling all engines of a large failure domain takes minutes. Without this, a
        document that changes the role of one engine would take as long to be noticed.
        """
        changed = (
            engine
            for engine, target in self._met_targets.items()
            if engine in targets_by_engine and targets_by_engine[engine] != target
        )
        return set(itertools.islice(changed, self._limits.engines_polled_per_pass))

    def _next_to_poll(self, engines: list[schema.Engine]) -> list[schema.Engine]:
        count = min(self._limits.engines_polled_per_pass, len(engines))
        start = self._next_poll_index
        self._next_poll_index = (start + count) % len(engines) if engines else 0
        return [engines[(start + i) % len(engines)] for i in range(count)]

    def _record_unfinished_changes(
        self, decided: abc.Sequence[reconciler.Step]
    ) -> None:
        reasons = {
            slot.engine: slot.state.value for slot in self._slot_cache.not_in_service
        }
        reasons |= {
            step.engine: step.reason
            for step in decided
            if isinstance(step, reconciler.Blocked)
        }
        now = self._deps.clock.monotonic()
        since = {
            engine: item.since for engine, item in self._unfinished_changes.items()
        }
        self._unfinished_changes = {
            engine: UnfinishedChange(engine, reason, since.get(engine, now))
            for engine, reason in reasons.items()
        }
