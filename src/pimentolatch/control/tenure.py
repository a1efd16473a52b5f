"""One uninterrupted holding of a failure domain's duty lease.

A pass reads the view, the slots and the engines, in this order, writes the view that
follows from them and takes each engine's next step. What a tenure remembers is only
good within it; what a successor needs stands in the slots and the view.
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
    known_slots,
    publication,
    reconciler,
    slots,
    standings,
    steps,
    targets,
)
from pimentolatch.document import schema
from pimentolatch.membership import views

__all__ = ["Bounds", "Outside", "Tenure", "Waiting"]

_log = logbook.Logger("duty")


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of a pass.

    Attributes:
        survey_engines: Engines in service whose state each pass asks for.
        load_spacing: Least time between two orders that fetch weights.
    """

    survey_engines: int
    load_spacing: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Outside:
    """What a tenure works with.

    Attributes:
        acknowledgements: Spreads views and knows who has acknowledged them.
        senders: Requests in flight, as the instances count them.
        leaving: Returns the backend servers that the platform's list shows leaving,
            or None while this instance has not had the list.
    """

    objects: store.Store
    clock: clock.Clock
    acknowledgements: views.Acknowledgements
    senders: drain.SenderCounts
    engines: order_client.OrderClient
    planner: standings.RolePlanner
    leaving: typing.Callable[[], abc.Set[str] | None]
    audit: trail.AuditTrail


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """An engine's change that is not done, and since when this tenure knows of it."""

    engine: str
    reason: str
    since: datetime.timedelta


class Tenure:
    """The passes of one tenure."""

    def __init__(
        self,
        failure_domain: str,
        outside: Outside,
        taker: steps.StepTaker,
        bounds: Bounds,
    ) -> None:
        self._domain = failure_domain
        self._outside = outside
        self._taker = taker
        self._bounds = bounds
        self._views = drain.ViewObjects(outside.objects, failure_domain)
        self._known = known_slots.KnownSlots(
            slots.SlotObjects(outside.objects, failure_domain), outside.clock
        )
        self._publication = publication.Publication(
            self._views,
            self._known,
            outside.acknowledgements,
            outside.leaving,
            outside.audit,
        )
        self._standings = standings.Standings()
        self._unreachable: set[str] = set()
        self._survey_from = 0
        self._met: dict[str, slots.Target] = {}
        self._next_load = datetime.timedelta.min
        self._waiting: dict[str, Waiting] = {}

    @property
    def waiting(self) -> tuple[Waiting, ...]:
        """Changes that are not done yet, by engine."""
        return tuple(self._waiting[engine] for engine in sorted(self._waiting))

    async def advance(self, configuration: fleet.Configuration) -> None:
        """Make one pass."""
        view = await self._views.read()
        if isinstance(view, store.Unavailable):
            _log.warn("platform unavailable", reason=view.reason)
            return
        if failed := await self._known.refresh():
            _log.warn("platform unavailable", reason=failed.reason)
            return
        await self._publication.publish(configuration, view)
        await self._move_engines(configuration)

    async def _move_engines(self, configuration: fleet.Configuration) -> None:
        situation = await self._situation(configuration)
        decided = reconciler.next_steps(situation)
        if any(isinstance(s, reconciler.GiveOrder) and s.loads for s in decided):
            now = self._outside.clock.monotonic()
            self._next_load = now + self._bounds.load_spacing
        self._note_waiting(decided)
        self._known.touch(reconciler.engine_of(step) for step in decided)
        await asyncio.gather(
            *(self._taker.take(step, configuration.number) for step in decided)
        )

    async def _situation(
        self, configuration: fleet.Configuration
    ) -> reconciler.Situation:
        document = configuration.document
        engines = [e for e in document.engines if e.failure_domain == self._domain]
        # Taken before the states, so that an order which arrives in between is seen.
        seen_pending = self._known.seen_pending()
        busy = self._taker.busy
        # A stream that began before its sender acknowledged is in the sender's count
        # or, if that is zero by now, over; so the engines are asked after both.
        quiet = self._senders_outcomes()
        states = await self._ask_states(document, engines)
        now = self._outside.clock.monotonic()
        planned = self._outside.planner.plan(self._engine_standings(engines, now), now)
        return reconciler.Situation(
            document=document,
            number=configuration.number,
            failure_domain=self._domain,
            own_slots=dict(self._known.by_engine),
            states=states,
            outcomes={
                engine: outcome
                if isinstance(outcome, drain.InUse)
                else drain.engine_outcome(states.get(engine))
                for engine, outcome in quiet.items()
            },
            unreachable=frozenset(self._unreachable),
            leaving=self._outside.leaving() or frozenset(),
            wanted={change.engine: change for change in planned},
            seen_pending=seen_pending,
            busy=busy,
            may_load=now >= self._next_load,
        )

    def _engine_standings(
        self, engines: abc.Sequence[schema.Engine], now: datetime.timedelta
    ) -> list[standings.Standing]:
        return [
            self._standings.of(
                engine, self._slot(engine.name), engine.name in self._unreachable, now
            )
            for engine in engines
        ]

    def _slot(self, engine: str) -> slots.Slot:
        return self._known.by_engine.get(engine, slots.Slot(engine))

    def _senders_outcomes(self) -> dict[str, drain.Quiet | drain.InUse]:
        return {
            slot.engine: self._senders_outcome(slot)
            for slot in self._known.moving
            if slot.state is slots.SlotState.DRAINING
        }

    def _senders_outcome(self, slot: slots.Slot) -> drain.Quiet | drain.InUse:
        withdrawal = self._publication.withdrawal(slot.engine)
        missing: frozenset[str] = frozenset()
        if withdrawal is not None:
            missing = self._outside.acknowledgements.missing(
                self._domain, withdrawal.view_number
            )
        in_flight = self._outside.senders.in_flight(slot.engine)
        return drain.senders_outcome(withdrawal, slot, missing, in_flight)

    async def _ask_states(
        self, document: schema.FleetDocument, engines: abc.Sequence[schema.Engine]
    ) -> dict[str, reconciler.EngineAnswer]:
        wanted = {
            engine.name: targets.target_of(document, engine, self._slot(engine.name))
            for engine in engines
        }
        first = {slot.engine for slot in self._known.moving}
        first |= self._newly_unmet(wanted)
        asked = [engine for engine in engines if engine.name in first]
        asked += self._surveyed([e for e in engines if e.name not in first])
        answers = await asyncio.gather(
            *(self._outside.engines.state(engine.address) for engine in asked)
        )
        states = {e.name: answer for e, answer in zip(asked, answers, strict=True)}
        for engine, answer in states.items():
            self._met.pop(engine, None)
            if isinstance(answer, order_client.Unreachable):
                self._unreachable.add(engine)
                continue
            self._unreachable.discard(engine)
            if targets.is_met(answer, wanted[engine]):
                self._met[engine] = wanted[engine]
        return states

    def _newly_unmet(self, wanted: abc.Mapping[str, slots.Target]) -> set[str]:
        """Return engines that met their target when last asked and have another now.

        The survey takes minutes to come round in a large failure domain. A document
        that gives one engine another role would wait as long before anybody looked
        at that engine.
        """
        changed = (
            engine
            for engine, target in self._met.items()
            if engine in wanted and wanted[engine] != target
        )
        return set(itertools.islice(changed, self._bounds.survey_engines))

    def _surveyed(self, engines: list[schema.Engine]) -> list[schema.Engine]:
        count = min(self._bounds.survey_engines, len(engines))
        start = self._survey_from
        self._survey_from = (start + count) % len(engines) if engines else 0
        return [engines[(start + i) % len(engines)] for i in range(count)]

    def _note_waiting(self, decided: abc.Sequence[reconciler.Step]) -> None:
        reasons = {slot.engine: slot.state.value for slot in self._known.moving}
        reasons |= {
            step.engine: step.reason
            for step in decided
            if isinstance(step, reconciler.Hold)
        }
        now = self._outside.clock.monotonic()
        since = {engine: item.since for engine, item in self._waiting.items()}
        self._waiting = {
            engine: Waiting(engine, reason, since.get(engine, now))
            for engine, reason in reasons.items()
        }
